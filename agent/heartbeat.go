package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

const (
	// Bounds of the wait before a suspect entry is dialled again. The greatest
	// is below the time in which full use has to resume (2 s).
	linkBackoffBase = 50 * time.Millisecond
	linkBackoffMax  = 1500 * time.Millisecond
	// kicksPerHeartbeat bounds the heartbeats that are sent out of turn.
	kicksPerHeartbeat = 5
)

// errDescribed means that an entry asks again for what it was just sent.
var errDescribed = errors.New("agent: the entry does not take this agent's description")

// link is the control connection to one entry.
type link struct {
	entries *entries
	agent   *Agent
	address string
	cancel  context.CancelFunc
	wake    chan struct{} // capacity 1

	mu       sync.Mutex
	conn     *rpcconn.Client // nil while there is none
	offering bool
	told     bool // the entry answered a heartbeat that said "leaving"

	// Of the connection; used by run alone.
	described wire.AgentRef // the reference that the entry knows; it may be out of date
	entry     wire.EntryRef // that the entry sent
}

func newLink(e *entries, address string) *link {
	return &link{entries: e, agent: e.agent, address: address, cancel: func() {}, wake: make(chan struct{}, 1)}
}

// kick makes the link send its next heartbeat soon.
func (l *link) kick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run sends heartbeats until ctx ends. When one fails, a second connection is
// opened at once; only if that fails too is the entry suspect.
func (l *link) run(ctx context.Context) {
	defer l.drop()
	interval := l.agent.timing.Heartbeat.AsDuration()
	// Links of processes that start together do not dial together.
	if !wait.For(ctx, rand.N(interval/kicksPerHeartbeat), nil) {
		return
	}
	failures := 0
	for {
		err := l.beat(ctx)
		if err != nil && ctx.Err() == nil {
			l.drop()
			err = l.beat(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.drop()
			l.entries.failed(l.address, err)
			limit := min(linkBackoffMax, linkBackoffBase<<min(failures, 10))
			failures++
			if !wait.For(ctx, rand.N(limit)+1, nil) {
				return
			}
			continue
		}
		failures = 0
		spacing := interval / kicksPerHeartbeat
		if !wait.For(ctx, spacing, nil) || !wait.For(ctx, interval-spacing, l.wake) {
			return
		}
	}
}

func (l *link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// connect returns the link's connection, opening it if there is none.
func (l *link) connect(ctx context.Context) (*rpcconn.Client, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := l.agent.dialer.Connect(ctx, l.address)
	if err != nil {
		return nil, err
	}
	l.described, l.entry = wire.AgentRef{}, wire.EntryRef{}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	return conn, nil
}

// beat sends one heartbeat and applies the reply.
func (l *link) beat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.agent.timing.CallTimeout.AsDuration())
	defer cancel()
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	sent := time.Now()
	req := l.agent.heartbeat(sent, ledger.Owner{Entry: l.entry.ID, Incarnation: l.entry.Incarnation})
	req.KnownEntry = l.entry.Incarnation
	whole := req.Agent
	brief := l.described == whole
	if brief {
		req.Agent = whole.IdentityOnly()
	}
	var reply wire.HeartbeatReply
	if err := conn.Call(ctx, "Entry.Heartbeat", &req, &reply); err != nil {
		return err
	}
	if reply.Describe && !brief {
		return errDescribed
	}
	if reply.Describe {
		l.described = wire.AgentRef{}
		return l.beat(ctx) // with the whole reference
	}
	l.described = whole
	if l.entry.IdentityOnly() == reply.Entry {
		reply.Entry = l.entry
	}
	l.entry = reply.Entry
	l.mu.Lock()
	l.told = req.Leaving
	l.mu.Unlock()
	l.entries.heard(l.address, &reply)
	l.agent.heartbeatAnswered(sent, &reply)
	return nil
}

func (l *link) toldLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told
}

// offer sends an offer unless one is under way, and reports whether it did.
func (l *link) offer(owner ledger.Owner, req wire.OfferRequest) bool {
	l.mu.Lock()
	conn := l.conn
	busy := l.offering
	l.offering = l.offering || conn != nil
	l.mu.Unlock()
	if conn == nil || busy {
		return false
	}
	l.agent.metrics.offers.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.agent.timing.CallTimeout.AsDuration())
		defer cancel()
		var reply wire.OfferReply
		err := conn.Call(ctx, "Entry.Offer", &req, &reply)
		l.mu.Lock()
		l.offering = false
		l.mu.Unlock()
		if err == nil {
			l.agent.offered(owner, reply.Used)
		}
	}()
	return true
}

// heartbeat returns the message that announces the agent to one entry. Slots
// that are reserved for other entries count as running, as in replies.
func (a *Agent) heartbeat(now time.Time, to ledger.Owner) wire.HeartbeatRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := wire.HeartbeatRequest{
		Agent: a.self, Load: a.loadFor(to), Leaving: len(a.leaving) > 0, Healthy: a.health.ok,
		Generation: a.config.Generation, ReadAge: gate.NoAge,
	}
	if !a.storeAt.IsZero() {
		r.ReadAge = max(0, now.Sub(a.storeAt))
	}
	if a.leased != nil {
		r.Behind = a.leased.behind(to)
		a.leased.describeEnds(now, &r)
	}
	return r
}

// heartbeatAnswered applies an entry's reply to the heartbeat sent then.
func (a *Agent) heartbeatAnswered(sent time.Time, r *wire.HeartbeatReply) {
	now := time.Now()
	owner := ledger.Owner{Entry: r.Entry.ID, Incarnation: r.Entry.Incarnation}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lapse(now)
	// Only the time at which the request was sent bounds the reply's age.
	a.ledger.RecordContact(owner, sent)
	a.ledger.RenewSession(owner, r.Renews, sent)
	a.acknowledge(owner, r.Acked)
	if a.leased != nil {
		a.leased.answered(now, r.Settled, r.Voided)
	}
	if _, announced := a.backlogs[owner]; announced {
		// A reply that every agent gets must not make all of them offer.
		a.entryBacklog(owner, r.Backlog)
	}
	if r.Config != nil {
		a.apply(*r.Config, now)
	}
	a.confirm(sent, r)
	if ok, _ := a.may(now); ok {
		a.closed = time.Time{}
	}
	a.dispatch(now)
	a.notify()
}
