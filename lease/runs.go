package lease

import (
	"errors"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// ErrTaskRunning means that a run of the task is still in the table, so no
// other run of it may be ordered.
var ErrTaskRunning = errors.New("lease: a run of the task has not ended")

// ErrStopUnanswered means that a start would extend the lease of a run that has to
// end; see RunTable.HoldsStarts.
var ErrStopUnanswered = errors.New("lease: a start would extend the lease of a run whose stop is unanswered")

// State of a run in the table.
type State string

// States of a run.
const (
	Ordered  State = "ordered"  // the start was or will be sent, and its outcome is unknown
	Running  State = "running"  // the worker accepted the start or listed the run
	Stopping State = "stopping" // a stop was or will be ordered
)

// Outcome is the result of a run that was removed from the table.
type Outcome string

// Outcomes of a run. A run with OutcomeRefused or OutcomeNeverStarted never
// began and never will; of the others at most OutcomeDone has a result.
const (
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeLeaseExpired Outcome = "lapsed"
	OutcomeLost         Outcome = "lost" // the run ended and the worker did not report how, or the worker's life ended
	OutcomeRefused      Outcome = "refused"
	OutcomeNeverStarted Outcome = "void" // the start order was never carried out
)

// RemovedRun is a run that was removed from the table because it is proved that
// nothing of it runs or will run.
type RemovedRun struct {
	Run     Run
	Outcome Outcome
	Proof   Proof
	Refusal Refusal // set with OutcomeRefused
	// Survived is how long the worker is known to have gone on after the run
	// began, if the run was lost with a life of the worker; otherwise 0.
	Survived time.Duration
	Crash    wire.CrashRole // set if the life ended by a crash
}

// Options are the parameters of a RunTable.
type Options struct {
	ID    string // identifier of the life, which orders name
	Token uint64 // first fencing token; above that of all orders to earlier lives
	// Lease is the time by which a renewal extends the lease. It also determines
	// when a worker that does not answer is silent, so that its lease is not
	// extended any more.
	Lease time.Duration
	// Validity is how long a start order is valid.
	Validity time.Duration
	// StopTime is how long a worker takes to end its runs after the lease has
	// expired.
	StopTime time.Duration
	// Renew is the usual interval between two renewals while a run is active.
	Renew time.Duration
	// StallAfter is the least time without progress after which a run is
	// stalled; 0 means never.
	StallAfter time.Duration
}

// RunTable is the table of the runs at one life of a worker. Replies to
// renewals are numbered like the renewals that they answer, from 1.
//
// Only the birth in a list tells whether an answer is that of this life: orders
// name the identifier, which the next life may have as well. See life.go.
type RunTable struct {
	options    Options
	identity   identity
	token      uint64
	tokenStep  uint64 // added to the token when the worker refuses it next
	clock      clockBound
	answeredAt time.Time  // when the newest answer of the worker arrived
	silentAt   time.Time  // when the worker becomes silent unless it answers; zero without an unanswered renewal
	latest     WorkerTime // the latest lease end in any order that was sent
	// permitted is the lease end that a renewal could have set at the time of the last
	// Permit without an unanswered stop.
	permitted   WorkerTime
	lastRenewal uint64 // number of the newest renewal
	lastReply   uint64 // number of the newest reply that was applied
	table       map[Task]*entry
	foreign     map[Run]bool // active runs that another agent process ordered
	adopted     bool         // see Adopted
	refused     bool         // a connection was refused since the newest list
	broke       bool         // the worker's side closed a connection since the newest list
	// probablyOver means that both happened and that ProbablyOver has returned true.
	probablyOver bool
	stalled      []Run // returned by the next TakeStalled
	numbers      numbers

	ends endTable
}

// entry is one run in the table.
type entry struct {
	run        Run
	validUntil WorkerTime // of the start order
	state      State
	began      bool      // the worker accepted the start or listed the run
	beganAt    time.Time // when that answer arrived
	// durable means that the end of the run will be held; see HoldEnd.
	durable bool
	// probation means that the run is suspected of a crash; see MarkProbation.
	probation bool
	// startResolved is set when the start order was answered or the wait for the
	// answer was given up. startResolvedAt is the number of the newest renewal
	// at that time: only replies to later renewals prove that the run is absent.
	startResolved   bool
	startResolvedAt uint64
	// stopAnswered is set when the worker has carried out the stop order.
	// stopAnsweredAt is the number of the newest renewal at that time.
	stopAnswered   bool
	stopAnsweredAt uint64
	progress       progress

	orderedAt time.Time
	// shown means that this life is proved to have begun the run.
	shown bool
	// carriedOver means that the start was ordered in an earlier life and may still
	// be carried out in this one. survived and crash describe the end of that life.
	carriedOver bool
	survived    time.Duration
	crash       wire.CrashRole
	crashBorn   int64 // birth of the life whose crash that was; 0 if unknown
	crashTaken  bool  // TakeSuspects returned the run
}

// NewRunTable returns the empty table of a life that is not adopted yet.
func NewRunTable(o Options) *RunTable {
	return &RunTable{
		options: o, token: o.Token, tokenStep: firstTokenStep,
		table: map[Task]*entry{}, foreign: map[Run]bool{}, numbers: newNumbers(),
	}
}

// firstTokenStep is added to the token when it is refused for the first time, in
// milliseconds like the tokens. The step doubles each time, so that after the
// wall clock was set back by an hour about a dozen orders are refused.
const firstTokenStep = 1000

// Token returns the fencing token of the next order.
func (r *RunTable) Token() uint64 { return r.token }

// raiseToken raises the token after the worker refused an order with the token
// sent, unless the token was raised since.
func (r *RunTable) raiseToken(sent uint64) {
	if sent == r.token {
		r.token += r.tokenStep
		r.tokenStep *= 2
	}
}

// Adopted reports whether this agent process may order starts at the worker. A
// worker is adopted once a reply has listed all its ends and no foreign run,
// which is an active run that another agent process, or this one in an earlier
// life, ordered. It is not adopted while a discarded end waits for the lease to
// expire. After the expiry has removed runs, or a connection was refused, it is
// adopted again by the next such reply.
func (r *RunTable) Adopted() bool { return r.adopted && !r.AwaitsLeaseExpiry() }

// Empty reports whether the table has no run.
func (r *RunTable) Empty() bool { return len(r.table) == 0 }

// Silent reports whether the worker has left a renewal unanswered for
// Options.Lease, or for the wait of the renewal and half of Options.Lease if
// that is longer. Answers to other orders do not count, because they list no
// ends.
func (r *RunTable) Silent(now time.Time) bool { return !r.silentAt.IsZero() && now.After(r.silentAt) }

// expectReply records that a renewal was sent, which the worker may answer only
// after the given wait.
func (r *RunTable) expectReply(now time.Time, wait time.Duration) {
	at := now.Add(max(r.options.Lease, wait+r.options.Lease/2))
	if r.silentAt.IsZero() || at.Before(r.silentAt) {
		r.silentAt = at
	}
}

// Start adds the next run of the task to the table and returns its start order.
// It returns ErrTaskRunning while an earlier run of the task is in the table, and
// ErrStopUnanswered if HoldsStarts. The caller must have checked Adopted, and has
// looked for expired sessions.
func (r *RunTable) Start(now time.Time, t Task, spec string) (StartOrder, error) {
	if r.table[t] != nil {
		return StartOrder{}, ErrTaskRunning
	}
	if r.HoldsStarts(now) {
		return StartOrder{}, ErrStopUnanswered
	}
	r.Permit(now)
	e := &entry{run: Run{t, r.numbers.next(now, t)}, state: Ordered, orderedAt: now, validUntil: r.clock.min(now) + r.options.Validity}
	r.table[t] = e
	r.latest = max(r.latest, e.validUntil)
	return StartOrder{Run: e.run, Spec: spec, Token: r.token, Born: r.identity.born, ValidUntil: e.validUntil}, nil
}

// StartUnsent removes a run whose start order was not sent and will not be.
func (r *RunTable) StartUnsent(run Run) []RemovedRun {
	if r.find(run) == nil {
		return nil
	}
	return r.remove(run, OutcomeNeverStarted, ProofUnsent)
}

// StartAnswered applies the answer to a start order and returns the run if it
// was refused. After an answer with RefusedOtherLife the caller also calls
// LifeEnded, unless the order was sent to an earlier life.
func (r *RunTable) StartAnswered(now time.Time, o StartOrder, a Answer) []RemovedRun {
	if e := r.find(o.Run); e != nil && e.carriedOver {
		if a.Refusal != "" {
			return r.removeRefused(o.Run, a.Refusal)
		}
		e.startResolved = true
		return nil // a list will show whether this life or the earlier one has begun the run
	}
	r.observe(now, a.Clock)
	// The worker answered when its clock was at least this, so an answer with less
	// comes from the next life, of which not even the capacity is known.
	least := o.ValidUntil - r.options.Validity
	if a.Clock > 0 && a.Clock < least-clockInaccuracy {
		r.Doubt()
	}
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
		return r.removeRefused(o.Run, a.Refusal)
	}
	e.markBegun(now)
	e.resolveStart(r.lastRenewal)
	if r.identity.proves(now, a.Clock, least) {
		e.shown = true
	} else {
		r.identity.doubt(r.lastRenewal)
	}
	return nil
}

