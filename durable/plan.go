package durable

import (
	"errors"
	"fmt"
	"time"

	"chicorytray.example/chicorytray/store"
)

// maxBatchBytes bounds the values of a transaction with several jobs: those of
// one job may need as much, and its answer is awaited for one call timeout.
const maxBatchBytes = store.MaxValueBytes

// Due returns when the next plan can be made; the zero time if no change waits.
// Ends wait for a lease.
func (b *Batch) Due(haveEndLease bool) (due time.Time) {
	if b.flight != nil || b.resolve != nil {
		return time.Unix(0, 0)
	}
	for _, j := range b.order {
		c := j.waiting()
		if j.gone || c == nil || c.kind == finish && !haveEndLease {
			continue
		}
		if due.IsZero() || c.due.Before(due) {
			due = c.due
		}
	}
	return due
}

// Ending reports whether an end waits to be written.
func (b *Batch) Ending() bool {
	for _, j := range b.order {
		if c := j.waiting(); !j.gone && c != nil && c.kind == finish {
			return true
		}
	}
	return false
}

// Next returns the next plan, or nil if nothing is due. After an unknown outcome
// that is the same transaction again.
func (b *Batch) Next(now time.Time, e Epochs) *Plan {
	switch {
	case b.flight != nil:
		return b.flight
	case b.resolve != nil:
		return &Plan{Resolve: b.resolve.identifier, job: b.resolve, owns: b.resolve.sent.owns()}
	}
	p := &planner{epochs: e, olds: map[Epoch]bool{}}
	order := b.order
	b.order = nil
	for _, j := range order {
		j.queued = false
		c := j.waiting()
		if j.gone || c == nil {
			continue
		}
		if c.due.After(now) || !p.room(c) || !b.prepare(j, c, e) || !p.add(j, c) {
			if !j.gone && j.waiting() != nil {
				b.queue(j)
			}
		}
	}
	if len(p.parts) == 0 {
		return nil
	}
	b.flight = &Plan{Transaction: p.transaction(), parts: p.parts}
	return b.flight
}

// prepare encodes a change when it is first planned. A change that cannot be
// encoded is dropped.
func (b *Batch) prepare(j *job, c *change, e Epochs) bool {
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
			b.decided(j, LookupResult{}, fmt.Errorf("%w: %w", ErrNotStored, err))
			b.forget(j)
		}
		return false
	}
	c.record, c.owner, c.serial, c.value = r, e.Own, r.Serial, value
	return true
}

// planner collects the parts of one transaction.
type planner struct {
	epochs  Epochs
	parts   []part
	entries int
	bytes   int
	owned   bool           // it expects the own epoch's key
	olds    map[Epoch]bool // old epochs whose keys are expected to be absent
	full    bool
}

// room reports whether the change fits. Later changes that are smaller do not
// pass one that does not fit.
func (p *planner) room(c *change) bool {
	switch {
	case p.full, c.kind == finish && p.epochs.EndLease == 0:
		return false
	case len(p.parts) == 0:
		return true
	}
	entries := p.entries + c.kind.entries()
	if c.owns() && !p.owned {
		entries++
	}
	if c.absent() && !p.olds[c.old] {
		entries++
	}
	p.full = c.alone || entries > store.MaxTransactionEntries || p.bytes+len(c.value) > maxBatchBytes
	return !p.full
}

// owns reports whether the change takes effect only while the own epoch exists.
func (c *change) owns() bool { return c.kind == create || c.kind == takeOver }

// absent reports whether the change expects the absence of an old epoch.
func (c *change) absent() bool { return c.kind == takeOver && c.old != c.owner }

// add takes an encoded change into the transaction, unless its value makes it too
// large. An old epoch's key is expected once for all its jobs.
func (p *planner) add(j *job, c *change) bool {
	if len(p.parts) > 0 && p.bytes+len(c.value) > maxBatchBytes {
		p.full = true
		return false
	}
	if j.sent == nil {
		j.sent, j.next = c, nil
		j.serial = c.serial
	}
	p.parts = append(p.parts, part{j, c})
	p.entries += c.kind.entries()
	p.bytes += len(c.value)
	if c.owns() && !p.owned {
		p.owned = true
		p.entries++
	}
	if c.absent() && !p.olds[c.old] {
		p.olds[c.old] = true
		p.entries++
	}
	p.full = c.alone
	return true
}

func (p *planner) transaction() (t store.Transaction) {
	expect := func(key string, revision uint64) {
		t.Expect = append(t.Expect, store.Expectation{Key: key, Revision: revision})
	}
	if p.owned {
		expect(p.epochs.Own.Key(), p.epochs.Revision)
	}
	for old := range p.olds {
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

// Outcome records the result of a plan's transaction. Plans that the Batch does
// not wait for any more are ignored.
func (b *Batch) Outcome(now time.Time, p *Plan, revision uint64, err error) {
	if b.flight != p {
		return
	}
	switch {
	case errors.Is(err, store.ErrUnknownOutcome):
		p.doubt = true
		for _, part := range p.parts {
			part.change.doubt = true
		}
		return // it is sent again
	case err != nil && !conflict(err) && p.doubt:
		return // this copy was not carried out; an earlier one may have been
	}
	b.flight = nil
	for _, part := range p.parts {
		switch {
		case !part.live():
		case err == nil:
			b.stored(part.job, part.change, revision)
		case len(p.parts) > 1 && singly(err):
			part.change.alone = true
			b.retry(part.job, now)
		case errors.Is(err, store.ErrConflict):
			b.resolve = part.job
		case errors.Is(err, store.ErrLeaseExpired):
			b.retry(part.job, now) // under another lease
		default:
			b.refused(now, part.job, part.change, err)
		}
	}
}

// conflict reports whether the transaction changed nothing because of a revision
// or a lease. If there was an earlier copy, that may be the reason.
func conflict(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLeaseExpired)
}

// singly reports whether the jobs of a transaction are written one by one after
// the error, because it may concern only some of them.
func singly(err error) bool {
	return conflict(err) || errors.Is(err, store.ErrTooLarge) || errors.Is(err, store.ErrInvalidTransaction)
}

// stored records that a change took effect at the given revision.
func (b *Batch) stored(j *job, c *change, revision uint64) {
	j.sent, j.revision = nil, revision
	if j.next != nil {
		b.queue(j)
	}
	for _, done := range c.done {
		b.events.Call(done)
	}
	switch c.kind {
	case create:
		// The first caller has the job; repeated submissions have found it.
		first, others := j.created[:1], j.created[1:]
		j.created = first
		b.decided(j, LookupResult{}, nil)
		found := c.record
		j.created = others
		b.decided(j, LookupResult{Open: &found}, nil)
	case takeOver:
		b.events.TakenOver(c.record)
	case finish:
		b.forget(j)
	}
}

// refused handles a change that the store did not carry out.
func (b *Batch) refused(now time.Time, j *job, c *change, err error) {
	switch {
	case c.doubt:
		b.retry(j, now)
	case c.kind == create:
		b.decided(j, LookupResult{}, fmt.Errorf("%w: %w", ErrNotStored, err))
		b.forget(j)
	case c.kind == takeOver:
		b.forget(j) // the next scan finds it
	case j.next != nil: // a later state replaces this one
		j.next.done = append(c.done, j.next.done...)
		if now.Before(j.next.due) {
			j.next.due = now
		}
		j.sent = nil
		b.queue(j)
	default:
		b.retry(j, now)
	}
}

// retry lets the job's unsettled change be written again, at the given time.
func (b *Batch) retry(j *job, due time.Time) {
	j.sent.due = due
	b.queue(j)
}
