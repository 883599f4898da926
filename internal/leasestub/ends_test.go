package leasestub

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/lease"
)

// taskRuns runs a durable job's task at one machine.
type taskRuns struct {
	*Conn
	ctx    context.Context
	number uint64
}

// runToEnd starts the task and waits for the end of its run after 10 ms. The lease
// lasts for another 100 ms.
func (r *taskRuns) runToEnd(fail bool) {
	r.number++
	_, _ = r.Start(r.ctx, lease.StartOrder{
		Run: lease.Run{Task: lease.Task{Job: "j"}, Number: r.number}, Spec: Spec{MS: 10, Fail: fail}.Encode(),
		ValidUntil: r.machine.life.clock() + 110*time.Millisecond,
	})
	time.Sleep(11 * time.Millisecond)
}

func (r *taskRuns) renew(acked uint64, until lease.WorkerTime) lease.RenewReply {
	l, _ := r.Renew(r.ctx, lease.RenewOrder{Acked: acked, LeaseEnd: until})
	return l
}

// Guards against evidence that misses a needless start of a durable task, in
// either order of start and acknowledgement. Also guards against evidence that
// reports a start that is allowed, because the earlier end was not acknowledged
// or the lease expired before the acknowledgement.
func TestEvidenceFindsNeedlessStarts(t *testing.T) {
	lapse := func() { time.Sleep(200 * time.Millisecond) }
	for _, tc := range []struct {
		name   string
		do     func(r *taskRuns)
		faults int
	}{
		{"done, acknowledged, started", func(r *taskRuns) { r.runToEnd(false); r.renew(1, 0); r.runToEnd(false) }, 1},
		{"done, started, acknowledged", func(r *taskRuns) { r.runToEnd(false); r.runToEnd(false); r.renew(1, 0) }, 1},
		{"done, started", func(r *taskRuns) { r.runToEnd(false); r.runToEnd(false) }, 0},
		{"done, lapsed, acknowledged, started", func(r *taskRuns) { r.runToEnd(false); lapse(); r.renew(1, 0); r.runToEnd(false) }, 0},
		{"done, lapsed, extended, acknowledged, started", func(r *taskRuns) {
			r.runToEnd(false)
			lapse()
			r.renew(0, r.machine.life.clock()+time.Second)
			r.renew(1, 0)
			r.runToEnd(false)
		}, 0},
		{"done, extended, acknowledged, started", func(r *taskRuns) {
			r.runToEnd(false)
			r.renew(0, r.machine.life.clock()+time.Second)
			lapse()
			r.renew(1, 0)
			r.runToEnd(false)
		}, 1},
		{"lapsed before the run", func(r *taskRuns) { lapse(); r.runToEnd(false); r.renew(1, 0); r.runToEnd(false) }, 1},
		{"failed once of two", func(r *taskRuns) { r.runToEnd(true); r.renew(1, 0); r.runToEnd(true) }, 0},
		{"failed twice of two", func(r *taskRuns) { r.runToEnd(true); r.runToEnd(true); r.renew(2, 0); r.runToEnd(true) }, 1},
		{"failed twice, the second after a lapse", func(r *taskRuns) {
			r.runToEnd(true)
			r.renew(1, 0)
			r.runToEnd(true)
			lapse()
			r.renew(2, 0)
			r.runToEnd(true)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New(Options{ID: "a"})
				m.Evidence().MarkDurable("j", 2)
				tc.do(&taskRuns{Conn: m.Connect(m.Announcement()), ctx: t.Context()})
				qt.Check(t, m.Evidence().Violations(), qt.HasLen, tc.faults)
				m.Crash()
			})
		})
	}
}

// Guards against a list with more ends than a real worker lists at a time: tests
// would then not cover ends that are not listed yet.
func TestListIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Options{ID: "a"})
		r := &taskRuns{Conn: m.Connect(m.Announcement()), ctx: t.Context()}
		for i := range lease.MaxEnds + 10 {
			_, _ = r.Start(r.ctx, lease.StartOrder{
				Run: lease.Run{Task: lease.Task{Job: fmt.Sprint(i)}, Number: 1}, Spec: Spec{MS: 1}.Encode(), ValidUntil: 2 * bootClock,
			})
		}
		time.Sleep(2 * time.Millisecond)
		l := r.renew(0, 0)
		qt.Assert(t, l.Ended, qt.HasLen, lease.MaxEnds)
		qt.Check(t, l.Ended[0].Sequence, qt.Equals, uint64(1))
		l = r.renew(lease.MaxEnds, 0)
		qt.Check(t, l.Ended, qt.HasLen, 10)
		m.Crash()
	})
}
