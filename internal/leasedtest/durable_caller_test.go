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
	// maxAttempts is the template's limit of failed runs of a task.
	maxAttempts = 3
	// minCrashes is how many workers must have crashed under a task before its job
	// may be answered as failed for that.
	minCrashes = 2
	// callTimeout is how long callers of durable jobs wait for an answer.
	callTimeout = 2 * time.Second
	// lastStartAfterCancel is how long after the acknowledgement of a
	// cancellation a task may still start (section 14.1).
	lastStartAfterCancel = 3 * time.Second
	// maxPendingAge is how old an entry's number of pending jobs may be (section
	// 14.1).
	maxPendingAge = 2 * time.Second
	// durableEndsWithin bounds the time from the end of the load to the end of
	// all accepted jobs. Where the work that is left takes more than half of it, that
	// work and the other half do.
	durableEndsWithin = 45 * time.Second
)

// durableJob is a durable job and what its callers know of it.
type durableJob struct {
	*job
	mu          sync.Mutex
	acceptedAt  time.Time     // when an acceptance was first answered; zero before
	cancelSent  bool          // set before the first cancellation is sent
	cancelledAt time.Time     // when a cancellation was first acknowledged; zero before
	finalState  durable.State // first final state that was answered; empty before
}

// snapshot returns what the callers know now.
func (j *durableJob) snapshot() (accepted, cancelled time.Time, cancels bool, final durable.State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.acceptedAt, j.cancelledAt, j.cancelSent, j.finalState
}

// submitDurable sends a durable job to an entry and returns at once.
func (s *system) submitDurable(target int, in job) *durableJob {
	in.tasks, in.disconnect, in.ended = max(in.tasks, 1), make(chan struct{}, 1), make(chan struct{})
	if in.milliCPU == 0 {
		in.milliCPU = 4000
	}
	j := &durableJob{job: &in}
	s.register(j.job)
	s.evidence.MarkDurable(j.id, maxAttempts)
	s.mu.Lock()
	s.durables = append(s.durables, j)
	s.mu.Unlock()
	s.callers.Go(func() { defer close(j.ended); s.submitUntilAccepted(j, target) })
	return j
}

// submitUntilAccepted submits a job to the entries in turn until it is accepted or
// refused.
func (s *system) submitUntilAccepted(j *durableJob, target int) {
	spec := j.spec()
	for n := range 20 {
		s.tracef("%s: durable, %d tasks of %v to e%d, fails %v", j.id, j.tasks, j.duration, target, j.fails)
		j.submitted++
		a, complete := callEntryOver(s, j.link, target, callTimeout, j.disconnect, func(ctx context.Context, e *entryProcess) entry.Answer {
			return e.SubmitDurable(ctx, entry.Submission{Job: j.id, Template: "step", Count: j.tasks, Needs: spec.Needs, Spec: spec.Encode()})
		})
		s.tracef("%s: complete answer %v: %+v", j.id, complete, a)
		j.mayHaveRun = j.mayHaveRun || !complete || a.Outcome != entry.OutcomeNotRun
		switch {
		case complete && a.Outcome == entry.OutcomeAccepted:
			j.mu.Lock()
			defer j.mu.Unlock()
			if j.acceptedAt.IsZero() {
				j.acceptedAt = time.Now()
			}
			return
		case complete && a.Outcome == entry.OutcomeNotRun:
			if accepted, _, _, _ := j.snapshot(); !accepted.IsZero() && a.RetryAfter == 0 {
				s.Errorf("%s was accepted, and then refused without a time to retry: %+v", j.id, a)
			}
			j.refusedAt = time.Now()
			return
		}
		if !j.atOnce || n >= 3 {
			time.Sleep(resendInterval)
		}
		if !j.sameEntry {
			target = 1 - target
		}
	}
}

// resubmit sends an accepted job again once its first caller has finished.
func (s *system) resubmit(j *durableJob, target int) {
	s.callers.Go(func() {
		<-j.ended
		again := &durableJob{job: &job{id: j.id, tasks: j.tasks, duration: j.duration, fails: j.fails, crashes: j.crashes, crashAfter: j.crashAfter, milliCPU: j.milliCPU, disconnect: make(chan struct{}, 1)}}
		again.acceptedAt, _, _, _ = j.snapshot()
		if again.acceptedAt.IsZero() {
			return // the new submission of a refused job may be accepted
		}
		s.submitUntilAccepted(again, target)
	})
}

// queryState asks an entry for the state of a job and checks the answer. It returns
// "" if there was no answer or the entry does not know the job.
func (s *system) queryState(j *durableJob, target int) durable.State {
	accepted, _, _, final := j.snapshot()
	type answer struct {
		state durable.State
		err   error
	}
	a, complete := callEntry(s, target, callTimeout, nil, func(ctx context.Context, e *entryProcess) answer {
		state, err := e.DurableJobState(ctx, j.id, 0)
		return answer{state, err}
	})
	switch {
	case !complete || errors.Is(a.err, entry.ErrUnavailable):
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
		s.Errorf("%s had the final state %s and now has the state %s at e%d", j.id, final, a.state, target)
	}
	s.checkState(j, a.state)
	return a.state
}

