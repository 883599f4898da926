package leasestub

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// begin starts the job's task, which needs half of a worker.
func (c *Conn) begin(ctx context.Context, job string) lease.Run {
	run := lease.Run{Task: lease.Task{Job: job}, Number: 1}
	spec := Spec{MS: 1000, Needs: wire.Resources{MilliCPU: 500}}
	_, _ = c.Start(ctx, lease.StartOrder{Run: run, Spec: spec.Encode(), Until: 2 * bootClock})
	return run
}

// Guards against evidence that misses two runs of a task at two workers, or a
// worker above its capacity, also while a run is being stopped.
func TestEvidenceFindsFaults(t *testing.T) {
	type conns struct{ a, b *Conn }
	for _, tc := range []struct {
		name   string
		do     func(ctx context.Context, w conns)
		faults int
	}{
		{"two tasks", func(ctx context.Context, w conns) { w.a.begin(ctx, "j"); w.a.begin(ctx, "k") }, 0},
		{"overlap", func(ctx context.Context, w conns) { w.a.begin(ctx, "j"); w.b.begin(ctx, "j") }, 1},
		{"overlap with a run that is being stopped", func(ctx context.Context, w conns) {
			_, _ = w.a.Stop(ctx, lease.StopOrder{Run: w.a.begin(ctx, "j")})
			w.b.begin(ctx, "j")
		}, 1},
		{"after a crash", func(ctx context.Context, w conns) { w.a.begin(ctx, "j"); w.a.machine.Crash(); w.b.begin(ctx, "j") }, 0},
		{"over capacity", func(ctx context.Context, w conns) { w.a.begin(ctx, "j"); w.a.begin(ctx, "k"); w.a.begin(ctx, "l") }, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				evidence := NewEvidence()
				room := wire.Resources{MilliCPU: 1000}
				a, b := New(Options{ID: "a", Capacity: room, Evidence: evidence}), New(Options{ID: "b", Capacity: room, Evidence: evidence})
				tc.do(t.Context(), conns{a.Connect(a.Announcement()), b.Connect(b.Announcement())})
				qt.Check(t, evidence.Faults(), qt.HasLen, tc.faults)
				a.Crash()
				b.Crash()
				qt.Check(t, evidence.Running(), qt.Equals, 0)
			})
		})
	}
}
