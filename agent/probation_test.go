package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// Guards against two suspects at one worker, whose crash would then convict the
// wrong one, and against a crash that is not reported as one.
func TestOneTaskOnProbationAtAWorker(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		send := func(job string, probation bool, spec leasestub.Spec) <-chan answer {
			in := e.leasedRequest(job, cores(1), spec)
			in.Task.Leased.Probation = probation
			return e.send(in)
		}
		first := send("first", true, leasestub.Spec{MS: 300})
		time.Sleep(20 * time.Millisecond)
		second := <-send("second", true, leasestub.Spec{MS: 300})
		r.Check(second.Result.Outcome, qt.Equals, wire.OutcomeNotRun)
		r.Check(second.Result.Reason, qt.Equals, wire.ReasonProbation)
		beside := <-send("beside", false, leasestub.Spec{MS: 50})
		r.Check(beside.Result.Outcome, qt.Equals, wire.OutcomeDone)
		r.Check((<-first).Result.Outcome, qt.Equals, wire.OutcomeDone)

		bystander := send("bystander", false, leasestub.Spec{MS: 2000})
		time.Sleep(200 * time.Millisecond)
		crashing := <-send("crashing", true, leasestub.Spec{MS: 300, Crash: true, CrashMS: 5}) // after the answer to the start
		r.Check(crashing.Result.Outcome, qt.Equals, wire.OutcomeInterrupted)
		r.Check(crashing.Result.Crash, qt.Equals, wire.CrashSuspect)
		r.Check((<-bystander).Result.Crash, qt.Equals, wire.CrashBystander)
	})
}

// Guards against a crash that may have been caused by the task on probation or by one
// that started within milliseconds of it.
func TestNothingStartsBesideATaskOnProbation(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		var answers []<-chan answer
		for _, job := range []string{"before", "probation", "after"} {
			in := e.leasedRequest(job, cores(1), leasestub.Spec{MS: 200})
			in.Task.Leased.Probation = job == "probation"
			answers = append(answers, e.send(in))
			time.Sleep(2 * time.Millisecond)
		}
		for _, a := range answers {
			r.Check((<-a).Result.Outcome, qt.Equals, wire.OutcomeDone)
		}
		starts := r.machine.Evidence().Starts()
		r.Assert(starts, qt.HasLen, 3)
		for i, job := range []string{"before", "probation", "after"} {
			r.Check(starts[i].Run.Task.Job, qt.Equals, job)
			if i > 0 {
				r.Check(starts[i].At.Sub(starts[i-1].At) >= lease.SuspicionWindow, qt.IsTrue)
				r.Check(starts[i].At.Sub(starts[i-1].At) <= 2*lease.SuspicionWindow, qt.IsTrue)
			}
		}
	})
}

// Guards against the planned end of a worker that is taken for a crash.
func TestEndOfADrainingWorkerIsNoCrash(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		lost := e.runLeased("j", 1, 2*time.Second)
		time.Sleep(20 * time.Millisecond)
		r.machine.Drain()
		r.agent.WorkerAnnounced(r.machine.Announcement())
		r.machine.Crash()
		result := (<-lost).Result
		r.Check(result.Outcome, qt.Equals, wire.OutcomeInterrupted)
		r.Check(result.Crash, qt.Equals, wire.CrashNone)
	})
}

// Guards against a crash that entries learn of only when the worker's next life answers,
// because the start was not answered, and against a run that counts as over before.
func TestCrashBeforeTheAnswerIsReportedAtOnce(t *testing.T) {
	withLeasedRig(t, leasedSetup{entries: 2, machine: leasestub.Options{Delay: time.Millisecond}}, func(r *leasedRig, e *entryStub) {
		r.machine.SetFaults(leasestub.Faults{Start: leasestub.Fault{AnswerLate: 10 * time.Millisecond}})
		in := e.leasedRequest("j", cores(1), leasestub.Spec{MS: 300, Crash: true, CrashMS: 3})
		lost := e.send(in)
		want := []wire.CrashReport{{Entry: e.ref.Incarnation, Key: wire.TaskKey{Session: 1, Sequence: in.Sequence}, Job: "j", Role: wire.CrashUnconfirmed}}
		time.Sleep(50 * time.Millisecond)
		r.Check(e.lastHeartbeat().Suspects, qt.DeepEquals, want)
		time.Sleep(time.Second)
		r.Check(r.entries[1].lastHeartbeat().Suspects, qt.DeepEquals, want)
		r.Check(lost, qt.HasLen, 0)
		r.machine.Boot()
		r.agent.WorkerAnnounced(r.machine.Announcement())
		a := <-lost
		r.expect(a, wire.OutcomeInterrupted, wire.ReasonWorkerLost)
		r.Check(a.Result.Crash, qt.Equals, wire.CrashUnconfirmed)
	})
}