// checkState checks an answered state against what ran, and records the first
// final state.
func (s *system) checkState(j *durableJob, state durable.State) {
	switch state {
	case durable.Queued, durable.InProgress:
		return
	case durable.Completed:
		s.checkAllTasksDone(j.job)
	case durable.Failed:
		if most, crashes := s.mostFailed(j); most < maxAttempts && crashes < minCrashes {
			s.Errorf("%s was answered as failed, but no task of it failed more than %d times or lost more than %d runs with their worker", j.id, most, crashes)
		}
	case durable.Cancelled:
		if _, _, cancels, _ := j.snapshot(); !cancels {
			s.Errorf("%s was answered as cancelled, but nobody cancelled it", j.id)
		}
	default:
		s.Errorf("%s has the unknown state %q", j.id, state)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.finalState == "" {
		s.tracef("%s: final state %s", j.id, state)
		j.finalState = state
	}
}

// mostFailed returns the largest numbers of failed runs, and of runs during which
// their worker crashed, that a task of the job has.
func (s *system) mostFailed(j *durableJob) (failed, crashes int) {
	failedRuns, lostRuns := map[int]int{}, map[int]int{}
	for _, r := range s.evidence.Starts() {
		index := r.Run.Task.Index
		switch {
		case r.Run.Task.Job != j.id || r.Ended.IsZero():
		case r.How == "":
			lostRuns[index]++
			crashes = max(crashes, lostRuns[index])
		case r.How == lease.Failed:
			failedRuns[index]++
			failed = max(failed, failedRuns[index])
		}
	}
	return failed, crashes
}

// cancelDurable cancels an accepted job, at the entries in turn, until the
// cancellation is acknowledged. It returns at once.
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
			a, complete := callEntry(s, target, callTimeout, nil, func(ctx context.Context, e *entryProcess) answer {
				found, err := e.CancelDurableJob(ctx, j.id)
				return answer{found, err}
			})
			s.tracef("%s: cancelled at e%d: complete answer %v: %+v", j.id, target, complete, a)
			if complete && a.err == nil {
				if !a.found && !accepted.IsZero() {
					s.Errorf("%s was accepted, but a cancellation at e%d did not find it", j.id, target)
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

// startQueries asks for the states of random jobs every 250 ms until stop is
// called. With pending it also checks the entries' numbers of pending jobs.
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

// checkPending checks that the number of pending jobs at a ready entry is at least
// half of the number of jobs that have been pending for longer than maxPendingAge.
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
	if time.Since(began) == 0 && 2*n < len(pending) { // a call that waited returns the number of a later time
		s.Errorf("%v: e%d knows of %d pending jobs, and these were pending for %v: %v", time.Since(s.began), i, n, maxPendingAge, pending)
	}
}

// workLeft returns how long all workers together need at least for the tasks of
// accepted jobs that have neither ended nor been cancelled.
func (s *system) workLeft() (left time.Duration) {
	done := map[lease.Task]bool{}
	for _, r := range s.evidence.Starts() {
		done[r.Run.Task] = done[r.Run.Task] || r.How == lease.Done
	}
	for _, j := range s.durableJobs() {
		accepted, _, cancels, final := j.snapshot()
		if accepted.IsZero() || cancels || final != "" {
			continue
		}
		atOnce := int64(len(s.workers)) * (workerMilliCPU / j.milliCPU)
		for i := range j.tasks {
			if !done[lease.Task{Job: j.id, Index: i}] {
				left += j.duration / time.Duration(atOnce)
			}
		}
	}
	return left
}

// finishDurable waits until all accepted jobs have ended, at most as
// durableEndsWithin says, and checks the rules of section 14.1.
func (s *system) finishDurable() {
	s.callers.Wait()
	limit := time.Now().Add(max(durableEndsWithin, s.workLeft()+durableEndsWithin/2))
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
		s.Errorf("%s has not ended in time", j.id)
	}
	for _, j := range s.durableJobs() {
		s.checkCancelledDurable(j)
	}
}

// checkCancelledDurable checks that no task of a cancelled job started later than
// lastStartAfterCancel after the acknowledgement.
func (s *system) checkCancelledDurable(j *durableJob) {
	_, cancelled, _, _ := j.snapshot()
	if cancelled.IsZero() {
		return
	}
	for _, r := range s.evidence.Starts() {
		if late := r.At.Sub(cancelled); r.Run.Task.Job == j.id && late > lastStartAfterCancel {
			s.Errorf("%v started %v after the acknowledgement of its cancellation", r.Run, late)
		}
	}
}
