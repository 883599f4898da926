package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/membership"
	"chicorytray.example/chicorytray/wire"
)

const (
	// maxClaim limits how long a claim of a job lasts.
	maxClaim = 24 * time.Hour
	// firstPeerPoll is how often a process that has just started looks for a peer.
	firstPeerPoll = 5 * time.Millisecond
)

// homesOf returns the peers that answer, by descending rendezvous weight for the job, at
// most maxClaimTries; own is whether this entry's weight is higher.
func (p *peers) homesOf(key jobKey) (homes []*peer, own bool) {
	type weighted struct {
		peer   *peer
		weight uint64
	}
	var all []weighted
	p.mu.Lock()
	for _, e := range p.known {
		if e.failures == 0 && !e.lastReplySent.IsZero() {
			all = append(all, weighted{e, membership.RendezvousWeight(key.identifier, e.ref.ID)})
		}
	}
	p.mu.Unlock()
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.peer.ref.ID, b.peer.ref.ID))
	})
	own = len(all) == 0 || membership.RendezvousWeight(key.identifier, p.self.ID) > all[0].weight
	for _, w := range all[:min(len(all), maxClaimTries)] {
		homes = append(homes, w.peer)
	}
	return homes, own
}

// awaitFirst waits in a process that was started less than Timing.Lapse before, until the
// first of its peers has replied, unless it has no peers.
func (p *peers) awaitFirst(ctx context.Context, started time.Time) {
	for ctx.Err() == nil && p.clock.Since(started) < p.timing.Lapse.AsDuration() {
		p.mu.Lock()
		found := p.replied > 0 || len(p.known) == 0 && p.cancellations.knowsEntries
		p.mu.Unlock()
		if found {
			return
		}
		wait.For(ctx, firstPeerPoll, nil)
	}
}

// claimAt claims a job at the first of the peers that answers.
func (p *peers) claimAt(ctx context.Context, homes []*peer, req wire.ClaimJobRequest) wire.ClaimJobReply {
	for _, e := range homes {
		var reply wire.ClaimJobReply
		if err := p.callPeer(ctx, e, holderTimeout, "Entry.ClaimJob", &req, &reply); err == nil {
			return reply
		}
	}
	return wire.ClaimJobReply{}
}

// release asks a process to release a job.
func (p *peers) release(ctx context.Context, h wire.JobHolder, req wire.ReleaseJobRequest) (reply wire.ReleaseJobReply, err error) {
	p.mu.Lock()
	e := p.known[h.Entry]
	if e == nil || e.ref.Incarnation != h.Incarnation {
		e = &peer{ref: wire.EntryRef{ID: h.Entry, Incarnation: h.Incarnation, Address: h.Address}}
	}
	p.mu.Unlock()
	err = p.callPeer(ctx, e, p.timing.CallTimeout.AsDuration(), "Entry.ReleaseJob", &req, &reply)
	return reply, err
}

// callPeer makes a call on the connection of the peer's heartbeats or, if that is broken
// or there is none, on a new one.
func (p *peers) callPeer(ctx context.Context, e *peer, limit time.Duration, method string, req, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p.mu.Lock()
	conn := e.conn
	p.mu.Unlock()
	err := errors.New("entry: no connection")
	if conn != nil {
		err = conn.Call(ctx, method, req, reply)
	}
	if err == nil || ctx.Err() != nil {
		return err
	}
	e.requestHeartbeat() // opens a connection for the next calls
	if conn, err = p.dial(ctx, e.ref.Address); err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return conn.Call(ctx, method, req, reply)
}

// unreachableSince returns since when the process is known to be unreachable; zero if it
// is not known to be.
func (p *peers) unreachableSince(h wire.JobHolder) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch e := p.known[h.Entry]; {
	case e == nil:
		return time.Time{}
	case e.ref.Incarnation != h.Incarnation:
		return e.learntAt // its successor runs since then
	case e.failures > 0:
		return e.failedAt
	}
	return time.Time{}
}
