package entry

import "time"

const (
	// resumeDelay is how long nothing is started and no session is renewed
	// after a pause of the process. Broken connections of callers and expired
	// deadlines are handled first, or jobs would go on that callers have sent
	// to another entry meanwhile.
	resumeDelay = 100 * time.Millisecond
	// resumePauseGap is the time without an event or a tick that begins the
	// settling time again, because it was a further pause.
	resumePauseGap = tickInterval * 3 / 2
)

// updateClock sets the time of what is handled next, and notices whether the process
// did not run for a while before.
func (d *dispatcher) updateClock() {
	now := time.Now()
	gap := now.Sub(d.lastWake)
	switch {
	case d.lastWake.IsZero():
	case gap > d.timing.Heartbeat.AsDuration():
		d.log.Warn().Dur("pause_ms", gap).Msg("process was paused")
		d.confirmation.recordPause(now)
		d.startsBlockedUntil = now.Add(resumeDelay)
	case gap > resumePauseGap && d.lastWake.Before(d.startsBlockedUntil):
		d.startsBlockedUntil = now.Add(resumeDelay)
	}
	d.now, d.lastWake = now, now
}

// mayStartNow reports whether tasks may be started at this moment.
func (d *dispatcher) mayStartNow() bool {
	d.updateClock()
	return !d.now.Before(d.startsBlockedUntil)
}
