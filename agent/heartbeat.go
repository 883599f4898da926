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
	// The backoff before another attempt to reach a suspect entry is random
	// up to a limit that doubles from linkBackoffBase to linkBackoffMax. The
	// maximum is below the 2 s within which a returned entry has to be used
	// fully again.
	linkBackoffBase = 50 * time.Millisecond
	linkBackoffMax  = 1500 * time.Millisecond
	// maxHeartbeatsPerInterval bounds the rate of heartbeats to one entry when
	// heartbeats are requested before the next one is due.
	maxHeartbeatsPerInterval = 5
)

// errDescribeRepeated means that an entry asks for the agent's full reference
// although the heartbeat contained it.
var errDescribeRepeated = errors.New("agent: entry asks for the agent's full reference, which the heartbeat contained")

// link is the control connection to one entry.
type link struct {
	entries *entries
	agent   *Agent
	address string
	cancel  context.CancelFunc
	wake    chan struct{} // capacity 1; ends the wait for the next heartbeat

	mu           sync.Mutex
	urgent       bool            // the next heartbeat is due at once
	conn         *rpcconn.Client // nil while not connected
	offerPending bool
	leavingAcked bool // the entry answered a heartbeat with Leaving set

	// State of the connection, used only by the goroutine of run.
	sentRef     wire.AgentRef // reference that was sent last, which the entry knows; may be outdated
	receivedRef wire.EntryRef // full reference that the entry sent
}

func newLink(e *entries, address string) *link {
	return &link{entries: e, agent: e.agent, address: address, cancel: func() {}, wake: make(chan struct{}, 1)}
}

// requestHeartbeat makes the link send its next heartbeat as soon as
// maxHeartbeatsPerInterval allows.
func (l *link) requestHeartbeat() {
	l.mu.Lock()
	l.urgent = true
	l.mu.Unlock()
	l.reschedule()
}

// reschedule makes the link determine again when its next heartbeat is due.
func (l *link) reschedule() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run sends heartbeats until ctx ends. When one fails, it is sent again at once
// on a new connection; if that fails too, the entry becomes suspect.
func (l *link) run(ctx context.Context) {
	defer l.closeConn()
	// The random delay spreads the connections of agents that start at the
	// same time.
	if !wait.For(ctx, rand.N(l.agent.timing.Heartbeat.AsDuration()/maxHeartbeatsPerInterval), nil) {
		return
	}
	failures := 0
	for {
		sent := l.agent.clock.Now()
		l.mu.Lock()
		l.urgent = false
		l.mu.Unlock()
		err := l.sendHeartbeat(ctx)
		if err != nil && ctx.Err() == nil {
			l.closeConn()
			err = l.sendHeartbeat(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.closeConn()
			l.entries.recordFailure(l.address, err)
			limit := min(linkBackoffMax, linkBackoffBase<<min(failures, 10))
			failures++
			if !wait.For(ctx, rand.N(limit)+1, nil) {
				return
			}
			continue
		}
		failures = 0
		if !l.waitUntilDue(ctx, sent) {
			return
		}
	}
}

// waitUntilDue waits until the next heartbeat is due after the one that was sent
// at the given time. It returns false if ctx ended.
func (l *link) waitUntilDue(ctx context.Context, sent time.Time) bool {
	t := l.agent.timing
	// The random part keeps the agents of an entry from sending at the same time.
	idle := t.IdleInterval()
	idle -= rand.N(max(1, (idle-t.Heartbeat.AsDuration())/4))
	if !wait.For(ctx, t.Heartbeat.AsDuration()/maxHeartbeatsPerInterval, nil) {
		return false
	}
	for {
		l.mu.Lock()
		urgent := l.urgent
		l.mu.Unlock()
		interval := idle
		if l.agent.needsHeartbeats(ledger.Owner{Entry: l.receivedRef.ID, Incarnation: l.receivedRef.Incarnation}) {
			interval = t.Heartbeat.AsDuration()
		}
		left := l.agent.clock.Until(sent.Add(interval))
		if urgent || left <= 0 {
			return true
		}
		if !wait.For(ctx, left, l.wake) {
			return false
		}
	}
}

// needsHeartbeats reports whether heartbeats to the entry are sent at the short
// interval. That is also so while the configuration is not confirmed, or ends are
// unclaimed, since only replies to heartbeats change that.
func (a *Agent) needsHeartbeats(owner ledger.Owner) bool {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	_, reason := a.mayStart(now)
	return reason == wire.ReasonConfigUnconfirmed || a.isBusyFor(owner, now) ||
		a.leased != nil && a.leased.life != nil && len(a.leased.unclaimedEnds(a.leased.life, time.Now())) > 0
}

func (l *link) closeConn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// connect returns the link's connection and opens one if necessary.
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
	l.sentRef, l.receivedRef = wire.AgentRef{}, wire.EntryRef{}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	// A restarted entry is connected to again at once, and not when the next
	// heartbeat at the long interval is due.
	go func() {
		<-conn.Done()
		l.requestHeartbeat()
	}()
	return conn, nil
}

