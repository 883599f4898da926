package agent

import (
	"context"
	"slices"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// maxHeartbeatsToStart is the largest age, in short heartbeat intervals, of the
// last renewal of a session in which a leased task starts. It is well below
// Timing.Lapse, because a run that starts just before the lapse would be stopped
// before the reply to the heartbeat that the task caused.
const maxHeartbeatsToStart = 2

// enqueue adds an accepted task to the queue and starts the timer of its
// deadline; the caller holds mu.
func (a *Agent) enqueue(t *task) {
	a.tasks[t.taskID] = t
	a.queue = append(a.queue, t)
	a.entries.reschedule(t.owner)
	t.expiryTimer = time.AfterFunc(a.clock.Until(t.deadline), func() { a.expireQueued(t) })
	a.loadSequence++
	if t.onProbation() {
		a.dispatchAfterWindow()
	}
}

// expireQueued refuses a task whose deadline passed while it was queued.
func (a *Agent) expireQueued(t *task) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.startedAt.IsZero() && a.ledger.Withdraw(t.session, t.key) {
		a.metrics.countRefusal(wire.ReasonDeadline)
		a.complete(t, notRun(wire.ReasonDeadline, ""))
	}
}

// dispatch starts queued tasks while there are free slots and the gate is open.
// Later tasks may overtake one for which resources are missing: the queue is
// short, and a task waits no longer than until its deadline. The caller holds
// mu.
func (a *Agent) dispatch(now time.Time) {
	for i := 0; i < len(a.queue) && a.runningTasks < a.self.Slots; {
		if ok, _ := a.mayStart(now); !ok {
			return
		}
		t := a.queue[i]
		if !a.startable(t, now) || a.leased != nil && a.heldForProbation(t, now) {
			i++
			continue
		}
		if err := a.ledger.Start(t.session, t.key.Sequence); err != nil {
			// The queue and the ledger change together under mu, so this is a
			// bug in the agent. The task did not start.
			a.log.Error().Err(err).Str("job", t.task.Job).Int("task", t.task.Index).Msg("start_refused")
			a.complete(t, notRun(wire.ReasonSessionFenced, ""))
			continue
		}
		a.start(t, now)
	}
}

// startable reports whether a queued task may start while the gate is open: its
// session was renewed recently, and there are a slot and resources that are not
// reserved for other entries. The caller holds mu.
func (a *Agent) startable(t *task, now time.Time) bool {
	switch {
	case a.leased != nil && !a.ledger.Renewed(t.owner, now, maxHeartbeatsToStart*a.timing.Heartbeat.AsDuration()):
		return false // waits for the reply to a heartbeat
	case a.runningTasks+a.reservedForOthers(t.owner, now) >= a.self.Slots:
		return false
	}
	return t.task.Needs.Fits(a.freeFor(t.owner, now)) && now.Before(t.deadline)
}

// start runs a task that the ledger has recorded as started; the caller holds
// mu.
func (a *Agent) start(t *task, now time.Time) {
	a.queue = slices.DeleteFunc(a.queue, func(q *task) bool { return q == t })
	t.expiryTimer.Stop()
	t.startedAt, a.lastStart = now, now
	if t.onProbation() {
		a.dispatchAfterWindow()
	}
	a.runningTasks++
	a.free = a.free.Minus(t.task.Needs)
	a.loadSequence++
	a.metrics.started.Inc(1)
	ctx, cancel := context.WithCancelCause(a.taskCtx)
	t.cancel = cancel
	ctx, end := context.WithTimeout(ctx, a.clock.Until(t.deadline))
	go func() {
		defer cancel(nil)
		defer end()
		a.recordResult(t, a.executor.do(ctx, t.task))
	}()
}
