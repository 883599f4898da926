package lease

import (
	"errors"
	"time"
)

// ErrTaskRunning means that a run of the task is in the table, so that no other
// may be ordered.
var ErrTaskRunning = errors.New("lease: a run of the task has not ended")

// State of a run in the table.
type State string

// States of a run.
const (
	Ordered  State = "ordered"  // the start was sent, its outcome is pending
	Running  State = "running"  // the worker accepted the start or listed the run
	Stopping State = "stopping" // a stop is or will be ordered
)

// Outcome is how a run left the table.
type Outcome string

// Fates of a run. A run with OutcomeRefused or OutcomeNeverStarted never began and never
// will; of the others at most OutcomeDone has a result.
const (
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeLeaseExpired Outcome = "lapsed" // its lease ended
	OutcomeLost         Outcome = "lost"   // it ended and the worker does not say how, or the worker's life ended
	OutcomeRefused      Outcome = "refused"
	OutcomeNeverStarted Outcome = "void" // its order was never carried out
)

// RemovedRun is a run that left the table, because it is proved that nothing of it
// runs or will run.
type RemovedRun struct {
	Run     Run
	Outcome Outcome
	Refusal Refusal // with FateRefused
}

// Options of a Runs.
type Options struct {
	Life  Life   // of the worker
	Token uint64 // first fencing token
	// Lease is how far a renewal extends the lease. A worker that owes an
	// answer for as long is silent, and its lease is not extended any more.
	Lease time.Duration
	// Validity of a start order.
	Validity time.Duration
	// StopTime is how long a worker takes to end a run whose lease ended.
	StopTime time.Duration
	// Renew is the usual interval between two lists while something runs.
	Renew time.Duration
	// StallAfter is the least time without progress after which a run is
	// stalled; 0 means never.
	StallAfter time.Duration
}

// RunTable is the table of the runs at one life of a worker.
type RunTable struct {
	options     Options
	token       uint64
	tokenStep   uint64 // by which the token is raised next
	clock       clockBound
	silentAt    time.Time  // when the worker counts as silent unless it answers; zero: no renewal is out
	latest      WorkerTime // the latest end of the lease that was ever sent
	lastRenewal uint64     // number of the newest renewal
	lastReply   uint64     // number of the renewal that the newest list answers
	table       map[Task]*entry
	foreign     map[Run]bool // runs that another agent process ordered
	noForeign   bool         // the newest list had no foreign run
	stalled     []Run        // for TakeStalled
	numbers     numbers

	ends endTable
}

// entry is one run in the table.
type entry struct {
	run        Run
	validUntil WorkerTime // of its order
	state      State
	began      bool // the worker accepted the start or listed the run
	// durable is set when the end of the run is held.
	durable bool
	// startResolved is set when the order was answered or given up, and then
	// settledAt is the number of the newest renewal sent by then. Only lists
	// of later renewals prove that the run is not there.
	startResolved   bool
	startResolvedAt uint64
	// stopAnswered and stoppedAt say the same of its stop.
	stopAnswered   bool
	stopAnsweredAt uint64
	progress       progress
}

// NewRunTable returns the empty table of a life that is not adopted yet.
func NewRunTable(o Options) *RunTable {
	return &RunTable{
		options: o, token: o.Token, tokenStep: firstTokenStep,
		table: map[Task]*entry{}, foreign: map[Run]bool{}, numbers: newNumbers(),
	}
}

// firstTokenStep is the first step by which a token that was refused is raised. It
// doubles each time, so that a wall clock that was set back by an hour costs
// about a dozen orders. In milliseconds, as the tokens.
const firstTokenStep = 1000

// Token returns the fencing token of the next order.
func (r *RunTable) Token() uint64 { return r.token }

// raiseToken raises the token if the worker raiseToken the present one.
func (r *RunTable) raiseToken(sent uint64) {
	if sent == r.token {
		r.token += r.tokenStep
		r.tokenStep *= 2
	}
}

// Adopted reports whether the worker has shown that it runs nothing but what
// is in the table, and all its ends. Before that, and while a voided end waits
// for the end of the lease, nothing may be ordered.
func (r *RunTable) Adopted() bool { return r.noForeign && !r.AwaitsLeaseExpiry() }

