package entry

import (
	"context"
	"sync"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

const (
	// endWriteDelay bounds the time from the end of a run to the write of the
	// record that contains it. All ends within this time share one write.
	endWriteDelay = 200 * time.Millisecond
	// startWriteDelay bounds the time from the first start of a task of a job to
	// the write that records it. The start usually shares the write of an end.
	startWriteDelay = time.Second
)

// recordManager stores the records of durable jobs; see durable.Manager.
type recordManager interface {
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
	// Workload identifies the work of a record. Two submissions under one
	// identifier are repetitions of each other only if their workloads are equal.
	Workload(r *durable.Record) string
}

// storeManager is the recordManager that writes to the store.
type storeManager struct{ *durable.Manager }

// Workload returns the workload hash that is part of each end record.
func (storeManager) Workload(r *durable.Record) string { return r.WorkloadHash() }

// durableJobs is the dispatcher's state of durable jobs.
type durableJobs struct {
	manager  recordManager
	inbox    *inbox
	pending  *pendingByPeer
	open     map[string]*job      // open jobs owned by this entry, by identifier
	creating map[string]*creation // submissions whose record is being written, by identifier
	// uncertain has the submissions whose record may still be written although this
	// entry does not wait for it any more.
	uncertain uncertainCreations
	dirty     map[*job]time.Duration // jobs with unwritten changes, and the longest permitted delay of the write
	// handOverDone is closed when a planned stop has given up every job. It is
	// nil until the stop begins.
	handOverDone   chan struct{}
	newJobID       func() string // makes identifiers for jobs that are taken over
	gaugeUpdatedAt time.Time     // last update of the gauge durable_jobs
	hadJobs        bool          // whether this process ever had a durable job
}

func newDurableJobs(m recordManager, in *inbox, pending *pendingByPeer, nextID func() string) durableJobs {
	return durableJobs{
		manager: m, inbox: in, pending: pending, newJobID: nextID, open: map[string]*job{}, creating: map[string]*creation{}, dirty: map[*job]time.Duration{},
	}
}

// durableJob is the state that a durable job has in addition to leasedJob.
type durableJob struct {
	record  durable.Record
	version uint64 // incremented by each change of the record
	stored  uint64 // newest version in the store
	// firstUnstored is when the oldest end that is not yet stored was received;
	// zero if all are stored.
	firstUnstored time.Time
	unackedEnds   []unackedEnd
	// runAgents lists, for each task, the agents of its runs that are not known
	// to have ended, in the order of their starts.
	runAgents map[int][]string
	sentHere  map[int]bool // tasks that this entry sent
	// leftQueue lists the tasks at agents that have left the queue there. It is
	// empty once record.Started is set.
	leftQueue   map[int]bool
	endVersions map[wire.RunTag]uint64 // record version that contains each end received by this entry
	// crashVersion is the newest record version that contains a crash. A task on
	// probation starts only once it is stored: the next owner would otherwise start
	// the task as often again.
	crashVersion uint64
	recovery     *recovery     // nil unless the job was taken over and is not yet continued
	endState     durable.State // final state, set when the write of the end record begins
	closed       bool          // the end record is stored, or the job was given up
	// givenUp means that this entry no longer owns the job and must neither
	// continue nor write it. Another entry takes it over.
	givenUp bool
}

// unackedEnd is a received result that is acknowledged to its agent once the
// given version of the record is stored.
type unackedEnd struct {
	version uint64
	agent   *agent
	process wire.Incarnation
	key     wire.TaskKey
}

// durableOf returns the durable state of a job; nil if the job is not durable.
func durableOf(j *job) *durableJob {
	if j == nil || j.leased == nil {
		return nil
	}
	return j.leased.durable
}

// remaining returns the time to the job's deadline; 0 if it has no deadline.
func (j *job) remaining(now time.Time) time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return j.deadline.Sub(now)
}

// inQueue reports whether the waiting tasks of an open job are in the queue. They
// are not while an earlier job under the same identifier may still run, or while
// the job is recovering.
func (j *job) inQueue() bool {
	u := durableOf(j)
	return j.leased == nil || j.leased.predecessor == nil && (u == nil || u.recovery == nil)
}

// mayStartDurable reports whether tasks of durable jobs may be started now.
func (d *dispatcher) mayStartDurable() bool {
	return d.durable.handOverDone == nil && d.durable.manager.Valid(d.now)
}

// mayStartJob reports whether tasks of the job may be started now.
func (d *dispatcher) mayStartJob(j *job) bool {
	return j.failure == nil && (durableOf(j) == nil || d.mayStartDurable())
}

// memoryAuthoritative reports whether the in-memory state of durable jobs can be
// trusted. After a pause of the process it cannot, until the entry would have
// noticed that another entry owns its jobs now.
func (d *dispatcher) memoryAuthoritative() bool {
	return d.mayStartNow() && d.durable.manager.Valid(d.now)
}

// inbox is an unbounded queue that passes callbacks of the recordManager to the
// dispatcher in order and without blocking. The recordManager may hold a lock that
// the dispatcher waits for, so a callback must not wait for space in the
// dispatcher's event channel.
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

// durableHandler passes ownership changes that the recordManager reports to the
// dispatcher.
type durableHandler struct {
	inbox   *inbox
	pending *pendingByPeer
}

// JobTakenOver adds a job that this entry has taken over from a lost owner.
func (h durableHandler) JobTakenOver(r durable.Record, at time.Time) {
	h.inbox.put(func(d *dispatcher) { d.takeOver(r, at) })
}

// Scanned records which jobs are pending by their records.
func (h durableHandler) Scanned(began time.Time, open []durable.StoredRecord) {
	h.pending.recordScan(began, open)
}

// JobLost gives up a job that another entry owns now.
func (h durableHandler) JobLost(identifier string) {
	h.inbox.put(func(d *dispatcher) {
		if j := d.durable.open[identifier]; j != nil {
			d.giveUpDurable(j, "another entry owns the job")
			h.pending.forget(identifier)
		}
	})
}

// OwnershipLost gives up all jobs, because the entry's ownership lease has ended.
func (h durableHandler) OwnershipLost() {
	h.inbox.put(func(d *dispatcher) {
		for _, j := range d.durable.open {
			d.giveUpDurable(j, "the ownership lease ended")
		}
	})
}

// runDurable runs the recordManager until ctx ends.
func (e *Entry) runDurable(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.inbox.run(ctx) })
	e.recordManager.Run(ctx)
	wg.Wait()
}
