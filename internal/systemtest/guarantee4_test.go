package systemtest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against results that are exchanged between jobs, cut short or lost
// when many jobs with random service times run at once and answers are late.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	run(t, layout{slots: 16}, func(s *system) {
		s.delay(messageDelay)
		for i := range 60 {
			s.submit(i%2, job{tasks: 1 + i%7, service: time.Duration(1+i*37%400) * time.Millisecond, bytes: i * 100})
			if i%20 == 10 {
				s.net.Freeze(entryHost(i%2), agentHost(i/20)) // answers arrive by reconciliation
			}
			time.Sleep(20 * time.Millisecond)
		}
		for _, sub := range s.submissions {
			s.expect(sub, "done")
		}
	})
}

// Guards against an answer that is cut off, or that holds up others, when it
// is large and its caller reads slowly.
func TestLargeResultsAndSlowReaders(t *testing.T) {
	run(t, layout{slots: 64}, func(s *system) {
		large := s.submit(0, job{tasks: 1500, bytes: 40_000})
		slow := s.submit(0, job{tasks: 100, bytes: 40_000, slowRead: true})
		time.Sleep(500 * time.Millisecond)
		small := s.submit(0, job{})
		s.expect(small, "done")
		s.Check(small.ended.Sub(small.sent) < 10*time.Second, qt.IsTrue)
		s.expect(large, "done")
		s.expect(slow, "done")
	})
}
