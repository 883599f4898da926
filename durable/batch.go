package durable

import (
	"fmt"
	"time"

	"chicorytray.example/chicorytray/store"
)

// retryAfter is the wait before a job is written again whose conflict the
// records read do not explain, as after a read of an older state.
const retryAfter = time.Second

// changeKind of a change.
type changeKind int

const (
	create changeKind = iota
	takeOver
	update
	finish
)

// entries of a transaction that a change needs, without those that changes
// share: the own epoch's key and the old epoch's key.
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

// change of one job. Once it was in a transaction its content stays the same,
// so that equal owner and serial prove that it took effect.
type change struct {
	kind      changeKind
	record    Record // unless it is an end
	end       EndRecord
	oldOwner  Epoch // owner before a takeover
	owner     Epoch // that writes it, once it was in a transaction
	serial    uint64
	value     []byte
	due       time.Time // not before this time
	uncertain bool      // a copy of it may have taken effect or may do so
	separate  bool      // it goes into a transaction of its own
	callbacks []func()
}

// job is a job that the entry owns or is about to own.
type job struct {
	identifier        string
	revision          uint64                      // of the open record; 0 before its creation
	serial            uint64                      // of the last change that was in a transaction
	record            Record                      // the newest state
	sent              *change                     // was in a transaction, and its outcome is not settled
	next              *change                     // replaces or follows it
	queued            bool                        // it is in the order
	removed           bool                        // it is not in the Batch any more
	creationCallbacks []func(LookupResult, error) // until the creation's outcome is known
}

// nextChange returns the change that is written next.
func (j *job) nextChange() *change {
	if j.sent != nil {
		return j.sent
	}
	return j.next
}

// Events are called by a Batch for what happens to jobs. They must not call the
// Batch.
type Events struct {
	TakenOver func(Record)
	Lost      func(identifier string, cause error)
	// Unwritable says that a change cannot be encoded and was dropped.
	Unwritable func(identifier string, cause error)
	// EpochMissing says that the store has no key of the own epoch.
	EpochMissing func()
	// QueueCallback is called with each callback that is due.
	QueueCallback func(func())
}

// EpochInfo is what a Batch has to know of the own epoch.
type EpochInfo struct {
	Own      Epoch
	Revision uint64        // of its key
	EndLease store.LeaseID // of end records; 0 while there is none
}

// Plan is the next step: a transaction, or the reads that explain a conflict.
type Plan struct {
	Transaction store.Transaction
	// Resolve is the identifier of a job whose records are to be read.
	Resolve string

	parts     []planPart
	uncertain bool // an earlier copy may have taken effect
	job       *job // to be resolved
	readEpoch bool // the own epoch's key is to be read, too
}

type planPart struct {
	job    *job
	change *change
}

// current reports whether the part is still what its job waits for.
func (p planPart) current() bool { return !p.job.removed && p.job.sent == p.change }

// Batch collects changes, plans transactions and says what follows from their
// outcomes. At most one plan is in progress at a time. It is not safe for
// concurrent use.
type Batch struct {
	events    Events
	jobs      map[string]*job
	queue     []*job // those with a change, oldest change first
	inFlight  *Plan  // until its outcome is known
	toResolve *job   // whose records are to be read
}

// NewBatch returns an empty Batch.
func NewBatch(events Events) *Batch { return &Batch{events: events, jobs: map[string]*job{}} }

// Has reports whether the Batch has the job.
func (b *Batch) Has(identifier string) bool { return b.jobs[identifier] != nil }

// Len returns the number of jobs, and of those with changes that are not known
// to be stored.
func (b *Batch) Len() (jobs, pending int) {
	for _, j := range b.jobs {
		if j.nextChange() != nil {
			pending++
		}
	}
	return len(b.jobs), pending
}

// Create adds the creation of a job. The outcome of one that the Batch has
// already is that of the first.
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

// Update adds a state of a job, which is due at the given time or with an
// earlier change of the job that is not written yet.
func (b *Batch) Update(r Record, due time.Time, done func()) {
	if j := b.writable(r.Identifier); j != nil {
		if j.next != nil && j.next.due.Before(due) {
			due = j.next.due
		}
		j.record = r
		b.replaceNext(j, &change{kind: update, record: r, due: due}, done)
	}
}

// Finish adds the end of a job. It replaces states that are not written yet.
func (b *Batch) Finish(now time.Time, e EndRecord, done func()) {
	if j := b.writable(e.Identifier); j != nil {
		b.replaceNext(j, &change{kind: finish, end: e, due: now}, done)
	}
}

// writable returns a job that may be written: not one whose creation or takeover is
// not settled, nor one that is ending.
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

// replaceNext makes c the next change of the job, with the callbacks of the one that
// it replaces.
func (b *Batch) replaceNext(j *job, c *change, done func()) {
	if j.next != nil {
		c.callbacks = j.next.callbacks
	}
	if done != nil {
		c.callbacks = append(c.callbacks, done)
	}
	b.setNext(j, c)
}

// setNext makes c the next change of the job, which keeps its place in the order.
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

// GiveUp forgets a job. A transaction in progress goes on without effect on it.
func (b *Batch) GiveUp(identifier string) {
	if j := b.jobs[identifier]; j != nil {
		b.answerCreation(j, LookupResult{}, ErrOutcomeUnknown)
		b.remove(j)
	}
}

// Reset forgets everything when the validity ends. Creations that may have taken
// effect end with ErrUnknown, others with ErrInvalidEpoch.
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

// mayHaveEffect reports whether a change of the job may have taken effect or may do so.
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

// RefuseCreations ends the creations that certainly have no effect with the
// error.
func (b *Batch) RefuseCreations(err error) {
	for _, j := range b.jobs {
		if j.creationCallbacks != nil && !b.mayHaveEffect(j) {
			b.answerCreation(j, LookupResult{}, err)
			b.remove(j)
		}
	}
}

// answerCreation answers the creation of a job.
func (b *Batch) answerCreation(j *job, found LookupResult, err error) {
	for _, done := range j.creationCallbacks {
		b.queueAnswer(done, found, err)
	}
	j.creationCallbacks = nil
}

func (b *Batch) queueAnswer(done func(LookupResult, error), found LookupResult, err error) {
	b.events.QueueCallback(func() { done(found, err) })
}

func (b *Batch) remove(j *job) {
	j.removed = true
	delete(b.jobs, j.identifier)
	if b.toResolve == j {
		b.toResolve = nil
	}
}

// dropLost forgets a job that another owner has, or that has ended elsewhere.
func (b *Batch) dropLost(j *job, cause error) {
	b.remove(j)
	b.events.Lost(j.identifier, cause)
}
