package forward

import "time"

// Outgoing is an open forward at its sender.
type Outgoing struct {
	sent      time.Time
	confirmed time.Time // last confirmation; zero if none was given
	revoked   bool
}

// NewOutgoing returns a forward that is sent now.
func NewOutgoing(now time.Time) Outgoing { return Outgoing{sent: now} }

// Confirm answers a request of the receiver. It is false for ever once Revoke was called.
func (o *Outgoing) Confirm(now time.Time) bool {
	if !o.revoked {
		o.confirmed = now
	}
	return !o.revoked
}

// Revoke ends the confirmations, so that the receiver cancels the job or never starts it.
func (o *Outgoing) Revoke() { o.revoked = true }

// WasConfirmed reports whether the receiver may have started the job.
func (o *Outgoing) WasConfirmed() bool { return !o.confirmed.IsZero() }

// NeverConfirmed reports whether the receiver has not started and will not start the
// job, whatever it received.
func (o *Outgoing) NeverConfirmed() bool { return o.revoked && !o.WasConfirmed() }

// Lapses returns when the receiver has cancelled the job, or will not start it, unless it
// is confirmed before. The receiver measures from an earlier moment, when it sent its
// request.
func (o *Outgoing) Lapses(lapse time.Duration) time.Time {
	if o.confirmed.IsZero() {
		return o.sent.Add(lapse)
	}
	return o.confirmed.Add(lapse)
}

// Incoming is an open forward at its receiver.
type Incoming struct {
	received time.Time
	newest   time.Time // when the newest request was sent that was confirmed
	ended    bool
}

// NewIncoming returns a forward that is received now.
func NewIncoming(now time.Time) Incoming { return Incoming{received: now} }

// Confirmed records a confirmation of the sender, with the time at which its request was
// sent. One that was requested before the forward was received says nothing about it.
func (i *Incoming) Confirmed(requested time.Time) {
	if !requested.Before(i.received) && requested.After(i.newest) {
		i.newest = requested
	}
}

// End ends the forward for ever: the sender does not want it, or its process is gone.
func (i *Incoming) End() { i.ended = true }

// Ended reports whether End was called.
func (i *Incoming) Ended() bool { return i.ended }

// Wanted reports whether the job may run.
func (i *Incoming) Wanted(now time.Time, lapse time.Duration) bool {
	return !i.ended && !i.newest.IsZero() && now.Sub(i.newest) < lapse
}

// Lapses returns when the job has to be cancelled, unless it is confirmed before.
func (i *Incoming) Lapses(lapse time.Duration) time.Time { return i.newest.Add(lapse) }
