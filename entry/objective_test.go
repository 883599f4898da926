package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/settings"
)

// Guards against an objective so large that adding it to a time overflows in
// the queue, and against an order that the settings accept but the queue
// replaces by the default.
func TestObjectiveAndOrder(t *testing.T) {
	template := &config.Template{SlackFactor: 2, TargetMS: 100}
	qt.Check(t, ResponseTimeObjective(template, Work{Expected: 200 * time.Millisecond, Tasks: 21, MilliCPU: 4000, PoolMilliCPU: 320000}), qt.Equals, 900*time.Millisecond)
	template.SlackFactor = 1e300
	qt.Check(t, ResponseTimeObjective(template, Work{Expected: time.Hour}), qt.Equals, queue.MaxObjective)
	for _, name := range settings.Orders() {
		qt.Check(t, queuePolicy(name).Name(), qt.Equals, name)
	}
}

// Guards against giving a job up while it still has value, keeping it when it
// has none, and a start time-out that overflows.
func TestGiveUpAfter(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name     string
		slack    float64
		target   int64
		deadline time.Duration
		work     Work
		after    time.Duration
	}{
		{"one task", 2, 100, time.Minute, Work{200 * ms, 1, 4000, 320000}, 3*500*ms + 100*ms},
		{"two waves", 2, 100, time.Minute, Work{200 * ms, 21, 4000, 320000}, 3*900*ms + 100*ms},
		{"a whole wave", 2, 100, time.Minute, Work{200 * ms, 20, 4000, 320000}, 3*500*ms + 100*ms},
		{"no agent known", 2, 100, time.Minute, Work{200 * ms, 32, 9400, 0}, 3*500*ms + 100*ms},
		{"deadline first", 2, 100, time.Second, Work{200 * ms, 1, 4000, 320000}, time.Second},
		{"huge factor", 1e300, 1 << 60, time.Second, Work{time.Hour, 1500, 1 << 40, 1}, time.Second},
	} {
		got := StartTimeout(&config.Template{SlackFactor: tc.slack, TargetMS: tc.target}, tc.deadline, tc.work)
		qt.Check(t, got, qt.Equals, tc.after, qt.Commentf(tc.name))
	}
}
