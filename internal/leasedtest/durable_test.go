package leasedtest

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
)

// runDurable runs a test of durable jobs while their states are asked for. With
// pending it also checks the numbers of pending jobs.
func runDurable(t *testing.T, pending bool, test func(s *system)) {
	t.Helper()
	withSystem(t, func(s *system) {
		stop := s.startQueries(pending)
		test(s)
		s.finishDurable()
		stop()
	})
}

// loadDurable submits n durable jobs to random entries. The caller of every fifth
// disconnects and sends it again, every sixth is sent again after it was accepted,
// every seventh is cancelled, and the tasks of every eighth fail.
func (s *system) loadDurable(n int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range n {
		j := s.submitDurable(random.IntN(2), job{tasks: 1 + i%3, duration: []time.Duration{60 * ms, 200 * ms, 900 * ms}[i%3], fails: i%8 == 7})
		if i%5 == 4 {
			j.disconnectCaller()
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

// Guards against durable jobs that are lost, run twice or answered wrongly, without
// any fault.
func TestDurableJobs(t *testing.T) { checkDurableJobs(t, false) }

// Guards against a number of pending jobs that is too low under overload.
func TestPendingInDurableJobs(t *testing.T) { checkDurableJobs(t, true) }

func checkDurableJobs(t *testing.T, pending bool) {
	runDurable(t, pending, func(s *system) {
		s.loadDurable(40, 1)
		for i := range 60 { // five times what the workers have room for
			s.submitDurable(i%2, job{duration: time.Second})
		}
		s.finishDurable()
		for _, j := range s.durableJobs() {
			accepted, _, cancels, final := j.snapshot()
			s.Check(accepted.IsZero(), qt.IsFalse, qt.Commentf(j.id))
			if !cancels && !j.fails {
				s.Check(final, qt.Equals, durable.Completed, qt.Commentf(j.id))
			}
		}
	})
}

// Guards against single faults that lose a durable job, run a finished task of it
// again or cause a wrong answer about it.
func TestDurableSingleFaults(t *testing.T) { checkDurableFaults(t, false, durableFaults()) }

// Guards against the same for faults of a worker's process.
func TestDurableSingleFaultsOfLives(t *testing.T) { checkDurableFaults(t, false, lifeFaults()) }

// Guards against single faults that make an entry's number of pending jobs too low.
func TestPendingInDurableSingleFaults(t *testing.T) { checkDurableFaults(t, true, durableFaults()) }

func durableFaults() []singleFault {
	return []singleFault{
		{"owner killed", func(s *system) { s.replaceEntry(0, time.Second) }},
		{"owner killed and not replaced", func(s *system) { s.replaceEntry(0, 2*time.Minute) }},
		{"owner cut off from the store", func(s *system) {
			s.injectFor(6*time.Second, func() { s.net.Cut(entryHost(0), storeHost) }, func() { s.net.Heal(entryHost(0), storeHost) })
		}},
		{"owner paused past its validity", func(s *system) { s.pauseEntry(0, 5*time.Second) }},
		{"agent killed before an end is stored", func(s *system) {
			for range 5 { // ends are written to the store within 200 ms
				s.store.SetDown(true)
				time.Sleep(250 * ms)
				s.replaceAgent(0, 0)
				s.store.SetDown(false)
				time.Sleep(2 * time.Second)
			}
		}},
		{"agent cut off from the owner", func(s *system) { s.cutOff(0, 3*time.Second, 0) }},
		{"all killed at once", func(s *system) { s.losePower(0, 0) }},
		{"store down", func(s *system) {
			s.injectFor(5*time.Second, func() { s.store.SetDown(true) }, func() { s.store.SetDown(false) })
		}},
		{"store answers lost", func(s *system) { s.store.LoseAnswers(20) }},
		{"late effects", func(s *system) { s.store.HoldWrites(10, 2*time.Second) }},
		{"late effects after the validity", func(s *system) { s.store.HoldWrites(10, 4*time.Second) }},
		{"worker restarted", func(s *system) { s.restartWorker(0, 0) }},
	}
}

func checkDurableFaults(t *testing.T, pending bool, faults []singleFault) {
	t.Helper()
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			runDurable(t, pending, func(s *system) {
				s.loadDurable(10, 2)
				s.tracef("%s", tc.name)
				tc.fault(s)
				s.loadDurable(40, 3)
			})
		})
	}
}
