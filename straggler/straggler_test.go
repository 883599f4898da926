package straggler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/straggler"
)

const ms = time.Millisecond

// Guards against a restart that is not worthwhile, and against a run that
// continues although a restart is worthwhile.
func TestDecide(t *testing.T) {
	stalled := straggler.Run{Percent: 40, Elapsed: 500 * ms, Stalled: true, Expected: 200 * ms, Remaining: 2 * time.Second, HasAlternative: true, BudgetAvailable: true}
	// The projected duration is 800 ms, of which 600 ms remain; at another
	// worker the task would take 200 ms.
	slow := straggler.Run{Percent: 25, Elapsed: 200 * ms, Expected: 200 * ms, Remaining: 2 * time.Second, Slowness: 4, HasAlternative: true, BudgetAvailable: true}
	for _, tc := range []struct {
		name   string
		run    straggler.Run
		change func(r *straggler.Run)
		want   straggler.Reason
	}{
		{"stalled", stalled, func(*straggler.Run) {}, straggler.Stalled},
		{"stalled before any progress", stalled, func(r *straggler.Run) { r.Percent, r.Elapsed = 0, 300*ms }, straggler.Stalled},
		{"stalled at a fast worker", stalled, func(r *straggler.Run) { r.Slowness = 0.5 }, straggler.Stalled},
		{"stalled, no room elsewhere", stalled, func(r *straggler.Run) { r.HasAlternative = false }, ""},
		{"stalled, ends elsewhere in time", stalled, func(r *straggler.Run) { r.Remaining = 301 * ms }, straggler.Stalled},
		{"stalled, ends elsewhere too late", stalled, func(r *straggler.Run) { r.Remaining = 300 * ms }, ""},
		{"stalled, ends at a slow worker too late", stalled, func(r *straggler.Run) { r.Remaining, r.AlternativeSlowness = 499*ms, 2 }, ""},
		{"stalled, a fast worker makes no earlier end", stalled, func(r *straggler.Run) { r.Remaining, r.AlternativeSlowness = 300*ms, 0.5 }, ""},
		{"stalled for the second time", stalled, func(r *straggler.Run) { r.Restarts = 1 }, straggler.Stalled},
		{"stalled for the third time", stalled, func(r *straggler.Run) { r.Restarts = 2 }, ""},
		{"stalled, one other run is being stopped", stalled, func(r *straggler.Run) { r.Stopping = 1 }, straggler.Stalled},
		{"stalled, two other runs are being stopped", stalled, func(r *straggler.Run) { r.Stopping = 2 }, ""},
		{"stalled, no budget", stalled, func(r *straggler.Run) { r.BudgetAvailable = false }, ""},
		{"slow", slow, func(*straggler.Run) {}, straggler.Slow},
		{"slow, worker not known to be slow", slow, func(r *straggler.Run) { r.Slowness = 0 }, ""},
		{"long task at a sound worker", slow, func(r *straggler.Run) { r.Slowness = 1 }, ""},
		{"slow, worker hardly slow", slow, func(r *straggler.Run) { r.Slowness = 1.99 }, ""},
		{"slow, worker just slow enough", slow, func(r *straggler.Run) { r.Slowness, r.Percent, r.Elapsed = 2, 24, 192*ms }, straggler.Slow},
		{"slow, rest as long as elsewhere", slow, func(r *straggler.Run) { r.Percent, r.Elapsed = 63, 504*ms }, ""},
		{"slow, rest just long enough", slow, func(r *straggler.Run) { r.Percent, r.Elapsed = 62, 496*ms }, straggler.Slow},
		{"slow, no progress to project from", slow, func(r *straggler.Run) { r.Percent = 0 }, ""},
		{"slow, ends elsewhere too late", slow, func(r *straggler.Run) { r.Remaining = 300 * ms }, ""},
		{"slow, no room elsewhere", slow, func(r *straggler.Run) { r.HasAlternative = false }, ""},
		{"slow for the second time", slow, func(r *straggler.Run) { r.Restarts = 1 }, straggler.Slow},
		{"slow for the third time", slow, func(r *straggler.Run) { r.Restarts = 2 }, ""},
		{"slow, two other runs are being stopped", slow, func(r *straggler.Run) { r.Stopping = 2 }, ""},
		{"slow, no budget", slow, func(r *straggler.Run) { r.BudgetAvailable = false }, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := tc.run
			tc.change(&r)
			reason, ok := straggler.Decide(r)
			qt.Check(t, reason, qt.Equals, tc.want)
			qt.Check(t, ok, qt.Equals, tc.want != "")
		})
	}
}
