package agent

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
)

// Stop makes a planned stop. The agent refuses new tasks, returns queued ones,
// finishes running ones, waits until their entries have acknowledged the
// results, and then makes Run return. Stop returns after Run has returned. If
// ctx ends first, Stop returns its error and the agent goes on serving, but
// still accepts no tasks.
func (a *Agent) Stop(ctx context.Context) error {
	a.setLeaving(leaveStop, true)
	if !a.runCalled.Load() {
		// Run returns at once if it is called later.
		a.stopOnce.Do(func() { close(a.drained) })
		return nil
	}
	if err := a.drain(ctx); err != nil {
		return err
	}
	a.stopOnce.Do(func() { close(a.drained) })
	select {
	case <-a.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain waits until no task is left, the entries know that the agent is leaving,
// every call is answered, and every result is acknowledged. The last wait is
// limited to Timing.Lapse, because an entry that has crashed never acknowledges.
func (a *Agent) drain(ctx context.Context) error {
	if err := a.waitUntil(ctx, func() bool { return len(a.tasks) == 0 }); err != nil {
		return err
	}
	if err := a.awaitLeavingAcknowledged(ctx); err != nil {
		return err
	}
	if err := a.server.Drain(ctx); err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, a.timing.Lapse.AsDuration())
	defer cancel()
	if err := a.waitUntil(bounded, func() bool { return a.ledger.Stats().Finished == 0 }); err != nil {
		a.mu.Lock()
		unacknowledged := a.ledger.Stats().Finished
		a.mu.Unlock()
		a.log.Warn().Int("results", unacknowledged).Msg("results_not_acknowledged")
	}
	return ctx.Err()
}

// awaitLeavingAcknowledged waits until the entries know that the agent is
// leaving, for at most Timing.Suspect because an entry may have crashed. It then
// waits for half a heartbeat interval for the tasks that were sent before: they
// have to be refused, because the outcome of a task on a closed connection is
// unknown.
func (a *Agent) awaitLeavingAcknowledged(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, a.timing.Suspect.AsDuration())
	defer cancel()
	if a.waitUntil(bounded, func() bool { return a.entries.leavingAcknowledged(a.clock.Now()) }) != nil {
		a.log.Warn().Msg("entries_not_told")
	}
	if !wait.For(ctx, a.timing.Heartbeat.AsDuration()/2, nil) {
		return ctx.Err()
	}
	return nil
}

// waitUntil waits until the condition, which is evaluated under mu, is met or
// Run has returned. It returns the error of ctx if that ends first. Changes that
// may meet the condition have to call notifyChanged.
func (a *Agent) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		a.mu.Lock()
		met, changed := condition(), a.changed
		a.mu.Unlock()
		if met {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-a.stopped:
			return nil
		}
	}
}

// uptime returns the time since New was called.
func (a *Agent) uptime() time.Duration { return time.Since(a.startedAt) }
