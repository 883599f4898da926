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
	// askTimeout of the callers of durable jobs.
	askTimeout = 2 * time.Second
	// cancelledWithin is when the last task may start after the acknowledgement
	// of a cancellation (section 14.1).
	cancelledWithin = 3 * time.Second
	// pendingAge is how old the number of pending jobs may be (section 14.1).
	pendingAge = 2 * time.Second
	// durableEnds bounds the time from the end of the load to the end of the jobs.
	durableEnds = 45 * time.Second
)

// durableJob is what the callers know of a durable job.
type durableJob struct {
	*job
	mu        sync.Mutex
	accepted  time.Time // zero before
	cancels   bool      // a cancellation was sent
	cancelled time.Time // when a cancellation was acknowledged; zero before
	final     durable.State
}

// know returns what the callers know at present.
func (j *durableJob) know() (accepted, cancelled time.Time, cancels bool, final durable.State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted, j.cancelled, j.cancels, j.final
}

// submitDurable sends a durable job to an entry; it returns at once.
func (s *system) submitDurable(target int, in job) *durableJob {
	in.tasks, in.leaves, in.ended = max(in.tasks, 1), make(chan struct{}, 1), make(chan struct{})
	if in.milliCPU == 0 {
		in.milliCPU = 4000
	}
	j := &durableJob{job: &in}
	s.register(j.job)
	s.evidence.Durable(j.id, maxAttempts)
	s.mu.Lock()
	s.durables = append(s.durables, j)
	s.mu.Unlock()
	s.callers.Go(func() { defer close(j.ended); s.sendDurable(j, target) })
	return j
}

// sendDurable submits a job until it is accepted or refused.
func (s *system) sendDurable(j *durableJob, target int) {
	spec := j.spec()
	for range 20 {
		s.note("%s: durable, %d tasks of %v to e%d, fails %v", j.id, j.tasks, j.took, target, j.fails)
		j.sent++
		a, whole := ask(s, target, askTimeout, j.leaves, func(ctx context.Context, e *entryProcess) entry.Answer {
			return e.SubmitDurable(ctx, entry.Submission{Job: j.id, Template: "step", Count: j.tasks, Needs: spec.Needs, Spec: spec.Encode()})
		})
		s.note("%s: %v %+v", j.id, whole, a)
		j.open = j.open || !whole || a.Outcome != entry.OutcomeNotRun
		switch {
		case whole && a.Outcome == entry.OutcomeAccepted:
			j.mu.Lock()
			defer j.mu.Unlock()
			if j.accepted.IsZero() {
				j.accepted = time.Now()
			}
			return
		case whole && a.Outcome == entry.OutcomeNotRun:
			if accepted, _, _, _ := j.know(); !accepted.IsZero() && a.RetryAfter == 0 {
				s.Errorf("%s was accepted and then refused for good: %+v", j.id, a)
			}
			return
		}
		time.Sleep(resend)
		target = 1 - target
	}
}

// resubmit sends a job again that was accepted or refused.
func (s *system) resubmit(j *durableJob, target int) {
	s.callers.Go(func() {
		<-j.ended
		again := &durableJob{job: &job{id: j.id, tasks: j.tasks, took: j.took, fails: j.fails, milliCPU: j.milliCPU, leaves: make(chan struct{}, 1)}}
		again.accepted, _, _, _ = j.know()
		if again.accepted.IsZero() {
			return // a refused job may run after a new submission
		}
		s.sendDurable(again, target)
	})
}

// state asks for the state of a job and checks the answer.
func (s *system) state(j *durableJob, target int) durable.State {
	accepted, _, _, final := j.know()
	type answer struct {
		state durable.State
		err   error
	}
	a, whole := ask(s, target, askTimeout, nil, func(ctx context.Context, e *entryProcess) answer {
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
		s.checkDone(j.job)
	case durable.Failed:
		if most := s.mostFailed(j); most < maxAttempts {
			s.Errorf("%s is answered as failed, and its tasks failed %d times at most", j.id, most)
		}
	case durable.Cancelled:
		if _, _, cancels, _ := j.know(); !cancels {
			s.Errorf("%s is answered as cancelled by nobody", j.id)
		}
	default:
		s.Errorf("%s has the state %q", j.id, state)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.final == "" {
		s.note("%s: %s", j.id, state)
		j.final = state
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
		accepted, _, _, _ := j.know()
		j.mu.Lock()
		j.cancels = true
		j.mu.Unlock()
		for range 20 {
			a, whole := ask(s, target, askTimeout, nil, func(ctx context.Context, e *entryProcess) answer {
				found, err := e.CancelDurableJob(ctx, j.id)
				return answer{found, err}
			})
			s.note("%s: cancelled at e%d: %v %+v", j.id, target, whole, a)
			if whole && a.err == nil {
				if !a.found && !accepted.IsZero() {
					s.Errorf("%s was accepted and is unknown to a cancellation at e%d", j.id, target)
				}
				j.mu.Lock()
				defer j.mu.Unlock()
				if a.found && j.cancelled.IsZero() {
					j.cancelled = time.Now()
				}
				return
			}
			time.Sleep(resend)
			target = 1 - target
		}
	})
}

// watch asks for states, and for the numbers of pending jobs if these are to be
// checked, until stop is called.
func (s *system) watch(pending bool) (stop func()) {
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
				s.state(all[random.IntN(len(all))], random.IntN(2))
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
	case <-e.gone:
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
		accepted, _, cancels, final := j.know()
		if !accepted.IsZero() && time.Since(accepted) > pendingAge && !cancels && final == "" && !started[j.id] {
			pending = append(pending, j.id)
		}
	}
	began := time.Now()
	n := e.PendingDurableJobs("step")
	if time.Since(began) == 0 && 2*n < len(pending) { // a call that waited tells of another moment
		s.Errorf("%v: e%d knows of %d pending jobs, and these were pending for %v: %v", time.Since(s.began), i, n, pendingAge, pending)
	}
}

// finishDurable waits until all accepted jobs have ended and checks the rules of
// section 14.1.
func (s *system) finishDurable() {
	s.callers.Wait()
	limit := time.Now().Add(durableEnds)
	open := s.durableJobs()
	for round := 0; len(open) > 0 && time.Now().Before(limit); round++ {
		var left []*durableJob
		for i, j := range open {
			accepted, _, _, _ := j.know()
			if state := s.state(j, (round+i)%2); !accepted.IsZero() && (state == "" || state == durable.Queued || state == durable.InProgress) {
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
	_, cancelled, _, _ := j.know()
	if cancelled.IsZero() {
		return
	}
	for _, r := range s.evidence.Starts() {
		if late := r.At.Sub(cancelled); r.Run.Task.Job == j.id && late > cancelledWithin {
			s.Errorf("%v started %v after its cancellation", r.Run, late)
		}
	}
}
