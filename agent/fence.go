package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

// rpcOpenSession opens a session: it fences the entry's earlier ones, returns
// their queued tasks and lists what was started in them.
func (a *Agent) rpcOpenSession(_ context.Context, in *wire.OpenSessionRequest, out *wire.OpenSessionReply) error {
	now := time.Now()
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
		// Only a heartbeat extends the session, and only after the entry has
		// the reply to this message.
		time.AfterFunc(a.timing.Heartbeat.AsDuration()/maxHeartbeatsPerInterval, func() { a.entries.requestHeartbeat(owner) })
	}
	a.applyConfig(in.Config, now)
	a.dispatch(now)
	*out = wire.OpenSessionReply{Agent: a.self, Started: opened.Started, Truncated: opened.Truncated, Load: a.loadFor(owner)}
	return nil
}

// admitToSession admits a task's message to its session and records its sequence; the
// caller holds mu.
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
		// The first message decides, and may have started the task.
		a.metrics.duplicates.Inc(1)
		return refuse(wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonDuplicate})
	default:
		a.metrics.countRefusal(wire.ReasonSessionFenced)
		return refuse(notRun(wire.ReasonSessionFenced, ""))
	}
}

// checkSession ends lapsed sessions and then records a message in session s. Lapses
// come first, because after a pause of this process the message may be as old
// as the pause. The caller holds mu.
func (a *Agent) checkSession(s wire.Session, now time.Time) error {
	a.expireSessions(now)
	if err := a.ledger.RecordMessage(s, now); err != nil {
		a.metrics.sessionsFenced.Inc(1)
		return fmt.Errorf("%w: %w", ErrSession, err)
	}
	return nil
}

// errSessionExpired is why a leased task ends whose session has lapsed.
var errSessionExpired = errors.New("agent: session lapsed")

// expireSessions ends the sessions of silent entries; the caller holds mu. Leased tasks
// end with their session, because the entry counts on it. Others run on.
func (a *Agent) expireSessions(now time.Time) {
	before := a.ledger.Stats().Lapsed
	dropped := a.ledger.ExpireSessions(now, a.timing.Lapse.AsDuration())
	if n := a.ledger.Stats().Lapsed - before; n > 0 {
		a.metrics.sessionsLapsed.Inc(int64(n))
		a.log.Warn().Uint64("sessions", n).Int("tasks_dropped", len(dropped)).Msg("sessions_lapsed")
	}
	a.completeWithdrawn(dropped)
	if a.leased != nil {
		for _, t := range a.tasks {
			if t.cancel != nil && !a.ledger.HasSession(t.owner) {
				t.cancel(errSessionExpired)
				// At once: a renewal right after this must not extend the lease.
				a.leased.stopTask(t.task)
			}
		}
	}
	for owner := range a.backlogs {
		if !a.ledger.HasSession(owner) {
			delete(a.backlogs, owner)
		}
	}
}

// completeWithdrawn settles queued tasks that the ledger dropped; the caller holds mu.
func (a *Agent) completeWithdrawn(dropped []ledger.WithdrawnTask) {
	for _, w := range dropped {
		if t := a.tasks[taskID{w.Owner, w.Key}]; t != nil {
			a.complete(t, notRun(wire.ReasonSessionFenced, ""))
		}
	}
}

// acknowledge drops the records of results that an entry has, and settles the
// ends of their runs; the caller holds mu.
func (a *Agent) acknowledge(owner ledger.Owner, keys []wire.TaskKey) {
	if len(keys) > 0 {
		a.ledger.Acknowledge(owner, keys)
		if a.leased != nil {
			a.leased.releaseEnds(owner, keys)
		}
		a.notifyChanged()
	}
}
