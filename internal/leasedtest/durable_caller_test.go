package leasedtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/lease"
)

const (
	// maxAttempts of the template.
	maxAttempts = 3
	// callTimeout of the callers of durable jobs.
	callTimeout = 2 * time.Second
	// lastStartAfterCancel is when the last task may start after the acknowledgement
	// of a cancellation (section 14.1).
	lastStartAfterCancel = 3 * time.Second
	// maxPendingAge is how old the number of pending jobs may be (section 14.1).
	maxPendingAge = 2 * time.Second
	// durableEndsWithin bounds the time from the end of the load to the end of the jobs.
	durableEndsWithin = 45 * time.Second
)

// durableJob is what the callers know of a durable job.
type durableJob struct {
	*job
	mu          sync.Mutex
	acceptedAt  time.Time // zero before
	cancelSent  bool      // a cancellation was sent
	cancelledAt time.Time // when a cancellation was acknowledged; zero before
	finalState  durable.State
}

// snapshot returns what the callers snapshot at present.
func (j *durableJob) snapshot() (accepted, cancelled time.Time, cancels bool, final durable.State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.acceptedAt, j.cancelledAt, j.cancelSent, j.finalState
}

// submitDurable sends a durable job to an entry; it returns at once.
func (s *system) submitDurable(target int, in job) *durableJob {
	in.tasks, in.disconnect, in.ended = max(in.tasks, 1), make(chan struct{}, 1), make(chan struct{})
	if in.milliCPU == 0 {
		in.milliCPU = 4000
	}
	j := &durableJob{job: &in}
	s.register(j.job)
	s.evidence.Durable(j.id, maxAttempts)
	s.mu.Lock()
	s.durables = append(s.durables, j)
	s.mu.Unlock()
	s.callers.Go(func() { defer close(j.ended); s.submitUntilAccepted(j, target) })
	return j
}

// submitUntilAccepted submits a job until it is accepted or refused.
func (s *system) submitUntilAccepted(j *durableJob, target int) {
	spec := j.spec()
	for range 20 {
		s.tracef("%s: durable, %d tasks of %v to e%d, fails %v", j.id, j.tasks, j.duration, target, j.fails)
		j.submitted++
		a, whole := callEntry(s, target, callTimeout, j.disconnect, func(ctx context.Context, e *entryProcess) entry.Answer {
			return e.SubmitDurable(ctx, entry.Submission{Job: j.id, Template: "step", Count: j.tasks, Needs: spec.Needs, Spec: spec.Encode()})
		})
		s.tracef("%s: %v %+v", j.id, whole, a)
		j.mayHaveRun = j.mayHaveRun || !whole || a.Outcome != entry.OutcomeNotRun
		switch {
		case whole && a.Outcome == entry.OutcomeAccepted:
			j.mu.Lock()
			defer j.mu.Unlock()
			if j.acceptedAt.IsZero() {
				j.acceptedAt = time.Now()
			}
			return
		case whole && a.Outcome == entry.OutcomeNotRun:
			if accepted, _, _, _ := j.snapshot(); !accepted.IsZero() && a.RetryAfter == 0 {
				s.Errorf("%s was accepted and then refused for good: %+v", j.id, a)
			}
			return
		}
		time.Sleep(resendInterval)
		target = 1 - target
	}
}

// resubmit sends a job again that was accepted or refused.
func (s *system) resubmit(j *durableJob, target int) {
	s.callers.Go(func() {
		<-j.ended
		again := &durableJob{job: &job{id: j.id, tasks: j.tasks, duration: j.duration, fails: j.fails, milliCPU: j.milliCPU, disconnect: make(chan struct{}, 1)}}
		again.acceptedAt, _, _, _ = j.snapshot()
		if again.acceptedAt.IsZero() {
			return // a refused job may run after a new submission
		}
		s.submitUntilAccepted(again, target)
	})
}

// queryState asks for the queryState of a job and checks the answer.
func (s *system) queryState(j *durableJob, target int) durable.State {
	accepted, _, _, final := j.snapshot()
	type answer struct {
		state durable.State
		err   error
	}
	a, whole := callEntry(s, target, callTimeout, nil, func(ctx context.Context, e *entryProcess) answer {
		state, err := e.DurableJobState(ctx, j.id, 0)
		return answer{state, err}
	})
	switch {
	case !whole || errors.Is(a.err, entry.ErrUnavailable):
		return ""
	case errors.Is(a.err, entry.ErrJobNotFound):
		if !accepted.IsZero() {
			s.Errorf("%s was accepted %v ago and is unknown at e%d", j.id, time.Since(accepted), target)
		}
		return ""
	case a.err != nil:
		s.Errorf("%s: state at e%d: %v", j.id, target, a.err)
		return ""
	}
	if final != "" && a.state != final {
		s.Errorf("%s was %s and is %s at e%d", j.id, final, a.state, target)
	}
	s.checkState(j, a.state)
	return a.state
}

