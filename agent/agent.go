package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/balance"
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/ingest"
	"chicorytray.example/chicorytray/internal/clientlimit"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// Agent is one agent process. Create it with New, start it with Run and end it
// with Stop or with the context of Run. Its methods are safe for concurrent use.
type Agent struct {
	options  Options
	settings settings.Agent
	timing   settings.Timing
	log      zerolog.Logger
	rejected zerolog.Logger // for announcements that are rejected
	runLog   zerolog.Logger // for runs that ended otherwise than ordinary ones
	metrics  metrics
	counters *rpcconn.Counters
	server   *rpcconn.Server

	// The limits on connections; nil without limits.
	budget     *ingest.Budget
	peerGroup  *ingest.Group
	adminGuard *clientlimit.Guard

	dialer    *rpcconn.Dialer
	executor  executor
	http      *httpExecutor   // same as executor for an HTTP upstream, otherwise nil
	leased    *leasedExecutor // same as executor for a worker of leased tasks, otherwise nil
	entries   *entries
	clock     *clock.Clock
	startedAt time.Time
	// offerOrder is the order in which entries are offered free slots.
	offerOrder balance.Order

	runCalled atomic.Bool   // set when Run is called
	stopped   chan struct{} // closed when Run returns
	drained   chan struct{} // closed when a planned stop has finished; makes Run return
	stopOnce  sync.Once
	taskCtx   context.Context // parent context of all task executions; set by Run

	contentMu sync.Mutex
	content   config.HashedContent // of the document last read for an entry

	// mu guards the fields below. It is held from the check that permits a
	// start until the start is recorded, and never during I/O.
	mu              sync.Mutex
	self            wire.AgentRef // ID, Incarnation, Address, Admin and DataCentre never change
	ledger          *ledger.Ledger
	gate            *gate.Gate
	config          wire.AgentConfig
	gateClosedSince time.Time // zero while the gate has a recent confirmation
	tasks           map[taskID]*task
	queue           []*task
	runningTasks    int // number of tasks that occupy a slot
	lastStart       time.Time
	free            wire.Resources
	lastNeeds       wire.Resources // resource needs of the task that ended last
	loadSequence    uint64         // value of wire.Load.Sequence; rises with each change of the load
	leaving         map[leaveReason]bool
	health          health
	backlogs        map[ledger.Owner]announcedBacklog
	quickUntil      map[ledger.Owner]time.Time // see isBusyFor
	reservations    []reservation
	confirmedAt     time.Time     // when an entry last confirmed config; zero if none has
	storeReadAt     time.Time     // time of the newest store read that any entry reported
	changed         chan struct{} // closed and replaced by notifyChanged
}

// leaveReason is a reason why the agent is leaving, which means that it accepts
// no new tasks and returns the queued ones, while running tasks go on. The agent
// is leaving as long as at least one reason is set.
type leaveReason string

const (
	leaveStop        leaveReason = "planned_stop"
	leaveOperator    leaveReason = "reported_on_admin_address"
	leaveHealth      leaveReason = "health_check"
	leaveUnreachable leaveReason = "upstream_unreachable"
	leaveNotAdopted  leaveReason = "no_adopted_worker"
	leaveDraining    leaveReason = "worker_draining"
)

// executor runs tasks at the upstream or the worker.
type executor interface {
	// do runs one task and returns its result when the task's slot and
	// resources may be reused. For a leased task this means that no part of it
	// runs or will run, unless the agent's process ends first. The caller sets
	// Result.Took. Cancelling ctx stops the task.
	do(ctx context.Context, t wire.Task) wire.Result
	close()
}

// New validates the options and returns an agent that is not running yet. The
// error wraps ErrOptions.
func New(o Options) (*Agent, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	s := o.Settings
	a := &Agent{
		options: o, settings: s, timing: s.Timing, metrics: newMetrics(o.Metrics),
		log:      o.Logger.With().Str("agent", s.ID).Logger(),
		counters: rpcconn.NewCounters(), clock: o.Clock, startedAt: time.Now(),
		stopped: make(chan struct{}), drained: make(chan struct{}), changed: make(chan struct{}),
		gate: gate.New(s.Timing.Gate.AsDuration()), free: s.Capacity, health: health{ok: true},
		tasks: map[taskID]*task{}, leaving: map[leaveReason]bool{}, backlogs: map[ledger.Owner]announcedBacklog{},
		quickUntil: map[ledger.Owner]time.Time{}, offerOrder: offerOrder(s.Sharing),
		self: wire.AgentRef{
			ID: s.ID, Incarnation: wire.NewIncarnation(), Address: s.PeerAddress, Admin: s.AdminAddress,
			DataCentre: s.DataCentre, Rack: s.Rack, Worker: s.Worker, Upstream: s.Upstream,
			Slots: s.Slots, QueueLimit: s.QueueLimit, Capacity: s.Capacity,
		},
	}
	a.rejected = a.log.Sample(&zerolog.BurstSampler{Burst: maxRejectionLines, Period: time.Minute})
	a.runLog = a.newRunLog()
	if a.clock == nil {
		a.clock = clock.System()
	}
	if s.Limits.Limited() {
		a.budget = ingest.NewBudget(s.Limits.ReadLimit(s.MaxMessageBytes))
		perGroup := ingest.GroupLimits{Connections: s.Limits.PeerConnectionLimit()}
		a.peerGroup = a.budget.Group(perGroup)
		perGroup.Bytes, perGroup.Connections = s.Limits.ReadLimit(s.MaxMessageBytes)/2, s.Limits.AdminConnectionLimit()
		a.adminGuard = clientlimit.New(a.budget.Group(perGroup), 0)
	}
	rpcOpts, err := o.rpcOptions(a.counters, a.log, a.peerGroup)
	if err != nil {
		return nil, err
	}
	a.ledger = ledger.New(a.self.Incarnation, s.MaxRecords)
	a.dialer = &rpcconn.Dialer{Options: rpcOpts, Dial: o.Dial}
	a.server = a.newServer(rpcOpts)
	a.entries = newEntries(a)
	if s.Leased != nil {
		a.ledger.RequireRenewals()
		a.leaving[leaveNotAdopted] = true
		a.leased = newLeasedExecutor(a)
		a.executor = a.leased
	} else {
		a.http = newHTTPExecutor(s, o.DialUpstream)
		a.executor = a.http
	}
	return a, nil
}

