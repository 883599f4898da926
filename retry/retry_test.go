package retry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/retry"
)

var start = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// Guards against retries that multiply the load in an outage: over every period
// they must stay within Share × requests + PerSecond × seconds + Burst.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := retry.Options{
			Share:     float64(rapid.IntRange(1, 100).Draw(t, "percent")) / 100,
			PerSecond: float64(rapid.IntRange(1, 20).Draw(t, "tenths")) / 10,
			Burst:     float64(rapid.IntRange(1, 20).Draw(t, "burst")),
		}
		b := retry.New(o)
		type event struct {
			at                time.Duration
			requests, retries int // up to and including this event
		}
		events := []event{{}}
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 2000), 100, 200).Draw(t, "steps") {
			e := events[len(events)-1]
			e.at += time.Duration(ms%500) * time.Millisecond
			if ms%3 == 0 {
				e.requests++
				b.RecordRequest(start.Add(e.at))
			} else if b.Allow(start.Add(e.at)) {
				e.retries++
			}
			events = append(events, e)
		}
		for i, from := range events {
			for _, to := range events[i:] {
				allowed := o.Burst + o.Share*float64(to.requests-from.requests) + o.PerSecond*(to.at-from.at).Seconds()
				if float64(to.retries-from.retries) > allowed+1e-6 {
					t.Fatalf("%d retries between %v and %v, allowed %.2f", to.retries-from.retries, from.at, to.at, allowed)
				}
			}
		}
	})
}

// Guards against a budget that is never refilled, or that is refilled when the
// clock goes backwards.
func TestBudgetIsEarned(t *testing.T) {
	c := qt.New(t)
	b := retry.New(retry.Options{Share: 0.5, PerSecond: -1, Burst: 1})
	c.Assert(b.Allow(start), qt.IsTrue)
	c.Assert(b.Allow(start), qt.IsFalse)
	b.RecordRequest(start)
	c.Assert(b.Allow(start), qt.IsFalse)
	b.RecordRequest(start)
	c.Assert(b.Allow(start), qt.IsTrue)

	b = retry.New(retry.Options{Share: -1, PerSecond: 1, Burst: 2})
	b.Allow(start)
	b.Allow(start)
	c.Assert(b.Allow(start.Add(-time.Hour)), qt.IsFalse)
	c.Assert(b.Available(start.Add(500*time.Millisecond)), qt.Equals, 0.5)
	c.Assert(b.Allow(start.Add(time.Second)), qt.IsTrue)
}

func ExampleBudget() {
	b := retry.New(retry.Options{Share: 0.1, PerSecond: -1, Burst: 2})
	now := time.Now()
	for range 100 {
		b.RecordRequest(now) // the budget holds 2 retries at most
	}
	fmt.Println(b.Allow(now), b.Allow(now), b.Allow(now))
	// Output: true true false
}
