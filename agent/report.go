package agent

import (
	"slices"

	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

// recordResult stores the result of a started task in the ledger and frees its
// slot and resources.
func (a *Agent) recordResult(t *task, r wire.Result) {
	now := a.clock.Now()
	r.Took = now.Sub(t.startedAt)
	a.countResult(r)
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Outcome == wire.OutcomeNotRun {
		// Nothing reached the upstream. The record is removed, so that an
		// entry that reconciles learns that the task never started.
		_ = a.ledger.RevertStart(t.owner, t.key)
	} else {
		evicted := a.ledger.Stats().Evicted
		_ = a.ledger.Finish(t.owner, t.key, r)
		if n := a.ledger.Stats().Evicted - evicted; n > 0 {
			a.metrics.recordsEvicted.Inc(int64(n))
		}
	}
	if a.leased != nil {
		a.leased.recordEndTask(t.taskID, r.Tag)
	}
	a.runningTasks--
	a.free, a.lastNeeds = a.free.Plus(t.task.Needs), t.task.Needs
	a.complete(t, r)
	if r.Outcome == wire.OutcomeNotRun {
		switch r.Reason {
		case wire.ReasonUpstreamUnreachable:
			a.leaveUntilReachable()
		case wire.ReasonWorkerRefused:
			// The entry sends nothing more until the next heartbeat.
			a.noteInterest(t.owner, now)
		}
	}
	a.dispatch(now)
	a.offerFreeSlots(t.owner, now)
	a.log.Debug().Str("job", t.task.Job).Int("task", t.task.Index).Int("outcome", int(r.Outcome)).
		Str("reason", string(r.Reason)).Dur("took_ms", r.Took).Msg("task_finished")
}

// complete removes a task, sets its result and wakes the calls that wait for it;
// the caller holds mu.
func (a *Agent) complete(t *task, r wire.Result) {
	if t.startedAt.IsZero() {
		a.queue = slices.DeleteFunc(a.queue, func(q *task) bool { return q == t })
		t.expiryTimer.Stop()
	}
	delete(a.tasks, t.taskID)
	t.result = r
	close(t.done)
	a.loadSequence++
	a.notifyChanged()
}

// notifyChanged wakes the callers of waitUntil; the caller holds mu.
func (a *Agent) notifyChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// load returns the agent's load without reservations; the caller holds mu.
func (a *Agent) load() wire.Load {
	return wire.Load{Sequence: a.loadSequence, Running: a.runningTasks, Queued: len(a.queue), Free: nonNegative(a.free)}
}

// loadFor returns the load to report to one entry: slots and resources that are
// reserved for other entries count as used. The caller holds mu.
func (a *Agent) loadFor(owner ledger.Owner) wire.Load {
	l := a.load()
	now := a.clock.Now()
	l.Running += a.reservedForOthers(owner, now)
	l.Free = a.freeFor(owner, now)
	l.SeenSession, l.Seen = a.ledger.LatestSequence(owner)
	return l
}

// reply fills in the reply about one task, with the agent's present load.
func (a *Agent) reply(owner ledger.Owner, out *wire.RunReply, r wire.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	*out = wire.RunReply{Agent: a.self.Incarnation, Result: r, Load: a.loadFor(owner)}
}

func (a *Agent) countResult(r wire.Result) {
	a.metrics.taskTime.Record(r.Took)
	switch r.Outcome {
	case wire.OutcomeNotRun:
		if a.leased == nil {
			a.metrics.upstreamUnsent.Inc(1)
		}
		a.metrics.notRun.Inc(1)
		return
	case wire.OutcomeUnknown:
		a.metrics.unknown.Inc(1)
	case wire.OutcomeInterrupted:
		a.metrics.interrupted.Inc(1)
	}
	a.metrics.finished.Inc(1)
	switch r.Reason {
	case wire.ReasonDeadline:
		a.metrics.upstreamTimeouts.Inc(1)
	case wire.ReasonUpstreamError, wire.ReasonUpstreamUnreachable, wire.ReasonTooLarge:
		a.metrics.upstreamErrors.Inc(1)
	}
}
