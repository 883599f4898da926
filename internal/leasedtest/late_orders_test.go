package leasedtest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/leasestub"
)

// Guards against a start that the worker leaves unanswered and carries out seconds
// later, after which the job misses its objective although workers are free.
func TestOneUnansweredStartKeepsTheObjective(t *testing.T) {
	checkOneUnansweredOrder(t, "start", leasestub.Faults{Start: leasestub.Fault{Late: 3 * time.Second}})
}

// Guards against a renewal that the worker leaves unanswered, after which the agent
// learns of the end of a run so late that the job misses its objective.
func TestOneUnansweredRenewalKeepsTheObjective(t *testing.T) {
	checkOneUnansweredOrder(t, "renew", leasestub.Faults{Renew: leasestub.Fault{Late: 3 * time.Second}})
}

// checkOneUnansweredOrder checks that a job is answered within its objective although
// the faults are in force until the worker has received one order of the kind. The
// objective is that of the users' shortest jobs: slack_factor 1.6 times tasks of 60 ms,
// and target_ms 60.
func checkOneUnansweredOrder(t *testing.T, kind string, f leasestub.Faults) {
	t.Helper()
	const duration = 60 * ms
	const objective = duration*16/10 + 60*ms
	withSystem(t, func(s *system) {
		for range 10 { // shows the agents how fast their workers answer
			<-s.submit(0, job{tasks: 3, duration: duration}).ended
		}
		began := time.Now()
		j := s.submitUntilOneOrder(kind, f, job{duration: duration})
		<-j.ended
		took := time.Since(began)
		s.Check(j.outcome, qt.Equals, entry.OutcomeDone)
		s.Check(took <= objective, qt.IsTrue, qt.Commentf("took %v, objective %v", took, objective))
	})
}

// submitUntilOneOrder submits a job to the first entry while the faults are in force at
// all workers. It returns, without faults, when the worker at which a run was ordered
// has received one order of the kind since.
func (s *system) submitUntilOneOrder(kind string, f leasestub.Faults, in job) *job {
	starts, orders := make([]int, len(s.workers)), make([]int, len(s.workers))
	for i, w := range s.workers {
		w.SetFaults(f)
		starts[i], orders[i] = w.Orders("start"), w.Orders(kind)
	}
	j := s.submit(0, in)
	received := func() bool {
		for i, w := range s.workers {
			if w.Orders("start") > starts[i] && w.Orders(kind) > orders[i] {
				return true
			}
		}
		return false
	}
	for !received() {
		time.Sleep(ms / 4)
	}
	for _, w := range s.workers {
		w.SetFaults(leasestub.Faults{})
	}
	return j
}
