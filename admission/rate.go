package admission

import (
	"math"
	"time"
)

// ServiceRate measures the work that one slot does in a second while tasks are
// waiting. Time without waiting tasks is not measured, because work then starts
// at the rate of arrivals, not at the rate that the slots could serve. The zero
// value assumes a rate of 1.
type ServiceRate struct {
	// The sums decay exponentially with rateTimeConstant.
	workSeconds    float64 // work sent
	slotSeconds    float64 // slots × time with waiting tasks
	backlogSeconds float64 // time with waiting tasks
	last           time.Time
	backlog        bool
}

// Observe records that a task with the expected work was sent, the number of
// slots that it may use, and whether other tasks are still waiting for lack of
// free slots.
func (d *ServiceRate) Observe(now time.Time, work time.Duration, slots int, backlog bool) {
	if elapsed := now.Sub(d.last).Seconds(); d.backlog && elapsed >= 0 {
		decay := math.Exp(-elapsed / rateTimeConstant.Seconds())
		d.workSeconds = d.workSeconds*decay + work.Seconds()
		d.slotSeconds = d.slotSeconds*decay + elapsed*float64(slots)
		d.backlogSeconds = d.backlogSeconds*decay + elapsed
	}
	d.last, d.backlog = now, backlog
}

// Value returns the average of the measured rate and an assumed rate of 1,
// weighted by the time over which the rate was measured.
func (d *ServiceRate) Value() float64 {
	if d.slotSeconds <= 0 || d.backlogSeconds <= 0 {
		return 1
	}
	measured := d.workSeconds / d.slotSeconds
	weight := d.backlogSeconds / (d.backlogSeconds + ratePriorTime.Seconds())
	return min(max(weight*measured+(1-weight), minRate), maxRate)
}

// bucket is the token bucket that limits the started tasks per second of one
// account. It holds at most the tokens of one second. The number of tokens may
// become negative, so that a job with more tasks than one second allows can be
// accepted; the account then waits until the bucket is positive again.
type bucket struct {
	tokens float64
	last   time.Time
}

// takeTokens takes a token for each task of the job from the account's bucket. If
// the bucket has no tokens it returns false and the time until it has some again.
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

// RemoveAccount deletes the state of an account.
func (c *Controller) RemoveAccount(account string) { delete(c.buckets, account) }
