package leasedtest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
)

// waitUntilDone waits for the answer of a job, checks that the job was completed,
// and returns the time since it was submitted.
func (s *system) waitUntilDone(j *job, submitted time.Time) time.Duration {
	<-j.ended
	s.Check(j.outcome, qt.Equals, entry.OutcomeDone, qt.Commentf(j.id))
	return time.Since(submitted)
}

// stoppedRuns returns the runs of the worker that ended by a stop order.
func (s *system) stoppedRuns(worker string) []leasestub.Start {
	var out []leasestub.Start
	for _, r := range s.evidence.Starts() {
		if r.Worker == worker && r.How == lease.Stopped {
			out = append(out, r)
		}
	}
	return out
}

// teachDurations runs tasks of the duration took at all workers until entry 0 has
// learned the duration and how fast the workers are.
func (s *system) teachDurations(took time.Duration) {
	for range 10 {
		j := s.submit(0, job{tasks: 9, duration: took})
		<-j.ended
	}
}

// Guards against a job that waits until its deadline, or longer, for stalled
// runs.
func TestJobsLeaveAWorkerWhereRunsStandStill(t *testing.T) {
	withSystem(t, func(s *system) {
		s.workers[0].SetFaults(leasestub.Faults{Stall: true})
		for range 2 { // a third job would exceed the limit of restarts
			began := time.Now()
			took := s.waitUntilDone(s.submit(0, job{tasks: 6, duration: 200 * ms}), began)
			s.Check(took < 1800*ms, qt.IsTrue, qt.Commentf("took %v of 3.6 s", took))
		}
		s.Check(s.stoppedRuns("w0"), qt.Not(qt.HasLen), 0)
		s.workers[0].SetFaults(leasestub.Faults{})
	})
}

// Guards against concurrent runs of a restarted task, and against a delay of more
// than one lease, when a worker whose runs are stalled ignores stops as well.
func TestStalledRunsThatCannotBeStopped(t *testing.T) {
	withSystem(t, func(s *system) {
		s.workers[0].SetFaults(leasestub.Faults{Stall: true, Stop: leasestub.Fault{Lost: true}})
		began := time.Now()
		took := s.waitUntilDone(s.submit(0, job{tasks: 6, duration: 200 * ms}), began)
		s.Check(took < 2*time.Second, qt.IsTrue, qt.Commentf("took %v of 3.6 s", took))
		lapsed := 0
		for _, r := range s.evidence.Starts() {
			if r.Worker == "w0" && r.How == lease.LeaseExpired {
				lapsed++
			}
		}
		s.Check(lapsed, qt.Equals, 4)
		s.workers[0].SetFaults(leasestub.Faults{})
	})
}

// Guards against tasks that remain at a worker four times slower than its peers,
// also after all runs of that worker were restarted for a while.
func TestJobsLeaveASlowWorker(t *testing.T) {
	withSystem(t, func(s *system) {
		s.teachDurations(400 * ms)
		s.workers[0].SetFaults(leasestub.Faults{Slowdown: 4})
		s.teachDurations(400 * ms)
		before := len(s.stoppedRuns("w0"))
		const jobs = 15 // take longer than the 10 s for which package ejection counts outcomes
		for range jobs {
			began := time.Now()
			took := s.waitUntilDone(s.submit(0, job{tasks: 9, duration: 400 * ms}), began) // one task more than fits on the other workers
			s.Check(took < 1300*ms, qt.IsTrue, qt.Commentf("took %v, of 1.6 s at the slow worker", took))
		}
		s.Check(s.stoppedRuns("w0"), qt.HasLen, before+jobs)
		s.workers[0].SetFaults(leasestub.Faults{})
	})
}

// Guards against the restart of a long task at a healthy worker, because the task
// is taken for a slow run.
func TestLongTaskIsNotRestarted(t *testing.T) {
	withSystem(t, func(s *system) {
		s.teachDurations(100 * ms)
		starts := len(s.evidence.Starts())
		began := time.Now()
		s.waitUntilDone(s.submit(0, job{tasks: 3, duration: 2500 * ms}), began)
		s.Check(s.evidence.Starts(), qt.HasLen, starts+3)
	})
}

// Guards against a restart, which discards work, while the other workers have no
// room for the task.
func TestNoRestartWithoutRoomElsewhere(t *testing.T) {
	withSystem(t, func(s *system) {
		s.workers[0].SetFaults(leasestub.Faults{Unhealthy: true})
		began := time.Now()
		long := s.submit(0, job{tasks: 8, duration: 2500 * ms})
		time.Sleep(500 * ms)
		s.Assert(s.evidence.Running(), qt.Equals, 8)
		s.workers[0].SetFaults(leasestub.Faults{Stall: true})
		stalled := s.submit(0, job{duration: 200 * ms})
		time.Sleep(200 * ms)
		s.Assert(s.evidence.Running(), qt.Equals, 9)
		s.waitUntilDone(long, began)
		s.Check(s.stoppedRuns("w0"), qt.HasLen, 0)
		took := s.waitUntilDone(stalled, began)
		s.Check(took < 3500*ms, qt.IsTrue, qt.Commentf("%v", took))
		s.Check(s.stoppedRuns("w0"), qt.HasLen, 1)
		s.workers[0].SetFaults(leasestub.Faults{})
	})
}

// Guards against the restart of runs because their worker or its agent was paused:
// a pause must not be taken for stalled runs while other workers have room.
func TestPausesAreNoStandstill(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pause func(s *system, yes bool)
	}{
		{"worker", func(s *system, yes bool) { s.workers[0].SetFaults(leasestub.Faults{Paused: yes}) }},
		{"agent", func(s *system, yes bool) { s.agent(0).setIOPaused(yes) }},
		{"agent and worker", func(s *system, yes bool) {
			s.agent(0).setIOPaused(yes)
			s.workers[0].SetFaults(leasestub.Faults{Paused: yes})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				s.teachDurations(2 * time.Second)
				const offsets = 16 // of the pause within the 150 ms between two lists
				for i := range offsets {
					began := time.Now()
					j := s.submit(0, job{tasks: 3, duration: 2 * time.Second})
					time.Sleep(time.Duration(500+10*i) * ms)
					tc.pause(s, true)
					time.Sleep(240 * ms)
					tc.pause(s, false)
					s.waitUntilDone(j, began)
				}
				// The lease of some runs ends during the pause, but no run is stopped.
				s.Check(s.stoppedRuns("w0"), qt.HasLen, 0)
			})
		})
	}
}
