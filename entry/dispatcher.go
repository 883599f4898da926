package entry

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/admission"
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/ejection"
	"chicorytray.example/chicorytray/estimate"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/quota"
	"chicorytray.example/chicorytray/retry"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

const (
	// eventBuffer is the capacity of the dispatcher's event channel. It lets a
	// burst of replies arrive without a goroutine switch for each of them.
	eventBuffer = 1024
	// eventBatch bounds the events that are handled before tasks are placed.
	eventBatch = 256
	// maxRareLogLines limits the lines a minute of dispatcher.rareLog. A reset of all
	// connections ends those of some hundred callers at once.
	maxRareLogLines = 30
	// tickInterval is the interval of the checks that depend on time, such as
	// those for silent agents and expired reconciliation deadlines.
	tickInterval = 50 * time.Millisecond
)

// event is an input of the dispatcher. It runs on the dispatcher's goroutine and
// must not block.
type event func(d *dispatcher)

// dispatcher owns the queue, the placement table, the sessions with agents and
// the jobs. Other goroutines change their state only by events.
type dispatcher struct {
	self           wire.EntryRef
	timing         settings.Timing
	clock          *clock.Clock
	limits         settings.Limits
	log            zerolog.Logger
	rareLog        zerolog.Logger // for lines that a fault may cause for many jobs at once
	jobLog         jobLog
	leftLog        jobLog // of callers that left
	metrics        metrics
	dial           agentDialer
	callsCtx       context.Context // of the calls to agents; ends with the dispatcher
	cancelCalls    context.CancelFunc
	calls          sync.WaitGroup
	events         chan event
	ended          chan struct{} // closed when the dispatcher handles no more events; any goroutine may read it
	hadUsableAgent atomic.Bool   // an agent has been usable; any goroutine may read it

	now          time.Time // time of the batch of events in progress; see updateClock
	view         *config.View
	confirmation *confirmation
	stopping     bool // new jobs are refused
	// recordAgentGeneration records the generation of an agent that is ahead, and the
	// time since an entry confirmed it there; 0 if that is not known.
	recordAgentGeneration func(generation uint64, confirmedAgo time.Duration)
	// acceptUntil is set after the notice of a planned stop with Timing.StopAccept:
	// a new job is accepted if it can be expected to end by then.
	acceptUntil time.Time

	queue       *queue.Queue
	table       *placement.Table
	admission   *admission.Controller
	shares      *quota.Shares
	poolLoads   poolLoads
	durations   *estimate.Durations
	detector    *ejection.Detector
	retryBudget *retry.Budget
	// restartBudget limits the restarts of stalled and slow runs, because each
	// restart discards work.
	restartBudget *retry.Budget

	agents             map[string]*agent         // by agent identifier
	jobs               map[string]*job           // open and retained jobs, by job identifier
	accounts           map[string]*accountCounts // by account name
	classes            map[string]*class         // of the open jobs, by class name
	reserved           taskTotals                // tasks that were admitted and are not queued yet
	answeredUnkeyed    retainedJobs              // answered jobs without an idempotency key
	answeredKeyed      retainedJobs              // answered jobs that own an idempotency key
	answeredLeased     retainedJobs              // answered jobs of leased tasks
	leasedJobs         map[string]*job           // jobs of leased tasks, by the caller's identifier
	pendingByTemplate  map[string]int            // number of leased jobs of which no task has started, by template
	pools              map[string]*pool          // by pool name
	leasedWaiting      taskTotals                // leased tasks in the queue, of all pools
	held               []heldTask
	confined           confinedTemplates
	crashMemory        map[string]rememberedCrashes // by the caller's identifier of the job
	countedCrashes     map[reportedRun]countedCrash // reported in the last seconds
	cancelled          cancelledJobs
	formerJobs         formerJobs
	probation          []queue.TaskRef // waiting tasks that may start only on probation, oldest first
	durable            durableJobs
	forwards           forwards
	processor          processorMonitor
	openJobs           int           // number of accepted jobs that are not answered
	idle               chan struct{} // closed when openJobs reaches 0; nil if nobody waits for that
	startedAt          time.Time
	lastClockUpdate    time.Time                 // time of the last updateClock
	suspended          time.Duration             // total of the suspensions that were handled
	suspendedAt        time.Time                 // beginning of the last suspension longer than Timing.Lapse
	pausedAt           time.Time                 // beginning of the last pause that updateClock noticed
	startsBlockedUntil time.Time                 // no task is started before; see updateClock
	nextEvaluation     time.Time                 // of the agents by the detector
	pendingStarts      []location                // assigned tasks, until flushStarts
	pendingCancels     map[*agent][]wire.TaskKey // tasks to be cancelled, until flushCancels
	restarts           map[*sentTask]restart     // runs that are being stopped for a restart
	backlog            backlogState
	overload           overload
	uneven             unevenWorkers
	knownEntries       func() []wire.EntryRef // returns the entries to be listed to agents
	informPeers        func()                 // makes a heartbeat to each peer due at once; must not block
}