// Run serves until Stop has finished or ctx is cancelled. Cancelling ctx ends
// the agent at once and aborts its running tasks. Run may be called only once.
func (a *Agent) Run(ctx context.Context) error {
	if !a.runCalled.CompareAndSwap(false, true) {
		return fmt.Errorf("%w: Run was called before", ErrOptions)
	}
	defer close(a.stopped)
	if limit := a.settings.Limits.SoftMemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	peers, admin, err := a.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.mu.Lock()
	a.taskCtx = ctx
	a.mu.Unlock()
	failed := make(chan error, 2)
	var wg sync.WaitGroup
	wg.Go(func() { failed <- a.server.Serve(ctx, peers) })
	wg.Go(func() { failed <- a.serveAdmin(ctx, a.adminGuard.Listener(admin, nil)) })
	loops := []func(context.Context){a.entries.run, a.maintain, a.checkHealth}
	if a.leased != nil {
		loops = append(loops, a.leased.run)
	}
	wg.Go(func() { clientlimit.Report(ctx, a.budget, a.options.Metrics) })
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	a.log.Info().Str("peers", peers.Addr().String()).Str("admin", admin.Addr().String()).
		Str("incarnation", a.self.Incarnation.String()).Msg("agent_serves")
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case err = <-failed:
	case <-a.drained:
	}
	cancel()
	wg.Wait()
	a.executor.close()
	a.log.Info().Msg("agent_ended")
	return err
}

func (a *Agent) listen() (peers, admin net.Listener, err error) {
	peers, admin = a.options.Peers, a.options.Admin
	if peers == nil {
		if peers, err = net.Listen("tcp", a.settings.PeerAddress); err != nil {
			return nil, nil, fmt.Errorf("agent: peer_address: %w", err)
		}
	}
	if admin == nil {
		if admin, err = net.Listen("tcp", a.settings.AdminAddress); err != nil {
			_ = peers.Close()
			return nil, nil, fmt.Errorf("agent: admin_address: %w", err)
		}
	}
	return peers, admin, nil
}

// Ready returns nil if the agent currently starts tasks. Otherwise the error's
// text is "not started" or the wire.Reason with which tasks are refused.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.runCalled.Load() {
		return errors.New("not started")
	}
	if len(a.leaving) > 0 {
		return errors.New(string(wire.ReasonAgentLeaving))
	}
	if ok, reason := a.mayStart(a.clock.Now()); !ok {
		return errors.New(string(reason))
	}
	return nil
}

// Traffic returns the numbers of messages and bytes exchanged with other
// processes since the start, by RPC method.
func (a *Agent) Traffic() map[string]rpcconn.Count { return a.counters.ByMethod() }

// ControlBytes returns how many bytes of control traffic (all RPCs except those
// that run or cancel a task) were sent and received since the start.
func (a *Agent) ControlBytes() uint64 {
	c := a.counters.Total(rpcconn.KindControl)
	return c.BytesSent + c.BytesReceived
}

// maintain performs the periodic work, twice per heartbeat interval: it expires
// the sessions of silent entries, returns queued tasks while the gate is closed,
// and updates the gauges.
func (a *Agent) maintain(ctx context.Context) {
	t := wait.NewTicker(a.timing.Heartbeat.AsDuration() / 2)
	defer t.Stop()
	var suspended time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := a.clock.Now()
		a.mu.Lock()
		a.expireSessions(now)
		a.checkGate(now)
		a.dispatch(now)
		a.updateGauges(now)
		suspended = a.reportSuspension(suspended)
		if a.leased != nil {
			a.leased.checkUnclaimedEnds(time.Now())
		}
		a.mu.Unlock()
	}
}

// reportSuspension logs a suspension of the machine since the last call, which
// returned before. It returns the total time of all suspensions.
func (a *Agent) reportSuspension(before time.Duration) time.Duration {
	total := a.clock.Suspended()
	if total > before {
		a.log.Warn().Dur("suspended_ms", total-before).Msg("machine_suspended")
	}
	a.metrics.suspended.Update(total.Seconds())
	return total
}

// updateGauges sets the gauges of task counts, configuration generation and
// confirmation age (-1 if there was no confirmation yet); the caller holds mu.
func (a *Agent) updateGauges(now time.Time) {
	a.metrics.running.Update(float64(a.runningTasks))
	a.metrics.queued.Update(float64(len(a.queue)))
	a.metrics.generation.Update(float64(a.config.Generation))
	age := a.gate.Age(now)
	if age == gate.NoAge {
		a.metrics.confirmationAge.Update(-1)
		return
	}
	a.metrics.confirmationAge.Update(age.Seconds())
}
