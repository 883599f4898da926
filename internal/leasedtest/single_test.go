package leasedtest

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/leasestub"
)

// withSystem starts a system in virtual time, runs the test with it, and ends it
// with the checks of finishAndCheck.
func withSystem(t *testing.T, test func(s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(qt.New(t), "west")
		test(s)
		s.finishAndCheck()
	})
}

// Guards against lost or repeated tasks without any fault, and against more than
// one further run of the tasks of a job whose caller disconnects and sends it
// again.
func TestJobsRunWhole(t *testing.T) {
	withSystem(t, func(s *system) {
		var all []*job
		for i := range 20 {
			all = append(all, s.submit(i%2, job{tasks: 1 + i%4, duration: 200 * ms}))
			time.Sleep(100 * ms)
		}
		resent := s.submit(0, job{tasks: 4, duration: 900 * ms})
		time.Sleep(400 * ms)
		resent.disconnectCaller()
		for _, j := range append(all, resent) {
			<-j.ended
			s.Check(j.outcome, qt.Equals, entry.OutcomeDone, qt.Commentf(j.id))
		}
		for task, n := range s.evidence.Count() {
			s.Check(n, qt.Equals, map[bool]int{false: 1, true: 2}[task.Job == resent.id], qt.Commentf("%v", task))
		}
	})
}

// singleFault is a fault of a system that loses no job.
type singleFault struct {
	name  string
	fault func(s *system)
}

// Guards against single faults that break a rule of section 13.1 or prevent the
// completion of jobs.
func TestSingleFaults(t *testing.T) {
	order := func(f leasestub.Faults) func(s *system) {
		return func(s *system) {
			w := s.workers[0]
			s.injectFor(time.Second, func() { w.SetFaults(f) }, func() { w.SetFaults(leasestub.Faults{}) })
		}
	}
	pauseBy := func(begin func(s *system, d time.Duration)) func(d time.Duration) func(s *system) {
		return func(d time.Duration) func(s *system) {
			return func(s *system) {
				begin(s, d)
				time.Sleep(60 * ms) // the pause has begun
				for _, j := range s.jobs {
					j.disconnectCaller()
				}
			}
		}
	}
	pause := pauseBy(func(s *system, d time.Duration) { s.pauseEntry(0, d) })
	suspend := pauseBy(func(s *system, d time.Duration) { s.suspendEntry(0, d) })
	checkSingleFaults(t, []singleFault{
		{"entry killed", func(s *system) { s.replaceEntry(0, time.Second) }},
		{"entry paused for 0.6 s", pause(600 * ms)},
		{"entry paused for 2 s", pause(2 * time.Second)},
		{"entry suspended for 0.6 s", suspend(600 * ms)},
		{"entry suspended for 2 s", suspend(2 * time.Second)},
		{"agent suspended for 0.6 s", func(s *system) { s.suspendAgent(0, 600*ms) }},
		{"agent suspended for 2 s", func(s *system) { s.suspendAgent(0, 2*time.Second) }},
		{"agent replaced", func(s *system) { s.replaceAgent(0, 0) }},
		{"agent replaced later", func(s *system) { s.replaceAgent(0, 800*ms) }},
		{"agent cut off from one entry", func(s *system) { s.cutOff(0, 2*time.Second, 0) }},
		{"agent cut off from all entries", func(s *system) { s.cutOff(0, 2*time.Second, 0, 1) }},
		{"starts late", order(leasestub.Faults{Start: leasestub.Fault{Late: 250 * ms}})},
		{"starts too late", order(leasestub.Faults{Start: leasestub.Fault{Late: 500 * ms}})},
		{"starts unanswered", order(leasestub.Faults{Start: leasestub.Fault{Unanswered: true}})},
		{"stops lost and renewals unanswered", order(leasestub.Faults{Stop: leasestub.Fault{Lost: true}, Renew: leasestub.Fault{Unanswered: true}})},
		{"entry killed while stops are lost", func(s *system) {
			s.submit(0, job{tasks: 3, duration: 2 * time.Second})
			time.Sleep(100 * ms)
			for _, w := range s.workers {
				s.injectFor(3*time.Second, func() { w.SetFaults(leasestub.Faults{Stop: leasestub.Fault{Lost: true}}) }, func() { w.SetFaults(leasestub.Faults{}) })
			}
			s.replaceEntry(0, time.Second)
		}},
		{"worker silent", order(leasestub.Silent())},
		{"worker restarted", func(s *system) { s.restartWorker(0, 0) }},
		{"worker restarted later", func(s *system) { s.restartWorker(0, time.Second) }},
		{"worker draining", func(s *system) { s.drain(0, 3*time.Second) }},
		{"data centre out of service", func(s *system) { s.setInService("north", false) }},
		{"store out for one entry", func(s *system) {
			s.injectFor(5*time.Second, func() { s.net.Cut(entryHost(0), storeHost) }, func() { s.net.Heal(entryHost(0), storeHost) })
		}},
		{"store silent for both entries", func(s *system) {
			for i := range 2 {
				s.injectFor(2*time.Second, func() { s.net.Partition(entryHost(i), storeHost) }, func() { s.net.Heal(entryHost(i), storeHost) })
			}
		}},
	})
}

