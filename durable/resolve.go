package durable

import (
	"errors"
	"time"
)

// errGone means that the store has neither record of a job.
var errGone = errors.New("durable: neither an open record nor an end")

// Evidence is what was read after a conflict. It is at least as new as the
// conflict.
type Evidence struct {
	Open      *Record
	Revision  uint64 // of the open record's key, 0 if there is none
	OpenError error  // the open record cannot be decoded
	End       *EndRecord
	EndError  error // the end record cannot be decoded
	// EpochGone says that the own epoch's key is not there at its revision.
	EpochGone bool
}

// Resolve settles a job whose change conflicted when it was written alone. Equal
// owner and serial mean that the change took effect.
func (b *Batch) Resolve(now time.Time, p *Plan, e Evidence) {
	j := p.job
	if j == nil || b.resolve != j {
		return
	}
	b.resolve = nil
	c := j.sent
	if c.kind != finish && e.Open != nil && e.Open.Owner == c.owner && e.Open.Serial == c.serial &&
		e.Open.WorkloadHash() == c.record.WorkloadHash() {
		b.stored(j, c, e.Revision)
		return
	}
	switch c.kind {
	case create:
		b.resolveCreate(now, j, e)
	case takeOver:
		b.resolveTakeOver(j, e)
	case update:
		b.resolveUpdate(now, j, c, e)
	case finish:
		b.resolveFinish(now, j, c, e)
	}
}

// resolveCreate lets the record that has the identifier decide.
func (b *Batch) resolveCreate(now time.Time, j *job, e Evidence) {
	workload, found := "", LookupResult{Open: e.Open}
	switch {
	case e.OpenError != nil || e.EndError != nil:
		b.decided(j, LookupResult{}, errors.Join(ErrUnreadable, e.OpenError, e.EndError))
		b.forget(j)
		return
	case e.Open != nil:
		workload = e.Open.WorkloadHash()
	case e.End != nil:
		workload, found.End = e.End.Workload, e.End
	case e.EpochGone:
		b.retry(j, now)
		b.events.EpochGone()
		return
	default:
		b.retry(j, now.Add(retryAfter))
		return
	}
	var err error
	if workload != j.record.WorkloadHash() {
		found, err = LookupResult{}, ErrIdentifierInUse
	}
	b.decided(j, found, err)
	b.forget(j)
}

// resolveTakeOver leaves the job to the next scan. If a copy of the transaction
// takes effect later, the scan finds a record of the own epoch that is not held.
func (b *Batch) resolveTakeOver(j *job, e Evidence) {
	b.forget(j)
	if e.EpochGone {
		b.events.EpochGone()
	}
}

func (b *Batch) resolveUpdate(now time.Time, j *job, c *change, e Evidence) {
	switch {
	case e.Open != nil && e.Open.Owner == c.owner:
		b.rewrite(now, j, e)
	case e.Open != nil || e.End != nil:
		b.lose(j, nil)
	default:
		b.lose(j, gone(e))
	}
}

func (b *Batch) resolveFinish(now time.Time, j *job, c *change, e Evidence) {
	switch {
	case e.Open != nil && e.Open.Owner == c.owner:
		b.rewrite(now, j, e)
	case e.Open != nil:
		b.lose(j, nil)
	case e.OpenError == nil && e.End != nil && e.End.equal(&c.end):
		b.stored(j, c, 0)
	case e.End != nil:
		b.lose(j, nil)
	default:
		b.lose(j, gone(e))
	}
}

// gone returns why a job without a readable record is given up.
func gone(e Evidence) error {
	if err := errors.Join(e.OpenError, e.EndError); err != nil {
		return err
	}
	return errGone
}

// rewrite writes the change again over the record as read, which belongs to the
// own epoch: at once if its revision explains the conflict, as in a store that
// was restored, otherwise after a wait.
func (b *Batch) rewrite(now time.Time, j *job, e Evidence) {
	if j.revision == e.Revision {
		now = now.Add(retryAfter)
	}
	j.revision = e.Revision
	b.retry(j, now)
}
