package leasedtest

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// crashChecks is the number of random schedules with crashing tasks that CI runs.
const crashChecks = "15"

// crashKinds are the kinds of events in schedules with tasks that crash their workers,
// and with capacities that change: these, and all of durableKinds.
var crashKinds = append([]string{
	"crashing", "crashing", "crashing", "crashing durable", "crashing durable", "crashing durable", "resize", "resize",
}, durableKinds...)

// applyCrashEvent executes one event of a schedule with crashing tasks, which crash
// their workers at most the given time after their start.
func (s *system) applyCrashEvent(e event, latest time.Duration) {
	crashing := e.job
	crashing.fails, crashing.crashes, crashing.crashAfter = false, true, e.duration%latest
	switch e.kind {
	case "crashing":
		crashing.submissions = 1 // what an entry does not know of another submission is not a fault
		s.submit(e.entry, crashing)
	case "crashing durable":
		s.submitDurable(e.entry, crashing)
	case "resize":
		s.tracef("%v", e)
		resize := func(milliCPU int64) func() {
			return func() {
				s.workers[e.agent].SetCapacity(wire.Resources{MilliCPU: milliCPU, MemoryMB: 16000})
				s.announce(e.agent)
			}
		}
		s.injectFor(e.duration, resize(10000), resize(16000))
	default:
		s.applyDurableEvent(e)
	}
}

// Guards against combinations of faults under which a task crashes more workers than
// it may, a bystander or an unrelated job is lost, or a start exceeds a capacity that
// shrank.
func TestRandomSchedulesWithCrashingTasks(t *testing.T) {
	checkCrashSchedules(t, lease.SuspicionWindow)
}

// Guards against the same where tasks crash their workers later than suspects are
// looked for, so that other runs begin and end shortly before.
func TestRandomSchedulesWithLateCrashes(t *testing.T) { checkCrashSchedules(t, 150*ms) }

func checkCrashSchedules(t *testing.T, latest time.Duration) {
	fixSchedules(t, crashChecks)
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) event { return drawEvent(r, crashKinds) }), 5, 40).Draw(r, "events")
		f := &failures{}
		synctest.Test(t, func(*testing.T) {
			s := startSystem(qt.New(f), "west")
			stop := s.startQueries(false)
			for _, e := range events {
				time.Sleep(e.after)
				s.applyCrashEvent(e, latest)
			}
			s.callers.Wait()
			s.faults.Wait()
			time.Sleep(4 * rebootAfter)
			s.finishDurable()
			stop()
			s.finishAndCheck()
		})
		if f.Failed() {
			r.Fatalf("%s", f.text)
		}
	})
}
