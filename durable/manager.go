package durable

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/store"
)

// Errors of a Keeper.
var (
	// ErrNotStored means that the write certainly did not and will not take effect.
	ErrNotStored = errors.New("durable: not stored")
	// ErrOutcomeUnknown means that it is not known whether the write took effect.
	ErrOutcomeUnknown = errors.New("durable: it is unknown whether the write took effect")
	// ErrIdentifierInUse means that the identifier is in use for other work.
	ErrIdentifierInUse = errors.New("durable: the identifier is in use for other work")
	// ErrInvalidEpoch means that the entry may not own durable jobs now.
	ErrInvalidEpoch = errors.New("durable: the ownership lease is not valid")
	// ErrUnreadable means that a record cannot be decoded. It is never overwritten.
	ErrUnreadable = errors.New("durable: stored record is unreadable")
)

// Defaults of Options.
const (
	defaultCommitInterval = 25 * time.Millisecond
	defaultCallTimeout    = 300 * time.Millisecond
)

// Options of a Keeper.
type Options struct {
	Store       store.Store
	Entry       string        // identifier of this entry
	Incarnation string        // of its process
	CallTimeout time.Duration // of one call of the store; 0 means 300 ms
	// CommitInterval between the beginnings of transactions; 0 means 25 ms.
	CommitInterval time.Duration
	// Entries returns the identifiers of the entries that are registered in
	// the store, this one included, and whether each is reachable.
	Entries func() map[string]bool
	Handler Handler
	Log     zerolog.Logger
	Metrics tally.Scope
	// Jitter returns a random duration below its argument; nil uses a random
	// source.
	Jitter func(time.Duration) time.Duration
}

// Handler learns what happens to jobs without a call for them. Its methods are
// called on the Keeper's goroutines, one at a time, and must not block.
type Handler interface {
	// JobTakenOver hands over a job of an owner that is gone. Its old runs have
	// ended reconcile after at.
	JobTakenOver(r Record, at time.Time)
	// JobLost says that another owner has the job, or that its end was written
	// elsewhere: the entry gives it up without a further write.
	JobLost(identifier string)
	// OwnershipLost says that the epoch is not valid any more: the entry gives
	// up all durable jobs.
	OwnershipLost()
}

// Manager writes the records of one entry. It is safe for concurrent use.
// Callbacks are called on its goroutines, one at a time, and must not block.
type Manager struct {
	options Options

	mu        sync.Mutex
	batch     *Batch
	ownership *Ownership
	callbacks []func() // callbacks that are due
	// epochWanted is set once the entry needs an epoch.
	epochWanted bool
	// stopped is set by HandOver; no further epoch begins.
	stopped bool
	// endLease of end records, granted at endLeaseAt; 0 while there is none.
	endLease       store.LeaseID
	endLeaseAt     time.Time
	watchedEntries map[string]time.Time // entries whose former epochs are watched, and since when
	sharedRead     presenceReads

	wakeWriter, wakeLease, wakeScan, wakeCallbacks chan struct{}

	commits, conflicts, takeovers tally.Counter
}

