package durable

import (
	"fmt"
	"time"

	"chicorytray.example/chicorytray/store"
)

// retryAfter is the wait before a change is repeated if the records read do not
// explain its conflict, for example because an older state was read.
const retryAfter = time.Second

// changeKind is the kind of write that a change makes.
type changeKind int

const (
	create changeKind = iota
	takeOver
	update
	finish
)

// entries returns the number of a transaction's entries that a change needs. It
// does not count those that several changes share: the keys of the own epoch and
// of the old owner's epoch.
func (k changeKind) entries() int {
	switch k {
	case create:
		return 3
	case finish:
		return 4
	default:
		return 2
	}
}

// change is a write of one job. Its content does not change once it has been in
// a transaction, so a stored record with its owner and serial proves that it
// took effect.
type change struct {
	kind      changeKind
	record    Record // unless kind is finish
	end       EndRecord
	oldOwner  Epoch // owner before a takeover
	owner     Epoch // epoch that writes the change; empty before its first transaction
	serial    uint64
	value     []byte    // encoded record or end
	due       time.Time // earliest time of the write
	uncertain bool      // an earlier copy may have taken effect or may do so later
	separate  bool      // needs a transaction of its own
	callbacks []func()
}

// job is a job that the entry owns or is about to own.
type job struct {
	identifier        string
	revision          uint64                      // of the open record; 0 before its creation
	serial            uint64                      // of the last change that was in a transaction
	record            Record                      // the newest state
	sent              *change                     // was in a transaction, and its outcome is not known
	next              *change                     // to be written after sent
	queued            bool                        // in Batch.queue
	removed           bool                        // no longer in the Batch
	creationCallbacks []func(LookupResult, error) // until the outcome of the creation is known
}

// nextChange returns the change that is written next, or nil.
func (j *job) nextChange() *change {
	if j.sent != nil {
		return j.sent
	}
	return j.next
}

// Events are the functions by which a Batch reports changes of jobs. They must
// not call the Batch.
type Events struct {
	// TakenOver reports that the takeover of a job is stored.
	TakenOver func(Record)
	// Lost reports a job that another epoch owns, that has ended elsewhere, or
	// that has no readable record; cause is nil except in the last case.
	Lost func(identifier string, cause error)
	// Unwritable reports a change that cannot be encoded and was dropped.
	Unwritable func(identifier string, cause error)
	// EpochMissing reports that the store has no key of the own epoch.
	EpochMissing func()
	// QueueCallback is called with each callback that is due.
	QueueCallback func(func())
}

// EpochInfo describes the own epoch for the plan of a transaction.
type EpochInfo struct {
	Own      Epoch
	Revision uint64        // of its key
	EndLease store.LeaseID // of end records; 0 while there is none
}

// Plan is the next step of a Batch: a transaction, or the reads that explain a
// conflict. The caller passes its result to Outcome or Resolve.
type Plan struct {
	Transaction store.Transaction
	// Resolve is the identifier of the job whose records have to be read; empty
	// for a transaction.
	Resolve string

	parts     []planPart
	uncertain bool // an earlier copy of the transaction may have taken effect
	job       *job // the job of Resolve
	readEpoch bool // the own epoch's key has to be read, too
}

// planPart is one change in a transaction.
type planPart struct {
	job    *job
	change *change
}

// current reports whether the job still waits for the outcome of the part's
// change.
func (p planPart) current() bool { return !p.job.removed && p.job.sent == p.change }

// Batch collects the changes of jobs, combines them into transactions, and
// applies the outcomes. At most one plan is in progress at a time. It is not
// safe for concurrent use.
type Batch struct {
	events    Events
	jobs      map[string]*job
	queue     []*job // jobs with a change, oldest change first
	inFlight  *Plan  // transaction whose outcome is not known
	toResolve *job   // job whose records have to be read after a conflict
}

// NewBatch returns an empty Batch.
func NewBatch(events Events) *Batch { return &Batch{events: events, jobs: map[string]*job{}} }

// Has reports whether the Batch has the job.
func (b *Batch) Has(identifier string) bool { return b.jobs[identifier] != nil }

// Len returns the number of jobs, and the number of jobs with a change that is
// not known to be stored.
func (b *Batch) Len() (jobs, pending int) {
	for _, j := range b.jobs {
		if j.nextChange() != nil {
			pending++
		}
	}
	return len(b.jobs), pending
}

// Create adds the creation of a job. If the Batch already has a job with the
// identifier and the same work, done gets the outcome of the first creation.
func (b *Batch) Create(now time.Time, r Record, done func(LookupResult, error)) {
	if j := b.jobs[r.Identifier]; j != nil {
		switch {
		case j.record.WorkloadHash() != r.WorkloadHash():
			b.queueAnswer(done, LookupResult{}, ErrIdentifierInUse)
		case j.creationCallbacks != nil:
			j.creationCallbacks = append(j.creationCallbacks, done)
		default:
			found := j.record
			b.queueAnswer(done, LookupResult{Open: &found}, nil)
		}
		return
	}
	if err := r.checkRoom(); err != nil {
		b.queueAnswer(done, LookupResult{}, fmt.Errorf("%w: %w", ErrNotStored, err))
		return
	}
	r.Serial = 0
	j := &job{identifier: r.Identifier, record: r, creationCallbacks: []func(LookupResult, error){done}}
	b.jobs[r.Identifier] = j
	b.setNext(j, &change{kind: create, record: r, due: now})
}

