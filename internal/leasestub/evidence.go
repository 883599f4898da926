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
	How lease.How
}

// Evidence holds what really ran at one or several workers. It is safe for
// concurrent use.
type Evidence struct {
	mu     sync.Mutex
	starts []*Start
	faults []string
}

// NewEvidence returns empty evidence.
func NewEvidence() *Evidence { return &Evidence{} }

// begin records a start and checks it against the other runs and the worker's
// capacity, of which used includes the new run.
func (e *Evidence) begin(s Start, used, capacity wire.Resources) *Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.starts {
		if o.Run.Task == s.Run.Task && o.Ended.IsZero() {
			e.faults = append(e.faults, fmt.Sprintf("overlap: %v at %s while %v runs at %s", s.Run, s.Worker, o.Run, o.Worker))
		}
	}
	if !used.Fits(capacity) {
		e.faults = append(e.faults, fmt.Sprintf("over capacity: %v at %s uses %+v of %+v", s.Run, s.Worker, used, capacity))
	}
	e.starts = append(e.starts, &s)
	return &s
}

func (e *Evidence) end(s *Start, how lease.How) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Ended, s.How = time.Now(), how
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
// was up, and each start that took a worker above its capacity.
func (e *Evidence) Faults() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.faults...)
}
