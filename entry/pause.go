package entry

import "time"

// settleTime is how long nothing is started after a pause of the process that
// was longer than the session lapse. Broken connections of callers and expired
// deadlines are handled first, or jobs would go on that callers have sent to
// another entry meanwhile.
const settleTime = 50 * time.Millisecond

// wake sets the time of what is handled next, and notices whether the process
// did not run for a while before.
func (d *dispatcher) wake() {
	now := time.Now()
	if gap := now.Sub(d.active); !d.active.IsZero() && gap > d.timing.Heartbeat.Of() {
		d.log.Warn().Dur("pause_ms", gap).Msg("process was paused")
		d.confirm.paused(now)
		if gap > d.timing.Lapse.Of() {
			d.settleUntil = now.Add(settleTime)
		}
	}
	d.now, d.active = now, now
}

// mayStartNow reports whether tasks may be started at this moment.
func (d *dispatcher) mayStartNow() bool {
	d.wake()
	return !d.now.Before(d.settleUntil)
}
