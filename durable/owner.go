package durable

import (
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/store"
)

// Times of the ownership lease.
const (
	// LeaseTTL is the time without a renewal after which the store removes the
	// key of an epoch.
	LeaseTTL = 3 * time.Second
	// renewInterval is the time between renewals. It leaves time for two further
	// attempts before the ownership expires.
	renewInterval = time.Second
	// clockTolerance is the fraction of the time to live that remains if the
	// store's clock is 2 % fast.
	clockTolerance = 0.98
)

// newEpoch returns the name of the nth epoch of a process.
func newEpoch(entry, incarnation string, n uint64) Epoch {
	return Epoch(entry + "-" + incarnation + "-" + strconv.FormatUint(n, 10))
}

// Key returns the key of the epoch.
func (e Epoch) Key() string { return OwnersPrefix + string(e) }

// Entry returns the identifier of the epoch's entry, or "" if the name is not
// that of an epoch. The identifier may contain hyphens, the incarnation may not.
func (e Epoch) Entry() string {
	name := string(e)
	for range 2 {
		i := strings.LastIndexByte(name, '-')
		if i < 0 {
			return ""
		}
		name = name[:i]
	}
	return name
}

// Ownership is the present epoch of an entry and the time until which it is
// valid. Without an epoch the entry owns no jobs.
type Ownership struct {
	callTimeout time.Duration
	epoch       Epoch
	lease       store.LeaseID
	revision    uint64 // of the epoch's key
	validUntil  time.Time
}

// NewOwnership returns an Ownership without an epoch. callTimeout is the time
// limit of one call of the store.
func NewOwnership(callTimeout time.Duration) *Ownership { return &Ownership{callTimeout: callTimeout} }

// Begin records an epoch whose key was written at the given revision under a
// lease. sent is the time at which the lease was requested. Begin reports
// whether the epoch is valid now.
func (o *Ownership) Begin(now time.Time, epoch Epoch, lease store.LeaseID, revision uint64, sent time.Time) bool {
	o.epoch, o.lease, o.revision, o.validUntil = epoch, lease, revision, o.expiry(sent)
	return o.Valid(now)
}

// Renewed records that a renewal of the lease succeeded, which was sent at the
// given time. An epoch that has expired by now stays invalid, because the entry
// may have given up its jobs.
func (o *Ownership) Renewed(now time.Time, lease store.LeaseID, sent time.Time) {
	if until := o.expiry(sent); o.lease == lease && o.Valid(now) && until.After(o.validUntil) {
		o.validUntil = until
	}
}

// End drops the epoch, which never becomes valid again.
func (o *Ownership) End() { *o = Ownership{callTimeout: o.callTimeout} }

// Valid reports whether the entry may own durable jobs at the given time.
func (o *Ownership) Valid(now time.Time) bool { return o.epoch != "" && now.Before(o.validUntil) }

// expiry returns the time at which the ownership expires after a renewal that
// was sent at the given time. It precedes the earliest expiry in the store by
// the call timeout, so that a start that is sent just before arrives in time.
func (o *Ownership) expiry(sent time.Time) time.Time {
	return sent.Add(time.Duration(clockTolerance*float64(LeaseTTL)) - o.callTimeout)
}
