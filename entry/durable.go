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
	// records it, so that runs that end within it share one write.
	endWriteDelay = 200 * time.Millisecond
	// startWriteDelay bounds the time from the first start of a job to the write
	// that records it. It is long enough that the start is usually recorded by a
	// write that is necessary anyway.
	startWriteDelay = time.Second
)

// recordKeeper stores the records of durable jobs; see durable.Manager for its
// methods. Tests replace it by a fake.
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

// storeKeeper is the recordKeeper that writes to the store.
type storeKeeper struct{ *durable.Manager }

// Workload returns the hash of the workload as it is kept in end records.
func (storeKeeper) Workload(r *durable.Record) string { return r.WorkloadHash() }

// durableJobs is the dispatcher's state of the durable jobs.
type durableJobs struct {
	keeper   recordKeeper
	inbox    *inbox
	open     map[string]*job        // jobs that this entry owns, by identifier
	creating map[string]*creation   // by identifier
	dirty    map[*job]time.Duration // jobs whose record changed, with the time within which it must be written
	// handOverDone is closed when all jobs have been handed over for a planned
	// stop; nil before the stop.
	handOverDone   chan struct{}
	newJobID       func() string // for jobs that are taken over
	gaugeUpdatedAt time.Time     // when the gauge durable_jobs was last updated
	hadJobs        bool          // the entry has had a durable job
}

func newDurableJobs(k recordKeeper, in *inbox, nextID func() string) durableJobs {
	return durableJobs{
		keeper: k, inbox: in, newJobID: nextID, open: map[string]*job{}, creating: map[string]*creation{}, dirty: map[*job]time.Duration{},
	}
}

// durableJob is the additional state of a durable job. A job is given up when
// this entry must not continue it, because another entry has it or will take it
// over.
type durableJob struct {
	record  durable.Record
	version uint64 // of the record; incremented by each change that has to be written
	stored  uint64 // newest version that is stored
	// firstUnstored is when this entry learnt of the oldest end of a run that is
	// not stored yet; zero if there is none.
	firstUnstored time.Time
	unackedEnds   []unackedEnd
	// runAgents lists, for each task, the agents of the runs that may still go
	// on, in the order of their starts. A run is removed when its result or its
	// interruption is known.
	runAgents   map[int][]string
	sentHere    map[int]bool           // tasks that this entry has sent to an agent
	endVersions map[wire.RunTag]uint64 // version that added the end of each run
	recovery    *recovery              // nil unless the job is recovering
	endState    durable.State          // state of the end record, once its write has begun; empty before
	closed      bool                   // the end record is stored, or the job was given up
	givenUp     bool
}

// unackedEnd is the result of a run that is acknowledged to its agent once the
// version of the record that contains it is stored.
type unackedEnd struct {
	version uint64
	agent   *agent
	process wire.Incarnation // process of the agent that gave the result
	key     wire.TaskKey
}

// durableOf returns the state of a durable job; nil for other jobs and for a nil
// job.
func durableOf(j *job) *durableJob {
	if j == nil || j.leased == nil {
		return nil
	}
	return j.leased.durable
}

// remaining returns the time until the job's deadline; 0 if it has none.
func (j *job) remaining(now time.Time) time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return j.deadline.Sub(now)
}

// inQueue reports whether the waiting tasks of an open job are in the queue. They
// are not while the job waits for runs of an earlier job or is recovering.
func (j *job) inQueue() bool {
	u := durableOf(j)
	return j.leased == nil || j.leased.predecessor == nil && (u == nil || u.recovery == nil)
}

// mayStartDurable reports whether tasks of durable jobs may be started now: the
// ownership lease is valid and no hand-over has begun.
func (d *dispatcher) mayStartDurable() bool {
	return d.durable.handOverDone == nil && d.durable.keeper.Valid(d.now)
}

// mayStartJob reports whether tasks of the job may be started now.
func (d *dispatcher) mayStartJob(j *job) bool {
	return j.failure == nil && (durableOf(j) == nil || d.mayStartDurable())
}

// memoryAuthoritative reports whether the state of durable jobs can be answered
// from memory. It cannot right after a pause of the process, when another entry
// may have taken over jobs without this entry having noticed.
func (d *dispatcher) memoryAuthoritative() bool {
	return d.mayStartNow() && d.durable.keeper.Valid(d.now)
}

// inbox passes events of the recordKeeper to the dispatcher in order and without
// blocking. The recordKeeper may hold a lock for which the dispatcher waits, so it
// must not block on the dispatcher's event channel.
type inbox struct {
	post   func(event) bool
	mu     sync.Mutex
	events []event
	wake   chan struct{} // wakes run
}

func newInbox(post func(event) bool) *inbox { return &inbox{post: post, wake: make(chan struct{}, 1)} }

// put appends an event. It never blocks.
func (i *inbox) put(ev event) {
	i.mu.Lock()
	i.events = append(i.events, ev)
	i.mu.Unlock()
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// run posts the events to the dispatcher until ctx or the dispatcher ends.
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

// durableHandler is the durable.Handler that passes calls to the dispatcher.
type durableHandler struct {
	inbox       *inbox
	pending     *pendingByPeer
	peerTimeout time.Duration // silence after which a peer counts as lost
}

// JobTakenOver makes this entry continue a job whose owner is gone.
func (h durableHandler) JobTakenOver(r durable.Record, at time.Time) {
	if !r.Started {
		h.pending.recordTakeover(r.Template, h.peerTimeout)
	}
	h.inbox.put(func(d *dispatcher) { d.takeOver(r, at) })
}

// JobLost gives up a job that another entry owns or has ended.
func (h durableHandler) JobLost(identifier string) {
	h.inbox.put(func(d *dispatcher) {
		if j := d.durable.open[identifier]; j != nil {
			d.giveUpDurable(j, "another entry has the job")
		}
	})
}

// OwnershipLost gives up all durable jobs.
func (h durableHandler) OwnershipLost() {
	h.inbox.put(func(d *dispatcher) {
		for _, j := range d.durable.open {
			d.giveUpDurable(j, "the ownership lease ended")
		}
	})
}

// runDurable runs the recordKeeper and passes its events on until ctx ends.
func (e *Entry) runDurable(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.inbox.run(ctx) })
	e.keeper.Run(ctx)
	wg.Wait()
}
