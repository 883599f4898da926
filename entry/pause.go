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
		d.pausedAt, d.startsBlockedUntil = d.lastClockUpdate, now.Add(resumeDelay)
	case gap > resumePauseGap && d.lastClockUpdate.Before(d.startsBlockedUntil):
		d.startsBlockedUntil = now.Add(resumeDelay)
	}
	d.now, d.lastClockUpdate = now, now
}

// earliestArrival returns the earliest time at which a request may have been sent that
// the entry read at the given time. A request that it read during resumeDelay may have
// waited since the beginning of the pause: its caller's wait ends earlier than a
// deadline from the reading, and the end of the connection may not arrive.
func (d *dispatcher) earliestArrival(read time.Time) time.Time {
	if read.After(d.pausedAt) && read.Before(d.startsBlockedUntil) {
		return d.pausedAt
	}
	return read
}

// checkSuspension handles a suspension of the machine since the last call. It corrects
// the timers of the jobs, which stood still meanwhile. After a suspension of more than
// Timing.Lapse it gives up the jobs of leased tasks that arrived before: agents have
// stopped their runs, and callers may have sent them to another entry without this
// entry being able to know. The end of a connection does not reach a suspended machine
// and is repeated at growing intervals, so it may arrive as late after the suspension
// as that lasted.
func (d *dispatcher) checkSuspension() {
	total := d.clock.Suspended()
	lasted := total - d.suspended
	if lasted <= 0 {
		return
	}
	d.updateClock() // the suspension may have begun after d.now was read
	d.suspended = total
	long := lasted > d.timing.Lapse.AsDuration()
	if long {
		d.suspendedAt = d.now.Add(-lasted)
		d.giveUpForwards(d.suspendedAt, reasonSuspended, "the machine of the entry was suspended")
	}
	givenUp := 0
	for _, j := range d.jobs {
		switch {
		case j.answered || j.failure != nil:
		case long && j.leased != nil && durableOf(j) == nil && j.arrived.Before(d.suspendedAt):
			givenUp++
			d.failJob(j, jobFailure{reason: reasonSuspended, detail: "the machine of the entry was suspended"})
		case j.timer != nil:
			j.timer.Reset(max(0, j.giveUpAt().Sub(d.now)))
		}
	}
	d.log.Warn().Dur("suspended_ms", lasted).Int("jobs_given_up", givenUp).Msg("machine was suspended")
}

// mayStartNow updates the clock and reports whether tasks may be started now.
// They may not within resumeDelay after a pause of the process.
func (d *dispatcher) mayStartNow() bool {
	d.updateClock()
	return !d.now.Before(d.startsBlockedUntil)
}
