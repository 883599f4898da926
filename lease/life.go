package lease

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

const (
	// MaxOrderDelay bounds how long after it was sent an unanswered start order may
	// be carried out by a later life of the worker. The platform says "seconds later"
	// and gives no bound; its workers carry out such orders at most 12 s later.
	MaxOrderDelay = 12 * time.Second
	// releaseAfter is how long after its run was entered into the table such an order
	// counts as being under way. It is sent after that, on a busy machine some tens of
	// milliseconds.
	releaseAfter = MaxOrderDelay + 500*time.Millisecond
)

// clockInaccuracy covers that clocks are stated in whole milliseconds, and that
// suspensions of less than 10 ms are not counted.
const clockInaccuracy = 11 * time.Millisecond

// identity tells answers of one life of a worker from those of the next one, which
// may have the same identifier. Lists state the birth of their process; answers to
// starts and stops state only its clock, which starts anew in each life.
type identity struct {
	born        int64      // 0 until a list has stated it
	listed      bool       // a list was applied
	firstSample WorkerTime // clock in the first list
	listSample  WorkerTime // clock in the newest list
	listSentAt  time.Time  // when the renewal was sent that the newest list answers
	// suspended is for how long the agent's machine was suspended so far, and
	// listSuspended the same when that renewal was sent.
	suspended, listSuspended time.Duration
	// doubted means that a start was accepted by an answer that may be that of the
	// next life, or that a connection was refused. The list that answers a renewal
	// after doubtedAt settles it.
	doubted   bool
	doubtedAt uint64
}

// applyList applies a list of this life.
func (i *identity) applyList(n Renewal, reply RenewReply) {
	if !i.listed {
		i.listed, i.born, i.firstSample = true, reply.Born, reply.Clock
	}
	i.listSample, i.listSentAt, i.listSuspended = reply.Clock, n.sentAt, n.suspended
	i.doubted = i.doubted && n.number <= i.doubtedAt
}

// proves reports whether an answer with the given clock, which has arrived now,
// can only be that of this life. The next life began after the newest list was
// requested, and its clock began where that of this life did, so it cannot have
// got that far. The time for which the agent's machine was suspended counts, because
// the worker may have started while the agent's steady clock stood still. Should the
// clock of the next life begin elsewhere, it is hardly within the bounds of this one:
// least, and the newest list's clock with the time since.
func (i *identity) proves(now time.Time, clock, least WorkerTime) bool {
	elapsed := now.Sub(i.listSentAt) + i.suspended - i.listSuspended + clockInaccuracy
	return i.listed && i.firstSample > 0 && clock > i.firstSample+elapsed &&
		clock > least-clockInaccuracy && clock < i.listSample+elapsed
}

// CountSuspension records for how long the agent's machine was suspended in all since
// the process began. The caller calls it before Renew and before it applies an answer.
func (r *RunTable) CountSuspension(total time.Duration) { r.identity.suspended = total }

// doubt records that the next life may answer, when the newest renewal had the
// given number.
func (i *identity) doubt(renewal uint64) { i.doubted, i.doubtedAt = true, renewal }

// Life returns the identifier and the birth of the life; Born is 0 until a list
// has stated it.
func (r *RunTable) Life() Life { return Life{r.options.ID, r.identity.born} }

// Doubted reports whether the next life of the worker may have answered. The caller
// then sends a renewal at once, because the lease is not extended until a list
// settles it.
func (r *RunTable) Doubted() bool { return r.identity.doubted }

// Listed reports whether the worker has listed its runs in this life.
func (r *RunTable) Listed() bool { return r.identity.listed }

// OtherLife reports whether the reply to a renewal is that of another life of the
// worker. As it answers an order that was sent after this life had answered, this
// life has ended. A worker that states no birth is told apart by its identifier
// only.
func (r *RunTable) OtherLife(reply RenewReply) bool {
	if reply.Refusal != "" {
		return reply.Refusal == RefusedOtherLife
	}
	return r.identity.born != 0 && reply.Born != 0 && reply.Born != r.identity.born
}

// ConnectionRefused records that a connection to the worker was refused. The
// process may have ended, or something on the way refuses, so the worker is not
// adopted until it lists its runs again.
func (r *RunTable) ConnectionRefused() {
	r.refused = true
	r.Doubt()
}

// Doubt records that the next life of the worker may answer under the same
// identifier. The worker is not adopted until it lists its runs again.
func (r *RunTable) Doubt() {
	r.adopted = false
	r.identity.doubt(r.lastRenewal)
}

// ConnectionBroke records that the worker's side closed the connection of an order
// before its answer. The next life may get the renewals that follow, so they do not
// extend the lease until a list has come.
func (r *RunTable) ConnectionBroke() {
	r.broke = true
	r.identity.doubt(r.lastRenewal)
}