// Empty reports whether the table has no run.
func (r *RunTable) Empty() bool { return len(r.table) == 0 }

// Silent reports whether the worker owes the answer to a renewal for the time
// of a lease. Answers to other orders do not count, because they show no ends.
func (r *RunTable) Silent(now time.Time) bool { return !r.silentAt.IsZero() && now.After(r.silentAt) }

// expectReply notes that a renewal is out that waits for the given time.
func (r *RunTable) expectReply(now time.Time, wait time.Duration) {
	at := now.Add(max(r.options.Lease, wait+r.options.Lease/2))
	if r.silentAt.IsZero() || at.Before(r.silentAt) {
		r.silentAt = at
	}
}

// Start enters the next run of the task and returns its order. It returns
// ErrTaskRuns while an earlier run of the task is in the table. The caller has
// checked Adopted.
func (r *RunTable) Start(now time.Time, t Task, spec string) (StartOrder, error) {
	if r.table[t] != nil {
		return StartOrder{}, ErrTaskRunning
	}
	e := &entry{run: Run{t, r.numbers.next(now, t)}, state: Ordered, validUntil: r.clock.min(now) + r.options.Validity}
	r.table[t] = e
	r.latest = max(r.latest, e.validUntil)
	return StartOrder{Run: e.run, Spec: spec, Token: r.token, ValidUntil: e.validUntil}, nil
}

// StartUnsent takes out a run whose order was not and will not be sent.
func (r *RunTable) StartUnsent(run Run) []RemovedRun {
	if r.find(run) == nil {
		return nil
	}
	return r.remove(run, OutcomeNeverStarted, "")
}

// StartAnswered takes the answer to a start order. An answer with RefusedLife
// is left to LifeEnded.
func (r *RunTable) StartAnswered(now time.Time, o StartOrder, a Answer) []RemovedRun {
	r.clock.observe(now, a.Clock)
	switch a.Refusal {
	case RefusedTokenTooLow:
		r.raiseToken(o.Token)
	case RefusedRunTooOld:
		r.numbers.raiseAbove(now, o.Run)
	}
	e := r.find(o.Run)
	if e == nil {
		return nil
	}
	if a.Refusal != "" {
		return r.remove(o.Run, OutcomeRefused, a.Refusal)
	}
	e.markBegun()
	e.resolveStart(r.lastRenewal)
	return nil
}

// StartUnanswered says that the wait for the answer to a start was given up.
// The order may have been carried out, and may be until its validity ends.
func (r *RunTable) StartUnanswered(run Run) {
	if e := r.find(run); e != nil {
		e.resolveStart(r.lastRenewal)
	}
}

// StartPending reports whether the start of the run is still to be sent: the run is
// in the table and no stop was decided meanwhile.
func (r *RunTable) StartPending(run Run) bool {
	e := r.find(run)
	return e != nil && e.state == Ordered
}

// Stop decides that the run has to end. It reports whether a stop has to be
// ordered that was not decided before.
func (r *RunTable) Stop(run Run) bool {
	e := r.find(run)
	if e == nil || e.state == Stopping {
		return false
	}
	e.state = Stopping
	return true
}

// PendingStop returns the order that stops the run, or false when none is needed
// any more. It is to be sent until an answer is given to StopAnswered.
func (r *RunTable) PendingStop(run Run) (StopOrder, bool) {
	e := r.find(run)
	needed := e != nil && e.state == Stopping && !e.stopAnswered || r.foreign[run]
	return StopOrder{Run: run, Token: r.token}, needed
}

// StopAnswered takes the answer to a stop order and reports whether the worker
// carried it out. A run that is too old to be stopped has been stopped or has
// ended.
func (r *RunTable) StopAnswered(now time.Time, o StopOrder, a Answer) bool {
	r.clock.observe(now, a.Clock)
	switch a.Refusal {
	case RefusedTokenTooLow:
		r.raiseToken(o.Token)
		return false
	case "", RefusedRunTooOld:
	default:
		return false
	}
	if e := r.find(o.Run); e != nil {
		e.stopAnswered, e.stopAnsweredAt = true, r.lastRenewal
	}
	return true
}

