package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// Guards against wrong outcomes of the ends that a worker lists, and against a
// time that is not that of the run.
func TestLeasedTaskEnds(t *testing.T) {
	virtualLeased(t, leasedSetup{machine: leasestub.Options{Slow: 0.02, Delay: time.Millisecond}}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		done, long := e.lease("done", 3, 200*time.Millisecond), e.lease("long", 3, 3*time.Second)
		failed := e.send(e.order("failed", cores(2), leasestub.Spec{MS: 60, Fail: true}))
		r.Check(r.free(), qt.Equals, cores(0))
		r.expect(<-failed, wire.OutcomeFailed, wire.ReasonUpstreamError)
		a := <-done
		r.expect(a, wire.OutcomeDone, "")
		r.Check(a.Result.Took >= 200*time.Millisecond && a.Result.Took < 210*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.Result.Took))
		r.expect(<-long, wire.OutcomeDone, "")
		r.Check(r.free(), qt.Equals, cores(8))
	})
}

// Guards against capacity that is given away while a cancelled run is still
// being stopped, and against a run that goes on after its cancellation.
func TestCancelStopsTheRun(t *testing.T) {
	virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		running := e.lease("j", 8, 10*time.Second)
		time.Sleep(time.Second)
		begin := time.Now()
		r.Check(e.cancelTask().Withdrawn, qt.HasLen, 0)
		next := e.lease("next", 8, 100*time.Millisecond)
		r.expect(<-running, wire.OutcomeInterrupted, wire.ReasonCancelled)
		r.Check(time.Since(begin), qt.Equals, 50*time.Millisecond)
		r.expect(<-next, wire.OutcomeDone, "")
	})
}

// Guards against a lost, late or unanswered start order that lets two runs of a
// task overlap, takes the worker above its capacity, or is reported as not run
// although it ran.
func TestUnansweredStarts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault leasestub.Fault
		want  wire.Outcome
		ran   int
	}{
		{"lost", leasestub.Fault{Lost: true}, wire.OutcomeNotRun, 0},
		{"carried out", leasestub.Fault{Unanswered: true}, wire.OutcomeDone, 1},
		{"late", leasestub.Fault{Late: 90 * time.Millisecond}, wire.OutcomeDone, 1},
		{"after it was void", leasestub.Fault{Late: 250 * time.Millisecond}, wire.OutcomeNotRun, 0},
		{"after its validity", leasestub.Fault{Late: time.Second}, wire.OutcomeNotRun, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
				e := r.entries[0]
				e.open()
				r.machine.SetFaults(leasestub.Faults{Start: tc.fault})
				first := e.lease("j", 8, 300*time.Millisecond)
				r.machine.SetFaults(leasestub.Faults{})
				a := <-first
				r.Check(a.Result.Outcome, qt.Equals, tc.want, qt.Commentf("%+v", a.Result))
				if tc.want == wire.OutcomeNotRun {
					r.expect(a, wire.OutcomeNotRun, wire.ReasonWorkerRefused)
					r.expect(<-e.lease("j", 8, 300*time.Millisecond), wire.OutcomeDone, "")
					tc.ran++
				}
				time.Sleep(time.Second)
				r.Check(r.started("j"), qt.Equals, tc.ran)
				r.Check(r.free(), qt.Equals, cores(8))
			})
		})
	}
}

// Guards against a new agent process that starts tasks beside the runs of the
// one before.
func TestReplacedAgentAdoptsTheWorker(t *testing.T) {
	virtualLeased(t, leasedSetup{machine: leasestub.Options{Slow: 0.02}}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		e.lease("old", 8, 10*time.Second)
		r.kill()
		r.Assert(<-r.ended, qt.IsNotNil)
		r.startLeased()
		e.session.Number = 0
		e.set(func(e *entryStub) { e.renews = 0 })
		time.Sleep(200 * time.Millisecond)
		e.open()
		r.Check(e.lastHeartbeat().Leaving, qt.IsTrue)
		r.expect(<-e.lease("early", 8, time.Second), wire.OutcomeNotRun, wire.ReasonLeaving)
		r.agent.WorkerAnnounced(r.machine.Announcement())
		for r.agent.State().Leased.Adopted == false {
			time.Sleep(time.Millisecond)
		}
		r.Check(r.machine.Evidence().Running(), qt.Equals, 0)
		r.expect(<-e.lease("old", 8, time.Second), wire.OutcomeDone, "")
		r.Check(r.started("old"), qt.Equals, 2)
	})
}

