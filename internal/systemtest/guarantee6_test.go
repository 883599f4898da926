package systemtest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a second run of a job that is not idempotent and was submitted
// twice with the same Idempotency-Key: at both entries at once, after the first
// entry was killed, and during faults of the store.
func TestSameKeyRunsAtMostOnce(t *testing.T) {
	for _, tc := range []struct {
		name          string
		before        func(s *system) // before both submissions
		between       func(s *system) // between them
		secondOutcome string          // outcome that the second caller gets; empty: any
	}{
		{"at once", nil, nil, "done"},
		{"while it runs", nil, func(*system) { time.Sleep(serviceTime / 2) }, "done"},
		{"after the answer", nil, func(*system) { time.Sleep(2 * time.Second) }, "done"},
		{"after the entry died", nil, func(s *system) { time.Sleep(serviceTime / 2); s.entries[0].kill() }, "unknown"},
		{"long after the entry died", nil, func(s *system) {
			time.Sleep(serviceTime / 2)
			s.entries[0].kill()
			time.Sleep(time.Minute)
		}, "unknown"},
		{"after the entry was replaced", nil, func(s *system) { time.Sleep(serviceTime / 2); s.restartEntry(0); time.Sleep(time.Second) }, "unknown"},
		{"entries cut from each other", func(s *system) { s.net.Partition(entryHost(0), entryHost(1)) }, nil, ""},
		{"store down for the second", nil, func(s *system) { time.Sleep(serviceTime / 2); s.setStoreDown(true) }, "not_run"},
		{"store down for the first", func(s *system) { s.setStoreDown(true) }, func(s *system) { time.Sleep(5 * time.Second); s.setStoreDown(false) }, "done"},
		{"store slow", func(s *system) { s.store.SetLatency(400 * time.Millisecond) }, nil, ""},
		{"store slower than its callers wait", func(s *system) { s.store.SetLatency(4 * time.Second) }, func(s *system) {
			time.Sleep(6 * time.Second)
			s.store.SetLatency(0)
		}, ""},
		{"answer to the claim lost", func(s *system) { s.store.LoseAnswers(1) }, nil, "done"},
		{"three answers lost", func(s *system) { s.store.LoseAnswers(3) }, nil, ""},
		{"write held up", func(s *system) { s.store.HoldWrites(1, 2*time.Second) }, func(*system) { time.Sleep(time.Second) }, ""},
		{"stale reads", func(s *system) { s.store.SetStale(true) }, nil, ""},
		{"entry paused", nil, func(s *system) {
			s.entries[0].pause()
			s.background.Go(func() { time.Sleep(8 * time.Second); s.entries[0].resume() })
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			withSystem(t, layout{}, func(s *system) {
				s.setDelay(messageDelay)
				if tc.before != nil {
					tc.before(s)
				}
				j := job{idempotencyKey: "order-7", keyPrefix: "order", tasks: 3, serviceTime: serviceTime}
				s.submit(0, j)
				if tc.between != nil {
					tc.between(s)
				}
				second := s.submit(1, j)
				if tc.secondOutcome == "" {
					<-second.done
				} else {
					s.expectOutcome(second, tc.secondOutcome)
				}
				time.Sleep(10 * time.Second)
				s.store.SetStale(false)
				s.store.SetLatency(0)
				s.setStoreDown(false)
				time.Sleep(3 * time.Second)
				third := s.submit(1, j)
				<-third.done
				s.Check(third.err, qt.IsNil)
				other := j
				other.tasks = 4
				other.keyPrefix = "other"
				s.expectOutcome(s.submit(1, other), "not_run") // another body under the same key
			})
		})
	}
}
