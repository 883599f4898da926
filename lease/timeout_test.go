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
	answered := func(n int, took time.Duration) {
		for range n {
			o.Answered(took)
		}
	}
	c.Check(o.Value(), qt.Equals, limit)
	answered(40, time.Millisecond)
	c.Check(o.Value(), qt.Equals, calmOrderTimeout)
	for _, want := range []time.Duration{calmOrderTimeout, 2 * calmOrderTimeout, 4 * lossyOrderTimeout, limit, limit} {
		sent := now
		now = now.Add(o.Value())
		o.Unanswered(now, sent)
		c.Check(o.Value(), qt.Equals, want)
	}
	answered(1, time.Millisecond)
	c.Check(o.Value(), qt.Equals, lossyOrderTimeout)
	answered(40, time.Millisecond)
	c.Check(o.Value(), qt.Equals, calmOrderTimeout)
	for range 5 { // sent together
		o.Unanswered(now, now.Add(-time.Millisecond))
	}
	c.Check(o.Value(), qt.Equals, lossyOrderTimeout)
	answered(40, 20*time.Millisecond)
	c.Check(o.Value() > 70*time.Millisecond && o.Value() <= limit, qt.IsTrue, qt.Commentf("%v", o.Value()))
}
