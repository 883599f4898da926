package agent

import (
	"chicorytray.example/chicorytray/internal/wait"
	"context"
	"time"
)

// Stop makes a planned stop: the agent refuses new tasks, returns queued ones,
// finishes running ones, waits until their entries have the results, and then
// ends Run. It returns when Run has ended. If ctx ends first, the agent goes on
// leaving and Stop returns the error of ctx.
func (a *Agent) Stop(ctx context.Context) error {
	a.setLeaving(leaveStop, true)
	if !a.runCalled.Load() {
		// Run ends at once if it is called later.
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

// drain waits until no task runs, every call is answered, and every result is
// acknowledged. The last wait is bounded, because an entry that died never
// acknowledges.
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

// awaitLeavingAcknowledged waits until the entries know that the agent leaves, and then for
// the tasks that they sent before they knew, which must still be refused: a
// task that meets a closed connection counts as unknown. The first wait is
// bounded because an entry may die meanwhile.
func (a *Agent) awaitLeavingAcknowledged(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, a.timing.Suspect.AsDuration())
	defer cancel()
	if a.waitUntil(bounded, func() bool { return a.entries.leavingAcknowledged(time.Now()) }) != nil {
		a.log.Warn().Msg("entries_not_told")
	}
	if !wait.For(ctx, a.timing.Heartbeat.AsDuration()/2, nil) {
		return ctx.Err()
	}
	return nil
}

// waitUntil waits for a condition that is evaluated under mu.
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

// uptime of the process, for the state dump.
func (a *Agent) uptime() time.Duration { return time.Since(a.startedAt) }
