package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shownAt describes one reply: the time since the one before, and the percent of
// the run, below 0 if the reply does not list the run.
type shownAt struct {
	after   time.Duration
	percent int
}

// Guards against a stalled run that is not detected, and against runs that count
// as stalled because one percent of a long task takes long or because the worker
// or the agent was paused.
func TestStalledRuns(t *testing.T) {
	steady := func(n int, after time.Duration, step int) []shownAt {
		var out []shownAt
		for i := range n {
			out = append(out, shownAt{after, i * step})
		}
		return out
	}
	for _, tc := range []struct {
		name       string
		replies    []shownAt
		noProgress time.Duration
		stalled    bool
	}{
		{"progress", steady(10, 150*ms, 3), 0, false},
		{"one interval", []shownAt{{10 * ms, 5}, {150 * ms, 5}}, 150 * ms, false},
		{"two intervals", []shownAt{{10 * ms, 5}, {150 * ms, 5}, {150 * ms, 5}}, 300 * ms, true},
		{"never any progress", []shownAt{{10 * ms, 0}, {150 * ms, 0}, {150 * ms, 0}}, 300 * ms, true},
		{"many short intervals", steady(50, 5*ms, 0), 245 * ms, false},
		{"just long enough", steady(51, 5*ms, 0), 250 * ms, true},
		{"progress again", []shownAt{{10 * ms, 5}, {150 * ms, 5}, {150 * ms, 5}, {150 * ms, 6}}, 0, false},
		{"a short pause counts as one interval", []shownAt{{10 * ms, 5}, {590 * ms, 5}, {10 * ms, 5}}, 160 * ms, false},
		{"a long pause does not count", []shownAt{{10 * ms, 5}, {150 * ms, 5}, {601 * ms, 5}}, 150 * ms, false},
		{"a list without the run", []shownAt{{10 * ms, 5}, {100 * ms, -1}, {100 * ms, 5}, {100 * ms, 5}}, 100 * ms, false},
		{"less than a tenth of its age", append(steady(28, 150*ms, 1), shownAt{150 * ms, 27}, shownAt{150 * ms, 27}), 300 * ms, false},
		{"a tenth of its age", append(steady(17, 150*ms, 1), shownAt{150 * ms, 16}, shownAt{150 * ms, 16}), 300 * ms, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, table := qt.New(t), ordered()
			table.options.Renew, table.options.StallAfter = 150*ms, 250*ms
			table.answerStart("")
			for _, l := range tc.replies {
				table.pass(l.after)
				if l.percent < 0 {
					table.poll(nil)
					continue
				}
				table.poll([]ActiveRun{{run1, l.percent}})
			}
			p, ok := table.Progress(run1)
			c.Assert(ok, qt.IsTrue)
			c.Check(p.NoProgress, qt.Equals, tc.noProgress)
			c.Check(p.Stalled, qt.Equals, tc.stalled)
			if tc.stalled {
				c.Check(table.TakeStalled(), qt.DeepEquals, []Run{run1})
			}
		})
	}
}

// Guards against a stalled run that is reported again with every reply, and
// against one that is reported while it is being stopped.
func TestStalledOnce(t *testing.T) {
	c, table := qt.New(t), ordered()
	table.options.Renew, table.options.StallAfter = 150*ms, 250*ms
	table.answerStart("")
	reports := 0
	for range 10 {
		table.pass(150 * ms)
		table.poll([]ActiveRun{{run1, 40}})
		reports += len(table.TakeStalled())
	}
	c.Check(reports, qt.Equals, 1)
	table.Stop(run1)
	_, ok := table.Progress(run1)
	c.Check(ok, qt.IsFalse)
}

// Guards against a wrong projection of the duration, and against a task that
// counts as slow although it has no progress or no expected duration.
func TestProjection(t *testing.T) {
	for _, tc := range []struct {
		p        Progress
		expected time.Duration
		total    time.Duration
		slow     bool
	}{
		{Progress{Percent: 0, Elapsed: time.Second}, 100 * ms, 0, false},
		{Progress{Percent: 25, Elapsed: 200 * ms}, 0, 800 * ms, false},
		{Progress{Percent: 25, Elapsed: 75 * ms}, 200 * ms, 300 * ms, false},
		{Progress{Percent: 25, Elapsed: 76 * ms}, 200 * ms, 304 * ms, true},
	} {
		qt.Check(t, tc.p.ProjectedDuration(), qt.Equals, tc.total)
		qt.Check(t, tc.p.Slow(tc.expected), qt.Equals, tc.slow)
	}
}
