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

// Guards against giving up a task after a refusal that another order would avoid,
// and against reporting a refused order as a failure of the task.
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
		{name: "late", want: wire.OutcomeDone, setup: func(r *leasedRig, _ *leasestub.Conn) {
			r.agent.mu.Lock()
			defer r.agent.mu.Unlock()
			r.agent.leased.life.worker = &lateOnce{Worker: r.agent.leased.life.worker}
		}},
		{name: "unhealthy", want: wire.OutcomeNotRun, reason: wire.ReasonWorkerRefused, setup: func(r *leasedRig, _ *leasestub.Conn) {
			r.machine.SetFaults(leasestub.Faults{Unhealthy: true})
		}},
		{name: "no room", want: wire.OutcomeNotRun, reason: wire.ReasonWorkerRefused, spec: `{"needs":{"milli_cpu":9000}}`},
		{name: "invalid", want: wire.OutcomeFailed, reason: wire.ReasonInvalid, spec: `{`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withLeasedRig(t, leasedSetup{machine: leasestub.Options{Enforce: true}}, func(r *leasedRig, e *entryStub) {
				if tc.setup != nil {
					tc.setup(r, r.machine.Connect(r.machine.Announcement()))
				}
				m := e.leasedRequest("j", cores(8), leasestub.Spec{})
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

// lateOnce makes the first start order expire, as if it had been delayed on the
// way.
type lateOnce struct {
	Worker
	refused bool
}

func (w *lateOnce) Start(ctx context.Context, o lease.StartOrder) (lease.Answer, error) {
	if !w.refused {
		w.refused, o.ValidUntil = true, 1
	}
	return w.Worker.Start(ctx, o)
}

// Guards against lost, late or unanswered orders, with or without cancellation,
// after which two runs of a task overlap, the worker exceeds its capacity, or the
// reported outcome contradicts what ran.
func TestUnansweredOrders(t *testing.T) {
	unanswered, lost := leasestub.Fault{Unanswered: true}, leasestub.Fault{Lost: true}
	late := func(d time.Duration) leasestub.Fault { return leasestub.Fault{Late: d * time.Millisecond} }
	const done, notRun, interrupted = wire.OutcomeDone, wire.OutcomeNotRun, wire.OutcomeInterrupted
	for _, tc := range []struct {
		name   string
		faults leasestub.Faults // in force for 200 ms
		cancel bool
		want   wire.Outcome
	}{
		{"start lost", leasestub.Faults{Start: lost}, false, notRun},
		{"start carried out", leasestub.Faults{Start: unanswered}, false, done},
		{"start late, before the list", leasestub.Faults{Start: late(10)}, false, done},
		{"start late, after the list", leasestub.Faults{Start: late(90)}, false, notRun},
		{"start late, after the stop", leasestub.Faults{Start: late(250)}, false, notRun},
		{"start after its validity", leasestub.Faults{Start: late(1000)}, false, notRun},
		{"start lost and cancelled", leasestub.Faults{Start: lost}, true, notRun},
		{"start carried out and cancelled", leasestub.Faults{Start: unanswered}, true, interrupted},
		{"start late and cancelled", leasestub.Faults{Start: late(150)}, true, notRun},
		{"stop lost", leasestub.Faults{Stop: lost}, true, interrupted},
		{"stop carried out", leasestub.Faults{Stop: unanswered}, true, interrupted},
		{"stop late", leasestub.Faults{Stop: late(250)}, true, interrupted},
		{"lists lost", leasestub.Faults{Renew: lost}, true, interrupted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
				reason := map[bool]wire.Reason{false: wire.ReasonWorkerRefused, true: wire.ReasonCancelled}[tc.cancel]
				if tc.want == done {
					reason = ""
				}
				r.machine.SetFaults(tc.faults)
				running := e.runLeased("j", 8, 1500*time.Millisecond)
				time.Sleep(10 * time.Millisecond)
				if tc.cancel {
					e.cancelTask()
				}
				time.Sleep(190 * time.Millisecond)
				r.machine.SetFaults(leasestub.Faults{})
				r.expect(<-running, tc.want, reason)
				r.Check(r.machine.Evidence().Running(), qt.Equals, 0)
				r.Check(r.started("j") == 0, qt.Equals, tc.want == notRun)
				r.expect(<-e.runLeased("j", 8, 1500*time.Millisecond), done, "")
				r.Check(r.free(), qt.Equals, cores(8))
			})
		})
	}
}

// Guards against two runs of one task at a worker when a caller sends the job
// again, to another entry, while the first run has not ended.
func TestOneRunOfATaskAtAWorker(t *testing.T) {
	withLeasedRig(t, leasedSetup{entries: 2}, func(r *leasedRig, first *entryStub) {
		second := r.entries[1]
		running := first.runLeased("j", 2, time.Second)
		r.expect(<-second.runLeased("j", 2, time.Second), wire.OutcomeNotRun, wire.ReasonAgentBusy)
		r.expect(<-running, wire.OutcomeDone, "")
		r.expect(<-second.runLeased("j", 2, time.Second), wire.OutcomeDone, "")
	})
}

// Guards against a lease that expires because one renewal, or the replies to two
// consecutive ones, are lost.
func TestLeaseSurvivesLostRenewals(t *testing.T) {
	for _, tc := range []struct {
		fault leasestub.Fault
		count int
	}{{leasestub.Fault{Lost: true}, 1}, {leasestub.Fault{Unanswered: true}, 2}} {
		withLeasedRig(t, leasedSetup{machine: leasestub.Options{Delay: time.Millisecond, Slow: 0.02}}, func(r *leasedRig, e *entryStub) {
			running := e.runLeased("j", 8, 6*time.Second)
			for range 4 {
				// Later than the validity of the start order, which also extends
				// the lease.
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

// Guards against many renewals to an idle worker, and against a lease that is not
// extended in time when a task starts there.
func TestIdleWorkerCostsLittle(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		n := r.machine.Orders("renew")
		time.Sleep(20 * time.Second)
		r.Check(r.machine.Orders("renew")-n <= 11, qt.IsTrue, qt.Commentf("%d", r.machine.Orders("renew")-n))
		r.Check(e.lastHeartbeat().Leaving, qt.IsFalse)
		time.Sleep(700 * time.Millisecond)
		r.expect(<-e.runLeased("j", 8, time.Second), wire.OutcomeDone, "")
	})
}

// Guards against queueing more tasks than the queue limit when resources run out
// before slots, and against accepting tasks that exceed the worker's capacity.
func TestQueueOfLeasedTasks(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		r.expect(<-e.runLeased("large", 9, time.Second), wire.OutcomeNotRun, wire.ReasonResourcesDoNotFit)
		running := e.runLeased("a", 6, time.Second)
		first, second := e.runLeased("b", 5, time.Second), e.runLeased("c", 5, time.Second)
		r.expect(<-e.runLeased("d", 5, time.Second), wire.OutcomeNotRun, wire.ReasonAgentBusy)
		small := e.runLeased("e", 2, 100*time.Millisecond)
		for _, c := range []<-chan answer{small, running, first, second} {
			r.expect(<-c, wire.OutcomeDone, "")
		}
		r.expect(<-e.run("http", time.Second), wire.OutcomeFailed, wire.ReasonInvalid)
	})
}
