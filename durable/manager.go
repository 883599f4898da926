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

	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/store"
)

// Errors of a Manager.
var (
	// ErrNotStored means that the write certainly did not and will not take effect.
	ErrNotStored = errors.New("durable: not stored")
	// ErrOutcomeUnknown means that the write may have taken effect or may do so
	// later.
	ErrOutcomeUnknown = errors.New("durable: it is unknown whether the write took effect")
	// ErrIdentifierInUse means that a job with the identifier exists whose
	// Record.WorkloadHash differs.
	ErrIdentifierInUse = errors.New("durable: the identifier is in use for other work")
	// ErrInvalidEpoch means that the entry has no valid epoch and may not own
	// durable jobs now.
	ErrInvalidEpoch = errors.New("durable: the ownership lease is not valid")
	// ErrUnreadable means that a stored record cannot be decoded. Such a record is
	// never overwritten.
	ErrUnreadable = errors.New("durable: stored record is unreadable")
)

// Defaults of Options.
const (
	defaultCommitInterval = 25 * time.Millisecond
	defaultCallTimeout    = 300 * time.Millisecond
)

// Options are the parameters of a Manager.
type Options struct {
	Store       store.Store
	Entry       string        // identifier of this entry
	Incarnation string        // of the entry process
	CallTimeout time.Duration // time limit of one call of the store; 0 means 300 ms
	// CommitInterval is the least time between the beginnings of two
	// transactions; 0 means 25 ms.
	CommitInterval time.Duration
	// Entries returns the identifiers of the entries that are registered in
	// the store, this one included, and whether each is reachable.
	Entries func() map[string]bool
	Handler Handler
	Log     zerolog.Logger
	Metrics tally.Scope
	// Clock measures the validity of the ownership lease; nil means one that counts
	// no suspension of the machine.
	Clock *clock.Clock
	// Jitter returns a random duration below its argument; nil means rand.N.
	Jitter func(time.Duration) time.Duration
}

// Handler is notified of changes of jobs that the entry did not request. Its
// methods are called on the Manager's goroutines, one at a time, and must not
// block.
type Handler interface {
	// JobTakenOver reports that the entry became the owner of an orphan at the
	// given time. Runs that the old owner started have ended once the reconcile
	// time has passed since.
	JobTakenOver(r Record, at time.Time)
	// JobLost reports that another epoch owns the job, that it has ended
	// elsewhere, or that it has no readable record. The entry gives it up without
	// a further write.
	JobLost(identifier string)
	// Scanned reports all open records that can be decoded, as read by a scan that
	// began at the given time.
	Scanned(began time.Time, open []StoredRecord)
	// OwnershipLost reports that the epoch is not valid any more. The entry gives
	// up all durable jobs.
	OwnershipLost()
}

// Manager writes the records of one entry's durable jobs and maintains its
// ownership lease. It is safe for concurrent use. Callbacks are called on its
// goroutines, one at a time, and must not block.
type Manager struct {
	options Options

	mu        sync.Mutex
	batch     *Batch
	ownership *Ownership
	callbacks []func() // due, in order
	// epochWanted is set once the entry needs an epoch.
	epochWanted bool
	// stopped is set by HandOver and at the end of Run; no epoch begins afterwards.
	stopped bool
	// endLease is the lease of new end records, requested at endLeaseAt; 0 while
	// there is none.
	endLease       store.LeaseID
	endLeaseAt     time.Time
	watchedEntries map[string]time.Time // entries whose old epochs scans watch, and since when
	sharedRead     presenceReads

	wakeWriter, wakeLease, wakeScan, wakeCallbacks chan struct{}

	commits, conflicts, takeovers, unreadable tally.Counter
}

// NewManager returns a Manager, which works while Run is called.
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
		takeovers: o.Metrics.Counter("durable_takeovers"), unreadable: o.Metrics.Counter("durable_unreadable"),
	}
	m.batch = NewBatch(Events{
		TakenOver: m.jobTakenOver, Lost: m.jobLost, Unwritable: m.recordUnwritable, EpochMissing: m.invalidate, QueueCallback: m.queueCallback,
	})
	return m
}

// Run begins epochs, writes records and takes over orphans until ctx ends. It
// then revokes the ownership lease if the entry has no jobs any more, and fails
// the creations that are pending.
func (m *Manager) Run(ctx context.Context) {
	var loops, calls sync.WaitGroup
	loopsEnded := make(chan struct{})
	calls.Go(func() { m.runCallbacks(loopsEnded) })
	loops.Go(func() { m.leaseLoop(ctx) })
	loops.Go(func() { m.writeLoop(ctx) })
	loops.Go(func() { m.scanLoop(ctx) })
	loops.Wait()
	// After an error the lease expires by its time to live.
	_ = m.HandOver(context.WithoutCancel(ctx))
	m.withLock(func() {
		m.stopped = true
		m.ownership.End()
		m.batch.Reset()
	})
	close(loopsEnded)
	calls.Wait()
}

// Valid reports whether the entry may start tasks of durable jobs at the given
// time.
func (m *Manager) Valid(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownership.Valid(now)
}

// LookupResult holds what the store has under an identifier: an open record, an
// end record, or neither.
type LookupResult struct {
	Open *Record
	End  *EndRecord
}

// Create writes the record of a new job under the present epoch, and requests an
// epoch if there is none. done is called once: with a nil error and an empty
// result if the record was stored; with a nil error and the existing record if
// the identifier is in use for the same work; or with ErrNotStored,
// ErrIdentifierInUse, ErrInvalidEpoch or ErrUnreadable. After an unknown outcome
// the Manager repeats the write until the outcome is known, or calls done with
// ErrOutcomeUnknown when the ownership expires.
func (m *Manager) Create(r Record, done func(found LookupResult, err error)) {
	m.withLock(func() {
		if m.stopped {
			m.queueCallback(func() { done(LookupResult{}, ErrInvalidEpoch) })
			return
		}
		m.batch.Create(m.options.Clock.Now(), cloneRecord(r), done)
		m.requestEpoch()
	})
}

