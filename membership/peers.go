// Package membership tracks the peers that a process knows, when it last received
// a message from each and which are suspected to have failed. It also selects the
// entries to which an agent announces itself.
package membership

import (
	"slices"
	"time"
)

// Peers holds the known peers of one process. It is not safe for concurrent use.
// Peers are identified by any stable string, such as an identifier or an address.
type Peers struct {
	suspectAfter time.Duration
	known        map[string]*peer
}

type peer struct {
	heard  time.Time // when the last message was received; zero if never
	failed bool      // RecordFailed was called since the last message
}

// New returns an empty set whose peers are suspect if no message was received from
// them for longer than suspectAfter.
func New(suspectAfter time.Duration) *Peers {
	return &Peers{suspectAfter: suspectAfter, known: map[string]*peer{}}
}

// Add adds a peer and reports whether it is new. A new peer is suspect until a
// message is received from it.
func (p *Peers) Add(id string) bool {
	if _, ok := p.known[id]; ok {
		return false
	}
	p.known[id] = &peer{}
	return true
}

// RecordHeard records a valid message from the peer, and adds the peer if it is
// unknown.
func (p *Peers) RecordHeard(id string, now time.Time) {
	p.Add(id)
	k := p.known[id]
	k.failed = false
	if now.After(k.heard) {
		k.heard = now
	}
}

// RecordFailed records that a heartbeat to the peer failed on a second connection
// too. The peer is suspect until a message is received from it.
func (p *Peers) RecordFailed(id string) {
	if k, ok := p.known[id]; ok {
		k.failed = true
	}
}

// Remove removes a peer. An unknown one is ignored.
func (p *Peers) Remove(id string) { delete(p.known, id) }

// Suspect reports whether the peer should get no new work, because it is unknown,
// sent no message within the suspect time, or failed.
func (p *Peers) Suspect(id string, now time.Time) bool {
	k, ok := p.known[id]
	return !ok || k.failed || k.heard.IsZero() || now.Sub(k.heard) > p.suspectAfter
}

// LastHeard returns when a message was last received from the peer; ok is false if
// there was none.
func (p *Peers) LastHeard(id string) (at time.Time, ok bool) {
	k, known := p.known[id]
	if !known || k.heard.IsZero() {
		return time.Time{}, false
	}
	return k.heard, true
}

// Known returns all peers in ascending order.
func (p *Peers) Known() []string { return p.filter(func(string) bool { return true }) }

// Alive returns the peers that are not suspect, in ascending order.
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
