package entry

import "time"

const (
	// settleTime is how long nothing is started and no session is renewed
	// after a pause of the process. Broken connections of callers and expired
	// deadlines are handled first, or jobs would go on that callers have sent
	// to another entry meanwhile.
	settleTime = 100 * time.Millisecond
	// settleGap is the time without an event or a tick that begins the
	// settling time again, because it was a further pause.
	settleGap = tickInterval * 3 / 2
)

// wake sets the time of what is handled next, and notices whether the process
// did not run for a while before.
func (d *dispatcher) wake() {
	now := time.Now()
	gap := now.Sub(d.active)
	switch {
	case d.active.IsZero():
	case gap > d.timing.Heartbeat.AsDuration():
		d.log.Warn().Dur("pause_ms", gap).Msg("process was paused")
		d.confirm.paused(now)
		d.settleUntil = now.Add(settleTime)
	case gap > settleGap && d.active.Before(d.settleUntil):
		d.settleUntil = now.Add(settleTime)
	}
	d.now, d.active = now, now
}

// mayStartNow reports whether tasks may be started at this moment.
func (d *dispatcher) mayStartNow() bool {
	d.wake()
	return !d.now.Before(d.settleUntil)
}
