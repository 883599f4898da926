package leasedtest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/lease"
)

const (
	// maxStopDuration is the sum of the notice of a planned stop and the longest
	// deadline.
	maxStopDuration = (2200 + 3600) * ms
	// readinessInterval is how often the load balancer asks the entries whether
	// they are ready. It is shorter than the notice; until the next poll a
	// stopping entry still gets jobs.
	readinessInterval = 2 * time.Second
)

// runBalancedLoad submits jobs until done is closed. It takes the entries in turn
// that were ready at the last poll. The load is half of the capacity of two
// workers.
func (s *system) runBalancedLoad(done <-chan struct{}) {
	var ready []int
	var asked time.Time
	for i := 0; ; i++ {
		if time.Since(asked) >= readinessInterval {
			ready, asked = s.readyEntries(), time.Now()
		}
		if len(ready) > 0 {
			took := []time.Duration{60 * ms, 200 * ms, 900 * ms, 2600 * ms}[i%4]
			s.submit(ready[i/4%len(ready)], job{tasks: 1 + i%3, duration: took, declared: true})
		}
		select {
		case <-done:
			return
		case <-time.After(400 * ms):
		}
	}
}

func (s *system) readyEntries() (ready []int) {
	for i := range s.entries {
		if s.entry(i).Ready() == nil {
			ready = append(ready, i)
		}
	}
	return ready
}

// Guards against a planned stop of an entry or agent that interrupts or loses a job
// of leased tasks, or that takes longer than its notice and the longest deadline.
func TestPlannedStops(t *testing.T) {
	withSystem(t, func(s *system) {
		done := make(chan struct{})
		var load sync.WaitGroup
		load.Go(func() { s.runBalancedLoad(done) })
		time.Sleep(2 * time.Second)
		check := func(name string, took time.Duration) {
			s.tracef("%s stopped within %v", name, took)
			s.Check(took <= maxStopDuration, qt.IsTrue, qt.Commentf("%s took %v", name, took))
			time.Sleep(2*readinessInterval + 300*ms) // so that the next stop begins between two polls
		}
		for range 2 { // each process is stopped while different tasks run
			for i := range s.entries {
				check(fmt.Sprint("e", i), s.plannedStop(s.entry(i).Stop, func() { s.replaceEntry(i, 20*ms) }))
			}
			for i := range s.agents {
				check(fmt.Sprint("a", i), s.plannedStop(s.agent(i).Stop, func() { s.replaceAgent(i, 0) }))
			}
		}
		close(done)
		load.Wait()
		s.callers.Wait()
		for _, j := range s.jobs {
			s.Check(j.outcome, qt.Equals, entry.OutcomeDone, qt.Commentf(j.id))
			s.Check(j.submitted, qt.Equals, 1, qt.Commentf("submissions of %s", j.id))
		}
		for _, r := range s.evidence.Starts() {
			s.Check(r.How, qt.Equals, lease.Done, qt.Commentf("%v", r.Run))
		}
		s.Check(len(s.jobs) > 100, qt.IsTrue, qt.Commentf("%d jobs", len(s.jobs)))
	})
}