func newDispatcher(e *Entry) *dispatcher {
	d := &dispatcher{
		self: e.self, timing: e.settings.Timing, clock: e.clock, limits: e.settings.Limits, log: e.log, metrics: e.metrics, dial: e.dial,
		events: make(chan event, eventBuffer), ended: make(chan struct{}),
		confirmation: e.confirmation, recordAgentGeneration: e.config.recordAgentGeneration, knownEntries: e.peers.activeEntries, informPeers: e.peers.sendHeartbeats,
		queue: queue.New(queue.Options{Policy: queuePolicy(e.settings.Order)}), table: placement.NewTable(placementPolicy(e.settings.Placement)),
		admission: admission.New(admission.Options{MaxQueuedTasks: math.MaxInt}),
		shares:    quota.New(quota.Options{Self: e.self.ID, Interval: e.settings.Timing.PeerHeartbeat.AsDuration()}),
		poolLoads: newPoolLoads(e.settings, e.self, e.metrics.scope),
		durations: estimate.New(estimate.Options{}), detector: ejection.New(ejection.Options{}),
		retryBudget: retry.New(retry.Options{}), restartBudget: retry.New(retry.Options{PerSecond: -1}),
		restarts: map[*sentTask]restart{},
		agents:   map[string]*agent{}, jobs: map[string]*job{}, accounts: map[string]*accountCounts{},
		leasedJobs: map[string]*job{}, pendingByTemplate: map[string]int{}, pools: map[string]*pool{},
		classes: map[string]*class{}, pendingCancels: map[*agent][]wire.TaskKey{}, overload: newOverload(e.settings),
		uneven: newUnevenWorkers(e.settings.UnevenWorkers, e.metrics.scope),
	}
	d.jobLog = jobLog{log: d.log, dropped: d.metrics.jobLogDropped}
	d.leftLog = d.jobLog
	d.rareLog = d.log.Sample(&zerolog.BurstSampler{Burst: maxRareLogLines, Period: time.Minute})
	d.durable = newDurableJobs(e.recordManager, e.inbox, &e.peerPending, e.newJobID)
	d.processor = processorMonitor{delay: e.metrics.scope.Gauge("mean_event_delay_ms"), short: e.metrics.scope.Gauge("short_of_processor")}
	d.callsCtx, d.cancelCalls = context.WithCancel(context.Background())
	d.forwards = forwards{
		settings: e.settings.Forwarding, peers: e.peers.forwardPeers,
		conns:    &sharedConns{ctx: d.callsCtx, dial: e.dial, timeout: e.settings.Timing.CallTimeout.AsDuration(), open: map[string]*sharedConn{}},
		byNumber: map[uint64]*outgoingForward{}, byJob: map[string]*outgoingForward{}, refusedAt: map[string]time.Time{},
	}
	if d.poolLoads.enabled {
		d.overload.poolWait = func(_ time.Time, pool string, _ float64) time.Duration { return d.expectedPoolWait(pool) }
		d.overload.poolShare = func(_ time.Time, pool string) float64 { return d.poolShare(pool) }
		d.forwards.room = d.poolLoads.loads.Room
	}
	d.table.SetSeed(uint64(e.self.Incarnation))
	return d
}

// placementPolicy returns the placement policy with the name used in the settings.
func placementPolicy(name string) placement.Policy {
	if name == settings.PlacementRandom {
		return placement.Random{}
	}
	return placement.IdleFirst{}
}

// queuePolicy returns the queue's policy with the name used in the settings;
// queue.Urgency for an unknown name.
func queuePolicy(name string) queue.Policy {
	for _, p := range queue.Policies() {
		if p.Name() == name {
			return p
		}
	}
	return queue.Urgency{}
}

// spawn runs f, which makes calls to an agent, on a goroutine of its own.
func (d *dispatcher) spawn(f func(ctx context.Context)) {
	d.calls.Go(func() { f(d.callsCtx) })
}

