package leasedtest

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxStartAfterCancel is the time after which nothing of a job may start whose
// cancellation was acknowledged.
const maxStartAfterCancel = 3 * time.Second

// cancel cancels a job at an entry and reports whether that was acknowledged within
// 1.5 s.
func (s *system) cancel(target int, id string) bool {
	err, complete := callEntry(s, target, 1500*ms, nil, func(ctx context.Context, e *entryProcess) error {
		_, err := e.CancelJob(ctx, id)
		return err
	})
	s.tracef("%s cancelled at e%d: complete answer %v: %v", id, target, complete, err)
	if !complete || err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, again := s.cancelled[id]; !again {
		s.cancelled[id] = time.Now()
	}
	return true
}

// checkCancellations checks that nothing of a job started too late after an
// acknowledged cancellation, whatever the faults were.
func (s *system) checkCancellations() {
	for _, r := range s.evidence.Starts() {
		if at, cancelled := s.cancelled[r.Run.Task.Job]; cancelled && r.At.Sub(at) > maxStartAfterCancel {
			s.Errorf("%v started %v after the acknowledgement of its cancellation", r.Run, r.At.Sub(at))
		}
	}
}

// cutEntries drops what the entries send to each other for the duration d.
func (s *system) cutEntries(d time.Duration) {
	a, b := entryHost(0), entryHost(1)
	s.injectFor(d, func() { s.net.Partition(a, b) }, func() { s.net.Heal(a, b) })
}

// Guards against a job that runs on after its cancellation was acknowledged by
// another entry than the one that runs it, or as "no such job".
func TestCancelledAtAnotherEntry(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fault is brought about 300 ms after the job was sent to entry 0, which it
		// reaches after late. The job is cancelled wait later.
		fault     func(s *system)
		late      time.Duration
		wait      time.Duration
		canceller int
		complete  bool // the first cancellation is acknowledged
	}{
		{name: "no fault", wait: 500 * ms, canceller: 1, complete: true},
		{name: "overtaken", late: 500 * ms, canceller: 1, complete: true},
		{
			// review/4: the caller sends the job again, to entry 1, and cancels it at
			// the process that has replaced the first one.
			name: "entry replaced", fault: func(s *system) { s.replaceEntry(0, 500*ms) }, wait: 3200 * ms, complete: true,
		},
		{name: "entry killed", fault: func(s *system) { s.replaceEntry(0, 3500*ms) }, wait: 200 * ms, canceller: 1},
		{name: "entries cut off", fault: func(s *system) { s.cutEntries(1500 * ms) }, wait: 200 * ms, canceller: 1},
		{name: "entry paused", fault: func(s *system) { s.pauseEntry(0, 1900*ms) }, wait: 200 * ms, canceller: 1},
		{name: "entry paused for a moment", fault: func(s *system) { s.pauseEntry(0, 600*ms) }, wait: 400 * ms, canceller: 1, complete: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				j := s.submit(0, job{tasks: 36, duration: 1100 * ms, link: callerLink{requestLate: tc.late}})
				time.Sleep(300 * ms)
				if tc.fault != nil {
					tc.fault(s)
				}
				time.Sleep(tc.wait)
				complete := s.cancel(tc.canceller, j.id)
				s.Check(complete, qt.Equals, tc.complete)
				for !complete { // as a caller that was asked to try again
					time.Sleep(time.Second)
					complete = s.cancel(tc.canceller, j.id)
				}
				s.checkCancelled(j, startDelivery, runsEndWithin)
			})
		})
	}
}

// cancelKinds are the kinds of events in schedules with cancellations.
var cancelKinds = append([]string{"cancel", "cancel", "cancel", "cancel", "cancel", "cancel", "cut entries", "kill entry", "leave"}, eventKinds...)

func (s *system) applyCancelEvent(e event) {
	n := len(s.jobs)
	switch e.kind {
	case "cancel":
		if n > 0 {
			id := s.jobs[max(0, n-e.job.tasks)].id
			s.wg.Go(func() { s.cancel(e.entry, id) })
		}
	case "cut entries":
		s.cutEntries(e.duration)
	default:
		s.applyEvent(e)
	}
}

// Guards against combinations of faults in which a job starts after its cancellation
// was acknowledged.
func TestRandomSchedulesWithCancellations(t *testing.T) {
	checkSchedules(t, cancelKinds, (*system).applyCancelEvent)
}
