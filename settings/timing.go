package settings

import (
	"fmt"
	"time"
)

// maxInterval keeps sums of intervals far from overflow.
const maxInterval = Duration(24 * time.Hour)

func (ps *problems) positive(field string, d Duration) {
	if d <= 0 || d > maxInterval {
		ps.add(field, d.AsDuration().String(), "more than 0s and at most 24h")
	}
}

// longerThan requires d > bound; of names what bound consists of.
func (ps *problems) longerThan(field string, d Duration, bound time.Duration, of string) {
	if d.AsDuration() <= bound || d > maxInterval {
		ps.add(field, d.AsDuration().String(), fmt.Sprintf("more than %s (%s) and at most 24h", bound, of))
	}
}

// timing checks the intervals one by one and then against each other. The
// second part is left out when the first fails, because its text would mislead.
func (ps *problems) timing(t Timing) {
	before := len(*ps)
	for _, f := range []struct {
		field string
		value Duration
	}{
		{"timing.heartbeat", t.Heartbeat}, {"timing.peer_heartbeat", t.PeerHeartbeat},
		{"timing.config_read", t.ConfigRead}, {"timing.suspect", t.Suspect},
		{"timing.gate", t.Gate}, {"timing.lapse", t.Lapse}, {"timing.reconcile", t.Reconcile},
		{"timing.ping_after", t.PingAfter}, {"timing.ping_timeout", t.PingTimeout},
		{"timing.call_timeout", t.CallTimeout}, {"timing.store_timeout", t.StoreTimeout},
		{"timing.lease_ttl", t.LeaseTTL},
	} {
		ps.positive(f.field, f.value)
	}
	if t.StopNotice < 0 || t.StopNotice > maxInterval {
		ps.add("timing.stop_notice", t.StopNotice.AsDuration().String(), "0s to 24h")
	}
	if len(*ps) == before {
		ps.timingRelations(t)
	}
}

func (ps *problems) timingRelations(t Timing) {
	// A gate shorter than one read and one heartbeat would close between two
	// regular confirmations.
	ps.longerThan("timing.gate", t.Gate, t.ConfigRead.AsDuration()+t.Heartbeat.AsDuration(), "config_read + heartbeat")
	if t.Gate.AsDuration() > maxGate {
		ps.add("timing.gate", t.Gate.AsDuration().String(), fmt.Sprintf("at most %s, the bound for starts in a data centre out of service", maxGate))
	}
	// One lost heartbeat must not make a peer suspect.
	ps.longerThan("timing.suspect", t.Suspect, max(2*t.Heartbeat.AsDuration(), t.PeerHeartbeat.AsDuration()), "two heartbeats and one peer_heartbeat")
	ps.longerThan("timing.lapse", t.Lapse, t.Suspect.AsDuration(), "suspect")
	ps.longerThan("timing.reconcile", t.Reconcile, t.Lapse.AsDuration(), "lapse")
	// A dead connection must be replaced before the agent ends the session.
	ps.longerThan("timing.lapse", t.Lapse, t.PingAfter.AsDuration()+t.PingTimeout.AsDuration(), "ping_after + ping_timeout")
	// The lease is renewed at a third of its TTL, and one renewal may time out.
	ps.longerThan("timing.lease_ttl", t.LeaseTTL, 3*t.StoreTimeout.AsDuration(), "three store_timeout")
}

const (
	// maxClockDriftPercent is by which share a worker's clock may be slow, in percent.
	maxClockDriftPercent = 2
	// maxLease is the longest lease that a worker accepts.
	maxLease = time.Second
)

// leased checks the intervals of leased tasks one by one and then the sums of
// section 13.3 of the design page.
func (ps *problems) leased(l Leased, t Timing) {
	before := len(*ps)
	for _, f := range []struct {
		field string
		value Duration
	}{
		{"leased.lease", l.Lease}, {"leased.renew", l.Renew}, {"leased.order_timeout", l.OrderTimeout},
		{"leased.order_validity", l.OrderValidity}, {"leased.stop_time", l.StopTime}, {"leased.resend", l.Resend},
		{"leased.stall_after", l.StallAfter},
	} {
		ps.positive(f.field, f.value)
	}
	if len(*ps) > before {
		return
	}
	// The answers to two renewals may be lost, or one renewal.
	ps.longerThan("leased.lease", l.Lease, l.Renew.AsDuration()+2*l.OrderTimeout.AsDuration(), "renew + 2 order_timeout")
	ps.longerThan("leased.lease", l.Lease, 2*l.Renew.AsDuration()+l.OrderTimeout.AsDuration(), "2 renew + order_timeout")
	ps.atMost("leased.lease", l.Lease, maxLease, "the longest lease of a worker")
	// A start extends the lease of its run until the next renewal.
	ps.longerThan("leased.order_validity", l.OrderValidity, l.Renew.AsDuration()+l.OrderTimeout.AsDuration(), "renew + order_timeout")
	ps.atMost("leased.order_validity", l.OrderValidity, l.Lease.AsDuration(), "lease")
	// An interval between two lists counts for renew at most, so that a stall is
	// never seen in one interval alone.
	ps.longerThan("leased.stall_after", l.StallAfter, l.Renew.AsDuration(), "renew")
	sum := t.Lapse.AsDuration() + t.Heartbeat.AsDuration()/2 + l.Lease.AsDuration()*(100+maxClockDriftPercent)/100 + 2*l.StopTime.AsDuration()
	const of = "timing.lapse + timing.heartbeat/2 + 1.02 leased.lease + 2 leased.stop_time"
	ps.longerThan("timing.reconcile", t.Reconcile, sum, of)
	// An entry notices a pause of its own only if it is longer than a
	// heartbeat; a shorter one delays the handling of a caller that left.
	ps.longerThan("leased.resend", l.Resend, sum+t.Heartbeat.AsDuration(), of+" + timing.heartbeat")
}

// atMost requires d <= bound; of names what bound is.
func (ps *problems) atMost(field string, d Duration, bound time.Duration, of string) {
	if d.AsDuration() > bound {
		ps.add(field, d.AsDuration().String(), fmt.Sprintf("at most %s (%s)", bound, of))
	}
}
