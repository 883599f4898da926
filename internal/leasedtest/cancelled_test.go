package leasedtest

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/wire"
)

const (
	cancelledTaskDuration = 1300 * ms // of the tasks of the jobs that are cancelled
	waitForRoom           = 150 * ms  // how long the job waits if the workers are full
	// startDelivery is the longest time for which a task can be under way to a
	// worker: the message to its agent and the agent's start order.
	startDelivery = 3 * ms
	// startValidity is the validity of a start order. A worker that does not
	// receive the stop order may execute a delayed start until then.
	startValidity = 300 * ms
	// runsEndWithin is the time after which the runs of a cancelled job have
	// ended while its entry is alive: session expiry, its check and the stop
	// (section 13.3).
	runsEndWithin = (500 + 75 + 50) * ms
	// leasesEndWithin is the same time for workers that do not receive stop
	// orders, whose runs end with their lease.
	leasesEndWithin = 1134 * ms
)

// Guards against tasks of a cancelled job that start or continue to run after the
// acknowledgement of the cancellation, and against a resubmission that runs the
// job. Jobs are cancelled while they wait, are ordered, run and end.
func TestCancelledJobs(t *testing.T) {
	lost := leasestub.Fault{Lost: true}
	for _, tc := range []struct {
		name        string
		workers     leasestub.Faults
		workersFull bool // the workers are full, so that the job waits for room
		callsLost   bool // the entry's calls are lost from the cancellation on
		lastStart   time.Duration
		lastEnd     time.Duration
	}{
		{name: "no fault", lastStart: startDelivery, lastEnd: startDelivery + 50*ms},
		{name: "workers full", workersFull: true, lastStart: startDelivery, lastEnd: startDelivery + 50*ms},
		{name: "start answers lost", workers: leasestub.Faults{Start: leasestub.Fault{Unanswered: true}}, lastStart: startDelivery, lastEnd: runsEndWithin},
		{name: "starts late", workers: leasestub.Faults{Start: leasestub.Fault{Late: 100 * ms}}, lastStart: startDelivery, lastEnd: runsEndWithin},
		{name: "stops lost", workers: leasestub.Faults{Stop: lost}, lastStart: startDelivery, lastEnd: leasesEndWithin},
		{name: "starts late, stops lost", workers: leasestub.Faults{Start: leasestub.Fault{Late: 100 * ms}, Stop: lost}, lastStart: startValidity, lastEnd: leasesEndWithin},
		{name: "calls lost", callsLost: true, lastStart: startDelivery, lastEnd: runsEndWithin},
		{name: "calls and stops lost", callsLost: true, workers: leasestub.Faults{Stop: lost}, lastStart: startDelivery, lastEnd: leasesEndWithin},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				acknowledged := 0
				for _, after := range cancelTimes() {
					for _, w := range s.workers {
						w.SetFaults(tc.workers)
					}
					if tc.workersFull {
						s.submit(1, job{tasks: 12, duration: waitForRoom})
						time.Sleep(5 * ms)
					}
					j := s.submit(0, job{tasks: 3, duration: cancelledTaskDuration})
					time.Sleep(after)
					if tc.callsLost {
						s.dropCalls(0, 1200*ms)
					}
					if found, err := s.entry(0).CancelJob(context.Background(), j.id); found && err == nil {
						acknowledged++
						s.checkCancelled(j, tc.lastStart, tc.lastEnd)
					}
					<-j.ended
					for _, w := range s.workers {
						w.SetFaults(leasestub.Faults{})
					}
					time.Sleep(300 * ms)
				}
				s.Check(acknowledged >= 19, qt.IsTrue, qt.Commentf("%d acknowledged", acknowledged))
			})
		})
	}
}

// cancelTimes returns the times after the submission of a job at which it is
// cancelled: while its tasks are ordered, at once or after waiting for room, while
// they run, and while they end.
func cancelTimes() (all []time.Duration) {
	for at := 0 * ms; at <= cancelledTaskDuration+5*ms; at += ms {
		if at <= 4*ms || at >= waitForRoom-2*ms && at <= waitForRoom+2*ms || at >= cancelledTaskDuration || at%(160*ms) == 0 {
			all = append(all, at)
		}
	}
	return all
}

// checkCancelled checks a job whose cancellation was acknowledged at this moment:
// no task starts later than lastStart after it or ends later than lastEnd after it,
// and a new submission of the job is answered as cancelled.
func (s *system) checkCancelled(j *job, lastStart, lastEnd time.Duration) {
	acknowledged := time.Now()
	<-j.ended
	s.Check(j.outcome, qt.Equals, entry.OutcomeFailed)
	again, complete := s.submitOnce(j, 0)
	s.Check(complete, qt.IsTrue)
	s.Check([]any{again.Outcome, again.Reason}, qt.DeepEquals, []any{entry.OutcomeFailed, wire.ReasonCancelled})
	time.Sleep(1200 * ms)
	for _, r := range s.evidence.Starts() {
		if r.Run.Task.Job != j.id {
			continue
		}
		late, ended := r.At.Sub(acknowledged), r.Ended.Sub(acknowledged)
		if late > lastStart || r.Ended.IsZero() || ended > lastEnd {
			s.Errorf("%v started %v and ended %v after the acknowledgement of its cancellation", r.Run, late, ended)
		}
	}
}
