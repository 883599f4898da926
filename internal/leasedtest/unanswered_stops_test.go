package leasedtest

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
)

// streamStarts submits jobs of small tasks to the second entry, which prefers the
// worker in its own data centre, for the given time.
func (s *system) streamStarts(d time.Duration) {
	for range int(d / (40 * ms)) {
		s.submit(1, job{tasks: 9, milliCPU: 1000, duration: 20 * ms})
		time.Sleep(40 * ms)
	}
}

// Guards against a run that has to end but goes on, at a worker that leaves stops
// unanswered, because start orders of other tasks extend the worker's lease. The task
// is then started elsewhere while it runs.
func TestStartsDoNotExtendARunThatHasToEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(s *system, j *job)
	}{
		{"session expired", func(s *system, _ *job) { s.cutOff(1, 4*time.Second, 0) }},
		{"caller left", func(_ *system, j *job) { j.disconnectCaller() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				lost := leasestub.Fault{Lost: true}
				for i, w := range s.workers { // the first run is at the second worker
					w.SetFaults(leasestub.Faults{Stop: lost, Unhealthy: i != 1})
				}
				j := s.submit(0, job{duration: 3 * time.Second, deadline: 10 * time.Second})
				time.Sleep(200 * ms)
				for _, w := range s.workers {
					w.SetFaults(leasestub.Faults{Stop: lost})
				}
				s.Assert(s.evidence.Starts()[0].Worker, qt.Equals, "w1")
				tc.end(s, j)
				ended := time.Now()
				s.streamStarts(2500 * ms)
				for _, w := range s.workers {
					w.SetFaults(leasestub.Faults{})
				}
				s.checkAllDone()
				run := s.evidence.Starts()[0]
				s.Check(run.Ended.Sub(ended) <= leasesEndWithin, qt.IsTrue, qt.Commentf("ended %v later", run.Ended.Sub(ended)))
			})
		})
	}
}

// Guards against starts that wait for stops which the worker answers, the first time
// or the second: while ends are listed all the time, and between two renewals.
func TestAnsweredStopsDelayNoStart(t *testing.T) {
	for _, tc := range []struct {
		name            string
		answer          time.Duration
		starts, stops   int           // one stop for as many starts
		every, duration time.Duration // of the starts
		stopAfter       time.Duration
	}{
		{"short tasks", 0, 500, 4, 5 * ms, 5 * ms, 8 * ms},
		{"short tasks, stops slow", 80 * ms, 500, 25, 5 * ms, 5 * ms, 8 * ms},
		{"long tasks", 0, 30, 1, 290 * ms, 2900 * ms, 287 * ms},
		{"long tasks, stops slow", 80 * ms, 30, 1, 310 * ms, 2900 * ms, 270 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				<-s.submit(0, job{duration: 5 * ms}).ended // the sessions are renewed often from now on
				for _, w := range s.workers {
					w.SetFaults(leasestub.Faults{Stop: leasestub.Fault{AnswerLate: tc.answer}})
				}
				submitted := map[string]time.Time{}
				for i := range tc.starts {
					if i%tc.stops == 0 {
						cancelled := s.submit(0, job{duration: time.Second, milliCPU: 1000})
						s.injectFor(tc.stopAfter, func() {}, func() { _, _ = s.entry(0).CancelJob(context.Background(), cancelled.id) })
					}
					j := s.submit(0, job{duration: tc.duration, milliCPU: 1000})
					submitted[j.id] = time.Now()
					time.Sleep(tc.every)
				}
				s.callers.Wait()
				for _, r := range s.evidence.Starts() {
					if at, ok := submitted[r.Run.Task.Job]; ok {
						s.Check(r.At.Sub(at) <= startDelivery, qt.IsTrue, qt.Commentf("%v started %v after its submission", r.Run, r.At.Sub(at)))
					}
				}
			})
		})
	}
}
