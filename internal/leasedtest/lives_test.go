package leasedtest

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/leasestub"
)

// checkAllDone waits for the answers of all jobs and checks that they were completed.
func (s *system) checkAllDone() {
	s.callers.Wait()
	for _, j := range s.jobs {
		s.Check(j.outcome, qt.Equals, entry.OutcomeDone, qt.Commentf(j.id))
	}
}

// Guards against an agent that takes the answers of a worker's next life, which has
// the same identifier, for those of the former one: it starts runs there and reports
// them as lost when the next life announces itself.
func TestNextLifeAnswersForTheFormerOne(t *testing.T) {
	withSystem(t, func(s *system) {
		s.setAnnounceLate(0, -1)
		s.restartWorker(0, 0)
		time.Sleep(10 * ms)
		s.submit(0, job{tasks: 6, duration: time.Second})
		time.Sleep(400 * ms)
		s.setAnnounceLate(0, 0)
		s.checkAllDone()
	})
}

// Guards against a start order that a worker's next life carries out after the agent
// has reported the run as lost with the former life.
func TestNextLifeCarriesOutALateStart(t *testing.T) {
	withSystem(t, func(s *system) {
		s.setAnnounceLate(0, -1)
		s.workers[0].SetFaults(leasestub.Faults{Start: leasestub.Fault{Late: 400 * ms}})
		s.submit(0, job{tasks: 6, duration: time.Second})
		time.Sleep(20 * ms)
		s.restartWorker(0, 375*ms)
		time.Sleep(500 * ms)
		s.workers[0].SetFaults(leasestub.Faults{})
		s.setAnnounceLate(0, 0)
		s.checkAllDone()
	})
}

// Guards against an agent that takes a refused connection for the end of the worker's
// process, whose runs go on until their lease ends.
func TestRefusedConnectionsOfALivingWorker(t *testing.T) {
	withSystem(t, func(s *system) {
		s.submit(0, job{tasks: 6, duration: time.Second})
		time.Sleep(200 * ms)
		w := s.workers[0]
		s.injectFor(time.Second, func() { w.SetFaults(leasestub.Faults{Refuse: true}) }, func() { w.SetFaults(leasestub.Faults{}) })
		s.checkAllDone()
	})
}

// Guards against an agent that takes connections which are reset and then refused for
// the end of the worker's process, whose runs go on until their lease ends.
func TestResetAndRefusedConnectionsOfALivingWorker(t *testing.T) {
	withSystem(t, func(s *system) {
		s.submit(0, job{tasks: 6, duration: time.Second})
		time.Sleep(200 * ms)
		w := s.workers[0]
		s.injectFor(time.Second, func() { w.SetFaults(leasestub.Faults{Refuse: true, Reset: true}) }, func() { w.SetFaults(leasestub.Faults{}) })
		s.checkAllDone()
	})
}

// Guards against an agent that takes the answer of another machine's worker, whose
// announcement went astray, for the end of its own worker's process.
func TestAnnouncementOfAnotherMachinesWorker(t *testing.T) {
	withSystem(t, func(s *system) {
		s.submit(0, job{tasks: 6, duration: time.Second})
		time.Sleep(200 * ms)
		s.agent(0).WorkerAnnounced(s.workers[1].Announcement())
		s.checkAllDone()
		for task, n := range s.evidence.Count() {
			s.Check(n, qt.Equals, 1, qt.Commentf("%v", task))
		}
	})
}

// Guards against a running life that is ended by the late announcement of an earlier
// one, whose birth is higher because the wall clock jumped back between the two.
func TestLateAnnouncementOfAnEarlierLife(t *testing.T) {
	withSystem(t, func(s *system) {
		earlier := s.workers[0].Announcement()
		s.restartWorkerAs(0, 0, leasestub.NextLife{WallBack: 10 * time.Second})
		s.replaceAgent(0, 0) // the next process knows only the next life
		time.Sleep(2500 * ms)
		s.submit(0, job{tasks: 12, duration: time.Second, milliCPU: 3000})
		time.Sleep(200 * ms)
		s.deliver(0, earlier)
		s.checkAllDone()
		for task, n := range s.evidence.Count() {
			s.Check(n, qt.Equals, 1, qt.Commentf("%v", task))
		}
	})
}

// Guards against a worker that stays unused because the birth of its next life is
// lower than that of the former one.
func TestNextLifeWithALowerBirth(t *testing.T) {
	withSystem(t, func(s *system) {
		s.teachDurations(100 * ms)
		s.restartWorkerAs(0, 100*ms, leasestub.NextLife{WallBack: 10 * time.Second})
		time.Sleep(1500 * ms)
		s.submit(0, job{tasks: 12, duration: time.Second})
		time.Sleep(200 * ms)
		s.Check(s.evidence.Running(), qt.Equals, 12)
		s.checkAllDone()
	})
}