// checkState checks a state that was answered by what ran.
func (s *system) checkState(j *durableJob, state durable.State) {
	switch state {
	case durable.Queued, durable.InProgress:
		return
	case durable.Completed:
		s.checkAllTasksDone(j.job)
	case durable.Failed:
		if most := s.mostFailed(j); most < maxAttempts {
			s.Errorf("%s is answered as failed, and its tasks failed %d times at most", j.id, most)
		}
	case durable.Cancelled:
		if _, _, cancels, _ := j.snapshot(); !cancels {
			s.Errorf("%s is answered as cancelled by nobody", j.id)
		}
	default:
		s.Errorf("%s has the state %q", j.id, state)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.finalState == "" {
		s.tracef("%s: %s", j.id, state)
		j.finalState = state
	}
}

// mostFailed returns the largest number of failed runs of a task of the job.
func (s *system) mostFailed(j *durableJob) (most int) {
	failed := map[int]int{}
	for _, r := range s.evidence.Starts() {
		if r.Run.Task.Job == j.id && r.How == lease.Failed {
			failed[r.Run.Task.Index]++
			most = max(most, failed[r.Run.Task.Index])
		}
	}
	return most
}

// cancelDurable cancels an accepted job at one entry after the other until that
// is acknowledged.
func (s *system) cancelDurable(j *durableJob, target int) {
	s.callers.Go(func() {
		type answer struct {
			found bool
			err   error
		}
		<-j.ended
		accepted, _, _, _ := j.snapshot()
		j.mu.Lock()
		j.cancelSent = true
		j.mu.Unlock()
		for range 20 {
			a, whole := callEntry(s, target, callTimeout, nil, func(ctx context.Context, e *entryProcess) answer {
				found, err := e.CancelDurableJob(ctx, j.id)
				return answer{found, err}
			})
			s.tracef("%s: cancelled at e%d: %v %+v", j.id, target, whole, a)
			if whole && a.err == nil {
				if !a.found && !accepted.IsZero() {
					s.Errorf("%s was accepted and is unknown to a cancellation at e%d", j.id, target)
				}
				j.mu.Lock()
				defer j.mu.Unlock()
				if a.found && j.cancelledAt.IsZero() {
					j.cancelledAt = time.Now()
				}
				return
			}
			time.Sleep(resendInterval)
			target = 1 - target
		}
	})
}

// startQueries asks for states, and for the numbers of pending jobs if these are to be
// checked, until stop is called.
func (s *system) startQueries(pending bool) (stop func()) {
	over, ended := make(chan struct{}), make(chan struct{})
	random := rand.New(rand.NewPCG(1, 2))
	go func() {
		defer close(ended)
		for {
			select {
			case <-over:
				return
			case <-time.After(250 * ms):
			}
			for i := range s.entries {
				if pending {
					s.checkPending(i)
				}
			}
			if all := s.durableJobs(); len(all) > 0 {
				s.queryState(all[random.IntN(len(all))], random.IntN(2))
			}
		}
	}()
	return func() { close(over); <-ended }
}

func (s *system) durableJobs() []*durableJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*durableJob(nil), s.durables...)
}

// checkPending compares the number of pending jobs at a ready entry with the jobs
// that were pending for as long as the number may be old.
func (s *system) checkPending(i int) {
	e := s.entry(i)
	select {
	case <-e.killed:
		return
	default:
	}
	if e.isPaused() || e.Ready() != nil {
		return
	}
	started := map[string]bool{}
	for t := range s.evidence.Count() {
		started[t.Job] = true
	}
	var pending []string
	for _, j := range s.durableJobs() {
		accepted, _, cancels, final := j.snapshot()
		if !accepted.IsZero() && time.Since(accepted) > maxPendingAge && !cancels && final == "" && !started[j.id] {
			pending = append(pending, j.id)
		}
	}
	began := time.Now()
	n := e.PendingDurableJobs("step")
	if time.Since(began) == 0 && 2*n < len(pending) { // a call that waited tells of another moment
		s.Errorf("%v: e%d knows of %d pending jobs, and these were pending for %v: %v", time.Since(s.began), i, n, maxPendingAge, pending)
	}
}

// finishDurable waits until all accepted jobs have ended and checks the rules of
// section 14.1.
func (s *system) finishDurable() {
	s.callers.Wait()
	limit := time.Now().Add(durableEndsWithin)
	open := s.durableJobs()
	for round := 0; len(open) > 0 && time.Now().Before(limit); round++ {
		var left []*durableJob
		for i, j := range open {
			accepted, _, _, _ := j.snapshot()
			if state := s.queryState(j, (round+i)%2); !accepted.IsZero() && (state == "" || state == durable.Queued || state == durable.InProgress) {
				left = append(left, j)
			}
		}
		if open = left; len(open) > 0 {
			time.Sleep(500 * ms)
		}
	}
	for _, j := range open {
		s.Errorf("%s has not ended", j.id)
	}
	for _, j := range s.durableJobs() {
		s.checkCancelledDurable(j)
	}
}

// checkCancelledDurable checks that no task started too long after the
// acknowledgement of a job's cancellation.
func (s *system) checkCancelledDurable(j *durableJob) {
	_, cancelled, _, _ := j.snapshot()
	if cancelled.IsZero() {
		return
	}
	for _, r := range s.evidence.Starts() {
		if late := r.At.Sub(cancelled); r.Run.Task.Job == j.id && late > lastStartAfterCancel {
			s.Errorf("%v started %v after its cancellation", r.Run, late)
		}
	}
}
