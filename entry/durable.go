package entry

import (
	"context"
	"sync"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

const (
	// endWriteDelay bounds the time from the end of a run to the write that
	// records it. Ends within it share one write.
	endWriteDelay = 200 * time.Millisecond
	// startWriteDelay bounds the time from the first start of a job to the write
	// that records it, usually a write that is due anyway.
	startWriteDelay = time.Second
)

// recordKeeper stores the records of durable jobs; see durable.Keeper.
type recordKeeper interface {
	Run(ctx context.Context)
	Valid(now time.Time) bool
	Create(r durable.Record, done func(found durable.LookupResult, err error))
	Update(r durable.Record, within time.Duration, done func())
	Finish(e durable.EndRecord, done func())
	GiveUp(identifier string)
	Lookup(ctx context.Context, identifier string) (durable.LookupResult, error)
	Presences(ctx context.Context, identifiers []string) (map[string]durable.Presence, error)
	PeerLost(entry string)
	HandOver(ctx context.Context) error
	Status() durable.Status
	// Workload returns what must agree in submissions under one identifier.
	Workload(r *durable.Record) string
}

// storeKeeper is the recordKeeper over a store.
type storeKeeper struct{ *durable.Manager }

// Workload returns the hash that end records keep.
func (storeKeeper) Workload(r *durable.Record) string { return r.WorkloadHash() }

// durableJobs are the dispatcher's durable jobs.
type durableJobs struct {
	keeper   recordKeeper
	inbox    *inbox
	open     map[string]*job // owned by this entry, by identifier
	creating map[string]*creation
	dirty    map[*job]time.Duration // jobs to be written, and within which time
	// handOverDone is closed when every job was given up for a planned stop; nil
	// before the stop.
	handOverDone   chan struct{}
	newJobID       func() string // for the jobs that are taken over
	gaugeUpdatedAt time.Time     // when the metrics were updated
	hadJobs        bool          // the entry has had a durable job
}

func newDurableJobs(k recordKeeper, in *inbox, nextID func() string) durableJobs {
	return durableJobs{
		keeper: k, inbox: in, newJobID: nextID, open: map[string]*job{}, creating: map[string]*creation{}, dirty: map[*job]time.Duration{},
	}
}

// durableJob is what a durable job has beside other leased jobs.
type durableJob struct {
	record  durable.Record
	version uint64 // rises with each change that has to be written
	stored  uint64 // newest version that is stored
	// firstUnstored is when the first end was learnt that is not stored; zero if
	// there is none.
	firstUnstored time.Time
	unackedEnds   []unackedEnd
	// runAgents lists, for each task, the agents of its runs of which neither an end
	// nor an interruption is known, in the order of their starts.
	runAgents   map[int][]string
	sentHere    map[int]bool           // tasks that this entry sent
	endVersions map[wire.RunTag]uint64 // that have ends learnt by this entry
	recovery    *recovery              // nil unless the job is recovering
	endState    durable.State          // its end record is being written; empty before
	closed      bool                   // the end is stored, or the job was given up
	givenUp     bool                   // given up
}

// unackedEnd is the result of a run that is acknowledged to its agent once
// the version is stored.
type unackedEnd struct {
	version uint64
	agent   *agent
	process wire.Incarnation
	key     wire.TaskKey
}

// durableOf returns what the job has as a durable one; nil for other jobs.
func durableOf(j *job) *durableJob {
	if j == nil || j.leased == nil {
		return nil
	}
	return j.leased.durable
}

// remaining returns the time to the job's deadline, 0 for a job without one.
func (j *job) remaining(now time.Time) time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return j.deadline.Sub(now)
}

// inQueue reports whether the waiting tasks of an open job are in the queue.
func (j *job) inQueue() bool {
	u := durableOf(j)
	return j.leased == nil || j.leased.predecessor == nil && (u == nil || u.recovery == nil)
}

// mayStartDurable reports whether tasks of durable jobs may be started now.
func (d *dispatcher) mayStartDurable() bool {
	return d.durable.handOverDone == nil && d.durable.keeper.Valid(d.now)
}

// mayStartJob reports whether tasks of the job may be started now.
func (d *dispatcher) mayStartJob(j *job) bool {
	return j.failure == nil && (durableOf(j) == nil || d.mayStartDurable())
}

// memoryAuthoritative reports whether memory tells the state of durable jobs. It
// does not after a pause, before another owner could have been noticed.
func (d *dispatcher) memoryAuthoritative() bool {
	return d.mayStartNow() && d.durable.keeper.Valid(d.now)
}

// inbox passes calls of the Keeper on to the dispatcher in their order without
// blocking. The Keeper may hold a lock that the dispatcher waits for, so it
// must not wait for a full queue of events.
type inbox struct {
	post   func(event) bool
	mu     sync.Mutex
	events []event
	wake   chan struct{}
}

func newInbox(post func(event) bool) *inbox { return &inbox{post: post, wake: make(chan struct{}, 1)} }

func (i *inbox) put(ev event) {
	i.mu.Lock()
	i.events = append(i.events, ev)
	i.mu.Unlock()
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// run posts the events until ctx ends.
func (i *inbox) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.wake:
		}
		i.mu.Lock()
		events := i.events
		i.events = nil
		i.mu.Unlock()
		for _, ev := range events {
			if !i.post(ev) {
				return
			}
		}
	}
}

// durableHandler passes what the Keeper reports on to the dispatcher.
type durableHandler struct {
	inbox       *inbox
	pending     *pendingByPeer
	peerTimeout time.Duration // after which a peer counts as lost
}

// JobTakenOver hands over a job whose owner is gone.
func (h durableHandler) JobTakenOver(r durable.Record, at time.Time) {
	if !r.Started {
		h.pending.recordTakeover(r.Template, h.peerTimeout)
	}
	h.inbox.put(func(d *dispatcher) { d.takeOver(r, at) })
}

// JobLost gives a job up that has another owner.
func (h durableHandler) JobLost(identifier string) {
	h.inbox.put(func(d *dispatcher) {
		if j := d.durable.open[identifier]; j != nil {
			d.giveUpDurable(j, "another entry has the job")
		}
	})
}

// OwnershipLost gives all jobs up.
func (h durableHandler) OwnershipLost() {
	h.inbox.put(func(d *dispatcher) {
		for _, j := range d.durable.open {
			d.giveUpDurable(j, "the ownership lease ended")
		}
	})
}

// runDurable runs the Keeper until ctx ends.
func (e *Entry) runDurable(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.inbox.run(ctx) })
	e.keeper.Run(ctx)
	wg.Wait()
}