// Guards against a task that is started elsewhere before the latest time at which a
// worker's next life may carry out its first start order.
func TestNextLifeCarriesOutAStartAfterTheLongestDelay(t *testing.T) {
	withSystem(t, func(s *system) {
		const late = 11900 * ms
		w := s.workers[0]
		s.setAnnounceLate(0, -1)
		for i, other := range s.workers { // the first order goes to the first worker
			other.SetFaults(leasestub.Faults{Start: leasestub.Fault{Late: late}, Unhealthy: i != 0})
		}
		s.submitDurable(0, job{duration: 5 * time.Second})
		for w.Orders("start") == 0 {
			time.Sleep(ms / 10)
		}
		ordered := time.Now()
		s.restartWorker(0, late-ms/2)
		for _, other := range s.workers {
			other.SetFaults(leasestub.Faults{})
		}
		time.Sleep(time.Until(ordered.Add(late + 10*ms)))
		s.setAnnounceLate(0, 0)
		s.finishDurable()
	})
}

// Guards against a start order that was proved void in one life of a worker and is
// carried out by the next one, before the first order with a higher fencing token
// arrives there.
func TestNextLifeCarriesOutAVoidStart(t *testing.T) {
	withSystem(t, func(s *system) {
		const late = 700 * ms
		w := s.workers[0]
		s.setAnnounceLate(0, -1)
		w.SetFaults(leasestub.Faults{Start: leasestub.Fault{Late: late}})
		s.submit(0, job{tasks: 6, duration: 2 * time.Second})
		for w.Orders("start") == 0 {
			time.Sleep(ms / 10)
		}
		arrived := time.Now()
		time.Sleep(300 * ms) // the orders are void, and the tasks started elsewhere
		w.SetFaults(leasestub.Faults{})
		s.restartWorker(0, time.Until(arrived.Add(late-ms/2)))
		time.Sleep(time.Until(arrived.Add(late + 10*ms)))
		s.setAnnounceLate(0, 0)
		s.checkAllDone()
	})
}

// Guards against a next life that is asked so late, after the worker was down, that it
// carries out a start order that was proved void in the former life: 200 ms after its
// announcement, or unannounced 30 ms after its start.
func TestNextLifeIsAskedSoon(t *testing.T) {
	for _, tc := range []struct {
		name      string
		announced bool
		down      time.Duration
		late      time.Duration // from the start of the next life to the arrival of the order
	}{
		{"announced", true, 1800 * ms, 200 * ms},
		{"unannounced", false, 1800 * ms, 30 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				w := s.workers[0]
				w.SetFaults(leasestub.Faults{Start: leasestub.Fault{Late: 500*ms + tc.down + tc.late}})
				s.submit(0, job{tasks: 6, duration: 2600 * ms})
				for w.Orders("start") == 0 {
					time.Sleep(ms / 10)
				}
				ordered := time.Now()
				time.Sleep(450 * ms) // the orders are void, and the tasks started elsewhere
				w.SetFaults(leasestub.Faults{})
				s.setAnnounceLate(0, -1)
				time.Sleep(time.Until(ordered.Add(500 * ms)))
				s.restartWorker(0, tc.down)
				time.Sleep(tc.down)
				synctest.Wait()
				if tc.announced {
					s.setAnnounceLate(0, 0)
					s.Check(s.announce(0), qt.IsTrue)
				}
				time.Sleep(tc.late + 100*ms)
				s.setAnnounceLate(0, 0)
				s.checkAllDone()
			})
		})
	}
}

// Guards against a start order to a life whose identifier another life has answered
// for, and which is carried out when the worker starts under that identifier again.
func TestIdentifierThatComesBackCarriesOutALateStart(t *testing.T) {
	withSystem(t, func(s *system) {
		const late = 400 * ms
		w := s.workers[0]
		w.SetFaults(leasestub.Faults{Start: leasestub.Fault{Late: late}})
		s.submit(0, job{tasks: 6, duration: time.Second})
		for w.Orders("start") == 0 {
			time.Sleep(ms / 10)
		}
		arrived := time.Now()
		time.Sleep(20 * ms)
		w.SetFaults(leasestub.Faults{})
		s.restartWorkerAs(0, 0, leasestub.NextLife{NewID: true})
		time.Sleep(100 * ms) // another identifier has answered, and the tasks started elsewhere
		s.restartWorker(0, time.Until(arrived.Add(late-ms/2)))
		s.checkAllDone()
	})
}

// Guards against a lease that is taken to have expired although an order that was
// meant for the worker's former life, whose clock was ahead, has extended it for as
// long as the worker accepts.
func TestOrderToTheFormerLifeExtendsTheLease(t *testing.T) {
	withSystem(t, func(s *system) {
		s.submit(0, job{tasks: 3, milliCPU: 2000, duration: time.Second})
		time.Sleep(100 * ms)
		s.restartWorker(0, 0) // the renewal that breaks is sent again, to the next life
		time.Sleep(20 * ms)
		s.announce(0)
		time.Sleep(150 * ms)
		j := s.submit(0, job{tasks: 9, milliCPU: 2000, duration: 1500 * ms})
		time.Sleep(20 * ms)
		w := s.workers[0]
		s.injectFor(2*time.Second, func() { w.SetFaults(leasestub.Faults{Refuse: true}) }, func() { w.SetFaults(leasestub.Faults{}) })
		<-j.ended // the first job may fail: one of its tasks is suspected of two crashes
		s.Check(j.outcome, qt.Equals, entry.OutcomeDone)
	})
}
