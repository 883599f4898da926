package agent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// Guards against a refusal that ends a task although another order would be
// carried out, and against one that counts as a failure of the task.
func TestRefusedStarts(t *testing.T) {
	task := lease.Task{Job: "j"}
	for _, tc := range []struct {
		name   string
		setup  func(r *leasedRig, w *leasestub.Conn)
		spec   string
		want   wire.Outcome
		reason wire.Reason
	}{
		{name: "an earlier agent process ran it more often", want: wire.OutcomeDone, setup: func(r *leasedRig, w *leasestub.Conn) {
			_, _ = w.Stop(r.ctx, lease.StopOrder{Run: lease.Run{Task: task, Number: 100}, Token: r.token()})
		}},
		{name: "an earlier agent process had a higher token", want: wire.OutcomeDone, setup: func(r *leasedRig, w *leasestub.Conn) {
			_, _ = w.Renew(r.ctx, lease.RenewOrder{Token: r.token() + 3600_000})
		}},
		{name: "unhealthy", want: wire.OutcomeNotRun, reason: wire.ReasonWorkerRefused, setup: func(r *leasedRig, _ *leasestub.Conn) {
			r.machine.SetFaults(leasestub.Faults{Unhealthy: true})
		}},
		{name: "no room", want: wire.OutcomeNotRun, reason: wire.ReasonWorkerRefused, spec: `{"needs":{"milli_cpu":9000}}`},
		{name: "invalid", want: wire.OutcomeFailed, reason: wire.ReasonInvalid, spec: `{`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			virtualLeased(t, leasedSetup{machine: leasestub.Options{Enforce: true}}, func(r *leasedRig) {
				e := r.entries[0]
				e.open()
				if tc.setup != nil {
					tc.setup(r, r.machine.Connect(r.machine.Announcement()))
				}
				m := e.order("j", cores(8), leasestub.Spec{})
				if tc.spec != "" {
					m.Task.Leased.Spec = tc.spec
				}
				r.expect(<-e.send(m), tc.want, tc.reason)
				r.Check(r.started("j") == 1, qt.Equals, tc.want == wire.OutcomeDone)
				r.Check(r.free(), qt.Equals, cores(8))
			})
		})
	}
}

func (r *leasedRig) token() uint64 { return r.agent.State().Leased.Token }

// Guards against a start that is refused as too late, because the estimate of
// the worker's clock is old, and is not tried again with a fresh one.
func TestLateStartIsTriedAgain(t *testing.T) {
	virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		a := r.agent
		a.mu.Lock() // as after a pause between the order and its sending
		f := a.leased.life
		o, err := f.runs.Start(time.Now().Add(-time.Second), lease.Task{Job: "j"}, leasestub.Spec{}.Encode())
		a.mu.Unlock()
		r.Assert(err, qt.IsNil)
		answer, err := r.machine.Connect(r.machine.Announcement()).Start(r.ctx, lease.StartOrder{Run: o.Run, Spec: o.Spec, Token: o.Token, Until: 1})
		r.Assert(err, qt.IsNil)
		r.Check(answer.Refusal, qt.Equals, lease.RefusedLate)
		a.mu.Lock()
		left := f.runs.StartAnswered(time.Now(), o, answer)
		a.mu.Unlock()
		r.Check(left, qt.DeepEquals, []lease.Left{{Run: o.Run, Fate: lease.FateRefused, Refusal: lease.RefusedLate}})
		r.expect(<-e.lease("j", 8, 100*time.Millisecond), wire.OutcomeDone, "")
	})
}

// Guards against a run that is reported as ended while it runs, because its
// task was cancelled, or its deadline passed, while orders got no answer.
func TestStopsAreRepeated(t *testing.T) {
	unanswered, lost := leasestub.Fault{Unanswered: true}, leasestub.Fault{Lost: true}
	for _, tc := range []struct {
		name   string
		faults leasestub.Faults // while the task is cancelled
		want   wire.Outcome
	}{
		{"start out, carried out", leasestub.Faults{Start: unanswered}, wire.OutcomeInterrupted},
		{"start out, lost", leasestub.Faults{Start: lost}, wire.OutcomeNotRun},
		{"start out, late", leasestub.Faults{Start: leasestub.Fault{Late: 150 * time.Millisecond}}, wire.OutcomeNotRun},
		{"stop lost", leasestub.Faults{Stop: lost}, wire.OutcomeInterrupted},
		{"stop carried out", leasestub.Faults{Stop: unanswered}, wire.OutcomeInterrupted},
		{"stop late", leasestub.Faults{Stop: leasestub.Fault{Late: 250 * time.Millisecond}}, wire.OutcomeInterrupted},
		{"lists lost", leasestub.Faults{Renew: lost}, wire.OutcomeInterrupted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
				e := r.entries[0]
				e.open()
				r.machine.SetFaults(tc.faults)
				running := e.lease("j", 8, 10*time.Second)
				time.Sleep(10 * time.Millisecond)
				e.cancelTask()
				time.Sleep(200 * time.Millisecond)
				r.machine.SetFaults(leasestub.Faults{})
				a := <-running
				r.expect(a, tc.want, wire.ReasonCancelled)
				r.Check(r.machine.Evidence().Running(), qt.Equals, 0)
				r.Check(r.started("j") == 0, qt.Equals, tc.want == wire.OutcomeNotRun)
				r.expect(<-e.lease("j", 8, 100*time.Millisecond), wire.OutcomeDone, "")
			})
		})
	}
}