// Update writes the record of a job that the entry owns. The write is due within
// the given time. A later Update of the job replaces one that is not written
// yet. done is called when this state or a later one is stored, and is not
// called if the job is lost or given up. The Manager sets Owner and Serial.
func (m *Manager) Update(r Record, within time.Duration, done func()) {
	m.withLock(func() { m.batch.Update(cloneRecord(r), m.options.Clock.Now().Add(within), done) })
}

// Finish replaces the open record of a job that the entry owns by its end record.
// done is called when the end record is stored, and is not called if the job is
// lost.
func (m *Manager) Finish(e EndRecord, done func()) {
	m.withLock(func() { m.batch.Finish(m.options.Clock.Now(), e, done) })
}

// GiveUp drops a job without a write. While the own epoch lasts, a later scan may
// take the job over for this entry again (Handler.JobTakenOver).
func (m *Manager) GiveUp(identifier string) {
	m.withLock(func() { m.batch.GiveUp(identifier) })
}

// Presence says which record of a job the store has. Entries look it up for the
// unclaimed ends that agents report; see wire.HeartbeatRequest.
type Presence int

// Presences of a job.
const (
	JobAbsent         Presence = iota // no record of a durable job
	JobOpen                           // an open record; an entry owns the job or will take it over
	JobEnded                          // an end record; no task was started again after it was done
	JobEndedRestarted                 // an end record; a task may have been started again after it was done
	JobUnreadable                     // a record that cannot be decoded
)

// PeerLost makes the Manager scan for orphans soon, and each second until there
// are none and the lost entry has no epoch any more.
func (m *Manager) PeerLost(entry string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchedEntries[entry] = m.options.Clock.Now()
	wake(m.wakeScan)
}

// ErrJobsRemain means that the ownership lease was not revoked because the entry
// still has jobs.
var ErrJobsRemain = errors.New("durable: the entry has durable jobs")

// HandOver revokes the ownership lease after the entry has given up or ended all
// its jobs, so that other entries take them over at once. No epoch begins
// afterwards. It fails with ErrJobsRemain and changes nothing while the entry has
// jobs. After an error of the store the lease expires by its time to live.
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

// Status is the state of a Manager, for the state dump.
type Status struct {
	Epoch      Epoch
	ValidUntil time.Time // zero without an epoch
	Jobs       int       // jobs that the entry owns or is about to own
	Pending    int       // jobs with a change that is not known to be stored
}

// Status returns the present state of the Manager.
func (m *Manager) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	jobs, pending := m.batch.Len()
	return Status{Epoch: m.ownership.epoch, ValidUntil: m.ownership.validUntil, Jobs: jobs, Pending: pending}
}

// withLock calls checkValidity and f under the lock, and wakes the writer.
func (m *Manager) withLock(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkValidity(m.options.Clock.Now())
	f()
	wake(m.wakeWriter)
}

// checkValidity ends the present epoch if it is not valid any more.
func (m *Manager) checkValidity(now time.Time) {
	if m.ownership.epoch != "" && !m.ownership.Valid(now) {
		m.invalidate()
	}
}

// invalidate ends the present epoch, drops all jobs and calls OwnershipLost.
func (m *Manager) invalidate() {
	if m.ownership.epoch == "" {
		return
	}
	m.options.Log.Warn().Str("epoch", string(m.ownership.epoch)).Msg("durable ownership ended")
	m.ownership.End()
	m.batch.Reset()
	// The jobs of the epoch become orphans only when the store removes its key.
	m.watchedEntries[m.options.Entry] = m.options.Clock.Now()
	m.queueCallback(m.options.Handler.OwnershipLost)
	wake(m.wakeLease)
}

// requestEpoch makes the lease loop begin an epoch if there is none.
func (m *Manager) requestEpoch() {
	m.epochWanted = true
	if m.ownership.epoch == "" {
		wake(m.wakeLease)
	}
}

func (m *Manager) jobTakenOver(r Record) {
	m.takeovers.Inc(1)
	at := m.options.Clock.Now()
	m.queueCallback(func() { m.options.Handler.JobTakenOver(r, at) })
}

func (m *Manager) jobLost(identifier string, cause error) {
	m.options.Log.Warn().Str("job", identifier).AnErr("cause", cause).Msg("durable job lost")
	m.queueCallback(func() { m.options.Handler.JobLost(identifier) })
}

func (m *Manager) recordUnwritable(identifier string, cause error) {
	m.options.Log.Error().Str("job", identifier).Err(cause).Msg("durable record cannot be written")
}

// queueCallback queues a callback for runCallbacks; the caller holds the lock.
func (m *Manager) queueCallback(f func()) {
	m.callbacks = append(m.callbacks, f)
	wake(m.wakeCallbacks)
}

// runCallbacks calls the callbacks in order until loopsEnded is closed and none is
// left.
func (m *Manager) runCallbacks(loopsEnded <-chan struct{}) {
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
		case <-loopsEnded:
			m.mu.Lock()
			left := len(m.callbacks)
			m.mu.Unlock()
			if left == 0 {
				return
			}
		}
	}
}

// cloneRecord returns a copy of r with its own lists.
func cloneRecord(r Record) Record {
	r.Done, r.Failed = slices.Clone(r.Done), slices.Clone(r.Failed)
	return r
}

// wake wakes the goroutine that waits for c, now or when it waits next.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
