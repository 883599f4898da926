package upstreamstub

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Start is one task that reached an upstream.
type Start struct {
	Task       string        // header Chicorytray-Task; empty when absent
	Attempt    string        // header Chicorytray-Attempt
	Key        string        // chosen by the caller in the task's body
	Upstream   string        // Options.Name
	DataCentre string        // Options.DataCentre
	At         time.Time     // arrival of the request
	Began      time.Time     // time at which the task took a slot; zero while it waits
	Ended      time.Time     // zero while the task waits or runs
	Service    time.Duration // service time, without a slowdown by a fault
	Completed  bool          // whether the whole answer was written
}

// Record holds the starts at one or more upstreams. It is safe for concurrent
// use.
type Record struct {
	mu      sync.Mutex
	starts  []*Start
	waiting map[int][]chan struct{} // by number of starts; see ReachedAfter
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{} }

func (r *Record) add(s Start) *Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, &s)
	for _, reached := range r.waiting[len(r.starts)] {
		close(reached)
	}
	delete(r.waiting, len(r.starts))
	return &s
}

// ReachedAfter returns a channel that is closed when n more starts have arrived. n
// is at least 1.
func (r *Record) ReachedAfter(n int) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = map[int][]chan struct{}{}
	}
	reached, at := make(chan struct{}), len(r.starts)+n
	r.waiting[at] = append(r.waiting[at], reached)
	return reached
}

func (r *Record) update(s *Start, change func(*Start)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(s)
}

// Starts returns a copy of all starts in the order of arrival.
func (r *Record) Starts() []Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Start, len(r.starts))
	for i, s := range r.starts {
		out[i] = *s
	}
	return out
}

// Count returns the number of starts of each task, by Chicorytray-Task.
func (r *Record) Count() map[string]int {
	counts := map[string]int{}
	for _, s := range r.Starts() {
		counts[s.Task]++
	}
	return counts
}

// Duplicates returns the tasks that started more than once, sorted. Attempts
// with different numbers are not duplicates: an idempotent task may have
// several. Tasks are compared by Chicorytray-Task and by the caller's key.
func (r *Record) Duplicates() []string {
	seen := map[string]int{}
	for _, s := range r.Starts() {
		if s.Task != "" {
			seen["task "+s.Task+" attempt "+s.Attempt]++
		}
		if s.Key != "" {
			seen["key "+s.Key+" attempt "+s.Attempt]++
		}
	}
	var out []string
	for name, n := range seen {
		if n > 1 {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
