// Package clock reads the time for the bounds that a process keeps towards others:
// leases, sessions, ages of permissions, pauses.
//
// Go's monotonic clock stands still while the machine is suspended, and the wall
// clock may be set. Neither can tell how long a permission has been held, so the
// time of a Clock is the monotonic clock plus the time for which the machine was
// suspended.
//
// The times of a Clock are only compared with each other. Timers and deadlines of
// the runtime and of connections use the steady clock: they get durations, or times
// of package time.
package clock

import (
	"sync/atomic"
	"time"
)

// minSuspension is the shortest suspension that is counted. Two clocks cannot be
// read at the same moment, so shorter differences are inaccuracy.
const minSuspension = 10 * time.Millisecond

// Clock is the clock of a process. A nil Clock is the steady clock, which counts no
// suspension. It is safe for concurrent use.
type Clock struct {
	steady    func() time.Time
	offset    func() time.Duration
	base      time.Duration // offset at the start of the process
	suspended atomic.Int64  // nanoseconds counted so far
}

// New returns a clock. steady returns the time with a monotonic reading that may
// stand still while the machine is suspended. offset returns how far a clock that
// counts suspensions is ahead of it, from an origin that does not change; it may
// return too little, when the two readings are taken apart, but not too much.
func New(steady func() time.Time, offset func() time.Duration) *Clock {
	c := &Clock{steady: steady, offset: offset}
	for range 3 { // a reading that is too small would later count as a suspension
		c.base = max(c.base, offset())
	}
	return c
}

// System returns a clock of this machine.
func System() *Clock { return New(time.Now, suspensionOffset) }

// Now returns the current time.
func (c *Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	suspended := c.Suspended() // read first, so that the result is not too late
	return c.steady().Add(suspended)
}

// Since returns the time that has passed since a time that Now returned.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until a time that was computed from one that Now returned.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Suspended returns for how long the machine has been suspended since the clock was
// created.
func (c *Clock) Suspended() time.Duration {
	if c == nil {
		return 0
	}
	total := int64(c.offset() - c.base)
	for {
		counted := c.suspended.Load()
		if total-counted < int64(minSuspension) || c.suspended.CompareAndSwap(counted, total) {
			return time.Duration(c.suspended.Load())
		}
	}
}
