package config

import "time"

// maxRenewals bounds the new generations that one report of a higher generation
// leads to, in case no revision of the store reaches it.
const maxRenewals = 3

// unreachableRetry is how long a generation is ignored that maxRenewals renewals did not
// reach. It may come from a process that has ended, and hides lower ones while it is tried.
const unreachableRetry = 20 * time.Minute

// Overtaken decides when an unchanged document gets a new generation. The generation
// of a document that is translated from another format depends on when a process read
// it. A process may therefore hand out a higher generation of the same content and be
// gone before any other process has fetched it; whoever adopted it follows no lower one.
// The zero value is ready for use.
type Overtaken struct {
	newest   uint64    // highest generation reported
	since    time.Time // when it was first reported, last held by a peer, or last led to a renewal
	renewals int       // to which newest has led

	unreachable uint64    // ignored until retryAt, and all above it; 0 if there is none
	retryAt     time.Time // unless it is reached before
}

// Report records that another process has the generation in force.
func (o *Overtaken) Report(now time.Time, generation uint64) {
	if o.unreachable > 0 && generation >= o.unreachable && now.Before(o.retryAt) {
		return
	}
	if generation > o.newest && generation <= MaxGeneration {
		o.newest, o.since, o.renewals = generation, now, 0
	}
}

// HeldByPeer records that a peer that can be reached reported a generation. While one has
// the highest generation, it is fetched there; two processes would otherwise renew in
// turns.
func (o *Overtaken) HeldByPeer(now time.Time, generation uint64) {
	if generation >= o.newest {
		o.since = now
	}
}

// Renew reports whether a read of the document in force, which has the given
// generation, has to get a new one although its content is the same. That is so once
// a higher generation was reported, for wait no peer had it, and it was not fetched. Each true result
// counts as one renewal.
func (o *Overtaken) Renew(now time.Time, inForce uint64, wait time.Duration) bool {
	if o.unreachable <= inForce {
		o.unreachable = 0
	}
	if o.newest <= inForce || now.Sub(o.since) < wait {
		return false
	}
	if o.renewals >= maxRenewals {
		*o = Overtaken{unreachable: o.newest, retryAt: now.Add(unreachableRetry)}
		return false
	}
	o.since = now
	o.renewals++
	return true
}
