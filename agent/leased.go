package agent

import (
	"context"
	"errors"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// maxRaisedOrders bounds how often one task is ordered again after the worker
// refused its run number or fencing token as too low. Each raise doubles the
// number or the step of the token, so 16 raises exceed any value that a worker
// can have seen.
const maxRaisedOrders = 16

// leasedExecutor runs tasks at a worker of leased tasks. It orders runs of the
// tasks, keeps them in a lease.RunTable, and renews the lease of all runs.
// Agent.mu guards the fields from life on.
type leasedExecutor struct {
	agent    *Agent
	settings settings.Leased
	wake     chan struct{} // capacity 1; signals that a new life was announced

	life          *life // nil while no life is known
	announcements announcements
	verifying     bool      // verifyAnnounced is in progress
	highestToken  uint64    // highest fencing token that was used in any life
	suspects      []suspect // of the crashes within crashReportTime, oldest first
}

func newLeasedExecutor(a *Agent) *leasedExecutor {
	return &leasedExecutor{
		agent: a, settings: *a.settings.Leased, wake: make(chan struct{}, 1),
		highestToken: uint64(time.Now().UnixMilli()),
	}
}

// close does nothing, because run closes the connections to the worker when the
// agent's Run ends.
func (l *leasedExecutor) close() {}

// attempt is one start order for a task.
type attempt struct {
	life       *life // Agent.mu guards it: a run that is carried over changes its life
	order      lease.StartOrder
	job        string // the entry's identifier of the job
	orderedAt  time.Time
	removed    chan lease.RemovedRun // capacity 1; gets the run when it is removed from the table
	processCtx context.Context       // ends with the agent's process
}

// do implements executor. It orders the task at the worker and returns when the
// run was removed from the table. It orders the task again if the worker refused
// the order because of its number, token or validity.
func (l *leasedExecutor) do(ctx context.Context, t wire.Task) wire.Result {
	raisedOrders, expiredOrders := 0, 0
	for {
		at, refusal := l.orderStart(ctx, t)
		if refusal != nil {
			return *refusal
		}
		removed := l.awaitRemoval(ctx, at)
		switch {
		case removed.Outcome != lease.OutcomeRefused || ctx.Err() != nil:
			r := l.resultOf(ctx, removed)
			if t.Leased.Durable && (removed.Outcome == lease.OutcomeDone || removed.Outcome == lease.OutcomeFailed) {
				l.agent.mu.Lock()
				r.Tag = at.life.runs.Life().Tag(removed.Run)
				l.agent.mu.Unlock()
			}
			return r
		case removed.Refusal == lease.RefusedRunTooOld || removed.Refusal == lease.RefusedTokenTooLow:
			raisedOrders++
		case removed.Refusal == lease.RefusedOrderExpired:
			expiredOrders++ // the answer contained a new sample of the worker's clock
		default:
			return l.resultOf(ctx, removed)
		}
		if raisedOrders > maxRaisedOrders || expiredOrders > 1 {
			return l.resultOf(ctx, removed)
		}
	}
}

// orderStart enters a run of the task into the table and sends its start order.
// It checks again what may have changed since the task was accepted, because no
// order may be sent after the worker announced that it drains or after the data
// centre went out of service.
func (l *leasedExecutor) orderStart(ctx context.Context, t wire.Task) (*attempt, *wire.Result) {
	a, now := l.agent, l.agent.clock.Now()
	refuse := func(r wire.Reason) (*attempt, *wire.Result) {
		result := notRun(r, "")
		return nil, &result
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	life := l.life
	// After a pause of this process the session may have expired long ago.
	a.expireSessions(now)
	if ctx.Err() != nil {
		return refuse(leasedReasonOf(ctx, wire.ReasonCancelled))
	}
	if len(a.leaving) > 0 || life == nil || !life.described() || !life.runs.Adopted() {
		return refuse(wire.ReasonAgentLeaving)
	}
	if ok, reason := a.mayStart(now); !ok {
		return refuse(reason)
	}
	empty := life.runs.Empty()
	o, err := life.runs.Start(time.Now(), leaseTask(t), t.Leased.Spec)
	switch {
	case errors.Is(err, lease.ErrStopUnanswered):
		l.updateLeaving()
		return refuse(wire.ReasonAgentLeaving)
	case err != nil:
		// The job was sent again, to another entry, before the old run ended.
		return refuse(wire.ReasonAgentBusy)
	}
	if empty {
		life.renewSoon(false) // a renewal in progress was sent without extending the lease
	}
	at := &attempt{life: life, order: o, job: t.Job, orderedAt: time.Now(), removed: make(chan lease.RemovedRun, 1), processCtx: a.taskCtx}
	life.attempts[o.Run] = at
	if t.Leased.Durable {
		life.runs.HoldEnd(o.Run)
	}
	if t.Leased.Probation {
		life.runs.MarkProbation(o.Run)
	}
	go l.sendStart(at)
	return at, nil
}

// awaitRemoval waits until the run is removed from the table, and stops the run
// when ctx ends. When the process ends it returns at once; the run then ends with
// its lease.
func (l *leasedExecutor) awaitRemoval(ctx context.Context, at *attempt) lease.RemovedRun {
	select {
	case removed := <-at.removed:
		return removed
	case <-ctx.Done():
	}
	l.agent.mu.Lock()
	l.agent.expireSessions(l.agent.clock.Now())
	at.life.runs.Permit(time.Now())
	l.recordStop(ctx, at)
	l.orderStop(at.life, at.order.Run)
	l.agent.mu.Unlock()
	select {
	case removed := <-at.removed:
		return removed
	case <-at.processCtx.Done():
		return lease.RemovedRun{Run: at.order.Run}
	}
}

// orderStop starts stopping the run, unless that was done before; the caller
// holds mu.
func (l *leasedExecutor) orderStop(life *life, run lease.Run) {
	if !life.ended && life.runs.Stop(run) {
		go l.stopRun(life, run)
	}
}

// stopTask starts stopping the run of a task, if there is one; the caller holds
// mu.
func (l *leasedExecutor) stopTask(t wire.Task) {
	if l.life == nil {
		return
	}
	if run, ok := l.life.runs.RunOf(leaseTask(t)); ok {
		l.orderStop(l.life, run)
	}
}

// leaseTask returns the name under which the worker knows a leased task.
func leaseTask(t wire.Task) lease.Task {
	return lease.Task{Job: t.Leased.Job, Step: t.Leased.Step, Index: t.Index}
}

// notifyRemoved wakes the tasks whose runs were removed from the table; the
// caller holds mu.
func (l *leasedExecutor) notifyRemoved(life *life, removed []lease.RemovedRun) {
	for _, r := range removed {
		at := life.attempts[r.Run]
		l.recordRemoval(life, at, r)
		if at != nil {
			at.removed <- r
			delete(life.attempts, r.Run)
		}
	}
}

// resultOf returns the result of a task whose run was removed from the table.
func (l *leasedExecutor) resultOf(ctx context.Context, removed lease.RemovedRun) wire.Result {
	interrupted := func(r wire.Reason) wire.Result {
		return wire.Result{Outcome: wire.OutcomeInterrupted, Reason: r}
	}
	switch removed.Outcome {
	case lease.OutcomeDone:
		return wire.Result{Outcome: wire.OutcomeDone}
	case lease.OutcomeFailed:
		return wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError, Detail: "the run failed at the worker"}
	case lease.OutcomeStopped:
		return interrupted(leasedReasonOf(ctx, wire.ReasonWorkerRefused))
	case lease.OutcomeLeaseExpired:
		return interrupted(leasedReasonOf(ctx, wire.ReasonLeaseExpired))
	case lease.OutcomeLost:
		r := interrupted(leasedReasonOf(ctx, wire.ReasonWorkerLost))
		r.Crash = removed.Crash
		return r
	case lease.OutcomeNeverStarted:
		return notRun(leasedReasonOf(ctx, wire.ReasonWorkerRefused), "the worker did not carry out the start order")
	case lease.OutcomeRefused:
		if removed.Refusal == lease.RefusedInvalid {
			return invalidTask(errors.New("the worker refused the start order as invalid"))
		}
		return notRun(leasedReasonOf(ctx, wire.ReasonWorkerRefused), string(removed.Refusal))
	}
	return unknownOutcome(wire.ReasonCancelled, errors.New("the agent's process ended before the run"))
}

// leasedReasonOf is reasonOf for leased tasks: it returns
// wire.ReasonLeaseExpired if the session has expired.
func leasedReasonOf(ctx context.Context, otherwise wire.Reason) wire.Reason {
	if errors.Is(context.Cause(ctx), errSessionExpired) {
		return wire.ReasonLeaseExpired
	}
	return reasonOf(ctx, otherwise)
}
