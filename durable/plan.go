package durable

import (
	"errors"
	"fmt"
	"time"

	"chicorytray.example/chicorytray/store"
)

// maxBatchBytes bounds the total size of the values in a transaction of several
// jobs. One job's value alone may have this size, and a transaction has to be
// answered within one call timeout.
const maxBatchBytes = store.MaxValueBytes

// NextDue returns the time at which Next can return a plan, or the zero time if
// no change waits. Ends are not counted without a lease for end records.
func (b *Batch) NextDue(haveEndLease bool) (due time.Time) {
	if b.inFlight != nil || b.toResolve != nil {
		return time.Unix(0, 0)
	}
	for _, j := range b.queue {
		c := j.nextChange()
		if j.removed || c == nil || c.kind == finish && !haveEndLease {
			continue
		}
		if due.IsZero() || c.due.Before(due) {
			due = c.due
		}
	}
	return due
}

// HasEnds reports whether the end of a job waits to be written.
func (b *Batch) HasEnds() bool {
	for _, j := range b.queue {
		if c := j.nextChange(); !j.removed && c != nil && c.kind == finish {
			return true
		}
	}
	return false
}

// Next returns the next plan, or nil if nothing is due. After an unknown outcome
// it returns the same plan again.
func (b *Batch) Next(now time.Time, e EpochInfo) *Plan {
	switch {
	case b.inFlight != nil:
		return b.inFlight
	case b.toResolve != nil:
		return &Plan{Resolve: b.toResolve.identifier, job: b.toResolve, readEpoch: b.toResolve.sent.needsOwnEpoch()}
	}
	p := &planner{epochs: e, absentEpochs: map[Epoch]bool{}}
	order := b.queue
	b.queue = nil
	for _, j := range order {
		j.queued = false
		c := j.nextChange()
		if j.removed || c == nil {
			continue
		}
		if c.due.After(now) || !p.fits(c) || !b.prepare(j, c, e) || !p.add(j, c) {
			if !j.removed && j.nextChange() != nil {
				b.enqueue(j)
			}
		}
	}
	if len(p.parts) == 0 {
		return nil
	}
	b.inFlight = &Plan{Transaction: p.transaction(), parts: p.parts}
	return b.inFlight
}

// prepare sets the owner, serial and value of a change that is planned for the
// first time. It drops a change that cannot be encoded and returns false.
func (b *Batch) prepare(j *job, c *change, e EpochInfo) bool {
	if c.value != nil {
		return true
	}
	r := c.record
	r.Owner, r.Serial = e.Own, j.serial+1
	encode := r.Encode
	if c.kind == finish {
		encode = c.end.Encode
	}
	value, err := encode()
	if err != nil {
		j.next = nil
		b.events.Unwritable(j.identifier, err)
		if c.kind == create || c.kind == takeOver {
			b.answerCreation(j, LookupResult{}, fmt.Errorf("%w: %w", ErrNotStored, err))
			b.remove(j)
		}
		return false
	}
	c.record, c.owner, c.serial, c.value = r, e.Own, r.Serial, value
	return true
}

// planner collects the changes of one transaction.
type planner struct {
	epochs          EpochInfo
	parts           []planPart
	entries         int
	bytes           int
	expectsOwnEpoch bool           // the transaction expects the own epoch's key
	absentEpochs    map[Epoch]bool // old owners whose keys it expects to be absent
	closed          bool
}

// fits reports whether the change fits into the transaction. A change that is too
// large closes the transaction, so that later, smaller ones do not overtake it.
// Ends do not fit without a lease for end records.
func (p *planner) fits(c *change) bool {
	switch {
	case p.closed, c.kind == finish && p.epochs.EndLease == 0:
		return false
	case len(p.parts) == 0:
		return true
	}
	entries := p.entries + c.kind.entries()
	if c.needsOwnEpoch() && !p.expectsOwnEpoch {
		entries++
	}
	if c.needsEpochAbsent() && !p.absentEpochs[c.oldOwner] {
		entries++
	}
	p.closed = c.separate || entries > store.MaxTransactionEntries || p.bytes+len(c.value) > maxBatchBytes
	return !p.closed
}

// needsOwnEpoch reports whether the change takes effect only while the own
// epoch's key exists.
func (c *change) needsOwnEpoch() bool { return c.kind == create || c.kind == takeOver }

// needsEpochAbsent reports whether the change takes effect only if the old owner
// has no key.
func (c *change) needsEpochAbsent() bool { return c.kind == takeOver && c.oldOwner != c.owner }

