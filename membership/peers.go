// Package membership keeps which peers a process knows, when it last heard
// from each and which it suspects, and chooses the entries that an agent
// announces itself to.
package membership

import (
	"slices"
	"time"
)

// Peers keeps the known peers of one process. It is not safe for concurrent
// use. Peers are named by any stable string, an identifier or an address.
type Peers struct {
	suspectAfter time.Duration
	known        map[string]*peer
}

type peer struct {
	heard  time.Time // zero when never
	failed bool      // a second connection failed too
}

// New returns an empty set whose peers are suspect after that much silence.
func New(suspectAfter time.Duration) *Peers {
	return &Peers{suspectAfter: suspectAfter, known: map[string]*peer{}}
}

// Add adds a peer and reports whether it is new. A new peer is suspect until
// it is heard.
func (p *Peers) Add(id string) bool {
	if _, ok := p.known[id]; ok {
		return false
	}
	p.known[id] = &peer{}
	return true
}

// RecordHeard records a valid message of the peer, and adds the peer if necessary.
func (p *Peers) RecordHeard(id string, now time.Time) {
	p.Add(id)
	k := p.known[id]
	k.failed = false
	if now.After(k.heard) {
		k.heard = now
	}
}

// RecordFailed records that a heartbeat failed on a second connection too. The peer
// is suspect until it is heard again.
func (p *Peers) RecordFailed(id string) {
	if k, ok := p.known[id]; ok {
		k.failed = true
	}
}

// Remove removes a peer.
func (p *Peers) Remove(id string) { delete(p.known, id) }

// Suspect reports whether the peer should get no new work: it is unknown, was
// silent for longer than the suspect time, or failed.
func (p *Peers) Suspect(id string, now time.Time) bool {
	k, ok := p.known[id]
	return !ok || k.failed || k.heard.IsZero() || now.Sub(k.heard) > p.suspectAfter
}

// LastHeard returns when the peer was last heard; ok is false if it never was.
func (p *Peers) LastHeard(id string) (at time.Time, ok bool) {
	k, known := p.known[id]
	if !known || k.heard.IsZero() {
		return time.Time{}, false
	}
	return k.heard, true
}

// Known returns all peers in order.
func (p *Peers) Known() []string { return p.filter(func(string) bool { return true }) }

// Alive returns the peers that are not suspect, in order.
func (p *Peers) Alive(now time.Time) []string {
	return p.filter(func(id string) bool { return !p.Suspect(id, now) })
}

func (p *Peers) filter(keep func(id string) bool) []string {
	var ids []string
	for id := range p.known {
		if keep(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
