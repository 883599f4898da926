package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a clock that does not count the time for which the machine was
// suspended, that counts the inaccuracy of two readings, or that goes back.
func TestSuspensionsAreCounted(t *testing.T) {
	c := qt.New(t)
	steady, offset := time.Now(), 5*time.Second // suspended before the process started
	clock := New(func() time.Time { return steady }, func() time.Duration { return offset })
	began := clock.Now()
	for _, step := range []struct {
		steady, offset, passed, suspended time.Duration
	}{
		{time.Second, 5 * time.Second, time.Second, 0},
		{time.Second, 5*time.Second + minSuspension - 1, time.Second, 0},
		{time.Second, 7 * time.Second, 3 * time.Second, 2 * time.Second},
		{2 * time.Second, 7*time.Second - time.Millisecond, 4 * time.Second, 2 * time.Second},
		{2 * time.Second, 7*time.Second + minSuspension, 4*time.Second + minSuspension, 2*time.Second + minSuspension},
	} {
		steady, offset = began.Add(step.steady), step.offset
		c.Check(clock.Since(began), qt.Equals, step.passed)
		c.Check(clock.Until(began), qt.Equals, -step.passed)
		c.Check(clock.Suspended(), qt.Equals, step.suspended)
	}
}

// Guards against a clock of the system that is off from the steady clock although
// nothing was suspended, and against a nil Clock that cannot be read.
func TestSystemClock(t *testing.T) {
	c := qt.New(t)
	for _, clock := range []*Clock{System(), nil} {
		before := time.Now()
		now := clock.Now()
		c.Check(now.Before(before) || now.After(time.Now()), qt.IsFalse)
		c.Check(clock.Suspended(), qt.Equals, time.Duration(0))
	}
}