// add adds an encoded change to the transaction and returns true, unless its
// value makes the transaction too large. An old owner's key is expected once for
// all its jobs.
func (p *planner) add(j *job, c *change) bool {
	if len(p.parts) > 0 && p.bytes+len(c.value) > maxBatchBytes {
		p.closed = true
		return false
	}
	if j.sent == nil {
		j.sent, j.next = c, nil
		j.serial = c.serial
	}
	p.parts = append(p.parts, planPart{j, c})
	p.entries += c.kind.entries()
	p.bytes += len(c.value)
	if c.needsOwnEpoch() && !p.expectsOwnEpoch {
		p.expectsOwnEpoch = true
		p.entries++
	}
	if c.needsEpochAbsent() && !p.absentEpochs[c.oldOwner] {
		p.absentEpochs[c.oldOwner] = true
		p.entries++
	}
	p.closed = c.separate
	return true
}

// transaction returns the transaction that makes the collected changes.
func (p *planner) transaction() (t store.Transaction) {
	expect := func(key string, revision uint64) {
		t.Expect = append(t.Expect, store.Expectation{Key: key, Revision: revision})
	}
	if p.expectsOwnEpoch {
		expect(p.epochs.Own.Key(), p.epochs.Revision)
	}
	for old := range p.absentEpochs {
		expect(old.Key(), 0)
	}
	for _, part := range p.parts {
		open, ended := OpenPrefix+part.job.identifier, EndedPrefix+part.job.identifier
		expect(open, part.job.revision)
		switch part.change.kind {
		case finish:
			expect(ended, 0)
			t.Remove = append(t.Remove, open)
			t.Write = append(t.Write, store.Write{Key: ended, Value: part.change.value, Lease: p.epochs.EndLease})
			continue
		case create:
			expect(ended, 0)
		}
		t.Write = append(t.Write, store.Write{Key: open, Value: part.change.value})
	}
	return t
}

// Outcome applies the result of a plan's transaction. It ignores a plan that the
// Batch does not wait for any more. revision is that of the written keys.
func (b *Batch) Outcome(now time.Time, p *Plan, revision uint64, err error) {
	if b.inFlight != p {
		return
	}
	switch {
	case errors.Is(err, store.ErrUnknownOutcome):
		p.uncertain = true
		for _, part := range p.parts {
			part.change.uncertain = true
		}
		return // Next returns the plan again
	case err != nil && !isConflict(err) && p.uncertain:
		return // this copy did not take effect, but an earlier one may have
	}
	b.inFlight = nil
	for _, part := range p.parts {
		switch {
		case !part.current():
		case err == nil:
			b.applied(part.job, part.change, revision)
		case len(p.parts) > 1 && needsSeparateWrites(err):
			part.change.separate = true
			b.retry(part.job, now)
		case errors.Is(err, store.ErrConflict):
			b.toResolve = part.job
		case errors.Is(err, store.ErrLeaseExpired):
			b.retry(part.job, now) // with a new lease for end records
		default:
			b.rejected(now, part.job, part.change, err)
		}
	}
}

// isConflict reports whether the transaction had no effect because of a revision
// or a lease. An earlier copy that took effect can be the reason.
func isConflict(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLeaseExpired)
}

// needsSeparateWrites reports whether the changes of a transaction are repeated
// one by one after the error, because it may concern only some of them.
func needsSeparateWrites(err error) bool {
	return isConflict(err) || errors.Is(err, store.ErrTooLarge) || errors.Is(err, store.ErrInvalidTransaction)
}

// applied records that a change took effect at the given revision.
func (b *Batch) applied(j *job, c *change, revision uint64) {
	j.sent, j.revision = nil, revision
	if j.next != nil {
		b.enqueue(j)
	}
	for _, done := range c.callbacks {
		b.events.QueueCallback(done)
	}
	switch c.kind {
	case create:
		// The first caller has created the job; the later ones have found it.
		first, others := j.creationCallbacks[:1], j.creationCallbacks[1:]
		j.creationCallbacks = first
		b.answerCreation(j, LookupResult{}, nil)
		found := c.record
		j.creationCallbacks = others
		b.answerCreation(j, LookupResult{Open: &found}, nil)
	case takeOver:
		b.events.TakenOver(c.record)
	case finish:
		b.remove(j)
	}
}

// rejected handles a change that the store did not carry out for another reason
// than a conflict.
func (b *Batch) rejected(now time.Time, j *job, c *change, err error) {
	switch {
	case c.uncertain:
		b.retry(j, now)
	case c.kind == create:
		b.answerCreation(j, LookupResult{}, fmt.Errorf("%w: %w", ErrNotStored, err))
		b.remove(j)
	case c.kind == takeOver:
		b.remove(j) // the next scan finds the orphan again
	case j.next != nil: // the next change replaces this one
		j.next.callbacks = append(c.callbacks, j.next.callbacks...)
		if now.Before(j.next.due) {
			j.next.due = now
		}
		j.sent = nil
		b.enqueue(j)
	default:
		b.retry(j, now)
	}
}

// retry queues the change that was sent to be written again at the given time.
func (b *Batch) retry(j *job, due time.Time) {
	j.sent.due = due
	b.enqueue(j)
}
