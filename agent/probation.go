package agent

import (
	"time"

	"chicorytray.example/chicorytray/lease"
)

// A task on probation starts when no other task has started at the worker within
// lease.SuspicionWindow, and no other starts within that time after it. A crash soon
// after its start is then its own, whatever else runs there. Other tasks wait for at
// most twice that time.

// onProbation reports whether the task is suspected of a crash of another worker.
func (t *task) onProbation() bool { return t.task.Leased != nil && t.task.Leased.Probation }

// hasProbation reports whether a task on probation waits or runs here; the caller
// holds mu.
func (a *Agent) hasProbation() bool {
	for _, t := range a.tasks {
		if t.onProbation() {
			return true
		}
	}
	return false
}

// heldForProbation reports whether a queued task has to wait because a task on
// probation and the others must not start within lease.SuspicionWindow of each
// other. dispatch is called again when that time has passed. The caller holds mu.
func (a *Agent) heldForProbation(t *task, now time.Time) bool {
	if t.onProbation() {
		return now.Sub(a.lastStart) < lease.SuspicionWindow
	}
	for _, other := range a.tasks {
		if !other.onProbation() {
			continue
		}
		if other.startedAt.IsZero() {
			return a.startable(other, now)
		}
		return now.Sub(other.startedAt) < lease.SuspicionWindow
	}
	return false
}

// dispatchAfterWindow calls dispatch once lease.SuspicionWindow has passed.
func (a *Agent) dispatchAfterWindow() {
	time.AfterFunc(lease.SuspicionWindow, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.dispatch(a.clock.Now())
	})
}
