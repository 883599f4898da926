package leasestub

import (
	"fmt"
	"sync"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// Start is one run that a worker carried out.
type Start struct {
	Run    lease.Run
	Worker string
	At     time.Time
	Ended  time.Time // zero while it runs
	// How it ended; empty while it runs, and when the worker's life ended.
	How lease.EndReason
	// Acknowledged is when its end was acknowledged to the worker; zero before.
	// Lapsed means that the worker's lease ended in between.
	Acknowledged time.Time
	Lapsed       bool

	beganEvent, endedEvent int  // order among all starts and ends; 0 while it runs
	needless               bool // a fault was recorded for its start
}

// Evidence holds what really ran at one or several workers. It is safe for
// concurrent use.
type Evidence struct {
	mu         sync.Mutex
	starts     []*Start
	violations []string
	events     int            // starts and ends so far
	maxFailed  map[string]int // by durable job
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence { return &Evidence{maxFailed: map[string]int{}} }

// Durable makes Faults describe each start of a task of the job after a run of
// the task ended done, or after the number of its runs ended failed, where these
// ends were acknowledged then or later without the worker's lease having ended
// in between.
func (e *Evidence) Durable(job string, maxFailed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxFailed[job] = maxFailed
}

// recordStart records a start and checks it against the other runs and the worker's
// capacity, of which used includes the new run.
func (e *Evidence) recordStart(s Start, used, capacity wire.Resources) *Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.starts {
		if o.Run.Task == s.Run.Task && o.Ended.IsZero() {
			e.violations = append(e.violations, fmt.Sprintf("overlap: %v at %s while %v runs at %s", s.Run, s.Worker, o.Run, o.Worker))
		}
	}
	if !used.Fits(capacity) {
		e.violations = append(e.violations, fmt.Sprintf("over capacity: %v at %s uses %+v of %+v", s.Run, s.Worker, used, capacity))
	}
	e.events++
	s.beganEvent = e.events
	e.starts = append(e.starts, &s)
	e.checkStarts(s.Run.Task)
	return &s
}

func (e *Evidence) recordEnd(s *Start, how lease.EndReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events++
	s.Ended, s.How, s.endedEvent = time.Now(), how, e.events
}

// recordAck records that the end of a run was acknowledged to its worker.
func (e *Evidence) recordAck(s *Start, lapsed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Acknowledged, s.Lapsed = time.Now(), lapsed
	e.checkStarts(s.Run.Task)
}

// checkStarts records the needless starts of a durable job's task that were not
// recorded before.
func (e *Evidence) checkStarts(t lease.Task) {
	maxFailed, durable := e.maxFailed[t.Job]
	if !durable {
		return
	}
	for _, s := range e.starts {
		if s.Run.Task != t || s.needless {
			continue
		}
		done, failed := e.endsBefore(s)
		if s.needless = done > 0 || failed >= maxFailed; s.needless {
			e.violations = append(e.violations, fmt.Sprintf("needless: %v at %s after %d done and %d failed ends", s.Run, s.Worker, done, failed))
		}
	}
}

// endsBefore counts the acknowledged ends of the task's runs before a start.
func (e *Evidence) endsBefore(s *Start) (done, failed int) {
	for _, o := range e.starts {
		if o.Run.Task != s.Run.Task || o.endedEvent == 0 || o.endedEvent > s.beganEvent || o.Acknowledged.IsZero() || o.Lapsed {
			continue
		}
		switch o.How {
		case lease.Done:
			done++
		case lease.Failed:
			failed++
		}
	}
	return done, failed
}

// Starts returns a copy of all starts in their order.
func (e *Evidence) Starts() []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Start, len(e.starts))
	for i, s := range e.starts {
		out[i] = *s
	}
	return out
}

// Count returns the number of starts of each task.
func (e *Evidence) Count() map[lease.Task]int {
	counts := map[lease.Task]int{}
	for _, s := range e.Starts() {
		counts[s.Run.Task]++
	}
	return counts
}

// Running returns the number of runs that have not ended.
func (e *Evidence) Running() int {
	n := 0
	for _, s := range e.Starts() {
		if s.Ended.IsZero() {
			n++
		}
	}
	return n
}

// Faults describes each start of a task that had another run on a worker that
// was up, each start that took a worker above its capacity, and the needless
// starts of the jobs given to Durable.
func (e *Evidence) Faults() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...)
}