// sendHeartbeat sends one heartbeat and applies the reply. The agent's full
// reference is sent only if the entry does not have the present one.
func (l *link) sendHeartbeat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.agent.timing.CallTimeout.AsDuration())
	defer cancel()
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	sent := l.agent.clock.Now()
	req := l.agent.newHeartbeat(sent, ledger.Owner{Entry: l.receivedRef.ID, Incarnation: l.receivedRef.Incarnation})
	req.KnownEntry = l.receivedRef.Incarnation
	full := req.Agent
	identityOnly := l.sentRef == full
	if identityOnly {
		req.Agent = full.IdentityOnly()
	}
	var reply wire.HeartbeatReply
	if err := conn.Call(ctx, "Entry.Heartbeat", &req, &reply); err != nil {
		return err
	}
	if reply.Describe && !identityOnly {
		return errDescribeRepeated
	}
	if reply.Describe {
		l.sentRef = wire.AgentRef{}
		return l.sendHeartbeat(ctx) // with the full reference
	}
	l.sentRef = full
	if l.receivedRef.IdentityOnly() == reply.Entry {
		reply.Entry = l.receivedRef
	}
	l.receivedRef = reply.Entry
	l.mu.Lock()
	l.leavingAcked = req.Leaving
	l.mu.Unlock()
	l.entries.recordReply(l.address, &reply)
	l.agent.applyHeartbeatReply(sent, &reply)
	return nil
}

func (l *link) leavingAcknowledged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leavingAcked
}

// sendOffer sends an offer, unless there is no connection or an earlier offer is
// unanswered, and reports whether it did.
func (l *link) sendOffer(owner ledger.Owner, req wire.OfferRequest) bool {
	l.mu.Lock()
	conn := l.conn
	busy := l.offerPending
	l.offerPending = l.offerPending || conn != nil
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
		l.offerPending = false
		l.mu.Unlock()
		if err == nil {
			l.agent.handleOfferReply(owner, reply.Used)
		}
	}()
	return true
}

// newHeartbeat returns the heartbeat for one entry. Slots that are reserved for
// other entries count as used, as in replies.
func (a *Agent) newHeartbeat(now time.Time, to ledger.Owner) wire.HeartbeatRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := wire.HeartbeatRequest{
		Agent: a.self, Load: a.loadFor(to), Leaving: len(a.leaving) > 0, Healthy: a.health.ok,
		Generation: a.config.Generation, ReadAge: gate.NoAge,
	}
	if !a.storeReadAt.IsZero() {
		r.ReadAge = max(0, now.Sub(a.storeReadAt))
	}
	if !a.confirmedAt.IsZero() {
		r.ConfirmedAgo = max(1, now.Sub(a.confirmedAt))
	}
	if a.leased != nil {
		r.Behind = a.leased.stragglers(to)
		r.Suspects = a.leased.crashReports(now, to)
		a.leased.addUnclaimedEnds(time.Now(), &r)
	}
	return r
}

// applyHeartbeatReply applies an entry's reply to the heartbeat that was sent at
// the given time.
func (a *Agent) applyHeartbeatReply(sent time.Time, r *wire.HeartbeatReply) {
	now := a.clock.Now()
	owner := ledger.Owner{Entry: r.Entry.ID, Incarnation: r.Entry.Incarnation}
	a.mu.Lock()
	defer a.mu.Unlock()
	// The reply may have been delayed, so what it says is only known to hold at
	// the time at which the heartbeat was sent. Sessions expire by that time.
	a.ledger.RecordContact(owner, sent)
	a.ledger.RenewSession(owner, r.Renews, sent)
	a.expireSessions(now)
	a.acknowledge(owner, r.Acked)
	if a.leased != nil {
		a.leased.applyEndAnswers(time.Now(), r.Settled, r.Voided)
	}
	if _, announced := a.backlogs[owner]; announced {
		// Heartbeat replies only update an announced backlog. Every agent gets
		// the same reply, and they must not all make offers.
		a.setBacklog(owner, r.Backlog)
	}
	if r.Config != nil {
		a.applyConfig(*r.Config, now)
	}
	a.applyConfirmation(sent, r)
	if ok, _ := a.mayStart(now); ok {
		a.gateClosedSince = time.Time{}
	}
	a.dispatch(now)
	a.notifyChanged()
}