// Renewal is an order that was handed out by Renew, with its number.
type Renewal struct {
	RenewOrder
	number uint64
}

// Renew returns the next renewal, which waits at the worker for at most the
// given time. It extends the lease while a run is there that is not being
// stopped and no stop is unanswered, unless the worker has been silent for the
// time of a lease or a voided end waits: then the end of the lease is let come.
func (r *RunTable) Renew(now time.Time, wait time.Duration) Renewal {
	r.lastRenewal++
	r.expectReply(now, wait)
	o := RenewOrder{Token: r.token, Acked: r.ends.ackSequence(), Wait: wait}
	if r.extendsLease() && !r.Silent(now) && !r.AwaitsLeaseExpiry() {
		o.LeaseEnd = r.clock.min(now) + r.options.Lease
		r.latest = max(r.latest, o.LeaseEnd)
	}
	return Renewal{o, r.lastRenewal}
}

// extendsLease reports whether a renewal extendsLease the lease. It covers all runs, so
// it is not extended while a stop is unanswered: a worker that answers renewals
// and not stops would go on with a run that has to end.
func (r *RunTable) extendsLease() bool {
	extends := false
	for _, e := range r.table {
		switch {
		case e.state != Stopping:
			extends = true
		case !e.stopAnswered:
			return false
		}
	}
	return extends
}

// RunOf returns the run of the task that is in the table.
func (r *RunTable) RunOf(t Task) (Run, bool) {
	if e := r.table[t]; e != nil {
		return e.run, true
	}
	return Run{}, false
}

// RenewalAnswered takes the answer to a renewal. It returns the runs that left the
// table, and those that have to be stopped as Stop would report them. A list
// with RefusedLife is left to LifeEnded.
func (r *RunTable) RenewalAnswered(now time.Time, n Renewal, l RenewReply) (removed []RemovedRun, toStop []Run) {
	r.clock.observe(now, l.Clock)
	r.silentAt = time.Time{}
	if l.Refusal == RefusedTokenTooLow {
		r.raiseToken(n.Token)
	}
	if l.Refusal != "" || n.number <= r.lastReply {
		return nil, nil // a list that arrives late shows runs that ended since
	}
	previous := r.lastReply
	r.lastReply = n.number
	r.ends.truncated = len(l.Ended) >= MaxEnds
	if r.ends.earlierLeaseEnd == 0 && l.Clock > 0 {
		// The worker took the token, so it carries out no older order later.
		r.ends.earlierLeaseEnd = l.Clock + maxLease
	}
	removed = r.applyEnds(now, l.Ended)
	toStop = r.applyActive(now, previous, l)
	absent, doubtful := r.applyAbsent(n.number, l)
	return append(removed, absent...), append(toStop, doubtful...)
}

// applyEnds takes the applyEnds of a list.
func (r *RunTable) applyEnds(now time.Time, ended []RunEnd) []RemovedRun {
	var removed []RemovedRun
	for _, end := range r.ends.takeNew(ended) {
		r.numbers.record(now, end.Run)
		e := r.find(end.Run)
		r.holdListed(now, end, e)
		if e != nil {
			delete(r.table, end.Run.Task)
			removed = append(removed, RemovedRun{Run: end.Run, Outcome: outcomeOf(end.Reason)})
		}
	}
	return removed
}

// outcomeOf is the fate of a run whose end is listed.
func outcomeOf(h EndReason) Outcome {
	switch h {
	case Done:
		return OutcomeDone
	case Failed:
		return OutcomeFailed
	case Stopped:
		return OutcomeStopped
	case LeaseExpired:
		return OutcomeLeaseExpired
	}
	return OutcomeLost
}

