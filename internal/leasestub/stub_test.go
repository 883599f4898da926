package leasestub

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

const ms = time.Millisecond

func task(job string, number uint64) lease.Run {
	return lease.Run{Task: lease.Task{Job: job}, Number: number}
}

// order is a start that is valid for the worker's first ten seconds.
func order(run lease.Run, s Spec) lease.StartOrder {
	return lease.StartOrder{Run: run, Spec: s.Encode(), Token: 1, Until: bootClock + 10*time.Second}
}

// Guards against evidence that misses two runs of a task at two workers, or a
// worker above its capacity, also while a run is being stopped.
func TestEvidenceFindsFaults(t *testing.T) {
	half := Spec{MS: 1000, Needs: wire.Resources{MilliCPU: 500}}
	for _, tc := range []struct {
		name   string
		do     func(ctx context.Context, a, b *Conn)
		faults int
	}{
		{"two tasks", func(ctx context.Context, a, _ *Conn) {
			_, _ = a.Start(ctx, order(task("j", 1), half))
			_, _ = a.Start(ctx, order(task("k", 1), half))
		}, 0},
		{"overlap", func(ctx context.Context, a, b *Conn) {
			_, _ = a.Start(ctx, order(task("j", 1), half))
			_, _ = b.Start(ctx, order(task("j", 1), half))
		}, 1},
		{"overlap with a run that is being stopped", func(ctx context.Context, a, b *Conn) {
			_, _ = a.Start(ctx, order(task("j", 1), half))
			_, _ = a.Stop(ctx, lease.StopOrder{Run: task("j", 1), Token: 1})
			_, _ = b.Start(ctx, order(task("j", 1), half))
		}, 1},
		{"after the crash of the other worker", func(ctx context.Context, a, b *Conn) {
			_, _ = a.Start(ctx, order(task("j", 1), half))
			a.machine.Crash()
			_, _ = b.Start(ctx, order(task("j", 1), half))
		}, 0},
		{"over capacity", func(ctx context.Context, a, _ *Conn) {
			for _, job := range []string{"j", "k", "l"} {
				_, _ = a.Start(ctx, order(task(job, 1), half))
			}
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				evidence := NewEvidence()
				room := wire.Resources{MilliCPU: 1000}
				a, b := New(Options{ID: "a", Capacity: room, Evidence: evidence}), New(Options{ID: "b", Capacity: room, Evidence: evidence})
				tc.do(t.Context(), a.Connect(a.Announcement()), b.Connect(b.Announcement()))
				qt.Check(t, evidence.Faults(), qt.HasLen, tc.faults)
				a.Crash()
				b.Crash()
				qt.Check(t, evidence.Running(), qt.Equals, 0)
			})
		})
	}
}

// Guards against a stand-in whose leases, numbers, tokens, ends or lives are
// not those that the interface promises.
func TestWorkerKeepsItsRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		m := New(Options{ID: "a", Slow: 0.02})
		w := m.Connect(m.Announcement())
		start := func(o lease.StartOrder) lease.Refusal {
			a, err := w.Start(ctx, o)
			c.Assert(err, qt.IsNil)
			return a.Refusal
		}
		renew := func(until lease.Clock, acked uint64, wait time.Duration) lease.List {
			l, err := w.Renew(ctx, lease.RenewOrder{Token: 5, Until: until, Acked: acked, Wait: wait})
			c.Assert(err, qt.IsNil)
			return l
		}
		o := order(task("j", 2), Spec{MS: 5000})
		o.Until = bootClock + 300*ms
		c.Check(start(o), qt.Equals, lease.Refusal(""))
		c.Check(start(o), qt.Equals, lease.RefusedOld)
		c.Check(renew(bootClock+490*ms, 0, 0).Active, qt.DeepEquals, []lease.Active{{Run: task("j", 2)}})
		c.Check(start(order(task("k", 1), Spec{})), qt.Equals, lease.RefusedToken)
		began := time.Now()
		l := renew(0, 0, 2*time.Second) // 490 ms on its clock are 500 ms, and it stops for 50 ms
		c.Check(time.Since(began).Round(ms), qt.Equals, 550*ms)
		c.Check(l.Ended, qt.DeepEquals, []lease.End{{Sequence: 1, Run: task("j", 2), How: lease.Lapsed}})
		c.Check(l.Clock.Round(ms), qt.Equals, bootClock+539*ms)
		c.Check(renew(0, 0, 0).Ended, qt.HasLen, 1)
		c.Check(renew(0, 1, 0).Ended, qt.HasLen, 0)
		o.Run, o.Token = task("j", 3), 5
		c.Check(start(o), qt.Equals, lease.RefusedLate)
		_, err := w.Stop(ctx, lease.StopOrder{Run: task("j", 4), Token: 5})
		c.Assert(err, qt.IsNil)
		o.Run, o.Until = task("j", 4), bootClock+time.Minute
		c.Check(start(o), qt.Equals, lease.RefusedOld)
		m.Crash()
		_, err = w.Start(ctx, o)
		c.Check(errors.Is(err, lease.ErrDown), qt.IsTrue)
		m.Boot()
		c.Check(start(o), qt.Equals, lease.RefusedLife)
		m.Crash()
	})
}
