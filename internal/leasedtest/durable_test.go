package leasedtest

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
)

// runDurable runs a test while states and numbers of pending jobs are asked for.
func runDurable(t *testing.T, test func(s *system)) {
	t.Helper()
	run(t, func(s *system) {
		stop := s.watch()
		test(s)
		s.finishDurable()
		stop()
	})
}

// loadDurable submits durable jobs at random entries. Every fifth is sent again
// while its caller waits, every sixth after it was accepted, every seventh is
// cancelled, and the tasks of every eighth fail.
func (s *system) loadDurable(n int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range n {
		j := s.submitDurable(random.IntN(2), job{tasks: 1 + i%3, took: []time.Duration{60 * ms, 200 * ms, 900 * ms}[i%3], fails: i%8 == 7})
		if i%5 == 4 {
			j.leave()
		}
		if i%6 == 5 {
			s.resubmit(j, random.IntN(2))
		}
		time.Sleep(time.Duration(random.IntN(320)) * ms)
		if i%7 == 6 {
			s.cancelDurable(j, random.IntN(2))
		}
	}
}

// Guards against durable jobs that are lost, run twice or answered wrongly
// without any fault, and against a wrong number of pending jobs under overload.
func TestDurableJobs(t *testing.T) {
	runDurable(t, func(s *system) {
		s.loadDurable(40, 1)
		for i := range 60 { // five times what the workers hold
			s.submitDurable(i%2, job{took: time.Second})
		}
		s.finishDurable()
		for _, j := range s.durableJobs() {
			accepted, _, cancels, final := j.know()
			s.Check(accepted.IsZero(), qt.IsFalse, qt.Commentf(j.id))
			if !cancels && !j.fails {
				s.Check(final, qt.Equals, durable.Completed, qt.Commentf(j.id))
			}
		}
	})
}
