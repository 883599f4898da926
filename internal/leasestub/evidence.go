package leasestub

import (
	"fmt"
	"sync"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// Start is the record of one run that a worker started.
type Start struct {
	Run    lease.Run
	Worker string
	At     time.Time
	Ended  time.Time // zero while the run is active
	// How is how the run ended. It is empty while the run is active, and when it
	// ended with the worker's life.
	How lease.EndReason
	// Acknowledged is when the end was acknowledged to the worker; zero before.
	// Lapsed means that the worker's lease expired between the two.
	Acknowledged time.Time
	Lapsed       bool
	// Crashed means that the run crashed its worker.
	Crashed bool

	beganEvent, endedEvent int  // positions among all starts and ends, from 1; endedEvent is 0 while it runs
	needless               bool // reported as a needless start
}

// Evidence is the record of what really ran at one or several workers. It is safe
// for concurrent use.
type Evidence struct {
	mu         sync.Mutex
	starts     []*Start
	violations []string
	events     int            // number of starts and ends so far
	maxFailed  map[string]int // limit of failed runs, by durable job
}

// NewEvidence returns an empty record.
func NewEvidence() *Evidence { return &Evidence{maxFailed: map[string]int{}} }

// MarkDurable marks a job as durable, so that Faults reports the needless starts of
// its tasks. A start is needless if a run of the task ended as done before it, or
// maxFailed runs ended as failed. Only ends count that are acknowledged to the
// worker, before the start or after it, without an expiry of the worker's lease
// between the end and its acknowledgement.
func (e *Evidence) MarkDurable(job string, maxFailed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxFailed[job] = maxFailed
}

// recordStart records a start. It checks it against the other runs of the task and
// against the worker's capacity; used includes the needs of the new run.
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

// recordEnd records the end of a run; how is empty if the worker's life ended.
func (e *Evidence) recordEnd(s *Start, how lease.EndReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events++
	s.Ended, s.How, s.endedEvent = time.Now(), how, e.events
}

// maxStartsAfterCrashes is how often a task may start after maxCrashes workers have
// crashed under it.
const (
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
)

// recordCrash records that a run crashed its worker. It reports the run if its task
// had been started more often than permitted after earlier crashes.
func (e *Evidence) recordCrash(s *Start) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Crashed = true
	crashes, later := 0, 0
	for _, o := range e.starts {
		switch {
		case o.Run.Task != s.Run.Task:
		case crashes >= maxCrashes:
			later++
		case o.Crashed:
			crashes++
		}
	}
	if later > maxStartsAfterCrashes {
		e.violations = append(e.violations, fmt.Sprintf("crashes: %v at %s is start %d after %d workers crashed under the task", s.Run, s.Worker, later, crashes))
	}
}

// recordAck records that the end of a run was acknowledged to its worker, and
// whether the worker's lease has expired since the end.
func (e *Evidence) recordAck(s *Start, lapsed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Acknowledged, s.Lapsed = time.Now(), lapsed
	e.checkStarts(s.Run.Task)
}

// checkStarts reports the needless starts of a durable job's task, each once.
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

// endsBefore counts the acknowledged ends, without an expiry, of the task's runs
// that ended before a start.
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

// Starts returns a copy of all starts in the order in which they happened.
func (e *Evidence) Starts() []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Start, len(e.starts))
	for i, s := range e.starts {
		out[i] = *s
	}
	return out
}

// Count returns the number of starts of each task that was started.
func (e *Evidence) Count() map[lease.Task]int {
	counts := map[lease.Task]int{}
	for _, s := range e.Starts() {
		counts[s.Run.Task]++
	}
	return counts
}

// Running returns the number of runs that have not ended, at all workers.
func (e *Evidence) Running() int {
	n := 0
	for _, s := range e.Starts() {
		if s.Ended.IsZero() {
			n++
		}
	}
	return n
}

// Violations returns descriptions of the violations found: each start of a task while
// another run of it was active, each start that took a worker above its capacity,
// each run that crashed one more worker than permitted, and each needless start of a task of the jobs given to Durable.
func (e *Evidence) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...)
}
