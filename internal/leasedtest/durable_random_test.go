package leasedtest

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// durableChecks is the number of random schedules with durable jobs that CI runs.
const durableChecks = "15"

// durableKinds are the kinds of events in schedules with durable jobs: calls and
// faults that concern durable jobs, and all faults of eventKinds. A kind that is
// listed more often is drawn more often.
var durableKinds = append([]string{
	"durable", "durable", "durable", "durable", "durable", "durable", "durable", "durable", "durable", "durable", "durable", "durable burst",
	"submit", "leave durable", "leave durable", "resubmit", "resubmit", "cancel", "cancel", "lose power",
	"store answers lost", "store answers lost", "store writes late", "store writes late", "store down",
	"kill entry", "kill entry", "pause entry", "kill agent", "kill agent", "store cut", "store silent",
}, faultKinds()...)

// faultKinds returns each kind of fault in eventKinds once.
func faultKinds() (out []string) {
	seen := map[string]bool{"submit": true, "burst": true, "leave": true}
	for _, k := range eventKinds {
		if !seen[k] {
			seen[k] = true
			out = append(out, k)
		}
	}
	return out
}

// applyDurableEvent executes one event of a schedule with durable jobs.
func (s *system) applyDurableEvent(e event) {
	all := s.durableJobs()
	recent := func() *durableJob { return all[max(0, len(all)-1-e.agent)] }
	some := len(all) > 0
	switch e.kind {
	case "durable":
		s.submitDurable(e.entry, e.job)
	case "durable burst":
		for range 15 {
			s.submitDurable(e.entry, e.job)
		}
	case "leave durable":
		if some {
			recent().disconnectCaller()
		}
	case "resubmit":
		if some {
			s.resubmit(recent(), e.entry)
		}
	case "cancel":
		if some {
			s.cancelDurable(recent(), e.entry)
		}
	case "lose power":
		s.tracef("%v", e)
		s.losePower(0, 0)
	case "store answers lost":
		s.tracef("%v", e)
		s.store.LoseAnswers(e.job.tasks)
	case "store writes late":
		s.tracef("%v", e)
		s.store.HoldWrites(e.job.tasks, 2*e.duration)
	default:
		s.applyEvent(e)
	}
}

// Guards against combinations of faults that lose a durable job, run a finished
// task of it again or cause a wrong answer about it.
func TestDurableRandomSchedules(t *testing.T) { checkDurableSchedules(t, false) }

// Guards against combinations of faults that make an entry's number of pending jobs
// too low.
func TestPendingInDurableRandomSchedules(t *testing.T) { checkDurableSchedules(t, true) }

// checkDurableSchedules runs random schedules and checks them. With pending it also
// checks the numbers of pending jobs.
func checkDurableSchedules(t *testing.T, pending bool) {
	fixSchedules(t, durableChecks)
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) event { return drawEvent(r, durableKinds) }), 5, 40).Draw(r, "events")
		f := &failures{}
		synctest.Test(t, func(*testing.T) {
			s := startSystem(qt.New(f), "west")
			stop := s.startQueries(pending)
			for _, e := range events {
				time.Sleep(e.after)
				s.applyDurableEvent(e)
			}
			s.faults.Wait()
			s.finishDurable()
			stop()
			s.finishAndCheck()
		})
		if f.Failed() {
			r.Fatalf("%s", f.text)
		}
	})
}
