package agent

import (
	"context"
	"errors"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// maxTokenRaises bounds the orders for one task whose number or token the worker
// refused as too low. Each raise doubles, so 16 exceed what a worker can have
// seen.
const maxTokenRaises = 16

// leasedExecutor runs tasks at a worker of leasedExecutor tasks. The agent's lock covers all
// but the first three fields.
type leasedExecutor struct {
	agent    *Agent
	settings settings.Leased
	wake     chan struct{} // capacity 1; another life was announced

	life             *life // nil while there is none
	lastAnnouncement lease.Announcement
	hasAnnouncement  bool   // last is set
	highestToken     uint64 // highest fencing token of the lives so far
}

func newLeasedExecutor(a *Agent) *leasedExecutor {
	return &leasedExecutor{
		agent: a, settings: *a.settings.Leased, wake: make(chan struct{}, 1),
		highestToken: uint64(time.Now().UnixMilli()),
	}
}

// close does nothing: the end of the agent's Run ends the life's connections.
func (l *leasedExecutor) close() {}

// attempt is one order of a task.
type attempt struct {
	life       *life
	order      lease.StartOrder
	job        string                // of the task, by the entry's identifier
	removed    chan lease.RemovedRun // capacity 1
	processCtx context.Context       // of the process
}

// do orders the task at the worker and returns when its run has left the table.
func (l *leasedExecutor) do(ctx context.Context, t wire.Task) wire.Result {
	tokenRaises, expiredOrders := 0, 0
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
				l.agent.mu.Lock() // an announcement may be coming in
				r.Tag = at.life.announced.Life.Tag(removed.Run)
				l.agent.mu.Unlock()
			}
			return r
		case removed.Refusal == lease.RefusedRunTooOld || removed.Refusal == lease.RefusedTokenTooLow:
			tokenRaises++
		case removed.Refusal == lease.RefusedOrderExpired:
			expiredOrders++ // the answer brought a fresh sample of the clock
		default:
			return l.resultOf(ctx, removed)
		}
		if tokenRaises > maxTokenRaises || expiredOrders > 1 {
			return l.resultOf(ctx, removed)
		}
	}
}

// orderStart enters a run of the task and sends its start. It checks again what may
// have changed since the task was admitted, because no orderStart may follow the
// announcement that the worker drains or that the data centre is out of service.
func (l *leasedExecutor) orderStart(ctx context.Context, t wire.Task) (*attempt, *wire.Result) {
	a, now := l.agent, time.Now()
	refuse := func(r wire.Reason) (*attempt, *wire.Result) {
		result := notRun(r, "")
		return nil, &result
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f := l.life
	// After a pause of this process the session may have lapsed long ago.
	a.expireSessions(now)
	if ctx.Err() != nil {
		return refuse(leasedReasonOf(ctx, wire.ReasonCancelled))
	}
	if len(a.leaving) > 0 || f == nil || !f.runs.Adopted() {
		return refuse(wire.ReasonAgentLeaving)
	}
	if ok, reason := a.mayStart(now); !ok {
		return refuse(reason)
	}
	empty := f.runs.Empty()
	o, err := f.runs.Start(now, leaseTask(t), t.Leased.Spec)
	if err != nil {
		// Another entry got the job again before the old run ended.
		return refuse(wire.ReasonAgentBusy)
	}
	if empty {
		f.renewSoon(false) // the renewal that is out does not extend the lease
	}
	at := &attempt{life: f, order: o, job: t.Job, removed: make(chan lease.RemovedRun, 1), processCtx: a.taskCtx}
	f.attempts[o.Run] = at
	if t.Leased.Durable {
		f.runs.HoldEnd(o.Run)
	}
	go l.sendStart(at)
	return at, nil
}

// awaitRemoval returns when the run has left the table, and stops it when ctx ends.
// The end of the process leaves the run to its lease.
func (l *leasedExecutor) awaitRemoval(ctx context.Context, at *attempt) lease.RemovedRun {
	select {
	case left := <-at.removed:
		return left
	case <-ctx.Done():
	}
	l.agent.mu.Lock()
	l.orderStop(at.life, at.order.Run)
	l.agent.mu.Unlock()
	select {
	case left := <-at.removed:
		return left
	case <-at.processCtx.Done():
		return lease.RemovedRun{Run: at.order.Run}
	}
}

// orderStop has the run stopped unless that was ordered before; the caller
// holds mu.
func (l *leasedExecutor) orderStop(f *life, run lease.Run) {
	if !f.ended && f.runs.Stop(run) {
		go l.stopRun(f, run)
	}
}

// stopTask has the run of a task stopped, if there is one; the caller holds mu.
func (l *leasedExecutor) stopTask(t wire.Task) {
	if l.life == nil {
		return
	}
	if run, ok := l.life.runs.RunOf(leaseTask(t)); ok {
		l.orderStop(l.life, run)
	}
}

// leaseTask names a leased task as its worker knows it.
func leaseTask(t wire.Task) lease.Task {
	return lease.Task{Job: t.Leased.Job, Step: t.Leased.Step, Index: t.Index}
}

// notifyRemoved wakes the tasks whose runs left the table; the caller holds mu.
func (l *leasedExecutor) notifyRemoved(f *life, removed []lease.RemovedRun) {
	for _, r := range removed {
		if at := f.attempts[r.Run]; at != nil {
			at.removed <- r
			delete(f.attempts, r.Run)
		}
	}
}

// resultOf says what became of a task whose run left the table.
func (l *leasedExecutor) resultOf(ctx context.Context, removed lease.RemovedRun) wire.Result {
	interrupted := func(r wire.Reason) wire.Result {
		return wire.Result{Outcome: wire.OutcomeInterrupted, Reason: r}
	}
	switch removed.Outcome {
	case lease.OutcomeDone:
		return wire.Result{Outcome: wire.OutcomeDone}
	case lease.OutcomeFailed:
		return wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError, Detail: "the run failed"}
	case lease.OutcomeStopped:
		return interrupted(leasedReasonOf(ctx, wire.ReasonWorkerRefused))
	case lease.OutcomeLeaseExpired:
		return interrupted(leasedReasonOf(ctx, wire.ReasonLeaseLapsed))
	case lease.OutcomeLost:
		return interrupted(leasedReasonOf(ctx, wire.ReasonWorkerLost))
	case lease.OutcomeNeverStarted:
		return notRun(leasedReasonOf(ctx, wire.ReasonWorkerRefused), "the worker did not carry the order out")
	case lease.OutcomeRefused:
		if removed.Refusal == lease.RefusedInvalid {
			return invalidTask(errors.New("the worker refused the order as invalid"))
		}
		return notRun(leasedReasonOf(ctx, wire.ReasonWorkerRefused), string(removed.Refusal))
	}
	return unknownOutcome(wire.ReasonCancelled, errors.New("the agent ends"))
}

// leasedReasonOf names the end of ctx where it is the cause.
func leasedReasonOf(ctx context.Context, otherwise wire.Reason) wire.Reason {
	if errors.Is(context.Cause(ctx), errSessionExpired) {
		return wire.ReasonLeaseLapsed
	}
	return reasonOf(ctx, otherwise)
}