// ProbablyOver reports, once, that since the newest list a connection broke and
// another was refused. The end of the worker's process does both, but so may
// something on the way, so nothing follows for the runs. The caller says whether it
// would be a crash; TakeSuspects then returns its suspects. Later orders have a higher
// token, so that the next life refuses those that were sent before.
func (r *RunTable) ProbablyOver(crashed bool) bool {
	if r.probablyOver || !r.refused || !r.broke || !r.identity.listed {
		return false
	}
	r.token++
	r.attributeCrash(crashed)
	r.probablyOver = true
	return true
}

// goesOn records that the life has answered with a list. It did not crash, and neither
// did an earlier life in this table that has the same birth: that one was taken for over
// because connections were refused until its lease had expired.
func (r *RunTable) goesOn() {
	r.refused, r.broke = false, false
	for _, e := range r.table {
		same := e.crashBorn != 0 && e.crashBorn == r.identity.born
		if e.carriedOver && same || !e.carriedOver && r.probablyOver {
			e.survived, e.crash, e.crashTaken, e.crashBorn = 0, wire.CrashNone, false, 0
		}
	}
	r.probablyOver = false
}

// Over reports whether none of the life's runs goes on: connections were refused
// until the lease of the runs has certainly expired. That a connection broke before is
// no proof. Without runs there is nothing to give up: the life stays, and keeps its
// held ends, until a list shows another birth.
func (r *RunTable) Over(now time.Time) bool {
	return r.refused && r.identity.listed && !r.Empty() && r.clock.min(now)-r.options.StopTime > r.latest
}

// HasOwnRuns reports whether a run in the table was ordered in this life, so that only
// its end or that of the lease proves that the run is over.
func (r *RunTable) HasOwnRuns() bool {
	for _, e := range r.table {
		if !e.carriedOver {
			return true
		}
	}
	return false
}

// LifeEnded removes and returns all runs because the worker's life has ended, by a
// crash or as it was announced, and its identifier is not used again. Held ends
// are dropped: the worker has lost its list of ends.
func (r *RunTable) LifeEnded(crashed bool) []RemovedRun {
	r.attributeCrash(crashed)
	r.adopted, r.ends = false, endTable{}
	return r.removeWhere(OutcomeLost, ProofOtherIdentifier, func(*entry) bool { return true })
}

// LifeReplaced removes and returns the runs that have ended because the worker's
// life has, and returns the table of the next life, which may have the same
// identifier. A run that this life is not proved to have begun is carried over to
// that table: the next life has seen no fencing token and may carry out its start
// order, until it has accepted the higher token of the next table.
func (r *RunTable) LifeReplaced(crashed bool, token uint64) (*RunTable, []RemovedRun) {
	r.attributeCrash(crashed)
	removals := r.ends.removals
	r.adopted, r.ends = false, endTable{removals: removals}
	lost := r.removeWhere(OutcomeLost, ProofLifeOver, func(e *entry) bool { return e.shown && !e.carriedOver })
	o := r.options
	o.Token = token
	next := NewRunTable(o)
	next.numbers, next.ends.removals = r.numbers, r.ends.removals
	for t, e := range r.table {
		next.table[t] = &entry{
			run: e.run, state: Stopping, durable: e.durable, probation: e.probation, orderedAt: e.orderedAt,
			carriedOver: true, survived: e.survived, crash: e.crash, crashBorn: e.crashBorn, startResolved: e.startResolved, crashTaken: e.crashTaken,
		}
	}
	return next, lost
}

// attributeCrash records for each run its part in the end of this life, if that
// was a crash. Runs that were carried over keep their part in the end of an
// earlier life, and all keep what was reported when the life was probably over.
func (r *RunTable) attributeCrash(crashed bool) {
	if r.probablyOver {
		return
	}
	suspected := r.suspects()
	roles := map[*entry]wire.CrashRole{}
	for _, e := range r.table {
		switch {
		case !crashed:
		case suspected(e) && !e.began:
			roles[e] = wire.CrashUnconfirmed
		case suspected(e):
			roles[e] = wire.CrashSuspect
		default:
			roles[e] = wire.CrashBystander
		}
	}
	for _, e := range r.table {
		if !e.carriedOver {
			e.survived, e.crash, e.crashBorn = e.survivedUntil(r.answeredAt), roles[e], r.identity.born
		}
	}
}

// removeOverdue removes and returns the runs that were carried over and whose
// start orders are older than releaseAfter. Without it a task would wait for the
// next life of a worker that never returns.
func (r *RunTable) removeOverdue(now time.Time) []RemovedRun {
	return r.removeWhere(OutcomeLost, ProofOverdue, func(e *entry) bool { return e.carriedOver && !r.foreign[e.run] && now.Sub(e.orderedAt) > releaseAfter })
}

// removeWhere removes and returns the runs that meet the condition, with the given
// outcome and proof.
func (r *RunTable) removeWhere(outcome Outcome, proof Proof, condition func(*entry) bool) []RemovedRun {
	var removed []RemovedRun
	for _, e := range r.table {
		if condition(e) {
			removed = append(removed, r.remove(e.run, outcome, proof)...)
		}
	}
	return removed
}
