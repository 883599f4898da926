package leasedtest

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// job is a job of leased tasks and what its caller did. By default it has one task
// of 4 cores.
type job struct {
	id       string
	tasks    int
	milliCPU int64
	duration time.Duration
	// declared makes the caller state the duration, as callers on the platform do.
	// Otherwise entries expect the mean of the template, and a worker that happens to
	// get the longest jobs looks slow.
	declared bool
	deadline time.Duration
	fails    bool
	// crashes makes the first task crash its worker crashAfter each start.
	crashes    bool
	crashAfter time.Duration
	// submissions is the most submissions that the caller makes until an answer
	// is final. 0 means maxSubmissions.
	submissions int
	// link is how the caller's messages reach the entries.
	link callerLink
	// sameEntry makes the caller send the job to the same entry again.
	sameEntry bool
	// hasty is the number of connections of the caller that end when the submission has
	// been sent, before it was read. It sends the job again at once.
	hasty int
	// atOnce makes the caller of a durable job send it again at once after each of its
	// first submissions without an answer.
	atOnce bool

	disconnect chan struct{} // a value makes the caller leave its current submission
	ended      chan struct{} // closed when the caller makes no more submissions
	submitted  int           // number of submissions made
	mayHaveRun bool          // at least one submission was not refused as not run
	refusedAt  time.Time     // when the last submission was refused as not run; zero otherwise
	outcome    entry.Outcome
}

// submit sends a job to an entry and returns at once.
func (s *system) submit(target int, j job) *job {
	j.tasks, j.disconnect, j.ended = max(j.tasks, 1), make(chan struct{}, 1), make(chan struct{})
	if j.milliCPU == 0 {
		j.milliCPU = 4000
	}
	if j.deadline == 0 {
		j.deadline = 3600 * ms
	}
	s.register(&j)
	s.callers.Go(func() { defer close(j.ended); s.submitUntilFinal(&j, target) })
	return &j
}

// register gives a job its identifier and adds it to the system's jobs.
func (s *system) register(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.id = fmt.Sprintf("%016x", len(s.jobs)+1)
	s.jobs = append(s.jobs, j)
}

// disconnectCaller makes the job's caller leave its current submission. It sends
// the job again after resendInterval.
func (j *job) disconnectCaller() {
	select {
	case j.disconnect <- struct{}{}:
	default:
	}
}

// submitUntilFinal submits a job to the entries in turn until it has a final
// answer, as section 13.1 prescribes.
func (s *system) submitUntilFinal(j *job, target int) {
	target = s.submitHastily(j, target)
	for range cmp.Or(j.submissions, maxSubmissions) {
		s.tracef("%s: %d tasks of %v to e%d", j.id, j.tasks, j.duration, target)
		j.submitted++
		a, complete := s.submitOnce(j, target)
		s.tracef("%s: complete answer %v: %+v", j.id, complete, a)
		j.mayHaveRun = j.mayHaveRun || !complete || a.Outcome != entry.OutcomeNotRun
		if complete && a.Outcome != entry.OutcomeUnknown {
			j.outcome = a.Outcome
			switch a.Outcome {
			case entry.OutcomeDone:
				s.checkAllTasksDone(j)
			case entry.OutcomeNotRun:
				j.refusedAt = time.Now()
			}
			return
		}
		time.Sleep(resendInterval)
		if !j.sameEntry {
			target = 1 - target
		}
	}
}

// spec returns the specification that the workers receive for each task.
func (j *job) spec() leasestub.Spec {
	return leasestub.Spec{MS: float64(j.duration) / float64(ms), Fail: j.fails, Needs: wire.Resources{MilliCPU: j.milliCPU, MemoryMB: 64},
		Crash: j.crashes, CrashMS: float64(j.crashAfter) / float64(ms)}
}

// submitOnce makes one submission and reports whether a complete answer arrived.
func (s *system) submitOnce(j *job, target int) (entry.Answer, bool) {
	spec := j.spec()
	expected := time.Duration(0)
	if j.declared {
		expected = j.duration
	}
	return callEntryOver(s, j.link, target, j.deadline, j.disconnect, func(ctx context.Context, e *entryProcess) entry.Answer {
		return e.Submit(ctx, entry.Submission{Job: j.id, Template: "step", Count: j.tasks, Needs: spec.Needs,
			Spec: spec.Encode(), Deadline: j.deadline, Expected: expected})
	})
}

// callerLink is how messages travel from a caller to an entry. The zero value means
// without delay.
type callerLink struct {
	requestLate time.Duration // time that a request takes
	endLate     time.Duration // time that the end of a connection takes after a disconnect
	// endLost means that the entry never learns that a caller has stopped waiting at
	// its timeout.
	endLost bool
}