// Guards against runs that outlive a silent entry by more than the lapse, half
// a heartbeat and the time to stop them.
func TestSilentEntrysRunsAreStopped(t *testing.T) {
	virtualLeased(t, leasedSetup{entries: 2}, func(r *leasedRig) {
		silent, other := r.entries[0], r.entries[1]
		silent.open()
		other.open()
		silent.lease("silent", 4, 10*time.Second)
		kept := other.lease("kept", 4, 3*time.Second)
		time.Sleep(time.Second)
		begin := time.Now()
		r.net.Partition(agentHost, silent.host)
		for r.machine.Evidence().Running() > 1 {
			time.Sleep(time.Millisecond)
		}
		r.Check(time.Since(begin) <= 725*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
		r.expect(<-kept, wire.OutcomeDone, "")
	})
}

// Guards against a run of a worker's life before that is waited for, and
// against orders to a new life before it is adopted.
func TestRestartedWorker(t *testing.T) {
	virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		running := e.lease("j", 8, 10*time.Second)
		time.Sleep(time.Second)
		begin := time.Now()
		r.machine.Restart()
		r.expect(<-running, wire.OutcomeInterrupted, wire.ReasonWorkerLost)
		r.Check(time.Since(begin) <= 300*time.Millisecond, qt.IsTrue)
		r.expect(<-e.lease("j", 8, time.Second), wire.OutcomeNotRun, wire.ReasonLeaving)
		r.agent.WorkerAnnounced(r.machine.Announcement())
		time.Sleep(10 * time.Millisecond)
		r.expect(<-e.lease("j", 8, time.Second), wire.OutcomeDone, "")
	})
}

// Guards against starts after the announcement that the worker drains, and
// against running tasks that it ends.
func TestDrainingWorker(t *testing.T) {
	virtualLeased(t, leasedSetup{}, func(r *leasedRig) {
		e := r.entries[0]
		e.open()
		running := e.lease("running", 5, 2*time.Second)
		queued := e.lease("queued", 5, time.Second)
		r.machine.Drain()
		r.agent.WorkerAnnounced(r.machine.Announcement())
		r.expect(<-queued, wire.OutcomeNotRun, wire.ReasonLeaving)
		r.expect(<-e.lease("refused", 1, time.Second), wire.OutcomeNotRun, wire.ReasonLeaving)
		r.expect(<-running, wire.OutcomeDone, "")
		r.Check(e.lastHeartbeat().Leaving, qt.IsTrue)
	})
}

// Guards against a silent worker whose runs are given up before their lease has
// certainly ended, and against an agent that does not return.
func TestSilentWorker(t *testing.T) {
	for _, slow := range []float64{0, lease.ClockDrift} {
		virtualLeased(t, leasedSetup{machine: leasestub.Options{Slow: slow}}, func(r *leasedRig) {
			e := r.entries[0]
			e.open()
			running := e.lease("j", 8, 10*time.Second)
			time.Sleep(time.Second)
			begin := time.Now()
			r.machine.SetFaults(leasestub.Silent())
			a := <-running
			r.expect(a, wire.OutcomeInterrupted, wire.ReasonLapsed)
			r.Check(r.machine.Evidence().Running(), qt.Equals, 0)
			r.Check(time.Since(begin) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
			r.Check(r.agent.State().Leaving, qt.DeepEquals, []string{string(leaveWorker)})
			r.machine.SetFaults(leasestub.Faults{})
			time.Sleep(2 * time.Second)
			r.expect(<-e.lease("j", 8, time.Second), wire.OutcomeDone, "")
		})
	}
}