// post passes an event to the dispatcher without waiting for it to be handled. It
// returns false if the dispatcher has ended.
func (d *dispatcher) post(ev event) bool {
	select {
	case d.events <- ev:
		return true
	case <-d.ended:
		return false
	}
}

// postAndWait runs f on the dispatcher and returns when f has returned. It returns
// false if the dispatcher ended first; f was not run then.
func (d *dispatcher) postAndWait(f event) bool {
	done := make(chan struct{})
	if !d.post(func(d *dispatcher) { f(d); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-d.ended:
	}
	select {
	case <-done: // f ran before the dispatcher ended
		return true
	default:
		return false
	}
}

// run handles events until stop is closed.
func (d *dispatcher) run(stop <-chan struct{}) {
	defer d.calls.Wait()
	defer d.cancelCalls()
	defer close(d.ended)
	d.startedAt = d.clock.Now()
	d.confined.Confinement = containment.NewConfinement(d.startedAt)
	d.lastClockUpdate = d.startedAt
	tick := wait.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C: // before further events, whose batch may take longer than a tick
			d.updateClock()
			d.tick()
		default:
			select {
			case <-stop:
				d.closeAll()
				return
			case ev := <-d.events:
				d.updateClock()
				ev(d)
				d.handleBufferedEvents()
			case <-tick.C:
				d.updateClock()
				d.tick()
			}
		}
		d.placeWaitingTasks()
		d.flushStarts()
		d.flushRecords()
		d.flushCancels()
		d.announceBacklog()
	}
}

// handleBufferedEvents handles at most eventBatch events that have arrived
// already.
func (d *dispatcher) handleBufferedEvents() {
	for range eventBatch {
		select {
		case ev := <-d.events:
			ev(d)
		default:
			return
		}
	}
}

// confirmationAge returns the age of the configuration's confirmation; negative
// if there is none.
func (d *dispatcher) confirmationAge() time.Duration {
	age, _ := d.confirmation.age(d.now)
	return age
}

// tick runs the checks that depend only on time.
func (d *dispatcher) tick() {
	for _, a := range d.agents {
		d.checkAgent(a)
	}
	d.releaseDueTasks()
	d.tickDurable()
	d.tickForwards()
	d.evaluateAgents()
	d.forgetCrashes()
	d.observeDemand()
	d.updateConfinement()
	d.reportAgentsHeard()
	d.evictAnswers()
	d.checkSuspension()
	d.updateGauges()
	d.updatePoolLoads()
	d.logRefusals()
	d.measureEventDelay()
}

// measureEventDelay posts an event that records how long it waited. A delay of more
// than a heartbeat interval is logged: the ends of callers' connections wait as long,
// and the argument against concurrent runs allows them less than that (docs/design.md,
// section 13.3).
func (d *dispatcher) measureEventDelay() {
	posted := d.clock.Now()
	due := d.processor.nextDue(posted, d.clock.Suspended())
	select {
	case d.events <- func(d *dispatcher) {
		delay := d.clock.Since(posted)
		d.metrics.eventDelay.Record(delay)
		d.recordEventDelay(due)
		if delay > d.timing.Heartbeat.AsDuration() {
			d.rareLog.Warn().Dur("delay_ms", delay).Int("events", len(d.events)).Msg("events wait for the dispatcher")
		}
	}:
	default:
		d.rareLog.Warn().Int("events", len(d.events)).Msg("queue of events is full")
	}
}

// failOpenJobs answers all open jobs because the entry stops. Other entries take the
// durable ones over.
func (d *dispatcher) failOpenJobs(detail string) {
	for _, f := range d.forwards.byJob {
		d.giveUpForward(f, reasonStopping, detail)
	}
	for _, j := range d.jobs {
		switch {
		case durableOf(j) != nil:
			d.giveUpDurable(j, "the entry stopped")
		case j.failure != nil:
			d.finishJob(j)
		case !j.answered:
			d.failJob(j, jobFailure{reason: reasonStopping, detail: detail})
		}
	}
}

// closeAll ends all jobs and connections before the process exits.
func (d *dispatcher) closeAll() {
	d.now = d.clock.Now()
	d.failOpenJobs("the entry stopped before the job was done")
	for _, c := range d.durable.creating {
		c.err = creationError(durable.ErrOutcomeUnknown)
		close(c.done)
	}
	for _, a := range d.agents {
		a.closeConn()
	}
	d.forwards.conns.closeAll()
}
