package durable

import (
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/store"
)

// Times of the ownership lease.
const (
	// LeaseTTL after which the store removes the key of an epoch.
	LeaseTTL = 3 * time.Second
	// renewInterval leaves two further attempts before the validity ends.
	renewInterval = time.Second
	// clockTolerance is the share of the time to live that is left when the
	// store's clock is 2 % fast.
	clockTolerance = 0.98
)

// newEpoch names the nth epoch of a process.
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

// Ownership is the validity of one entry's ownership lease. The zero value has none.
type Ownership struct {
	callTimeout time.Duration
	epoch       Epoch
	lease       store.LeaseID
	revision    uint64 // of the epoch's key
	validUntil  time.Time
}

// NewOwnership returns an Owner without an epoch.
func NewOwnership(callTimeout time.Duration) *Ownership { return &Ownership{callTimeout: callTimeout} }

// Begin records an epoch whose key was written at the given revision under a
// lease; sent is when the request for the lease was sent. It reports whether
// the epoch is valid.
func (o *Ownership) Begin(now time.Time, epoch Epoch, lease store.LeaseID, revision uint64, sent time.Time) bool {
	o.epoch, o.lease, o.revision, o.validUntil = epoch, lease, revision, o.expiry(sent)
	return o.Valid(now)
}

// Renewed records that the renewal of lease that was sent at the given time
// succeeded. An epoch whose validity has ended by now stays invalid, because
// the entry may have acted on that.
func (o *Ownership) Renewed(now time.Time, lease store.LeaseID, sent time.Time) {
	if until := o.expiry(sent); o.lease == lease && o.Valid(now) && until.After(o.validUntil) {
		o.validUntil = until
	}
}

// End ends the validity for good.
func (o *Ownership) End() { *o = Ownership{callTimeout: o.callTimeout} }

// Valid reports whether the entry may own durable jobs at that time.
func (o *Ownership) Valid(now time.Time) bool { return o.epoch != "" && now.Before(o.validUntil) }

// expiry returns the end of the validity after a renewal. The call timeout covers
// a start that is on its way when the validity ends.
func (o *Ownership) expiry(sent time.Time) time.Time {
	return sent.Add(time.Duration(clockTolerance*float64(LeaseTTL)) - o.callTimeout)
}