// callEntry is callEntryOver without delays.
func callEntry[T any](s *system, target int, timeout time.Duration, disconnect <-chan struct{}, call func(context.Context, *entryProcess) T) (answer T, complete bool) {
	return callEntryOver(s, callerLink{}, target, timeout, disconnect, call)
}

// callEntryOver makes a call at an entry and reports whether a complete answer arrived.
// The caller disconnects when the timeout has passed, on a value from disconnect,
// and when the entry's process is killed.
func callEntryOver[T any](s *system, link callerLink, target int, timeout time.Duration, disconnect <-chan struct{}, call func(context.Context, *entryProcess) T) (answer T, complete bool) {
	e := s.entry(target)
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan T, 1)
	var arrived atomic.Bool
	var timedOut bool
	s.wg.Go(func() {
		time.Sleep(link.requestLate)
		if _, err := e.waitWhilePaused(); err == nil {
			arrived.Store(true)
			got <- call(ctx, e)
		}
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a := <-got:
		cancel()
		select {
		case <-e.killed: // the process was killed with the answer unsent
			return answer, false
		default:
			return a, true
		}
	case <-e.killed:
	case <-disconnect:
	case <-timer.C:
		timedOut = true
	}
	hasArrived := arrived.Load()
	s.wg.Go(func() {
		if timedOut && link.endLost {
			select { // the entry ends the call by itself
			case <-got:
			case <-e.killed:
			}
		} else {
			time.Sleep(link.endLate)
		}
		e.noticeDisconnect(cancel, hasArrived)
	})
	return answer, false
}

// checkAllTasksDone checks that each task of a job had a run that ended as done.
func (s *system) checkAllTasksDone(j *job) {
	done := map[int]bool{}
	for _, r := range s.evidence.Starts() {
		if r.Run.Task.Job == j.id && r.How == lease.Done {
			done[r.Run.Task.Index] = true
		}
	}
	if len(done) != j.tasks {
		s.Errorf("%s was answered as done, but of its %d tasks only these have a run that ended as done: %v", j.id, j.tasks, done)
	}
}

// finishAndCheck waits until all jobs and faults are over, and brings all data
// centres back into service. It then checks the rules of section 13.1 and that the
// system serves again, and ends the system.
func (s *system) finishAndCheck() {
	s.callers.Wait()
	s.faults.Wait()
	for _, c := range []string{"north", "south", "west"} {
		s.setInService(c, true)
	}
	time.Sleep(6 * time.Second)
	s.checkRules()
	for i := range 2 {
		j := s.submit(i, job{tasks: 3, duration: 100 * ms})
		<-j.ended
		s.Check(j.outcome, qt.Equals, entry.OutcomeDone, qt.Commentf("after the faults, at e%d", i))
	}
	s.killAll()
	if s.Failed() {
		s.Log(s.failureTrace())
	}
}

// checkRules checks the rules of section 13.1 that concern runs: none concurrent,
// none above capacity, none of a refused job, and none at a worker that drains or
// is out of service.
func (s *system) checkRules() {
	for _, f := range s.evidence.Violations() {
		s.Errorf("%s", f)
	}
	s.Check(s.evidence.Running(), qt.Equals, 0)
	s.checkCancellations()
	starts := s.evidence.Starts()
	for _, j := range s.jobs {
		ran := slices.ContainsFunc(starts, func(r leasestub.Start) bool { return r.Run.Task.Job == j.id })
		if ran && !j.mayHaveRun {
			s.Errorf("%s started although every submission was refused", j.id)
		}
		for _, r := range starts {
			if r.Run.Task.Job == j.id && !j.refusedAt.IsZero() && r.At.After(j.refusedAt) {
				s.Errorf("%v started %v after the last submission was refused", r.Run, r.At.Sub(j.refusedAt))
			}
		}
	}
	for _, p := range s.noStartPeriods {
		for _, r := range starts {
			centre := s.workers[r.Worker[1]-'0'].dataCentre
			if (p.worker == r.Worker || p.centre == centre) && r.At.After(p.from) && r.At.Before(p.to) {
				s.Errorf("%v started at %s, which was %s, %v after the last permitted time", r.Run, r.Worker, p.state, r.At.Sub(p.from))
			}
		}
	}
}

// failureTrace returns the trace of events, calls and runs, for a test that failed.
func (s *system) failureTrace() string {
	text := s.trace.String()
	for _, r := range s.evidence.Starts() {
		text += fmt.Sprintf("%v to %v at %s %s: %v\n", r.At.Sub(s.began), r.Ended.Sub(s.began), r.Worker, r.How, r.Run)
	}
	return text
}
