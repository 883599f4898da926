package durable

import (
	"errors"
	"time"
)

// errNoRecord means that the store has neither an open record nor an end record
// of a job.
var errNoRecord = errors.New("durable: the store has neither an open record nor an end record of the job")

// ConflictRead holds the records of a job as read after a conflict. They are at
// least as new as the conflict.
type ConflictRead struct {
	Open      *Record
	Revision  uint64 // of the open record's key, 0 if there is none
	OpenError error  // the open record cannot be decoded
	End       *EndRecord
	EndError  error // the end record cannot be decoded
	// EpochMissing means that the own epoch's key does not exist at the revision
	// at which it was written.
	EpochMissing bool
}

// Resolve decides how to go on with a job whose change conflicted when it was
// written alone. If the open record has the owner and serial of the change, an
// earlier copy of the change took effect.
func (b *Batch) Resolve(now time.Time, p *Plan, e ConflictRead) {
	j := p.job
	if j == nil || b.toResolve != j {
		return
	}
	b.toResolve = nil
	c := j.sent
	if c.kind != finish && e.Open != nil && e.Open.Owner == c.owner && e.Open.Serial == c.serial &&
		e.Open.WorkloadHash() == c.record.WorkloadHash() {
		b.applied(j, c, e.Revision)
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

// resolveCreate answers a creation with the record that is stored under its
// identifier, and repeats it if there is none.
func (b *Batch) resolveCreate(now time.Time, j *job, e ConflictRead) {
	workload, found := "", LookupResult{Open: e.Open}
	switch {
	case e.OpenError != nil || e.EndError != nil:
		b.answerCreation(j, LookupResult{}, errors.Join(ErrUnreadable, e.OpenError, e.EndError))
		b.remove(j)
		return
	case e.Open != nil:
		workload = e.Open.WorkloadHash()
	case e.End != nil:
		workload, found.End = e.End.Workload, e.End
	case e.EpochMissing:
		b.retry(j, now)
		b.events.EpochMissing()
		return
	default:
		b.retry(j, now.Add(retryAfter))
		return
	}
	var err error
	if workload != j.record.WorkloadHash() {
		found, err = LookupResult{}, ErrIdentifierInUse
	}
	b.answerCreation(j, found, err)
	b.remove(j)
}

// resolveTakeOver leaves the job to the next scan. If a copy of the transaction
// takes effect later, a scan finds a record of the own epoch whose job the entry
// does not have.
func (b *Batch) resolveTakeOver(j *job, e ConflictRead) {
	b.remove(j)
	if e.EpochMissing {
		b.events.EpochMissing()
	}
}

// resolveUpdate repeats an update if the entry still owns the job; otherwise the
// job is lost.
func (b *Batch) resolveUpdate(now time.Time, j *job, c *change, e ConflictRead) {
	switch {
	case e.Open != nil && e.Open.Owner == c.owner:
		b.rewrite(now, j, e)
	case e.Open != nil || e.End != nil:
		b.dropLost(j, nil)
	default:
		b.dropLost(j, missingCause(e))
	}
}

// resolveFinish repeats an end if the entry still owns the job. The end took
// effect if it is stored as it was written; otherwise the job is lost.
func (b *Batch) resolveFinish(now time.Time, j *job, c *change, e ConflictRead) {
	switch {
	case e.Open != nil && e.Open.Owner == c.owner:
		b.rewrite(now, j, e)
	case e.Open != nil:
		b.dropLost(j, nil)
	case e.OpenError == nil && e.End != nil && e.End.equal(&c.end):
		b.applied(j, c, 0)
	case e.End != nil:
		b.dropLost(j, nil)
	default:
		b.dropLost(j, missingCause(e))
	}
}

// missingCause returns the reason for which a job without a readable record is
// lost.
func missingCause(e ConflictRead) error {
	if err := errors.Join(e.OpenError, e.EndError); err != nil {
		return err
	}
	return errNoRecord
}

// rewrite repeats the change over the record as read, which belongs to the own
// epoch. It does so at once if the record's revision explains the conflict, for
// example after the store was restored, and otherwise after retryAfter.
func (b *Batch) rewrite(now time.Time, j *job, e ConflictRead) {
	if j.revision == e.Revision {
		now = now.Add(retryAfter)
	}
	j.revision = e.Revision
	b.retry(j, now)
}
