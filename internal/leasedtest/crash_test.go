package leasedtest

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/wire"
)

// crashDelays are the times from the start of a task to the crash of its worker: at
// once, and after the worker has carried out other starts and renewals.
var crashDelays = []time.Duration{0, 20 * ms, 250 * ms}

// Guards against a task that crashes one worker after the other (rule of section
// 13.9), also where no start of it is answered, and against a job that is answered
// otherwise than as failed for it.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for _, after := range crashDelays {
		for _, answerLate := range []time.Duration{0, 5 * ms} {
			t.Run(fmt.Sprintf("%v/answers late by %v", after, answerLate), func(t *testing.T) {
				withSystem(t, func(s *system) {
					for _, w := range s.workers {
						w.SetFaults(leasestub.Faults{Start: leasestub.Fault{AnswerLate: answerLate}})
					}
					crashing := s.submit(0, job{tasks: 2, duration: 400 * ms, crashes: true, crashAfter: after, deadline: 10 * time.Second})
					<-crashing.ended
					s.Check(crashing.outcome, qt.Equals, entry.OutcomeFailed)
					// Three, and one more start: starts that were not answered prove less.
					s.Check(s.crashes(crashing.id) <= 4, qt.IsTrue, qt.Commentf("%d workers crashed", s.crashes(crashing.id)))
					time.Sleep(2 * rebootAfter)
				})
			})
		}
	}
}

// Guards against a durable task that crashes one worker after the other, without
// limit, also when its job changes its owner between the crashes.
func TestCrashingDurableTaskIsGivenUp(t *testing.T) {
	for _, after := range crashDelays {
		for _, killOwner := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v/owner killed %v", after, killOwner), func(t *testing.T) {
				runDurable(t, false, func(s *system) {
					j := s.submitDurable(0, job{tasks: 2, duration: 400 * ms, crashes: true, crashAfter: after})
					for killOwner && s.crashes(j.id) == 0 {
						time.Sleep(5 * ms)
					}
					if killOwner {
						time.Sleep(30 * ms)
						s.replaceEntry(0, time.Second)
						s.replaceEntry(1, 4*time.Second)
					}
					time.Sleep(3 * rebootAfter)
					s.finishDurable()
					_, _, _, final := j.snapshot()
					s.Check(final, qt.Equals, durable.Failed)
				})
			})
		}
	}
}

// Guards against bystanders that are given up because they ran beside tasks that
// crash workers, and against workers that are all down because of a few such tasks.
func TestBystandersOfCrashesAreNotGivenUp(t *testing.T) {
	withSystem(t, func(s *system) {
		var bystanders []*job
		for i := range 40 {
			if i%20 == 5 {
				// Starts are answered within 2 ms, so each job is given up after two crashes.
				s.submit(i%2, job{tasks: 2, duration: 100 * ms, crashes: true, crashAfter: 5 * ms})
			}
			bystanders = append(bystanders, s.submit(i%2, job{tasks: 1 + i%3, duration: 100 * ms, deadline: 20 * time.Second}))
			time.Sleep(150 * ms)
		}
		s.callers.Wait()
		for _, j := range bystanders {
			s.Check(j.outcome, qt.Equals, entry.OutcomeDone, qt.Commentf(j.id))
		}
	})
}

// Guards against starts above a capacity that shrank while the worker ran, and
// against room that stays unused after it grew again.
func TestCapacityThatChangesWhileTheWorkerRuns(t *testing.T) {
	withSystem(t, func(s *system) {
		resize := func(milliCPU int64) {
			for i, w := range s.workers {
				w.SetCapacity(wire.Resources{MilliCPU: milliCPU, MemoryMB: 16000})
				s.announce(i)
			}
		}
		load := func(d time.Duration) {
			for range int(d / (50 * ms)) {
				for i := range 2 {
					s.submit(i, job{tasks: 2, duration: 300 * ms, deadline: 2 * time.Second})
				}
				time.Sleep(50 * ms)
			}
			s.callers.Wait()
		}
		load(500 * ms)
		s.submit(0, job{tasks: 12, duration: 300 * ms}) // fills all workers
		time.Sleep(100 * ms)
		resize(8000)
		load(2 * time.Second)
		resize(16000)
		time.Sleep(time.Second)
		before := len(s.evidence.Starts())
		full := s.submit(0, job{tasks: 12, duration: 300 * ms})
		<-full.ended
		s.Check(full.outcome, qt.Equals, entry.OutcomeDone)
		starts := s.evidence.Starts()[before:]
		s.Check(starts, qt.HasLen, 12)
		s.Check(starts[11].At.Sub(starts[0].At) < 100*ms, qt.IsTrue, qt.Commentf("12 tasks of 4 cores fit on three workers of 16 at a time"))
	})
}

// crashes returns how many workers the job has crashed.
func (s *system) crashes(job string) (n int) {
	for _, r := range s.evidence.Starts() {
		if r.Run.Task.Job == job && r.Crashed {
			n++
		}
	}
	return n
}

// Guards against a task that crashes a worker for each submission of its job, because
// no worker takes it a second time before the deadline.
func TestCrashesAreRememberedWhenTheJobIsSentAgain(t *testing.T) {
	withSystem(t, func(s *system) {
		for _, w := range s.workers[1:] {
			w.SetFaults(leasestub.Faults{Unhealthy: true})
		}
		s.replaceEntry(1, time.Hour) // the caller finds the same entry each time
		time.Sleep(time.Second)
		bad := s.submit(0, job{tasks: 2, duration: 100 * ms, crashes: true, crashAfter: 5 * ms, deadline: 1500 * ms, submissions: 8})
		<-bad.ended
		s.Check(bad.outcome, qt.Equals, entry.OutcomeFailed)
		s.Check(s.crashes(bad.id), qt.Equals, 2)
		for _, w := range s.workers[1:] {
			w.SetFaults(leasestub.Faults{})
		}
	})
}
