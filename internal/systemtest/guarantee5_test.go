package systemtest

import (
	"context"
	"testing"
	"time"

	"chicorytray.example/chicorytray/settings"
)

// Guards against the answer "not run" for a job of which a task started, also when
// the request for the task arrives after the answer. checkGuarantees counts the
// starts after each case.
func TestRefusalIsTrue(t *testing.T) {
	for _, tc := range []struct {
		name    string
		layout  layout
		outcome string
		test    func(s *system) *submission
	}{
		{"no agent", layout{agents: []string{}}, "not_run", func(s *system) *submission {
			return s.submit(0, job{deadline: time.Second})
		}},
		{"all data centres out of service", layout{}, "not_run", func(s *system) *submission {
			for _, dc := range []string{recife, fortaleza, salvador} {
				s.setInService(dc, false)
			}
			time.Sleep(2 * time.Second)
			return s.submit(0, job{deadline: time.Second})
		}},
		{"deadline passes in the queue", layout{entries: []string{recife}, agents: []string{recife}, slots: 1}, "not_run",
			func(s *system) *submission {
				s.submit(0, job{serviceTime: 5 * time.Second})
				time.Sleep(serviceTime)
				return s.submit(0, job{tasks: 3, deadline: 2 * time.Second})
			}},
		{"entry stopping", layout{entry: func(e *settings.Entry) { e.Timing.StopNotice = 0 }}, "not_run",
			func(s *system) *submission {
				s.submit(0, job{serviceTime: 3 * time.Second})
				time.Sleep(serviceTime)
				s.background.Go(func() { _ = s.entries[0].Stop(context.Background()) })
				time.Sleep(time.Second)
				return s.submit(0, job{})
			}},
		{"requests held up past the deadline", layout{entries: []string{recife}, agents: []string{recife}}, "unknown",
			func(s *system) *submission {
				s.net.Drop(entryHost(0), agentHost(0))
				sub := s.submit(0, job{tasks: 2, deadline: time.Second})
				<-sub.done
				s.net.Heal(entryHost(0), agentHost(0))
				return sub
			}},
		{"agent lost with tasks", layout{entries: []string{recife}, agents: []string{recife}}, "unknown",
			func(s *system) *submission {
				sub := s.submit(0, job{tasks: 3, serviceTime: time.Second})
				time.Sleep(serviceTime)
				s.agents[0].kill()
				return sub
			}},
		{"store out, keyed", layout{}, "not_run", func(s *system) *submission {
			s.setStoreDown(true)
			return s.submit(0, job{idempotencyKey: "k", tasks: 2})
		}},
		{"answer to the claim late", layout{}, "not_run", func(s *system) *submission {
			s.store.SetLatency(5 * time.Second)
			return s.submit(0, job{idempotencyKey: "k", tasks: 2})
		}},
		{"cut off with all agents", layout{entries: []string{recife}}, "not_run", func(s *system) *submission {
			forEachAgent(s, s.net.Cut)
			time.Sleep(3 * time.Second)
			return s.submit(0, job{tasks: 4, deadline: 3 * time.Second})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			withSystem(t, tc.layout, func(s *system) { s.expectOutcome(tc.test(s), tc.outcome) })
		})
	}
}
