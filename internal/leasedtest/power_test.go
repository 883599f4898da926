package leasedtest

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/entry"
)

const (
	// outage is how long all machines are down. It exceeds the 10 s after which
	// the registrations of entries have expired.
	outage = 15 * time.Second
	// returnJitter bounds the random part of the time at which each process and
	// worker returns.
	returnJitter = 2 * time.Second
	// resumeWithin is the time after the return within which the first job has
	// to be completed.
	resumeWithin = 12 * time.Second
	// Limits of the store's load, in calls a second.
	maxWrites, maxReads = 400, 2000
)

// losePower kills all entries, agents and workers at the same moment. They return
// after the outage and a random part of returnJitter, entries and agents later by
// the given times.
func (s *system) losePower(entries, agents time.Duration) {
	began := time.Now()
	after := func(later time.Duration) time.Duration { return outage + later + rand.N(returnJitter) }
	for i := range s.workers {
		s.restartWorker(i, after(0))
		s.net.Reset(agentHost(i))
	}
	for i := range s.entries {
		s.replaceEntry(i, after(entries))
	}
	for i := range s.agents {
		s.replaceAgent(i, after(agents))
	}
	s.Check(time.Since(began), qt.Equals, time.Duration(0))
}

// storeLoad watches the store for the duration d and returns the highest numbers of
// writes and reads that it received within one second.
func (s *system) storeLoad(d time.Duration) (writes, reads int) {
	const step = 50 * ms
	var w, r []int
	for range d/step + 1 {
		nw, nr := 0, 0
		for kind, n := range s.store.Calls() {
			if kind.Write() {
				nw += n
			} else {
				nr += n
			}
		}
		w, r = append(w, nw), append(r, nr)
		first := max(0, len(w)-1-int(time.Second/step))
		writes, reads = max(writes, nw-w[first]), max(reads, nr-r[first])
		time.Sleep(step)
	}
	return writes, reads
}

// Guards against a system that does not serve again, or that overloads the store,
// after all machines except the store lost power at the same moment.
func TestLossOfPower(t *testing.T) {
	accepted := func(s *system) {
		s.submit(0, job{tasks: 3, duration: 900 * ms, submissions: 30})
		time.Sleep(4 * ms)
	}
	for _, tc := range []struct {
		name            string
		before          func(s *system)
		entries, agents time.Duration // delay of their return
	}{
		{name: "idle", before: func(*system) {}},
		{name: "job accepted", before: accepted},
		{name: "configuration changed", before: func(s *system) { s.setInService("north", false) }},
		{name: "agents return first", before: accepted, entries: resumeWithin + returnJitter},
		{name: "entries return first", before: accepted, agents: resumeWithin + returnJitter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				tc.before(s)
				s.seeds = nil // as deployed: processes find the entries through the store
				s.losePower(tc.entries, tc.agents)
				time.Sleep(outage)
				returned, later := time.Now(), max(tc.entries, tc.agents)
				s.faults.Go(func() {
					writes, reads := s.storeLoad(later + resumeWithin)
					s.tracef("store: at most %d writes and %d reads a second", writes, reads)
					s.Check(writes < maxWrites && reads < maxReads, qt.IsTrue, qt.Commentf("%d writes, %d reads", writes, reads))
				})
				for i, done := 0, false; !done && time.Since(returned) < later+2*resumeWithin; i++ {
					j := s.submit(i%2, job{tasks: 2, duration: 200 * ms, submissions: 1})
					<-j.ended
					if done = j.outcome == entry.OutcomeDone; !done {
						time.Sleep(resendInterval)
					}
				}
				took := time.Since(returned) - later
				s.tracef("served %v after the return", took)
				s.Check(took <= resumeWithin, qt.IsTrue, qt.Commentf("served after %v", took))
			})
		})
	}
}
