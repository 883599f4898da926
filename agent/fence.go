package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

// rpcOpenSession opens a session. It fences the entry's earlier sessions, so
// that no message in them is accepted any more, returns their queued tasks, and
// lists the tasks that were started in them.
func (a *Agent) rpcOpenSession(_ context.Context, in *wire.OpenSessionRequest, out *wire.OpenSessionReply) error {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireSessions(now)
	owner := ledger.OwnerOf(in.Session)
	a.acknowledge(owner, in.Acked)
	opened, err := a.ledger.OpenSession(in.Session, now)
	if err != nil {
		a.metrics.sessionsFenced.Inc(1)
		return fmt.Errorf("%w: %w", ErrSession, err)
	}
	a.log.Info().Str("entry", in.Session.Entry).Uint64("session", in.Session.Number).
		Int("started", len(opened.Started)).Int("withdrawn", len(opened.Withdrawn)).
		Bool("truncated", opened.Truncated).Msg("session_opened")
	a.completeWithdrawn(opened.Withdrawn)
	if a.leased != nil {
		// The session is extended only by a heartbeat that the entry answers
		// after it has received this reply, so one is sent soon.
		time.AfterFunc(a.timing.Heartbeat.AsDuration()/maxHeartbeatsPerInterval, func() { a.entries.requestHeartbeat(owner) })
	}
	a.applyConfig(in.Config, now)
	a.dispatch(now)
	*out = wire.OpenSessionReply{Agent: a.self, Started: opened.Started, Truncated: opened.Truncated, Load: a.loadFor(owner)}
	return nil
}

// admitToSession checks that a task's message belongs to an open session and is
// no duplicate, and records its sequence. It returns the result of a refused
// message, or nil. The caller holds mu.
func (a *Agent) admitToSession(in *wire.RunRequest, now time.Time) *wire.Result {
	refuse := func(r wire.Result) *wire.Result { return &r }
	if a.checkSession(in.Session, now) != nil {
		a.metrics.countRefusal(wire.ReasonSessionFenced)
		return refuse(notRun(wire.ReasonSessionFenced, ""))
	}
	a.acknowledge(ledger.OwnerOf(in.Session), in.Acked)
	err := a.ledger.Enqueue(in.Session, in.Sequence, in.Task)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ledger.ErrDuplicate):
		// The outcome is unknown, because the first message with this
		// sequence may have started the task.
		a.metrics.duplicates.Inc(1)
		return refuse(wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonDuplicate})
	default:
		a.metrics.countRefusal(wire.ReasonSessionFenced)
		return refuse(notRun(wire.ReasonSessionFenced, ""))
	}
}

// checkSession expires sessions and then records a message in session s; the
// error wraps ErrSession if s is not open. Sessions are expired first because,
// after a pause of this process, the message may be as old as the pause. The
// caller holds mu.
func (a *Agent) checkSession(s wire.Session, now time.Time) error {
	a.expireSessions(now)
	if err := a.ledger.RecordMessage(s, now); err != nil {
		a.metrics.sessionsFenced.Inc(1)
		return fmt.Errorf("%w: %w", ErrSession, err)
	}
	return nil
}

// errSessionExpired is the cancellation cause of a leased task whose session has
// expired.
var errSessionExpired = errors.New("agent: session expired")

// expireSessions ends the sessions that were not extended for longer than
// Timing.Lapse. Leased tasks are stopped with their session, because the entry
// relies on that; HTTP tasks continue. The caller holds mu.
func (a *Agent) expireSessions(now time.Time) {
	before := a.ledger.Stats().Lapsed
	dropped := a.ledger.ExpireSessions(now, a.timing.Lapse.AsDuration())
	if n := a.ledger.Stats().Lapsed - before; n > 0 {
		a.metrics.sessionsExpired.Inc(int64(n))
		a.log.Warn().Uint64("sessions", n).Int("tasks_dropped", len(dropped)).Msg("sessions_lapsed")
	}
	a.completeWithdrawn(dropped)
	if a.leased != nil {
		for _, t := range a.tasks {
			if t.cancel != nil && !a.ledger.HasSession(t.owner) {
				t.cancel(errSessionExpired)
				// Not left to the cancelled task's goroutine, because a renewal
				// right after this must not extend the lease.
				a.leased.stopTask(t.task)
			}
		}
	}
	for owner := range a.backlogs {
		if !a.ledger.HasSession(owner) || !a.isBusyFor(owner, now) {
			delete(a.backlogs, owner)
		}
	}
	for owner, until := range a.quickUntil {
		if !now.Before(until) {
			delete(a.quickUntil, owner)
		}
	}
}

// isBusyFor reports whether heartbeats to the entry are sent at the short interval:
// it has a task or the end of one here, or it has tasks waiting and was heard of
// recently. The session of such an entry must not lapse, and the entry has to learn
// soon that there is room. The caller holds mu.
func (a *Agent) isBusyFor(owner ledger.Owner, now time.Time) bool {
	if now.Before(a.quickUntil[owner]) {
		return true
	}
	for id := range a.tasks {
		if id.owner == owner {
			return true
		}
	}
	return a.leased != nil && a.leased.holdsEndOf(owner)
}

// noteInterest records that the entry has tasks waiting, which it announced or
// which were refused here for lack of room or by the worker; the caller holds mu.
func (a *Agent) noteInterest(owner ledger.Owner, now time.Time) {
	a.quickUntil[owner] = now.Add(a.timing.Lapse.AsDuration())
	a.entries.reschedule(owner)
}

// completeWithdrawn refuses the queued tasks that the ledger dropped with their
// session; the caller holds mu.
func (a *Agent) completeWithdrawn(dropped []ledger.WithdrawnTask) {
	for _, w := range dropped {
		if t := a.tasks[taskID{w.Owner, w.Key}]; t != nil {
			a.complete(t, notRun(wire.ReasonSessionFenced, ""))
		}
	}
}

// acknowledge drops the records of results that an entry has received, and
// releases the held ends of their runs; the caller holds mu.
func (a *Agent) acknowledge(owner ledger.Owner, keys []wire.TaskKey) {
	if len(keys) > 0 {
		a.ledger.Acknowledge(owner, keys)
		if a.leased != nil {
			a.leased.releaseEnds(owner, keys)
		}
		a.notifyChanged()
	}
}
