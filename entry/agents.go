package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/wire"
)

const (
	// openBackoffBase and openBackoffMax bound the random wait before another
	// attempt to open a session: the bound doubles with each attempt. It starts
	// low because most broken connections can be replaced at once.
	openBackoffBase = 20 * time.Millisecond
	openBackoffMax  = time.Second
	// forgetAgentAfter is the time without a heartbeat after which an agent
	// without open tasks is removed. It is longer than a restart takes, so that
	// a restarted agent keeps its statistics.
	forgetAgentAfter = 30 * time.Second
	// entryListInterval is the interval at which an unchanged list of entries is
	// repeated in a heartbeat reply, in case a reply was lost. Sent with every
	// reply, the list would be most of the control traffic.
	entryListInterval = 10 * time.Second
	// introduceInterval is the mean interval between Introduce messages to a
	// silent agent, until the agent is removed. When a region with half of 1,000
	// agents is lost, an entry that knew 50 of them makes 25 attempts a second
	// for 30 s.
	introduceInterval = time.Second
)

// Reasons for closing a connection to an agent.
var (
	errFenced     = errors.New("entry: the agent ended the session")
	errWrongAgent = errors.New("entry: the address belongs to another agent")
)

// agentConn is a connection to an agent.
type agentConn interface {
	Call(ctx context.Context, method string, args, reply any) error
	LastReceived() time.Time
	Close() error
}

// agentDialer connects to the address of an agent.
type agentDialer func(ctx context.Context, address string) (agentConn, error)

// agent is what the dispatcher knows about one agent.
type agent struct {
	ref     wire.AgentRef
	session *session
	conn    agentConn // of the open session; nil when there is none

	weight           float64   // by the detection of faulty upstreams; see effectiveWeight
	slow             bool      // classed as slow by package speed
	speedPool        string    // pool in whose speeds the agent is known
	lastHeard        time.Time // last heartbeat, or reply to OpenSession
	leaving          bool
	unhealthy        bool
	suspect          bool // see isSilent
	ejected          bool // by the detection of faulty upstreams
	refusing         bool // refused a task for a lasting reason; cleared by its next heartbeat
	busy             bool // refused a task for lack of room; cleared by its next heartbeat or load report
	configGeneration uint64

	openAttempts int // attempts to open a session since the last one was open
	retryOpenAt  time.Time
	pinging      bool
	// nextIntroduceAt is the earliest time of the next Introduce message.
	nextIntroduceAt time.Time
	// unansweredCancels counts the Cancel messages without a reply. The session
	// is not renewed while there are any. It therefore expires if Cancel messages
	// do not arrive although heartbeats do.
	unansweredCancels int
	probation         *sentTask       // the task that is on probation there; nil if there is none
	noProbationUntil  time.Time       // set when the agent had one of another entry
	placementEntry    placement.Agent // as last written to the placement table
	usable            bool            // may get tasks when it has room
	lastUsable        time.Time       // when it was last usable, or first heard of
	announcedAt       time.Time       // when the last Announce message was sent

	// lastHeartbeat is when the last heartbeat arrived, and lastAdopted when the
	// last one arrived that was sent while the agent had adopted its worker.
	// endsCompleteAt is the earliest time at which the last heartbeat that listed
	// all unclaimed ends can have been sent.
	lastHeartbeat, lastAdopted, endsCompleteAt time.Time
	// lastHeartbeatFrom is the process that sent the last heartbeat.
	lastHeartbeatFrom wire.Incarnation
	unclaimed         unclaimedEnds

	sentEntries   []wire.EntryRef // entries in the last heartbeat reply that listed them
	sentEntriesAt time.Time       // when that reply was sent
}

