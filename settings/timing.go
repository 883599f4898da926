package settings

import (
	"fmt"
	"time"
)

// maxInterval is the longest accepted interval. Sums of a few such intervals
// cannot overflow.
const maxInterval = Duration(24 * time.Hour)

// positive requires 0 < d <= maxInterval.
func (ps *problems) positive(field string, d Duration) {
	if d <= 0 || d > maxInterval {
		ps.add(field, d.AsDuration().String(), "more than 0s and at most 24h")
	}
}

// longerThan requires bound < d <= maxInterval. of is the formula of the bound,
// for the error message.
func (ps *problems) longerThan(field string, d Duration, bound time.Duration, of string) {
	if d.AsDuration() <= bound || d > maxInterval {
		ps.add(field, d.AsDuration().String(), fmt.Sprintf("more than %s (%s) and at most 24h", bound, of))
	}
}

// timing checks each interval, and if all are valid, how they relate to each
// other. With an invalid interval the errors about relations would be
// misleading.
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
	if t.IdleHeartbeat < 0 || t.IdleHeartbeat > maxInterval {
		ps.add("timing.idle_heartbeat", t.IdleHeartbeat.AsDuration().String(), "0s to 24h")
	}
	if t.StopNotice < 0 || t.StopNotice > maxInterval {
		ps.add("timing.stop_notice", t.StopNotice.AsDuration().String(), "0s to 24h")
	}
	if t.StopGrace < 0 || t.StopGrace > maxInterval {
		ps.add("timing.stop_grace", t.StopGrace.AsDuration().String(), "0s to 24h")
	}
	if len(*ps) == before {
		ps.timingRelations(t)
	}
}

// timingRelations checks the intervals against each other.
func (ps *problems) timingRelations(t Timing) {
	// With regular reads and heartbeats, the age of an agent's confirmation
	// reaches config_read + idle_heartbeat. A shorter gate would close from time to
	// time without any fault.
	ps.longerThan("timing.gate", t.Gate, t.ConfigRead.AsDuration()+t.IdleInterval(), "config_read + the longer of heartbeat and idle_heartbeat")
	if t.Gate.AsDuration() > maxGate {
		ps.add("timing.gate", t.Gate.AsDuration().String(), fmt.Sprintf("at most %s, the bound for starts in a data centre out of service", maxGate))
	}
	// One lost heartbeat must not make a process suspect.
	ps.longerThan("timing.suspect", t.Suspect, max(2*t.Heartbeat.AsDuration(), t.PeerHeartbeat.AsDuration()), "two heartbeats and one peer_heartbeat")
	ps.longerThan("timing.lapse", t.Lapse, t.Suspect.AsDuration(), "suspect")
	ps.longerThan("timing.reconcile", t.Reconcile, t.Lapse.AsDuration(), "lapse")
	// A connection that no longer carries data must be replaced before the agent
	// ends the session.
	ps.longerThan("timing.lapse", t.Lapse, t.PingAfter.AsDuration()+t.PingTimeout.AsDuration(), "ping_after + ping_timeout")
	if t.StopGrace > 0 {
		ps.longerThan("timing.stop_grace", t.StopGrace, t.StopNotice.AsDuration()+StopMargin, "stop_notice + "+StopMargin.String())
	}
	if t.StopAccept && t.StopGrace == 0 {
		ps.add("timing.stop_accept", "true", "false without stop_grace, which says until when jobs are accepted")
	}
	// The lease is renewed at a third of its TTL, and must survive a renewal that
	// times out.
	ps.longerThan("timing.lease_ttl", t.LeaseTTL, 3*t.StoreTimeout.AsDuration(), "three store_timeout")
}

const (
	// maxClockDriftPercent is the percentage by which a worker's clock may be
	// slow.
	maxClockDriftPercent = 2
	// maxLease is the longest lease that a worker accepts.
	maxLease = time.Second
)

// leased checks each interval of leased tasks, and if all are valid, the
// inequalities of section 13.3 of docs/design.md.
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
	// The lease must survive the loss of the answers to two renewals, and the
	// loss of one renewal.
	ps.longerThan("leased.lease", l.Lease, l.Renew.AsDuration()+2*l.OrderTimeout.AsDuration(), "renew + 2 order_timeout")
	ps.longerThan("leased.lease", l.Lease, 2*l.Renew.AsDuration()+l.OrderTimeout.AsDuration(), "2 renew + order_timeout")
	ps.atMost("leased.lease", l.Lease, maxLease, "the longest lease of a worker")
	// The order that starts a run extends the lease until the next renewal does.
	ps.longerThan("leased.order_validity", l.OrderValidity, l.Renew.AsDuration()+l.OrderTimeout.AsDuration(), "renew + order_timeout")
	ps.atMost("leased.order_validity", l.OrderValidity, l.Lease.AsDuration(), "lease")
	// The interval between two replies of the worker counts for at most renew as
	// time without progress. One interval alone must not make a run stalled.
	ps.longerThan("leased.stall_after", l.StallAfter, l.Renew.AsDuration(), "renew")
	sum := t.Lapse.AsDuration() + t.Heartbeat.AsDuration()/2 + l.Lease.AsDuration()*(100+maxClockDriftPercent)/100 + 2*l.StopTime.AsDuration()
	const of = "timing.lapse + timing.heartbeat/2 + 1.02 leased.lease + 2 leased.stop_time"
	ps.longerThan("timing.reconcile", t.Reconcile, sum, of)
	// An entry detects a pause of its own process only if it lasts longer than a
	// heartbeat. A shorter pause delays the cancellation of a job whose caller
	// disconnected.
	ps.longerThan("leased.resend", l.Resend, sum+t.Heartbeat.AsDuration(), of+" + timing.heartbeat")
}

// atMost requires d <= bound. of describes the bound in the error message.
func (ps *problems) atMost(field string, d Duration, bound time.Duration, of string) {
	if d.AsDuration() > bound {
		ps.add(field, d.AsDuration().String(), fmt.Sprintf("at most %s (%s)", bound, of))
	}
}