// NewManager returns a Keeper; Run starts it.
func NewManager(o Options) *Manager {
	if o.CommitInterval == 0 {
		o.CommitInterval = defaultCommitInterval
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.Jitter == nil {
		o.Jitter = rand.N[time.Duration]
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	signal := func() chan struct{} { return make(chan struct{}, 1) }
	m := &Manager{
		options: o, ownership: NewOwnership(o.CallTimeout), watchedEntries: map[string]time.Time{},
		wakeWriter: signal(), wakeLease: signal(), wakeScan: signal(), wakeCallbacks: signal(),
		commits: o.Metrics.Counter("durable_commits"), conflicts: o.Metrics.Counter("durable_conflicts"),
		takeovers: o.Metrics.Counter("durable_takeovers"),
	}
	m.batch = NewBatch(Events{
		TakenOver: m.jobTakenOver, Lost: m.jobLost, Unwritable: m.recordUnwritable, EpochMissing: m.invalidate, QueueCallback: m.queueCallback,
	})
	return m
}

// Run registers epochs, writes and takes over until ctx ends. It then revokes
// the lease if every job was given up or ended, and answers what is pending.
func (m *Manager) Run(ctx context.Context) {
	var loops, calls sync.WaitGroup
	over := make(chan struct{})
	calls.Go(func() { m.runCallbacks(over) })
	loops.Go(func() { m.leaseLoop(ctx) })
	loops.Go(func() { m.writeLoop(ctx) })
	loops.Go(func() { m.scanLoop(ctx) })
	loops.Wait()
	// An error leaves the lease to its time to live.
	_ = m.HandOver(context.WithoutCancel(ctx))
	m.withLock(func() {
		m.stopped = true
		m.ownership.End()
		m.batch.Reset()
	})
	close(over)
	calls.Wait()
}

// Valid reports whether the entry may start tasks of durable jobs at that time.
func (m *Manager) Valid(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownership.Valid(now)
}

// LookupResult is what the store has under an identifier: an open record, an end, or
// neither.
type LookupResult struct {
	Open *Record
	End  *EndRecord
}

// Create writes the record of a new job, under the present epoch, which it
// begins if there is none. done is called once with nil if the record was
// stored; with ErrNotStored, ErrOtherWork, ErrInvalidEpoch or ErrUnreadable; or
// with nil and what was found if the identifier is in use for the same work.
// While the outcome is unknown it is not called; the Keeper goes on, until the
// validity ends (ErrUnknown).
func (m *Manager) Create(r Record, done func(found LookupResult, err error)) {
	m.withLock(func() {
		if m.stopped {
			m.queueCallback(func() { done(LookupResult{}, ErrInvalidEpoch) })
			return
		}
		m.batch.Create(time.Now(), cloneRecord(r), done)
		m.requestEpoch()
	})
}

// Update writes the record of a job that the entry owns, at the latest within
// the given time. A later Update of the job replaces one that is not written
// yet. done is called when this state or a later one is stored, and is not
// called if the job is lost or given up. Owner and Serial are set by the
// Keeper.
func (m *Manager) Update(r Record, within time.Duration, done func()) {
	m.withLock(func() { m.batch.Update(cloneRecord(r), time.Now().Add(within), done) })
}

// Finish replaces the record of a job that the entry owns by its end. done is
// called when the end is stored, and is not called if the job is lost.
func (m *Manager) Finish(e EndRecord, done func()) {
	m.withLock(func() { m.batch.Finish(time.Now(), e, done) })
}

// GiveUp forgets a job without a write. While the own epoch lasts, a later scan
// may hand it over to this entry again (Handler.TakenOver).
func (m *Manager) GiveUp(identifier string) {
	m.withLock(func() { m.batch.GiveUp(identifier) })
}

// Presence is what the store says of the job of an unclaimed end.
type Presence int

// Presences of a job.
const (
	JobAbsent         Presence = iota // no durable job
	JobOpen                           // another entry owns it, or will
	JobEnded                          // ended, and no task was started again
	JobEndedRestarted                 // ended, and a task may have been started again
	JobUnreadable                     // its record cannot be decoded
)

// PeerLost makes the Keeper look for orphans soon, and each second until there
// are none and the lost entry has no epoch any more.
func (m *Manager) PeerLost(entry string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchedEntries[entry] = time.Now()
	wake(m.wakeScan)
}

// ErrJobsRemain means that a lease was not revoked because the entry has jobs.
var ErrJobsRemain = errors.New("durable: the entry has durable jobs")

// HandOver revokes the ownership lease after the entry has given up or ended
// all its jobs, so that others take them over at once. No epoch begins
// afterwards. It fails with ErrJobsLeft, or with the store's error; the lease
// then ends with its time to live.
func (m *Manager) HandOver(ctx context.Context) error {
	m.mu.Lock()
	if jobs, _ := m.batch.Len(); jobs > 0 {
		m.mu.Unlock()
		return fmt.Errorf("%w: %d", ErrJobsRemain, jobs)
	}
	lease := m.ownership.lease
	m.stopped = true
	m.ownership.End()
	m.mu.Unlock()
	if lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	if err := m.options.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		return fmt.Errorf("durable: revoke the ownership lease: %w", err)
	}
	return nil
}

// Status is for the state dump.
type Status struct {
	Epoch      Epoch
	ValidUntil time.Time // zero while there is none
	Jobs       int
	Pending    int // jobs with changes that are not written yet
}

// Status returns what the Keeper is doing.
func (m *Manager) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	jobs, pending := m.batch.Len()
	return Status{Epoch: m.ownership.epoch, ValidUntil: m.ownership.validUntil, Jobs: jobs, Pending: pending}
}

// withLock runs f under the lock, after the validity has been checked, and wakes
// the writer.
func (m *Manager) withLock(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkValidity(time.Now())
	f()
	wake(m.wakeWriter)
}

// checkValidity gives all jobs up when the validity has ended.
func (m *Manager) checkValidity(now time.Time) {
	if m.ownership.epoch != "" && !m.ownership.Valid(now) {
		m.invalidate()
	}
}

// invalidate ends the present epoch.
func (m *Manager) invalidate() {
	if m.ownership.epoch == "" {
		return
	}
	m.options.Log.Warn().Str("epoch", string(m.ownership.epoch)).Msg("durable ownership ended")
	m.ownership.End()
	m.batch.Reset()
	// Its jobs are orphans only once the store has removed its key.
	m.watchedEntries[m.options.Entry] = time.Now()
	m.queueCallback(m.options.Handler.OwnershipLost)
	wake(m.wakeLease)
}

// requestEpoch lets the Keeper begin an epoch if it has none.
func (m *Manager) requestEpoch() {
	m.epochWanted = true
	if m.ownership.epoch == "" {
		wake(m.wakeLease)
	}
}

func (m *Manager) jobTakenOver(r Record) {
	m.takeovers.Inc(1)
	at := time.Now()
	m.queueCallback(func() { m.options.Handler.JobTakenOver(r, at) })
}

func (m *Manager) jobLost(identifier string, cause error) {
	m.options.Log.Warn().Str("job", identifier).AnErr("cause", cause).Msg("durable job lost")
	m.queueCallback(func() { m.options.Handler.JobLost(identifier) })
}

func (m *Manager) recordUnwritable(identifier string, cause error) {
	m.options.Log.Error().Str("job", identifier).Err(cause).Msg("durable record cannot be written")
}

// queueCallback queues a callback; the caller holds the lock.
func (m *Manager) queueCallback(f func()) {
	m.callbacks = append(m.callbacks, f)
	wake(m.wakeCallbacks)
}

// runCallbacks calls the callbacks in order until over is closed and none is left.
func (m *Manager) runCallbacks(over <-chan struct{}) {
	for {
		m.mu.Lock()
		calls := m.callbacks
		m.callbacks = nil
		m.mu.Unlock()
		for _, f := range calls {
			f()
		}
		if len(calls) > 0 {
			continue
		}
		select {
		case <-m.wakeCallbacks:
		case <-over:
			m.mu.Lock()
			left := len(m.callbacks)
			m.mu.Unlock()
			if left == 0 {
				return
			}
		}
	}
}

// cloneRecord returns a record that shares no lists with its caller's.
func cloneRecord(r Record) Record {
	r.Done, r.Failed = slices.Clone(r.Done), slices.Clone(r.Failed)
	return r
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