// closeConn closes the connection if there is one. Open calls on it fail, which
// puts their tasks in doubt.
func (a *agent) closeConn() {
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// handleHeartbeat handles Entry.Heartbeat. If the heartbeat has only the
// agent's identity and this entry does not know that process, the reply asks
// for a full description and nothing else is done.
func (d *dispatcher) handleHeartbeat(req wire.HeartbeatRequest) wire.HeartbeatReply {
	a := d.agents[req.Agent.ID]
	if req.Agent.IsIdentityOnly() {
		if a == nil || a.ref.Incarnation != req.Agent.Incarnation {
			return wire.HeartbeatReply{Entry: d.self.IdentityOnly(), Describe: true, ConfirmAge: gate.NoAge, ReadAge: gate.NoAge}
		}
		req.Agent = a.ref
	}
	if a == nil {
		a = &agent{ref: req.Agent, session: newSession(d.self, req.Agent.Incarnation), weight: 1, lastUsable: d.now}
		d.agents[req.Agent.ID] = a
		d.detector.Track(req.Agent.ID)
		d.log.Info().Str("agent", a.ref.ID).Str("address", a.ref.Address).Str("data_centre", a.ref.DataCentre).
			Msg("agent announced itself")
	}
	if req.Agent.Incarnation != a.ref.Incarnation {
		d.log.Warn().Str("agent", a.ref.ID).Msg("agent was replaced by another process")
		a.closeConn()
		a.openAttempts, a.retryOpenAt, a.sentEntriesAt = 0, time.Time{}, time.Time{}
		d.applyVerdicts(a, a.session.handleReplacedAgent(req.Agent.Incarnation))
	}
	a.ref, a.lastHeard = req.Agent, d.now
	a.leaving, a.unhealthy, a.refusing, a.busy = req.Leaving, !req.Healthy, false, false
	if a.configGeneration = req.Generation; d.view != nil && req.Generation > d.view.Generation() {
		d.recordAgentGeneration(req.Generation, req.ConfirmedAgo)
	}
	a.recordHeartbeat(d.now, req)
	if req.ReadAge >= 0 {
		d.confirmation.recordAgentRead(d.now.Add(-req.ReadAge))
	}
	d.updatePlacementEntry(a)
	d.updateLoad(a, req.Load)
	d.updateUsable(a)
	if a.session.state == sessionClosed {
		d.openSession(a)
	}
	d.handleStragglers(a, req.Behind)
	d.handleCrashReports(a, req.Suspects)
	reply := d.heartbeatReply(a)
	d.answerUnclaimed(a, req.Unclaimed, &reply)
	if req.KnownEntry == d.self.Incarnation {
		reply.Entry = d.self.IdentityOnly()
	}
	return reply
}

func (d *dispatcher) heartbeatReply(a *agent) wire.HeartbeatReply {
	r := wire.HeartbeatReply{
		Entry: d.self, ConfirmAge: d.confirmationAge(), ReadAge: d.confirmation.readAge(d.now),
		Backlog: d.currentBacklog(a.ref.Pool), Stopping: d.stopping,
	}
	if known := d.knownEntries(); d.now.Sub(a.sentEntriesAt) >= entryListInterval || !isSameList(known, a.sentEntries) {
		r.Entries, a.sentEntries, a.sentEntriesAt = known, known, d.now
	}
	if a.session.state == sessionOpen {
		// A lost reply leaves the records at the agent until the next
		// session is opened, which lists them again.
		r.Acked = a.session.takeAcks()
		d.cancelAbandonedAt(a)
		if a.unansweredCancels == 0 && len(d.pendingCancels[a]) == 0 && d.mayStartNow() {
			r.Renews = a.session.id.Number
		}
	}
	if d.view != nil {
		r.Generation = d.view.Generation()
		if a.configGeneration < r.Generation {
			c := d.view.AgentConfig()
			r.Config = &c
		}
	}
	return r
}

// isSameList reports whether both are the same slice. The list of entries is
// another slice after each change, so that heartbeats need not compare its content.
func isSameList(a, b []wire.EntryRef) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// updatePlacementEntry updates the agent's description in the placement table.
// The agent's queue is not counted as capacity. It absorbs tasks that several
// entries send at the same time; filling it on purpose would bind tasks to an
// agent too early and make the agent refuse tasks of other entries.
func (d *dispatcher) updatePlacementEntry(a *agent) {
	d.trackSpeed(a)
	t := placement.Agent{
		ID: a.ref.ID, DataCentre: a.ref.DataCentre, Rack: a.ref.Rack, Worker: a.ref.Worker,
		Pool:        a.ref.Pool,
		Incarnation: a.ref.Incarnation, Slots: a.ref.Slots, Capacity: a.ref.Capacity, Distance: config.DefaultDistance,
	}
	if d.view != nil {
		t.Distance = d.view.Distance(d.self.DataCentre, a.ref.DataCentre)
	}
	if t != a.placementEntry {
		a.placementEntry = t
		d.table.Upsert(t)
	}
}

// updateUsable determines whether the agent may get new tasks and updates the
// placement table.
func (d *dispatcher) updateUsable(a *agent) {
	usable := a.session.state == sessionOpen && a.conn != nil &&
		!a.leaving && !a.unhealthy && !a.suspect && !a.ejected && !a.refusing && d.inService(a.ref.DataCentre)
	if a.usable || usable {
		a.lastUsable = d.now
	}
	if usable {
		d.hadUsableAgent.Store(true)
	}
	a.usable = usable
	// The processors of a busy agent of leased tasks still count for its pool.
	leased := a.ref.Pool != ""
	d.table.SetFull(a.ref.ID, leased && a.busy)
	d.table.SetUsable(a.ref.ID, usable && (leased || !a.busy))
}

func (d *dispatcher) inService(dataCentre string) bool {
	return d.view != nil && d.view.InService(dataCentre)
}

// openSession starts an attempt to open the next session on a new connection. It
// does nothing while an attempt is in progress or the backoff has not passed.
func (d *dispatcher) openSession(a *agent) {
	if a.session.state == sessionOpening || d.now.Before(a.retryOpenAt) {
		return
	}
	a.closeConn()
	a.openAttempts++
	id := a.session.beginOpen(d.now, d.timing.Reconcile.AsDuration())
	req := wire.OpenSessionRequest{Session: id}
	if d.view != nil {
		req.Config = d.view.AgentConfig()
	}
	address := a.ref.Address
	d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, d.timing.CallTimeout.AsDuration())
		defer cancel()
		var reply wire.OpenSessionReply
		conn, err := d.dial(ctx, address)
		if err == nil {
			if err = conn.Call(ctx, "Agent.OpenSession", &req, &reply); err != nil {
				_ = conn.Close()
			}
		}
		ok := d.post(func(d *dispatcher) { d.handleSessionOpened(a, id.Number, conn, reply, err) })
		if !ok && err == nil {
			_ = conn.Close()
		}
	})
}