// Guards against a run that goes on after the task's deadline.
func TestDeadlineStopsTheRun(t *testing.T) {
	virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		m := e.order("j", cores(8), leasestub.Spec{MS: 10_000})
		m.Task.Remaining = time.Second
		a := <-e.send(m)
		r.expect(a, wire.OutcomeInterrupted, wire.ReasonDeadline)
		r.Check(a.Result.Took, qt.Equals, 1050*time.Millisecond)
		r.Check(r.machine.Evidence().Running(), qt.Equals, 0)
	})
}

// Guards against two runs of one task at a worker, when a caller sends a job
// again to another entry while the first run is still there.
func TestOneRunOfATaskAtAWorker(t *testing.T) {
	virtualLeased(t, leasedSetup{entries: 2}, func(r *leasedRig) {
		first, second := r.entries[0], r.entries[1]
		first.open()
		second.open()
		running := first.lease("j", 2, time.Second)
		r.expect(<-second.lease("j", 2, time.Second), wire.OutcomeNotRun, wire.ReasonBusy)
		r.expect(<-running, wire.OutcomeDone, "")
		r.expect(<-second.lease("j", 2, time.Second), wire.OutcomeDone, "")
	})
}

// Guards against a lease that lapses because one renewal is lost, or the
// answers to two in a row.
func TestLeaseSurvivesLostRenewals(t *testing.T) {
	for _, tc := range []struct {
		fault leasestub.Fault
		count int
	}{{leasestub.Fault{Lost: true}, 1}, {leasestub.Fault{Unanswered: true}, 2}} {
		virtualLeased(t, leasedSetup{machine: leasestub.Options{Delay: time.Millisecond, Slow: 0.02}}, func(r *leasedRig) {
			e := r.entries[0]
			e.open()
			running := e.lease("j", 8, 6*time.Second)
			for range 4 {
				// The start itself extends the lease for the order's validity only.
				time.Sleep(time.Second)
				n := r.machine.Orders("renew")
				r.machine.SetFaults(leasestub.Faults{Renew: tc.fault})
				for r.machine.Orders("renew") < n+tc.count {
					time.Sleep(time.Millisecond)
				}
				r.machine.SetFaults(leasestub.Faults{})
			}
			r.expect(<-running, wire.OutcomeDone, "")
		})
	}
}

// Guards against an idle worker that costs many messages, and against a lease
// that is not extended in time when a task starts there.
func TestIdleWorkerCostsLittle(t *testing.T) {
	virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		n := r.machine.Orders("renew")
		time.Sleep(20 * time.Second)
		r.Check(r.machine.Orders("renew")-n <= 11, qt.IsTrue, qt.Commentf("%d", r.machine.Orders("renew")-n))
		r.Check(e.lastHeartbeat().Leaving, qt.IsFalse)
		time.Sleep(700 * time.Millisecond)
		r.expect(<-e.lease("j", 8, time.Second), wire.OutcomeDone, "")
	})
}

// Guards against more tasks that wait at the agent than its queue holds,
// because resources run out before slots, and against tasks that never fit.
func TestQueueOfLeasedTasks(t *testing.T) {
	virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		r.expect(<-e.lease("large", 9, time.Second), wire.OutcomeNotRun, wire.ReasonNeverFits)
		running := e.lease("a", 6, time.Second)
		first, second := e.lease("b", 5, time.Second), e.lease("c", 5, time.Second)
		r.expect(<-e.lease("d", 5, time.Second), wire.OutcomeNotRun, wire.ReasonBusy)
		small := e.lease("e", 2, 100*time.Millisecond)
		for _, c := range []<-chan answer{small, running, first, second} {
			r.expect(<-c, wire.OutcomeDone, "")
		}
		r.expect(<-e.run("http", time.Second), wire.OutcomeFailed, wire.ReasonInvalid)
	})
}

// Guards against a planned stop that ends a running task.
func TestPlannedStopFinishesLeasedTasks(t *testing.T) {
	virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		running := e.lease("j", 8, 2*time.Second)
		ended := make(chan error, 1)
		go func() { ended <- r.agent.Stop(context.Background()) }()
		time.Sleep(100 * time.Millisecond)
		r.expect(<-e.lease("late", 1, time.Second), wire.OutcomeNotRun, wire.ReasonLeaving)
		r.expect(<-running, wire.OutcomeDone, "")
		r.Check(<-ended, qt.IsNil)
	})
}