// StartUnanswered records that the caller no longer waits for the answer to a
// start order. The order may have been carried out, or may be until its
// validity ends.
func (r *RunTable) StartUnanswered(run Run) {
	if e := r.find(run); e != nil {
		e.resolveStart(r.lastRenewal)
	}
}

// StartPending reports whether the start order still has to be sent: the run is
// in the table, its start is not known to be carried out, and no stop was
// requested.
func (r *RunTable) StartPending(run Run) bool {
	e := r.find(run)
	return e != nil && e.state == Ordered
}

// Stop requests the end of a run. It reports whether the caller has to order the
// stop; false means that the run is not in the table or that its stop was
// requested before.
func (r *RunTable) Stop(run Run) bool {
	e := r.find(run)
	if e == nil || e.state == Stopping {
		return false
	}
	e.state = Stopping
	return true
}

// PendingStop returns the order that stops the run, and whether it is still
// needed. The caller sends it until StopAnswered returns true or it is not
// needed any more.
func (r *RunTable) PendingStop(run Run) (StopOrder, bool) {
	e := r.find(run)
	needed := e != nil && e.state == Stopping && !e.stopAnswered || r.foreign[run]
	return StopOrder{Run: run, Token: r.token}, needed
}

// StopAnswered applies the answer to a stop order and reports whether the worker
// carried it out. RefusedRunTooOld counts as such, because the run has been
// stopped or has ended. If another life carried it out, the next list tells.
func (r *RunTable) StopAnswered(now time.Time, o StopOrder, a Answer) bool {
	r.observe(now, a.Clock)
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

// Renewal is an order returned by Renew. Its number relates the reply to it.
type Renewal struct {
	RenewOrder
	number    uint64
	sentAt    time.Time
	suspended time.Duration // see RunTable.CountSuspension
}

// SentAt returns the time at which the renewal was sent.
func (n Renewal) SentAt() time.Time { return n.sentAt }

// Renew returns the next renewal, which the worker answers after the given wait
// at the latest. The renewal extends the lease if extendsLease allows it. It
// lets the lease expire if the worker is silent or a discarded end waits for the
// expiry. While it is in doubt whether another life answers, the renewal neither
// extends the lease nor acknowledges ends, because that life would do both. The
// caller has looked for expired sessions.
func (r *RunTable) Renew(now time.Time, wait time.Duration) Renewal {
	r.lastRenewal++
	r.Permit(now)
	r.expectReply(now, wait)
	o := RenewOrder{Token: r.token, Born: r.identity.born, Wait: wait}
	if !r.identity.doubted {
		o.Acked = r.ends.ackSequence()
		if r.extendsLease() && !r.Silent(now) && !r.AwaitsLeaseExpiry() {
			o.LeaseEnd = r.clock.min(now) + r.options.Lease
			r.latest = max(r.latest, o.LeaseEnd)
		}
	}
	return Renewal{o, r.lastRenewal, now, r.identity.suspended}
}

// extendsLease reports whether a renewal may extend the lease: a run has to go
// on, and no stop is unanswered. The lease covers all runs, so with an extended
// lease a worker that answers renewals but not stops would continue a run that
// has to end.
func (r *RunTable) extendsLease() bool {
	for _, e := range r.table {
		if e.state != Stopping {
			return !r.stopUnanswered()
		}
	}
	return false
}

// stopUnanswered reports whether a stop was requested and not answered yet.
func (r *RunTable) stopUnanswered() bool {
	for _, e := range r.table {
		if e.state == Stopping && !e.stopAnswered {
			return true
		}
	}
	return false
}

// Permit records that the lease may be extended now, unless a stop is unanswered.
// Renew and Start do the same. The caller has looked for expired sessions, and calls
// it before it requests a stop for another reason.
func (r *RunTable) Permit(now time.Time) {
	if !r.stopUnanswered() {
		r.permitted = max(r.permitted, r.clock.min(now)+r.options.Lease)
	}
}

// HoldsStarts reports whether a start would extend the lease, which covers all runs,
// although a stop is unanswered: its order would be valid for longer than a renewal
// could have extended the lease at the last Permit before the stop was requested. A
// worker that answers starts but not stops would otherwise continue a run that has
// to end. A stop that is answered within Options.Lease less Options.Validity after
// that Permit holds no start.
func (r *RunTable) HoldsStarts(now time.Time) bool {
	return r.clock.min(now)+r.options.Validity > r.permitted && r.stopUnanswered()
}

// RunOf returns the run of the task in the table, and false if there is none.
func (r *RunTable) RunOf(t Task) (Run, bool) {
	if e := r.table[t]; e != nil {
		return e.run, true
	}
	return Run{}, false
}

// Began reports whether the run is in the table and the worker has accepted its
// start or listed it.
func (r *RunTable) Began(run Run) bool {
	e := r.find(run)
	return e != nil && e.began
}

// LeaseEnd returns the latest lease end in any order that was sent, and a lower
// bound of the worker's clock.
func (r *RunTable) LeaseEnd(now time.Time) (end, clock WorkerTime) { return r.latest, r.clock.min(now) }

// find returns the entry of the run, or nil.
func (r *RunTable) find(run Run) *entry {
	if e := r.table[run.Task]; e != nil && e.run == run {
		return e
	}
	return nil
}

// remove removes a run from the table. It remembers the run for the case that its
// end is listed later. A refused run never began: an end with its number is that
// of a run of another agent process.
func (r *RunTable) remove(run Run, outcome Outcome, proof Proof) []RemovedRun {
	e := r.table[run.Task]
	if outcome != OutcomeRefused {
		r.ends.recordRemoval(run, removal{e.durable, outcome})
	}
	delete(r.table, run.Task)
	return []RemovedRun{{Run: run, Outcome: outcome, Proof: proof, Survived: e.survived, Crash: e.crash}}
}

// removeRefused removes a run whose start order the worker refused.
func (r *RunTable) removeRefused(run Run, refusal Refusal) []RemovedRun {
	removed := r.remove(run, OutcomeRefused, ProofRefused)
	removed[0].Refusal = refusal
	return removed
}

// outcomeIfBegun returns the outcome of a run that is absent at the worker: the
// given one if it began, otherwise OutcomeNeverStarted.
func (e *entry) outcomeIfBegun(outcome Outcome) Outcome {
	if !e.began {
		return OutcomeNeverStarted
	}
	return outcome
}

// markBegun records that the worker accepted the start or listed the run, in an
// answer that arrived at the given time.
func (e *entry) markBegun(now time.Time) {
	if !e.began {
		e.began, e.beganAt = true, now
	}
	if e.state == Ordered {
		e.state = Running
	}
}

// resolveStart records that the start order was answered or given up when the
// newest renewal had the number renewal.
func (e *entry) resolveStart(renewal uint64) { e.startResolved, e.startResolvedAt = true, renewal }