// lifeFaults are the faults of a worker whose process is hard to tell from another one.
func lifeFaults() []singleFault {
	restart := func(after time.Duration, next leasestub.NextLife) func(s *system) {
		return func(s *system) { s.restartWorkerAs(0, after, next) }
	}
	faulty := func(f leasestub.Faults) func(s *system) {
		return func(s *system) {
			w := s.workers[0]
			s.injectFor(time.Second, func() { w.SetFaults(f) }, func() { w.SetFaults(leasestub.Faults{}) })
		}
	}
	announced := func(late time.Duration) func(s *system) {
		return func(s *system) {
			s.injectFor(3*time.Second, func() { s.setAnnounceLate(0, late) }, func() { s.setAnnounceLate(0, 0) })
			time.Sleep(500 * ms)
			s.restartWorkerAs(0, 300*ms, leasestub.NextLife{WallBack: 2 * time.Second})
		}
	}
	answerLate := leasestub.Fault{AnswerLate: 60 * ms}
	return []singleFault{
		{"connections refused", faulty(leasestub.Faults{Refuse: true})},
		{"connections reset", faulty(leasestub.Faults{Reset: true})},
		{"connections reset and refused", faulty(leasestub.Faults{Refuse: true, Reset: true})},
		{"answers late", faulty(leasestub.Faults{Start: answerLate, Stop: answerLate, Renew: answerLate})},
		{"worker restarted as another", restart(0, leasestub.NextLife{NewID: true})},
		{"worker restarted as another later", restart(time.Second, leasestub.NextLife{NewID: true})},
		{"worker restarted after its clock was set back", restart(0, leasestub.NextLife{WallBack: time.Minute})},
		{"worker restarted later after its clock was set back", restart(time.Second, leasestub.NextLife{WallBack: time.Minute})},
		{"worker restarted while announcements are late", announced(time.Second)},
		{"worker restarted while announcements are lost", announced(-1)},
	}
}

// Guards against single faults of a worker's process that break a rule of section 13.1
// or prevent the completion of jobs.
func TestSingleFaultsOfLives(t *testing.T) { checkSingleFaults(t, lifeFaults()) }

func checkSingleFaults(t *testing.T, faults []singleFault) {
	t.Helper()
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				load := func(n int) {
					for i := range n {
						s.submit(i%2, job{tasks: 1 + i%3, duration: []time.Duration{60 * ms, 200 * ms, 900 * ms}[i%3]})
						time.Sleep(160 * ms) // a load of half of the capacity
					}
				}
				load(5)
				s.tracef("%s", tc.name)
				tc.fault(s)
				load(40)
				s.checkAllDone()
			})
		})
	}
}

// Guards against an entry that starts jobs right after a pause although their
// callers disconnected during the pause and sent the jobs to the other entry. The
// entry has not noticed the disconnects yet.
func TestPausedEntrySettles(t *testing.T) {
	withSystem(t, func(s *system) {
		s.pauseEntry(0, 1450*ms)
		time.Sleep(60 * ms) // the pause has begun
		for range 4 {
			s.submit(0, job{tasks: 2, duration: 900 * ms}).disconnectCaller()
		}
		s.callers.Wait()
		for _, j := range s.jobs {
			s.Check(j.outcome, qt.Equals, entry.OutcomeDone, qt.Commentf(j.id))
		}
		s.Check(s.evidence.Starts(), qt.HasLen, 8)
	})
}

// Guards against an entry that does not notice that its machine was suspended,
// because its steady clock stood still meanwhile, and so starts jobs that their
// callers have sent to the other entry.
func TestSuspendedEntrySettles(t *testing.T) {
	withSystem(t, func(s *system) {
		s.suspendEntry(0, 1450*ms)
		time.Sleep(60 * ms) // the suspension has begun
		for range 4 {
			s.submit(0, job{tasks: 2, duration: 900 * ms}).disconnectCaller()
		}
		s.callers.Wait()
		for _, j := range s.jobs {
			s.Check(j.outcome, qt.Equals, entry.OutcomeDone, qt.Commentf(j.id))
		}
		s.Check(s.evidence.Starts(), qt.HasLen, 8)
	})
}

// Guards against an entry that goes on with jobs after its machine was suspended,
// although their callers have left: the end of a caller's connection arrives as late
// after the suspension as that lasted.
func TestSuspendedEntryGivesUpItsJobs(t *testing.T) {
	withSystem(t, func(s *system) {
		var jobs []*job
		for i := range 8 { // more than the workers have room for
			jobs = append(jobs, s.submit(0, job{tasks: 3, duration: time.Duration(200+50*i) * ms}))
		}
		time.Sleep(100 * ms)
		s.suspendEntry(0, 1200*ms)
		time.Sleep(60 * ms) // the suspension has begun
		for _, j := range jobs {
			j.disconnectCaller()
		}
		for _, j := range jobs {
			<-j.ended
			s.Check(j.outcome, qt.Equals, entry.OutcomeDone, qt.Commentf(j.id))
		}
	})
}