// TakeOver adds the takeover of an orphan, unless the Batch has the job.
func (b *Batch) TakeOver(now time.Time, r StoredRecord) {
	if b.jobs[r.Identifier] != nil {
		return
	}
	j := &job{identifier: r.Identifier, record: r.Record, revision: r.Revision, serial: r.Serial}
	b.jobs[r.Identifier] = j
	b.setNext(j, &change{kind: takeOver, record: r.Record, oldOwner: r.Owner, due: now})
}

// Update adds a new state of a job. It is due at the given time, or earlier if it
// replaces a state that is due earlier and was not sent.
func (b *Batch) Update(r Record, due time.Time, done func()) {
	if j := b.writable(r.Identifier); j != nil {
		if j.next != nil && j.next.due.Before(due) {
			due = j.next.due
		}
		j.record = r
		b.replaceNext(j, &change{kind: update, record: r, due: due}, done)
	}
}

// Finish adds the end of a job. It replaces a state that was not sent.
func (b *Batch) Finish(now time.Time, e EndRecord, done func()) {
	if j := b.writable(e.Identifier); j != nil {
		b.replaceNext(j, &change{kind: finish, end: e, due: now}, done)
	}
}

// writable returns the job if it may be updated or finished, otherwise nil. A job
// may not while its creation or takeover is pending, nor after Finish.
func (b *Batch) writable(identifier string) *job {
	j := b.jobs[identifier]
	if j == nil {
		return nil
	}
	for _, c := range []*change{j.sent, j.next} {
		if c != nil && c.kind != update {
			return nil
		}
	}
	return j
}

// replaceNext makes c the next change of the job. c also gets the callbacks of the
// change that it replaces.
func (b *Batch) replaceNext(j *job, c *change, done func()) {
	if j.next != nil {
		c.callbacks = j.next.callbacks
	}
	if done != nil {
		c.callbacks = append(c.callbacks, done)
	}
	b.setNext(j, c)
}

// setNext makes c the next change of the job, which keeps its place in the queue.
func (b *Batch) setNext(j *job, c *change) {
	j.next = c
	b.enqueue(j)
}

func (b *Batch) enqueue(j *job) {
	if !j.queued {
		j.queued = true
		b.queue = append(b.queue, j)
	}
}

// GiveUp removes a job from the Batch. The outcome of a transaction in progress
// is then ignored for this job.
func (b *Batch) GiveUp(identifier string) {
	if j := b.jobs[identifier]; j != nil {
		b.answerCreation(j, LookupResult{}, ErrOutcomeUnknown)
		b.remove(j)
	}
}

// Reset removes all jobs when the ownership has expired. Creations that may have
// taken effect fail with ErrOutcomeUnknown, others with ErrInvalidEpoch.
func (b *Batch) Reset() {
	for _, j := range b.jobs {
		err := ErrInvalidEpoch
		if b.mayHaveEffect(j) {
			err = ErrOutcomeUnknown
		}
		b.answerCreation(j, LookupResult{}, err)
		j.removed = true
	}
	*b = *NewBatch(b.events)
}

// mayHaveEffect reports whether a pending change of the job may have taken effect
// or may do so later.
func (b *Batch) mayHaveEffect(j *job) bool {
	if j.sent == nil || j.sent.uncertain {
		return j.sent != nil
	}
	if b.inFlight != nil {
		for _, p := range b.inFlight.parts {
			if p.job == j {
				return true
			}
		}
	}
	return false
}

// RefuseCreations answers with the error the creations that certainly did not and
// will not take effect, and removes their jobs.
func (b *Batch) RefuseCreations(err error) {
	for _, j := range b.jobs {
		if j.creationCallbacks != nil && !b.mayHaveEffect(j) {
			b.answerCreation(j, LookupResult{}, err)
			b.remove(j)
		}
	}
}

// answerCreation queues the callbacks of the job's creation.
func (b *Batch) answerCreation(j *job, found LookupResult, err error) {
	for _, done := range j.creationCallbacks {
		b.queueAnswer(done, found, err)
	}
	j.creationCallbacks = nil
}

func (b *Batch) queueAnswer(done func(LookupResult, error), found LookupResult, err error) {
	b.events.QueueCallback(func() { done(found, err) })
}

// remove removes a job from the Batch without a callback.
func (b *Batch) remove(j *job) {
	j.removed = true
	delete(b.jobs, j.identifier)
	if b.toResolve == j {
		b.toResolve = nil
	}
}

// dropLost removes and reports a job that another epoch owns, that has ended
// elsewhere, or that has no readable record.
func (b *Batch) dropLost(j *job, cause error) {
	b.remove(j)
	b.events.Lost(j.identifier, cause)
}
