package admission

import (
	"math"
	"time"
)

// ServiceRate measures the work that one slot does in a second while tasks wait. Time
// without waiting tasks does not count: work then starts as it arrives, which
// says nothing about what the slots could do. The zero value assumes a rate of 1.
type ServiceRate struct {
	workSeconds    float64 // seconds of work, fading
	slotSeconds    float64 // seconds of slot time, fading
	backlogSeconds float64 // seconds with waiting tasks, fading
	last           time.Time
	backlog        bool
}

// Observe records that work was sent, the slots that it may use, and whether
// other tasks went on waiting for lack of free slots.
func (d *ServiceRate) Observe(now time.Time, work time.Duration, slots int, backlog bool) {
	if elapsed := now.Sub(d.last).Seconds(); d.backlog && elapsed >= 0 {
		decay := math.Exp(-elapsed / rateTimeConstant.Seconds())
		d.workSeconds = d.workSeconds*decay + work.Seconds()
		d.slotSeconds = d.slotSeconds*decay + elapsed*float64(slots)
		d.backlogSeconds = d.backlogSeconds*decay + elapsed
	}
	d.last, d.backlog = now, backlog
}

// Value blends the measured rate with an assumed rate of 1 by the time over
// which it was measured.
func (d *ServiceRate) Value() float64 {
	if d.slotSeconds <= 0 || d.backlogSeconds <= 0 {
		return 1
	}
	measured := d.workSeconds / d.slotSeconds
	weight := d.backlogSeconds / (d.backlogSeconds + ratePriorTime.Seconds())
	return min(max(weight*measured+(1-weight), minRate), maxRate)
}

// bucket limits the rate of one account. Its level may become negative, so
// that a job with more tasks than one second allows is accepted once and paid
// for afterwards; otherwise it could never run.
type bucket struct {
	tokens float64
	last   time.Time
}

// takeTokens pays for the tasks of a job or returns how long to wait.
func (c *Controller) takeTokens(now time.Time, r Request, rate float64) (time.Duration, bool) {
	b, ok := c.buckets[r.Account]
	if !ok {
		b = &bucket{tokens: rate, last: now}
		c.buckets[r.Account] = b
	}
	if elapsed := now.Sub(b.last).Seconds(); elapsed > 0 {
		b.tokens += elapsed * rate
		b.last = now
	}
	b.tokens = min(b.tokens, rate)
	if b.tokens <= 0 {
		return time.Duration(-b.tokens / rate * float64(time.Second)), false
	}
	b.tokens -= float64(r.Tasks)
	return 0, true
}

// RemoveAccount drops what is kept for an account that was removed.
func (c *Controller) RemoveAccount(account string) { delete(c.buckets, account) }
