package entry

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/settings"
)

// acceptOnOpenConnections is the phase of a planned stop after the notice, with
// Timing.StopAccept. Load balancers send no new connections by then, but callers keep
// those that they have. Jobs are accepted as long as they can be expected to end in
// time, and each response closes its connection. It returns when no connection of a
// caller and no job is open, when limit is closed or when ctx ends. No durable job is
// accepted when it calls startHandOver.
func (e *Entry) acceptOnOpenConnections(ctx context.Context, begun time.Time, limit <-chan struct{}, startHandOver func()) error {
	until := begun.Add(e.settings.Timing.StopGrace.AsDuration() - settings.StopMargin)
	e.closing.Store(true)
	if !e.dispatcher.postAndWait(func(d *dispatcher) { d.acceptUntil = until }) {
		return ErrStopped
	}
	e.log.Info().Int("connections", e.connections.count()).Dur("remaining_ms", until.Sub(e.clock.Now())).
		Msg("planned stop: jobs are accepted on open connections, which close after each response")
	startHandOver()
	tick := wait.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		open, ended := e.connections.count(), false
		e.metrics.stopConnections.Update(float64(open))
		if !e.dispatcher.postAndWait(func(d *dispatcher) {
			ended = open == 0 && d.openJobs == 0
			d.stopping = ended // in the same event, so that no job is accepted after it
		}) {
			return ErrStopped
		}
		if ended {
			return nil
		}
		select {
		case <-tick.C:
		case <-limit:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// noticeEnded reports whether the notice of a planned stop has ended.
func (d *dispatcher) noticeEnded() bool { return d.stopping || !d.acceptUntil.IsZero() }

// checkStop refuses a job that has to end at the given time if that is too late for
// the planned stop of the entry.
func (d *dispatcher) checkStop(end time.Time) error {
	if d.acceptUntil.IsZero() || !end.After(d.acceptUntil) {
		return nil
	}
	return d.refuseInStop()
}

// refuseInStop returns the refusal of a job because of the planned stop, and counts it.
func (d *dispatcher) refuseInStop() error {
	d.metrics.stopJobsRefused.Inc(1)
	return retryLater(refusalRetryAfter, reasonStopping, "the entry is stopping")
}

// countAcceptedInStop counts a job that was accepted after the notice of a planned stop.
func (d *dispatcher) countAcceptedInStop() {
	if d.noticeEnded() {
		d.metrics.stopJobsAccepted.Inc(1)
	}
}