// handleSessionOpened handles the result of an attempt to open a session.
func (d *dispatcher) handleSessionOpened(a *agent, number uint64, conn agentConn, reply wire.OpenSessionReply, err error) {
	s := a.session
	if err == nil && reply.Agent.ID != a.ref.ID {
		_ = conn.Close()
		err = fmt.Errorf("%w: agent %q answers at %s", errWrongAgent, reply.Agent.ID, a.ref.Address)
	}
	if s.id.Number != number || s.state != sessionOpening || d.agents[a.ref.ID] != a {
		if err == nil {
			_ = conn.Close()
		}
		return
	}
	if err != nil {
		s.state = sessionClosed
		limit := min(openBackoffMax, openBackoffBase<<min(a.openAttempts, 10))
		a.retryOpenAt = d.now.Add(rand.N(limit))
		d.log.Debug().Str("agent", a.ref.ID).Uint64("session", number).Err(err).Msg("session not opened")
		return
	}
	a.conn, a.openAttempts, a.retryOpenAt, a.lastHeard = conn, 0, time.Time{}, d.now
	a.ref = reply.Agent
	verdicts := s.handleOpened(number, reply)
	if a.ref.Pool != "" {
		// Renewals of this session would keep the runs alive when their tasks are started
		// elsewhere. The session is not renewed before the Cancel message is answered.
		d.cancelUntracked(a, s.untracked(reply.Started))
	}
	d.applyVerdicts(a, verdicts)
	d.updatePlacementEntry(a)
	d.updateLoad(a, reply.Load)
	d.updateUsable(a)
}

// cancelUntracked adds tasks of no known job to the next Cancel message to the agent.
func (d *dispatcher) cancelUntracked(a *agent, keys []wire.TaskKey) {
	if len(keys) > 0 {
		d.log.Warn().Str("agent", a.ref.ID).Uint64("session", a.session.id.Number).Int("tasks", len(keys)).Msg("runs that were given up are stopped")
		d.pendingCancels[a] = append(d.pendingCancels[a], keys...)
	}
}

// handleSessionInDoubt handles any sign that a message to or from the agent may
// have been lost: it closes the connection and opens a new session, in which the
// agent lists the tasks that it started. number is the session concerned.
func (d *dispatcher) handleSessionInDoubt(a *agent, number uint64, why error) {
	if a.session.state != sessionOpen || a.session.id.Number != number {
		return // a newer session is open or being opened already
	}
	d.log.Info().Str("agent", a.ref.ID).Uint64("session", number).Int("tasks", len(a.session.tasks)).Err(why).
		Msg("session in doubt")
	a.session.markInDoubt(d.now, d.timing.Reconcile.AsDuration())
	a.closeConn()
	a.retryOpenAt = time.Time{}
	d.updateUsable(a)
	d.openSession(a)
}

// checkAgent handles a silent agent: it marks the agent as suspect, resolves
// tasks in doubt whose time has run out, removes the agent or reconnects to it.
func (d *dispatcher) checkAgent(a *agent) {
	silence := d.now.Sub(a.lastHeard)
	if suspect := d.isSilent(a); suspect != a.suspect {
		a.suspect = suspect
		if suspect {
			d.metrics.agentsSuspect.Inc(1)
			d.log.Warn().Str("agent", a.ref.ID).Dur("silent_ms", silence).Msg("agent is suspect")
		}
		d.updateUsable(a)
	}
	d.applyVerdicts(a, a.session.expireInDoubt(d.now))
	if silence > forgetAgentAfter && len(a.session.tasks) == 0 {
		a.closeConn()
		d.table.Remove(a.ref.ID)
		d.detector.Remove(a.ref.ID)
		d.forgetSpeed(a)
		delete(d.agents, a.ref.ID)
		return
	}
	d.sendIntroduction(a)
	if a.session.state == sessionClosed && (!a.suspect || len(a.session.tasks) > 0) {
		d.openSession(a)
	}
	d.checkConnection(a)
}

