package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a timeout that is far above a worker's answer time, that is below it
// for a slow worker, or that does not return to its usual value.
func TestOrderTimeout(t *testing.T) {
	c := qt.New(t)
	const limit = 100 * time.Millisecond
	now := time.Now()
	o := NewOrderTimeout(limit)
	c.Check(o.Value(), qt.Equals, limit)
	c.Check(o.RecentlyUnanswered(now), qt.IsFalse)
	for range 20 {
		o.Answered(500 * time.Microsecond)
	}
	c.Check(o.Value(), qt.Equals, minOrderTimeout)
	for i, want := range []time.Duration{minOrderTimeout, 2 * minOrderTimeout, 4 * minOrderTimeout, limit, limit} {
		sent := now
		now = now.Add(o.Value())
		for range 5 { // orders that were sent together
			o.Unanswered(now, sent)
		}
		c.Check(o.Value(), qt.Equals, want, qt.Commentf("%d", i))
	}
	c.Check(o.RecentlyUnanswered(now.Add(time.Second)), qt.IsTrue)
	c.Check(o.RecentlyUnanswered(now.Add(3*time.Second)), qt.IsFalse)
	o.Answered(500 * time.Microsecond)
	c.Check(o.Value(), qt.Equals, minOrderTimeout)
	for range 40 {
		o.Answered(20 * time.Millisecond)
	}
	c.Check(o.Value() > 70*time.Millisecond && o.Value() <= limit, qt.IsTrue, qt.Commentf("%v", o.Value()))
}
