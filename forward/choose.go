package forward

import (
	"cmp"
	"time"
)

// Reason is why a job is forwarded.
type Reason string

// Reasons of a forward.
const (
	ReasonStopping Reason = "stopping" // the entry stops before the job can end
	ReasonNoAgent  Reason = "no_agent" // no agent of the job's pool is usable
	ReasonNoRoom   Reason = "no_room"  // admission refused the job
	// ReasonNoProcessor: the entry is short of processor time; see Processor.
	ReasonNoProcessor Reason = "no_processor"
)

// RefusedPause is the time for which a peer that refused a forward is not asked. Its
// state changes with its load, and a longer pause would leave its free capacity unused.
const RefusedPause = 200 * time.Millisecond

// Peer is what an entry knows of another entry.
type Peer struct {
	ID         string
	Stopping   bool
	Heard      time.Time     // when the last heartbeat was sent that it answered; zero if none was
	Suspect    time.Duration // age of Heard from which the peer counts as gone
	Generation uint64        // of its configuration
	Distance   int           // of its data centre; 0 is the sender's own
	Open       int           // forwards that are open there
	RefusedAt  time.Time     // last refusal of a forward
	Short      bool          // it is short of processor time
}

// Limits bound the open forwards of an entry.
type Limits struct {
	PerPeer int
	Total   int
}

// Job is what the choice depends on.
type Job struct {
	Reason     Reason
	Generation uint64   // of the configuration that has its template
	Asked      []string // peers that were asked before
}

// Choose returns the peer for the job; ok is false if there is none. room is the free
// room for the job's pool by peer, relative to the peer's backlog; with nil it is not
// known, and the peer heard from last is chosen. A job that is refused here for lack of
// room or agents goes only to a peer with room, if room is known.
func Choose(now time.Time, j Job, peers []Peer, room map[string]float64, l Limits) (id string, ok bool) {
	var best *Peer
	open := 0
	for i := range peers {
		open += peers[i].Open
	}
	if open >= l.Total {
		return "", false
	}
	for i := range peers {
		p := &peers[i]
		if !p.accepts(now, j, l) || !p.canServe(j.Reason, room) {
			continue
		}
		if best == nil || better(p, best, room) {
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

func (p *Peer) accepts(now time.Time, j Job, l Limits) bool {
	for _, id := range j.Asked {
		if id == p.ID {
			return false
		}
	}
	return !p.Stopping && !p.Heard.IsZero() && now.Sub(p.Heard) < p.Suspect && p.Generation >= j.Generation &&
		p.Open < l.PerPeer && (p.RefusedAt.IsZero() || now.Sub(p.RefusedAt) >= RefusedPause)
}

// canServe reports whether the peer has what the sender lacks.
func (p *Peer) canServe(r Reason, room map[string]float64) bool {
	switch {
	case r == ReasonNoProcessor:
		// The workers are the same for all entries, so their room says nothing about
		// the processor time of a peer.
		return !p.Short
	case room == nil || r == ReasonStopping:
		return true
	}
	return room[p.ID] > 0
}

func better(p, q *Peer, room map[string]float64) bool {
	order := cmp.Compare(room[q.ID], room[p.ID])
	if room == nil {
		order = q.Heard.Compare(p.Heard)
	}
	return cmp.Or(order, cmp.Compare(p.Distance, q.Distance), cmp.Compare(p.ID, q.ID)) < 0
}
