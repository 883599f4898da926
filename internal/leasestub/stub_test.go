package leasestub

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// begin starts the job's task, which needs half of a worker's capacity.
func (c *Conn) begin(ctx context.Context, job string) lease.Run {
	run := lease.Run{Task: lease.Task{Job: job}, Number: 1}
	spec := Spec{MS: 1000, Needs: wire.Resources{MilliCPU: 500}}
	_, _ = c.Start(ctx, lease.StartOrder{Run: run, Spec: spec.Encode(), ValidUntil: 2 * bootClock})
	return run
}

// Guards against evidence that misses concurrent runs of a task at two workers, or
// a worker above its capacity, also while a run is being stopped.
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
				qt.Check(t, evidence.Violations(), qt.HasLen, tc.faults)
				a.Crash()
				b.Crash()
				qt.Check(t, evidence.Running(), qt.Equals, 0)
			})
		})
	}
}

// Guards against a stand-in whose stalled runs make progress, or whose slowed runs
// end at the wrong time.
func TestSpeedOfRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{ID: "a", Capacity: wire.Resources{MilliCPU: 1000}, MaxLease: 2 * bootClock})
		c := m.Connect(m.Announcement())
		run := c.begin(t.Context(), "j")
		began := time.Now()
		percent := func() int {
			list, err := c.Renew(t.Context(), lease.RenewOrder{LeaseEnd: 2 * bootClock})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, list.Active, qt.HasLen, 1)
			qt.Check(t, list.Active[0].Run, qt.Equals, run)
			return list.Active[0].Percent
		}
		for _, phase := range []struct {
			faults  Faults
			lasts   time.Duration
			percent int
		}{
			{Faults{}, 200 * time.Millisecond, 20},
			{Faults{Stall: true}, time.Second, 20},
			{Faults{Slowdown: 4}, 400 * time.Millisecond, 30},
			{Faults{Stall: true}, time.Second, 30},
		} {
			m.SetFaults(phase.faults)
			time.Sleep(phase.lasts)
			qt.Check(t, percent(), qt.Equals, phase.percent)
		}
		m.SetFaults(Faults{Paused: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Renew(ctx, lease.RenewOrder{})
		qt.Check(t, err, qt.IsNotNil)
		m.SetFaults(Faults{})
		time.Sleep(701 * time.Millisecond)
		qt.Check(t, m.Evidence().Running(), qt.Equals, 0)
		end := m.Evidence().Starts()[0]
		qt.Check(t, end.How, qt.Equals, lease.Done)
		qt.Check(t, end.Ended.Sub(began), qt.Equals, 4300*time.Millisecond)
		m.Crash()
	})
}

// Guards against a stand-in that promises more than a worker: that the next life under
// the same identifier refuses or drops orders to the former one, or that births rise.
func TestNextLifeKnowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := New(Options{ID: "a", Capacity: wire.Resources{MilliCPU: 1000}})
		first := m.Announcement()
		conn := m.Connect(first)
		time.Sleep(5 * time.Second)
		order := lease.RenewOrder{Token: 9, LeaseEnd: m.life.clock() + 300*time.Millisecond}
		list, err := conn.Renew(t.Context(), order)
		c.Assert(err, qt.IsNil)
		c.Check(list.Born, qt.Equals, first.Life.Born)
		m.SetFaults(Faults{Start: Fault{Late: time.Second}})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		run := conn.begin(ctx, "late")
		m.SetFaults(Faults{Start: Fault{Late: time.Second, SameLife: true}})
		conn.begin(ctx, "late of the same life")
		m.SetFaults(Faults{})

		m.Crash()
		m.BootAs(NextLife{WallBack: time.Minute})
		next := m.Announcement()
		c.Check(next.Life.ID, qt.Equals, first.Life.ID)
		c.Check(next.Life.Born < first.Life.Born, qt.IsTrue)
		time.Sleep(901 * time.Millisecond)
		list, err = conn.Renew(t.Context(), lease.RenewOrder{Token: 1})
		c.Assert(err, qt.IsNil)
		c.Check(list.Born, qt.Equals, next.Life.Born)
		c.Check(list.Clock, qt.Equals, bootClock+901*time.Millisecond)
		c.Assert(list.Active, qt.HasLen, 1)
		c.Check(list.Active[0].Run, qt.Equals, run)

		m.Crash()
		m.BootAs(NextLife{NewID: true})
		c.Check(m.Announcement().Life.ID, qt.Not(qt.Equals), first.Life.ID)
		list, err = conn.Renew(t.Context(), order)
		c.Assert(err, qt.IsNil)
		c.Check(list.Refusal, qt.Equals, lease.RefusedOtherLife)
		m.Crash()
	})
}

