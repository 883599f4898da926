package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// Guards against wrong outcomes for the ends that a worker lists, against a
// duration that is not that of the run, and against a run that continues after
// its deadline.
func TestLeasedTaskEnds(t *testing.T) {
	withLeasedRig(t, leasedSetup{machine: leasestub.Options{Slow: 0.02, Delay: time.Millisecond}}, func(r *leasedRig, e *entryStub) {
		done, long := e.runLeased("done", 3, 200*time.Millisecond), e.runLeased("long", 3, 3*time.Second)
		failed := e.send(e.leasedRequest("failed", cores(2), leasestub.Spec{MS: 60, Fail: true}))
		r.Check(r.free(), qt.Equals, cores(0))
		m := e.leasedRequest("deadline", cores(1), leasestub.Spec{MS: 10_000})
		m.Task.Remaining = time.Second
		r.expect(<-failed, wire.OutcomeFailed, wire.ReasonUpstreamError)
		a := <-done
		r.expect(a, wire.OutcomeDone, "")
		r.Check(a.Result.Took >= 200*time.Millisecond && a.Result.Took < 210*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.Result.Took))
		r.expect(<-e.send(m), wire.OutcomeInterrupted, wire.ReasonDeadline)
		r.expect(<-long, wire.OutcomeDone, "")
		r.Check(r.free(), qt.Equals, cores(8))
	})
}

// Guards against reusing the capacity of a cancelled run before it has stopped,
// and against a run that continues after its cancellation.
func TestCancelStopsTheRun(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		running := e.runLeased("j", 8, 10*time.Second)
		time.Sleep(time.Second)
		begin := time.Now()
		r.Check(e.cancelTask().Withdrawn, qt.HasLen, 0)
		next := e.runLeased("next", 8, 100*time.Millisecond)
		r.expect(<-running, wire.OutcomeInterrupted, wire.ReasonCancelled)
		r.Check(time.Since(begin), qt.Equals, 50*time.Millisecond)
		r.expect(<-next, wire.OutcomeDone, "")
	})
}

// Guards against a new agent process that starts tasks while runs of the previous
// process are still active.
func TestReplacedAgentAdoptsTheWorker(t *testing.T) {
	withLeasedRig(t, leasedSetup{machine: leasestub.Options{Slow: 0.02}}, func(r *leasedRig, e *entryStub) {
		e.runLeased("old", 8, 10*time.Second)
		r.kill()
		r.Assert(<-r.ended, qt.IsNotNil)
		r.startLeased()
		e.session.Number = 0
		e.update(func(e *entryStub) { e.renews = 0 })
		time.Sleep(200 * time.Millisecond)
		e.open()
		r.Check(e.lastHeartbeat().Leaving, qt.IsTrue)
		r.expect(<-e.runLeased("early", 8, time.Second), wire.OutcomeNotRun, wire.ReasonAgentLeaving)
		r.agent.WorkerAnnounced(r.machine.Announcement())
		for r.agent.State().Leased.Adopted == false {
			time.Sleep(time.Millisecond)
		}
		r.Check(r.machine.Evidence().Running(), qt.Equals, 0)
		r.expect(<-e.runLeased("old", 8, time.Second), wire.OutcomeDone, "")
		r.Check(r.started("old"), qt.Equals, 2)
	})
}

// Guards against runs that continue after their entry has been silent for longer
// than Timing.Lapse, half a heartbeat interval and the time to stop them.
func TestSilentEntrysRunsAreStopped(t *testing.T) {
	withLeasedRig(t, leasedSetup{entries: 2}, func(r *leasedRig, silent *entryStub) {
		other := r.entries[1]
		silent.runLeased("silent", 4, 10*time.Second)
		kept := other.runLeased("kept", 4, 3*time.Second)
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

// Guards against waiting for a run of the worker's previous life, against orders
// to a new life before it is adopted, and against applying a late announcement of
// an older life.
func TestRestartedWorker(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		running, old := e.runLeased("j", 8, 10*time.Second), r.machine.Announcement()
		time.Sleep(time.Second)
		begin := time.Now()
		r.machine.Restart()
		r.expect(<-running, wire.OutcomeInterrupted, wire.ReasonWorkerLost)
		r.Check(time.Since(begin) <= 300*time.Millisecond, qt.IsTrue)
		r.expect(<-e.runLeased("j", 8, time.Second), wire.OutcomeNotRun, wire.ReasonAgentLeaving)
		r.agent.WorkerAnnounced(r.machine.Announcement())
		old.Sequence = 100
		r.agent.WorkerAnnounced(old)
		time.Sleep(10 * time.Millisecond)
		r.expect(<-e.runLeased("j", 8, time.Second), wire.OutcomeDone, "")
	})
}

// Guards against starts after the worker has announced that it drains, from the
// moment at which that is acknowledged; against an earlier announcement that arrives
// late and undoes that; and against running tasks that draining or a planned stop
// aborts.
func TestDrainingWorker(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		running := e.runLeased("running", 5, 2*time.Second)
		queued := e.runLeased("queued", 5, time.Second)
		early := r.machine.Announcement()
		r.machine.Drain()
		r.agent.WorkerAnnounced(r.machine.Announcement())
		r.expect(<-e.runLeased("at once", 1, time.Second), wire.OutcomeNotRun, wire.ReasonAgentLeaving)
		r.expect(<-queued, wire.OutcomeNotRun, wire.ReasonAgentLeaving)
		r.agent.WorkerAnnounced(early)
		r.expect(<-e.runLeased("refused", 1, time.Second), wire.OutcomeNotRun, wire.ReasonAgentLeaving)
		stopped := make(chan error, 1)
		go func() { stopped <- r.agent.Stop(r.ctx) }()
		r.expect(<-running, wire.OutcomeDone, "")
		r.Check(e.lastHeartbeat().Leaving, qt.IsTrue)
		r.Check(<-stopped, qt.IsNil)
	})
}

// Guards against giving up the runs of a silent worker before their lease has
// certainly expired, and against an agent that refuses tasks when the worker
// answers again.
func TestSilentWorker(t *testing.T) {
	for _, slow := range []float64{0, lease.ClockDrift} {
		withLeasedRig(t, leasedSetup{machine: leasestub.Options{Slow: slow}}, func(r *leasedRig, e *entryStub) {
			running := e.runLeased("j", 8, 10*time.Second)
			time.Sleep(time.Second)
			begin := time.Now()
			r.machine.SetFaults(leasestub.Silent())
			a := <-running
			r.expect(a, wire.OutcomeInterrupted, wire.ReasonLeaseExpired)
			r.Check(r.machine.Evidence().Running(), qt.Equals, 0)
			r.Check(time.Since(begin) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
			r.Check(r.agent.State().Leaving, qt.DeepEquals, []string{string(leaveNotAdopted)})
			r.machine.SetFaults(leasestub.Faults{})
			time.Sleep(2 * time.Second)
			r.expect(<-e.runLeased("j", 8, time.Second), wire.OutcomeDone, "")
		})
	}
}
