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
	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/ejection"
	"chicorytray.example/chicorytray/estimate"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/quota"
	"chicorytray.example/chicorytray/retry"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

const (
	// eventBuffer lets a burst of replies arrive without a switch of
	// goroutines for each.
	eventBuffer = 1024
	// eventBatch bounds the events handled before tasks are placed.
	eventBatch = 256
	// tickInterval of the dispatcher's checks of silence, deadlines of
	// reconciliation and start rates.
	tickInterval = 50 * time.Millisecond
)

// event is an input of the dispatcher. It runs on the dispatcher's goroutine
// and never blocks.
type event func(d *dispatcher)

// dispatcher owns the queue, the placement table, the sessions with agents
// and the jobs. No other goroutine touches its fields.
type dispatcher struct {
	self           wire.EntryRef
	timing         settings.Timing
	limits         settings.Limits
	log            zerolog.Logger
	metrics        metrics
	dial           agentDialer
	callsCtx       context.Context // of calls to agents; ends with the dispatcher
	cancelCalls    context.CancelFunc
	calls          sync.WaitGroup
	events         chan event
	ended          chan struct{} // closed when the dispatcher takes no more events
	hadUsableAgent atomic.Bool   // an agent was usable; any goroutine may read it

	now          time.Time // of the batch of events in progress
	view         *config.View
	confirmation *confirmation
	stopping     bool // new jobs are refused

	queue       *queue.Queue
	table       *placement.Table
	admission   *admission.Controller
	shares      *quota.Shares
	durations   *estimate.Durations
	detector    *ejection.Detector
	retryBudget *retry.Budget
	// restartBudget limits the restarts of stalled and slow runs, because
	// discarded work costs capacity.
	restartBudget *retry.Budget

	agents             map[string]*agent
	jobs               map[string]*job
	accounts           map[string]*accountCounts
	classes            map[string]*class
	reserved           reservations
	answeredUnkeyed    retainedJobs    // answered jobs without a key
	answeredKeyed      retainedJobs    // answered jobs that own a key
	answeredLeased     retainedJobs    // answered jobs of leased tasks
	leasedJobs         map[string]*job // by the caller's identifier
	pendingByTemplate  map[string]int  // leased jobs of which no task started, by template
	pools              map[string]*pool
	leasedWaiting      reservations // leased tasks in the queue, of all pools
	held               []heldTask
	durable            durableJobs
	openJobs           int           // accepted and not answered
	idle               chan struct{} // closed when openJobs is 0; nil while nobody waits
	startedAt          time.Time
	lastWake           time.Time // when the dispatcher last looked at the clock
	startsBlockedUntil time.Time // nothing is started before; see wake
	nextEvaluation     time.Time
	pendingStarts      []location
	pendingCancels     map[*agent][]wire.TaskKey
	restarts           map[*sentTask]restart // until the run has ended
	backlog            backlogState
	knownEntries       func() []wire.EntryRef // entries known, for agents
}

func newDispatcher(e *Entry) *dispatcher {
	d := &dispatcher{
		self: e.self, timing: e.settings.Timing, limits: e.settings.Limits, log: e.log, metrics: e.metrics, dial: e.dial,
		events: make(chan event, eventBuffer), ended: make(chan struct{}),
		confirmation: e.confirmation, knownEntries: e.peers.activeEntries,
		queue: queue.New(queue.Options{Policy: queuePolicy(e.settings.Order)}), table: placement.NewTable(placementPolicy(e.settings.Placement)),
		admission: admission.New(admission.Options{MaxQueuedTasks: math.MaxInt}),
		shares:    quota.New(quota.Options{Self: e.self.ID, Interval: e.settings.Timing.PeerHeartbeat.AsDuration()}),
		durations: estimate.New(estimate.Options{}), detector: ejection.New(ejection.Options{}),
		retryBudget: retry.New(retry.Options{}), restartBudget: retry.New(retry.Options{PerSecond: -1}),
		restarts: map[*sentTask]restart{},
		agents:   map[string]*agent{}, jobs: map[string]*job{}, accounts: map[string]*accountCounts{},
		leasedJobs: map[string]*job{}, pendingByTemplate: map[string]int{}, pools: map[string]*pool{},
		classes: map[string]*class{}, pendingCancels: map[*agent][]wire.TaskKey{},
	}
	d.durable = newDurableJobs(e.keeper, e.inbox, e.newJobID)
	d.callsCtx, d.cancelCalls = context.WithCancel(context.Background())
	d.table.SetSeed(uint64(e.self.Incarnation))
	return d
}

// placementPolicy returns the placement policy of that name in the settings.
func placementPolicy(name string) placement.Policy {
	if name == settings.PlacementRandom {
		return placement.Random{}
	}
	return placement.IdleFirst{}
}

// queuePolicy returns the order of waiting tasks of that name in the settings.
func queuePolicy(name string) queue.Policy {
	for _, p := range queue.Policies() {
		if p.Name() == name {
			return p
		}
	}
	return queue.Urgency{}
}

// spawn makes calls to an agent on a goroutine of their own.
func (d *dispatcher) spawn(f func(ctx context.Context)) {
	d.calls.Go(func() { f(d.callsCtx) })
}

// post hands an event to the dispatcher. It reports false when the dispatcher
// has ended.
func (d *dispatcher) post(ev event) bool {
	select {
	case d.events <- ev:
		return true
	case <-d.ended:
		return false
	}
}

// postAndWait runs f on the dispatcher and waits for it. It reports false when the
// dispatcher ended before; f was not run then.
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
	case <-done: // handled before the end
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
	d.startedAt = time.Now()
	d.lastWake = d.startedAt
	tick := wait.NewTicker(tickInterval)
	defer tick.Stop()
	for {
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
		d.placeWaitingTasks()
		d.flushStarts()
		d.flushRecords()
		d.flushCancels()
		d.announceBacklog()
	}
}

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

// confirmationAge is the age of the configuration's confirmation; negative for none.
func (d *dispatcher) confirmationAge() time.Duration {
	age, _ := d.confirmation.age(d.now)
	return age
}

// tick does what depends on time alone.
func (d *dispatcher) tick() {
	for _, a := range d.agents {
		d.checkAgent(a)
	}
	d.releaseDueTasks()
	d.tickDurable()
	d.evaluateAgents()
	d.reportAgentsHeard()
	d.evictAnswers()
	d.updateGauges()
}

// closeAll ends every job and connection; the process is about to exit.
func (d *dispatcher) closeAll() {
	d.now = time.Now()
	for _, j := range d.jobs {
		if durableOf(j) != nil {
			d.giveUpDurable(j, "the entry stopped")
		} else if !j.answered {
			d.failJob(j, jobFailure{reason: reasonStopping, detail: "the entry stopped before the job was done"})
		}
	}
	for _, c := range d.durable.creating {
		c.err = creationError(durable.ErrOutcomeUnknown)
		close(c.done)
	}
	for _, a := range d.agents {
		a.closeConn()
	}
}