// applyActive takes the applyActive runs of a list and returns the foreign ones that it
// shows for the first time.
func (r *RunTable) applyActive(now time.Time, previous uint64, l RenewReply) []Run {
	var fresh []Run
	foreign := map[Run]bool{}
	for _, a := range l.Active {
		r.numbers.record(now, a.Run)
		if e := r.find(a.Run); e != nil {
			e.markBegun()
			if e.progress.update(r.options, previous, r.lastReply, l.Clock, a.Percent) && e.state == Running {
				r.stalled = append(r.stalled, a.Run)
			}
			continue
		}
		foreign[a.Run] = true
		if !r.foreign[a.Run] {
			fresh = append(fresh, a.Run)
		}
	}
	// Ends that are not listed yet may be those of runs that other agent
	// processes ordered.
	r.foreign, r.noForeign = foreign, len(foreign) == 0 && (r.noForeign || !r.ends.truncated)
	return fresh
}

// applyAbsent handles the runs that a list shows neither active nor ended. A list
// that may lack ends proves nothing of them.
func (r *RunTable) applyAbsent(number uint64, l RenewReply) (removed []RemovedRun, toStop []Run) {
	if r.ends.truncated {
		return nil, nil
	}
	shown := make(map[Run]bool, len(l.Active))
	for _, a := range l.Active {
		shown[a.Run] = true
	}
	for _, e := range r.table {
		if shown[e.run] {
			continue
		}
		settled := e.startResolved && number > e.startResolvedAt
		switch {
		case settled && e.stopAnswered && number > e.stopAnsweredAt:
			removed = append(removed, r.remove(e.run, e.outcomeIfBegun(OutcomeStopped), "")...)
		case settled && l.Clock > e.validUntil:
			removed = append(removed, r.remove(e.run, e.outcomeIfBegun(OutcomeLost), "")...)
		case settled && e.state == Ordered:
			e.state = Stopping
			toStop = append(toStop, e.run)
		}
	}
	return removed, toStop
}

// LifeEnded takes out all runs because the worker's life has ended. Its ends
// have gone with it.
func (r *RunTable) LifeEnded() []RemovedRun {
	r.noForeign, r.ends = false, endTable{}
	return r.removeAll(OutcomeLost)
}

func (r *RunTable) removeAll(f Outcome) []RemovedRun {
	var removed []RemovedRun
	for _, e := range r.table {
		removed = append(removed, r.remove(e.run, f, "")...)
	}
	return removed
}

// Began reports whether the run is in the table and the worker has accepted its
// start or listed it.
func (r *RunTable) Began(run Run) bool {
	e := r.find(run)
	return e != nil && e.began
}

// RunInfo is one run of the table, for the state dump.
type RunInfo struct {
	Run   Run
	State State
	Began bool // the worker accepted the start or listed the run

	Progress Progress
}

// Runs returns the runs of the table in no particular order.
func (r *RunTable) Runs() []RunInfo {
	out := make([]RunInfo, 0, len(r.table))
	for _, e := range r.table {
		out = append(out, RunInfo{e.run, e.state, e.began, e.progress.Progress})
	}
	return out
}

// LeaseEnd returns the latest end of the lease that was ever sent and a lower bound
// of the worker's clock.
func (r *RunTable) LeaseEnd(now time.Time) (end, clock WorkerTime) { return r.latest, r.clock.min(now) }

// find returns the entry of the run, or nil.
func (r *RunTable) find(run Run) *entry {
	if e := r.table[run.Task]; e != nil && e.run == run {
		return e
	}
	return nil
}

func (r *RunTable) remove(run Run, f Outcome, refusal Refusal) []RemovedRun {
	if f != OutcomeRefused {
		r.ends.recordRemoval(run, removal{r.table[run.Task].durable, f == OutcomeLeaseExpired})
	}
	delete(r.table, run.Task)
	return []RemovedRun{{run, f, refusal}}
}

// outcomeIfBegun is the fate of a run that is not there any more: f if it began.
func (e *entry) outcomeIfBegun(f Outcome) Outcome {
	if !e.began {
		return OutcomeNeverStarted
	}
	return f
}

func (e *entry) markBegun() {
	e.began = true
	if e.state == Ordered {
		e.state = Running
	}
}

func (e *entry) resolveStart(asked uint64) { e.startResolved, e.startResolvedAt = true, asked }