// isSilent reports whether a heartbeat of the agent is overdue. An agent without
// tasks of this entry sends them at the interval Timing.IdleHeartbeat, and at the
// shorter one as soon as the first task has arrived.
func (d *dispatcher) isSilent(a *agent) bool {
	if len(a.session.tasks) == 0 {
		return d.now.Sub(a.lastHeard) > d.timing.IdleSuspect()
	}
	since := a.lastHeard
	if a.session.busySince.After(since) {
		since = a.session.busySince
	}
	return d.now.Sub(since) > d.timing.Suspect.AsDuration()
}

// sendIntroduction makes this entry known to a silent agent. A restarted agent
// knows no entry if it cannot read the store.
func (d *dispatcher) sendIntroduction(a *agent) {
	if !a.suspect || d.now.Before(a.nextIntroduceAt) {
		return
	}
	a.nextIntroduceAt = d.now.Add(introduceInterval/2 + rand.N(introduceInterval))
	address, req := a.ref.Address, wire.IntroduceRequest{Entry: d.self}
	d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, d.timing.CallTimeout.AsDuration())
		defer cancel()
		conn, err := d.dial(ctx, address)
		if err != nil {
			return // tried again after introduceInterval
		}
		_ = conn.Call(ctx, "Agent.Introduce", &req, &wire.Empty{})
		_ = conn.Close()
	})
}

// checkConnection pings the agent if the connection has open calls and has
// received nothing for Timing.PingAfter. An established connection may stop
// carrying data while new ones work.
func (d *dispatcher) checkConnection(a *agent) {
	if a.conn == nil || a.pinging || len(a.session.tasks) == 0 ||
		d.now.Sub(a.session.busySince) < d.timing.PingAfter.AsDuration() ||
		d.now.Sub(a.conn.LastReceived()) < d.timing.PingAfter.AsDuration() {
		return
	}
	a.pinging = true
	conn, number := a.conn, a.session.id.Number
	d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, d.timing.PingTimeout.AsDuration())
		defer cancel()
		err := conn.Call(ctx, "Agent.Ping", &wire.Empty{}, &wire.Empty{})
		d.post(func(d *dispatcher) {
			a.pinging = false
			if err != nil {
				d.handleSessionInDoubt(a, number, err)
			}
		})
	})
}

// reportAgentsHeard passes on when an agent of each data centre was last heard,
// which is input of the store-outage rule; see gate.EffectiveAge.
func (d *dispatcher) reportAgentsHeard() {
	heard := map[string]time.Time{}
	var first, others []string // addresses, by the first and by other agents of each data centre
	for _, a := range d.agents {
		_, known := heard[a.ref.DataCentre]
		if a.lastHeard.After(heard[a.ref.DataCentre]) {
			heard[a.ref.DataCentre] = a.lastHeard
		}
		switch {
		case a.suspect:
		case known:
			others = append(others, a.ref.Address)
		default:
			first = append(first, a.ref.Address)
		}
	}
	// The order of a map differs each time, so that the agents take turns.
	relays := slices.Concat(first, others)
	d.confirmation.recordAgentsHeard(heard, relays[:min(maxRelays, len(relays))])
}

// updateLoad records a load that the agent reported. Tasks that had not reached
// the agent when it stated the load are added; otherwise a full agent would
// appear to have room and refuse tasks.
func (d *dispatcher) updateLoad(a *agent, l wire.Load) {
	unseen, needs := 0, wire.Resources{}
	for key, t := range a.session.tasks {
		if key.Session > l.SeenSession || key.Session == l.SeenSession && key.Sequence > l.Seen {
			unseen++
			needs = needs.Plus(t.job.class.Needs)
		} else if l.Queued == 0 {
			d.recordLeftQueue(t.job, t.index)
		}
	}
	d.table.ReportWithUnseen(a.ref.ID, l, unseen, needs)
}

// updateLoadFromReply records the load in an agent's reply, which shows that the
// agent may have room again.
func (d *dispatcher) updateLoadFromReply(a *agent, l wire.Load) {
	d.updateLoad(a, l)
	d.clearBusy(a)
}

// clearBusy records that the agent may have room again.
func (d *dispatcher) clearBusy(a *agent) {
	if a.busy {
		a.busy = false
		d.updateUsable(a)
	}
}
