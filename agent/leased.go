package agent

import (
	"context"
	"errors"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// maxRaises bounds the orders for one task whose number or token the worker
// refused as too low. Each raise doubles, so 16 exceed what a worker can have
// seen.
const maxRaises = 16

// leased runs tasks at a worker of leased tasks. The agent's lock covers all
// but the first three fields.
type leased struct {
	agent    *Agent
	settings settings.Leased
	wake     chan struct{} // capacity 1; another life was announced

	life  *life // nil while there is none
	last  lease.Announcement
	known bool   // last is set
	token uint64 // highest fencing token of the lives so far
}

func newLeased(a *Agent) *leased {
	return &leased{
		agent: a, settings: *a.settings.Leased, wake: make(chan struct{}, 1),
		token: uint64(time.Now().UnixMilli()),
	}
}

// close does nothing: the end of the agent's Run ends the life's connections.
func (l *leased) close() {}

// attempt is one order of a task.
type attempt struct {
	life  *life
	order lease.StartOrder
	job   string                // of the task, by the entry's identifier
	left  chan lease.RemovedRun // capacity 1
	base  context.Context       // of the process
}

// do orders the task at the worker and returns when its run has left the table.
func (l *leased) do(ctx context.Context, t wire.Task) wire.Result {
	raises, late := 0, 0
	for {
		at, refusal := l.order(ctx, t)
		if refusal != nil {
			return *refusal
		}
		left := l.await(ctx, at)
		switch {
		case left.Outcome != lease.OutcomeRefused || ctx.Err() != nil:
			r := l.result(ctx, left)
			if t.Leased.Durable && (left.Outcome == lease.OutcomeDone || left.Outcome == lease.OutcomeFailed) {
				l.agent.mu.Lock() // an announcement may be coming in
				r.Tag = at.life.announced.Life.Tag(left.Run)
				l.agent.mu.Unlock()
			}
			return r
		case left.Refusal == lease.RefusedRunTooOld || left.Refusal == lease.RefusedTokenTooLow:
			raises++
		case left.Refusal == lease.RefusedOrderExpired:
			late++ // the answer brought a fresh sample of the clock
		default:
			return l.result(ctx, left)
		}
		if raises > maxRaises || late > 1 {
			return l.result(ctx, left)
		}
	}
}

// order enters a run of the task and sends its start. It checks again what may
// have changed since the task was admitted, because no order may follow the
// announcement that the worker drains or that the data centre is out of service.
func (l *leased) order(ctx context.Context, t wire.Task) (*attempt, *wire.Result) {
	a, now := l.agent, time.Now()
	refuse := func(r wire.Reason) (*attempt, *wire.Result) {
		result := notRun(r, "")
		return nil, &result
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f := l.life
	// After a pause of this process the session may have lapsed long ago.
	a.lapse(now)
	if ctx.Err() != nil {
		return refuse(endOf(ctx, wire.ReasonCancelled))
	}
	if len(a.leaving) > 0 || f == nil || !f.runs.Adopted() {
		return refuse(wire.ReasonAgentLeaving)
	}
	if ok, reason := a.may(now); !ok {
		return refuse(reason)
	}
	empty := f.runs.Empty()
	o, err := f.runs.Start(now, leaseTask(t), t.Leased.Spec)
	if err != nil {
		// Another entry got the job again before the old run ended.
		return refuse(wire.ReasonAgentBusy)
	}
	if empty {
		f.kick(false) // the renewal that is out does not extend the lease
	}
	at := &attempt{life: f, order: o, job: t.Job, left: make(chan lease.RemovedRun, 1), base: a.base}
	f.waiting[o.Run] = at
	if t.Leased.Durable {
		f.runs.HoldEnd(o.Run)
	}
	go l.send(at)
	return at, nil
}

// await returns when the run has left the table, and stops it when ctx ends.
// The end of the process leaves the run to its lease.
func (l *leased) await(ctx context.Context, at *attempt) lease.RemovedRun {
	select {
	case left := <-at.left:
		return left
	case <-ctx.Done():
	}
	l.agent.mu.Lock()
	l.orderStop(at.life, at.order.Run)
	l.agent.mu.Unlock()
	select {
	case left := <-at.left:
		return left
	case <-at.base.Done():
		return lease.RemovedRun{Run: at.order.Run}
	}
}

// orderStop has the run stopped unless that was ordered before; the caller
// holds mu.
func (l *leased) orderStop(f *life, run lease.Run) {
	if !f.over && f.runs.Stop(run) {
		go l.stop(f, run)
	}
}

// stopTask has the run of a task stopped, if there is one; the caller holds mu.
func (l *leased) stopTask(t wire.Task) {
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

// deliver wakes the tasks whose runs left the table; the caller holds mu.
func (l *leased) deliver(f *life, left []lease.RemovedRun) {
	for _, r := range left {
		if at := f.waiting[r.Run]; at != nil {
			at.left <- r
			delete(f.waiting, r.Run)
		}
	}
}

// result says what became of a task whose run left the table.
func (l *leased) result(ctx context.Context, left lease.RemovedRun) wire.Result {
	interrupted := func(r wire.Reason) wire.Result {
		return wire.Result{Outcome: wire.OutcomeInterrupted, Reason: r}
	}
	switch left.Outcome {
	case lease.OutcomeDone:
		return wire.Result{Outcome: wire.OutcomeDone}
	case lease.OutcomeFailed:
		return wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError, Detail: "the run failed"}
	case lease.OutcomeStopped:
		return interrupted(endOf(ctx, wire.ReasonWorkerRefused))
	case lease.OutcomeLeaseExpired:
		return interrupted(endOf(ctx, wire.ReasonLeaseLapsed))
	case lease.OutcomeLost:
		return interrupted(endOf(ctx, wire.ReasonWorkerLost))
	case lease.OutcomeNeverStarted:
		return notRun(endOf(ctx, wire.ReasonWorkerRefused), "the worker did not carry the order out")
	case lease.OutcomeRefused:
		if left.Refusal == lease.RefusedInvalid {
			return invalidTask(errors.New("the worker refused the order as invalid"))
		}
		return notRun(endOf(ctx, wire.ReasonWorkerRefused), string(left.Refusal))
	}
	return unknown(wire.ReasonCancelled, errors.New("the agent ends"))
}

// endOf names the end of ctx where it is the cause.
func endOf(ctx context.Context, otherwise wire.Reason) wire.Reason {
	if errors.Is(context.Cause(ctx), errLapsed) {
		return wire.ReasonLeaseLapsed
	}
	return reasonOf(ctx, otherwise)
}