// Guards against a stand-in that is stricter than a worker within one life: with a
// lease for each run, a refusal of a lower run number while a higher one only runs, or
// a second start of a run that is there.
func TestLeaseAndNumbersOfOneLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := New(Options{ID: "a", Capacity: wire.Resources{MilliCPU: 8000}})
		conn := m.Connect(m.Announcement())
		start := func(number uint64, validity time.Duration) lease.Refusal {
			a, err := conn.Start(t.Context(), lease.StartOrder{Run: lease.Run{Task: lease.Task{Job: "j"}, Number: number},
				Spec: Spec{MS: 5000}.Encode(), ValidUntil: m.life.clock() + validity})
			c.Assert(err, qt.IsNil)
			return a.Refusal
		}
		c.Check(start(2, 100*time.Millisecond), qt.Equals, lease.Refusal(""))
		c.Check(start(2, 100*time.Millisecond), qt.Equals, lease.Refusal(""))
		c.Check(start(1, time.Hour), qt.Equals, lease.Refusal("")) // extends the lease of both, to 1 s
		c.Check(m.Evidence().Violations(), qt.HasLen, 1)
		time.Sleep(defaultMaxLease)
		c.Check(m.Evidence().Running(), qt.Equals, 2)
		time.Sleep(defaultStopTime + time.Millisecond)
		c.Check(m.Evidence().Running(), qt.Equals, 0)
		c.Check(start(2, time.Second), qt.Equals, lease.RefusedRunTooOld)
		m.Crash()
	})
}

// Guards against starts that are counted against a smaller capacity before the agent
// can know of it, and against ones that are not counted once it does.
func TestCapacityCountsFromTheAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		small, large := wire.Resources{MilliCPU: 1000}, wire.Resources{MilliCPU: 4000}
		m := New(Options{ID: "w", Capacity: large})
		before := m.Announcement()
		m.SetCapacity(small)
		announced := m.Announcement()
		time.Sleep(time.Second)
		m.Acknowledge(before)
		c.Check(m.countedCapacity(), qt.Equals, large)
		m.Acknowledge(announced)
		time.Sleep(shrinkGrace - time.Millisecond)
		c.Check(m.countedCapacity(), qt.Equals, large)
		time.Sleep(time.Millisecond)
		c.Check(m.countedCapacity(), qt.Equals, small)
		m.SetCapacity(large)
		c.Check(m.countedCapacity(), qt.Equals, large)
		m.SetCapacity(small) // the agent was never told of more
		c.Check(m.countedCapacity(), qt.Equals, small)
	})
}

// Guards against a stand-in whose connections are reset later than the disruption
// begins, or that does not carry out an order whose connection is reset.
func TestResetConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := New(Options{ID: "a", Capacity: wire.Resources{MilliCPU: 1000}})
		conn := m.Connect(m.Announcement())
		began := time.Now()
		time.AfterFunc(time.Second, func() { m.SetFaults(Faults{Reset: true}); m.SetFaults(Faults{}) })
		_, err := conn.Renew(t.Context(), lease.RenewOrder{Wait: 5 * time.Second})
		c.Check(err, qt.Equals, lease.ErrConnectionBroken)
		c.Check(time.Since(began) < time.Second+10*time.Millisecond, qt.IsTrue)
		m.SetFaults(Faults{Reset: true})
		_, err = conn.Start(t.Context(), lease.StartOrder{Run: lease.Run{Task: lease.Task{Job: "j"}, Number: 1}, Spec: Spec{}.Encode(), ValidUntil: 2 * bootClock})
		c.Check(err, qt.Equals, lease.ErrConnectionBroken)
		c.Check(m.Evidence().Running(), qt.Equals, 1)
		m.Crash()
	})
}
