package admission

import (
	"math"
	"time"
)

// ServiceRate measures the work that one slot does in a second while tasks wait. Time
// without waiting tasks does not count: work then starts as it arrives, which
// says nothing about what the slots could do. The zero value assumes a rate of 1.
type ServiceRate struct {
	work     float64 // seconds of work, fading
	capacity float64 // seconds of slot time, fading
	waited   float64 // seconds with waiting tasks, fading
	last     time.Time
	backlog  bool
}

// Observe records that work was sent, the slots that it may use, and whether
// other tasks went on waiting for lack of free slots.
func (d *ServiceRate) Observe(now time.Time, work time.Duration, slots int, backlog bool) {
	if elapsed := now.Sub(d.last).Seconds(); d.backlog && elapsed >= 0 {
		fade := math.Exp(-elapsed / rateMemory.Seconds())
		d.work = d.work*fade + work.Seconds()
		d.capacity = d.capacity*fade + elapsed*float64(slots)
		d.waited = d.waited*fade + elapsed
	}
	d.last, d.backlog = now, backlog
}

// Value blends the measured rate with an assumed rate of 1 by the time over
// which it was measured.
func (d *ServiceRate) Value() float64 {
	if d.capacity <= 0 || d.waited <= 0 {
		return 1
	}
	measured := d.work / d.capacity
	trust := d.waited / (d.waited + rateEvidence.Seconds())
	return min(max(trust*measured+(1-trust), minRate), maxRate)
}

// bucket limits the rate of one account. Its level may become negative, so
// that a job with more tasks than one second allows is accepted once and paid
// for afterwards; otherwise it could never run.
type bucket struct {
	level float64
	last  time.Time
}

// take pays for the tasks of a job or returns how long to wait.
func (c *Controller) take(now time.Time, r Request, rate float64) (time.Duration, bool) {
	b, ok := c.buckets[r.Account]
	if !ok {
		b = &bucket{level: rate, last: now}
		c.buckets[r.Account] = b
	}
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
		b.last = now
	}
	b.level = min(b.level, rate)
	if b.level <= 0 {
		return time.Duration(-b.level / rate * float64(time.Second)), false
	}
	b.level -= float64(r.Tasks)
	return 0, true
}

// RemoveAccount drops what is kept for an account that was removed.
func (c *Controller) RemoveAccount(account string) { delete(c.buckets, account) }
