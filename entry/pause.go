package entry

import "time"

const (
	// resumeDelay is how long no task is started and no session is renewed after
	// a pause of the process. In this time the entry notices closed connections
	// of callers and expired deadlines. Without the delay it would continue jobs
	// that callers have meanwhile submitted to another entry.
	resumeDelay = 100 * time.Millisecond
	// resumePauseGap is the gap between two events or ticks during resumeDelay
	// that counts as another pause and starts resumeDelay again.
	resumePauseGap = tickInterval * 3 / 2
)

// updateClock sets d.now to the current time. A gap longer than the heartbeat
// interval since the last call means that the process was paused; starts are then
// blocked for resumeDelay.
func (d *dispatcher) updateClock() {
	now := d.clock.Now()
	gap := now.Sub(d.lastClockUpdate)
	switch {
	case d.lastClockUpdate.IsZero():
	case gap > d.timing.Heartbeat.AsDuration():
		d.log.Warn().Dur("pause_ms", gap).Msg("process was paused")
		d.confirmation.recordPause(now)
		d.startsBlockedUntil = now.Add(resumeDelay)
	case gap > resumePauseGap && d.lastClockUpdate.Before(d.startsBlockedUntil):
		d.startsBlockedUntil = now.Add(resumeDelay)
	}
	d.now, d.lastClockUpdate = now, now
}

// checkSuspension logs a suspension of the machine since the last call and corrects
// the timers of the jobs, which stood still meanwhile.
func (d *dispatcher) checkSuspension() {
	total := d.clock.Suspended()
	if total <= d.suspended {
		return
	}
	d.log.Warn().Dur("suspended_ms", total-d.suspended).Msg("machine was suspended")
	d.suspended = total
	for _, j := range d.jobs {
		if !j.answered && j.failure == nil && j.timer != nil {
			j.timer.Reset(max(0, j.giveUpAt().Sub(d.now)))
		}
	}
}

// mayStartNow updates the clock and reports whether tasks may be started now.
// They may not within resumeDelay after a pause of the process.
func (d *dispatcher) mayStartNow() bool {
	d.updateClock()
	return !d.now.Before(d.startsBlockedUntil)
}
