package leasedtest

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against two runs of a task whose caller leaves and sends the job to another
// entry at once, when its tasks run already: the first entry learns late or never that the
// caller has left, or is killed. Jobs have their homes at both entries.
func TestHastyCallerOfARunningJob(t *testing.T) {
	for name, leave := range map[string]func(s *system){
		"end noticed at once": func(*system) {},
		"end noticed late":    func(s *system) { s.entry(0).setEndsNoticedLate(400 * ms) },
		"end lost":            func(s *system) { s.net.Freeze(callerHost, entryHost(0)) },
		"entry killed":        func(s *system) { s.entry(0).kill() },
		"entry paused":        func(s *system) { s.entry(0).setPaused(true) },
		"entry cut off":       func(s *system) { s.net.Partition(entryHost(0), entryHost(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				for i := range 4 {
					j := &job{tasks: 2, milliCPU: 4000, duration: 300 * ms, deadline: 3 * time.Second, mayHaveRun: true}
					s.register(j)
					c := s.openSubmission(0, j)
					time.Sleep(40 * ms)
					if i == 3 {
						leave(s)
					}
					s.Assert(c.Close(), qt.IsNil)
					s.checkDoneAt(1, j)
				}
				s.entry(0).setPaused(false)
				s.net.Heal(entryHost(0), entryHost(1))
				s.net.Heal(callerHost, entryHost(0))
			})
		})
	}
}

// Guards against a job that is answered at neither entry because each waits for the other
// to release it, and against a run at each: the caller sends the job back and forth.
func TestHastyCallerInTurn(t *testing.T) {
	for _, wait := range []time.Duration{0, 5 * ms, 30 * ms, 120 * ms} {
		t.Run(fmt.Sprint(wait), func(t *testing.T) {
			withSystem(t, func(s *system) {
				j := &job{tasks: 3, milliCPU: 4000, duration: 300 * ms, deadline: 3 * time.Second, mayHaveRun: true}
				s.register(j)
				for i := range 6 {
					c := s.openSubmission(i%2, j)
					time.Sleep(wait)
					s.Assert(c.Close(), qt.IsNil)
				}
				time.Sleep(resendInterval)
				s.checkDoneAt(0, j)
			})
		})
	}
}

// Guards against two runs of a task whose caller leaves and sends the job at once to an
// entry that has just started: it knows no peer yet, and its former process was the home.
func TestHastyCallerToAnEntryThatHasJustStarted(t *testing.T) {
	withSystem(t, func(s *system) {
		j := &job{tasks: 2, milliCPU: 4000, duration: 500 * ms, deadline: 3 * time.Second, mayHaveRun: true}
		s.register(j)
		s.entry(1).setEndsNoticedLate(400 * ms)
		c := s.openSubmission(1, j)
		time.Sleep(40 * ms)
		s.replaceEntry(0, 3*ms)
		time.Sleep(15 * ms)
		s.Assert(c.Close(), qt.IsNil)
		s.checkDoneAt(0, j)
	})
}

// Guards against faults beside callers that leave a running job and send it to the other
// entry at once.
func TestRandomSchedulesWithHastyCallers(t *testing.T) {
	fixSchedules(t, standInChecks)
	kinds := append(append([]string{}, callerKinds...), faultKinds()...)
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) event {
			e := drawEvent(r, kinds)
			e.job.hasty = rapid.IntRange(0, 2).Draw(r, "hasty")
			e.job.hastyAfter = time.Duration(rapid.IntRange(0, 200).Draw(r, "leaves after")) * ms
			return e
		}), 5, 40).Draw(r, "events")
		f := &failures{}
		synctest.Test(t, func(*testing.T) {
			s := startSystem(qt.New(f), "north")
			for _, e := range events {
				time.Sleep(e.after)
				s.applyEvent(e)
			}
			s.finishAndCheck()
		})
		if f.Failed() {
			r.Fatalf("%s", f.text)
		}
	})
}
