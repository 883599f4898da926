package systemtest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against results that are mixed up between jobs, truncated or lost when many
// jobs with different service times run at once and some answers are late.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	withSystem(t, layout{slots: 16}, func(s *system) {
		s.setDelay(messageDelay)
		for i := range 60 {
			s.submit(i%2, job{tasks: 1 + i%7, serviceTime: time.Duration(1+i*37%400) * time.Millisecond, resultBytes: i * 100})
			if i%20 == 10 {
				s.net.Freeze(entryHost(i%2), agentHost(i/20)) // results arrive through reconciliation
			}
			time.Sleep(20 * time.Millisecond)
		}
		for _, sub := range s.submissions {
			s.expectOutcome(sub, "done")
		}
	})
}

// Guards against a large answer that is truncated, or that delays other answers,
// when its caller reads slowly.
func TestLargeResultsAndSlowReaders(t *testing.T) {
	withSystem(t, layout{slots: 64}, func(s *system) {
		large := s.submit(0, job{tasks: 1500, resultBytes: 40_000})
		slow := s.submit(0, job{tasks: 100, resultBytes: 40_000, slowRead: true})
		time.Sleep(500 * time.Millisecond)
		small := s.submit(0, job{})
		s.expectOutcome(small, "done")
		s.Check(small.endedAt.Sub(small.sentAt) < 10*time.Second, qt.IsTrue)
		s.expectOutcome(large, "done")
		s.expectOutcome(slow, "done")
	})
}
