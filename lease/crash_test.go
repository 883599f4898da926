package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// Guards against a crash that is blamed on runs that the worker had carried out for
// some time, or on none.
func TestLostRunsSayHowLongTheWorkerSurvivedThem(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	r := NewRunTable(Options{Token: 1, Lease: 450 * time.Millisecond, Validity: 300 * time.Millisecond})
	start := func(index int, answered bool) {
		o, err := r.Start(now, Task{Job: "j", Index: index}, "")
		c.Assert(err, qt.IsNil)
		if answered {
			r.StartAnswered(now, o, Answer{Clock: time.Second})
		}
	}
	start(0, true)
	now = now.Add(200 * time.Millisecond)
	start(1, true)
	start(2, false)
	now = now.Add(100 * time.Millisecond) // the crash is noticed
	survived := map[int]time.Duration{}
	for _, lost := range r.LifeEnded(true) {
		c.Check(lost.Outcome, qt.Equals, OutcomeLost)
		survived[lost.Run.Task.Index] = lost.Survived
	}
	c.Assert(survived, qt.DeepEquals, map[int]time.Duration{0: 200 * time.Millisecond, 1: 0, 2: 0})
}

// Guards against a crash that is blamed on bystanders, on nobody although a run is
// on probation, or on any run after an announced end.
func TestSuspectsOfACrash(t *testing.T) {
	const none, by, sus, unc = wire.CrashNone, wire.CrashBystander, wire.CrashSuspect, wire.CrashUnconfirmed
	old, recent := time.Second, SuspicionWindow-time.Millisecond
	for _, tc := range []struct {
		name      string
		survived  []time.Duration // by run; negative: the start was not answered
		probation int             // index of the run on probation; -1 for none
		crashed   bool
		want      []wire.CrashRole
	}{
		{"recent runs", []time.Duration{old, recent, -1}, -1, true, []wire.CrashRole{by, sus, unc}},
		{"old runs only", []time.Duration{old, 2 * old}, -1, true, []wire.CrashRole{by, by}},
		{"recent run on probation", []time.Duration{old, recent, recent}, 1, true, []wire.CrashRole{by, sus, by}},
		{"run on probation that is not known to have begun", []time.Duration{old, -1, recent}, 1, true, []wire.CrashRole{by, unc, by}},
		{"old run on probation beside a recent one", []time.Duration{old, recent}, 0, true, []wire.CrashRole{by, sus}},
		{"old run on probation", []time.Duration{old, old}, 0, true, []wire.CrashRole{sus, by}},
		{"announced end", []time.Duration{recent, -1}, 0, false, []wire.CrashRole{none, none}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			end := time.Unix(100, 0)
			r := NewRunTable(Options{Token: 1, Lease: time.Second, Validity: time.Second})
			for i, survived := range tc.survived {
				began := end.Add(-max(survived, 0))
				o, err := r.Start(began, Task{Job: "j", Index: i}, "")
				c.Assert(err, qt.IsNil)
				if survived >= 0 {
					r.StartAnswered(began, o, Answer{Clock: 1})
				}
				if i == tc.probation {
					r.MarkProbation(o.Run)
				}
			}
			r.StopAnswered(end, StopOrder{}, Answer{Clock: 2}) // the newest answer
			got := make([]wire.CrashRole, len(tc.want))
			for _, lost := range r.LifeEnded(tc.crashed) {
				got[lost.Run.Task.Index] = lost.Crash
			}
			c.Assert(got, qt.DeepEquals, tc.want)
		})
	}
}

// Guards against a run that is cleared of a crash because the next life, which has the
// same identifier, has answered an order before it listed its runs.
func TestAnswerOfTheNextLifeClearsNoRun(t *testing.T) {
	table := ordered()
	table.answerStart("")
	table.pass(5 * ms) // the worker crashes
	table.ConnectionRefused()
	table.pass(200 * ms)
	table.StopAnswered(table.now, StopOrder{}, Answer{Clock: 100 * ms})
	_, lost := table.LifeReplaced(true, 8)
	qt.Assert(t, lost, qt.DeepEquals, []RemovedRun{{Run: run1, Outcome: OutcomeLost, Proof: ProofLifeOver, Crash: wire.CrashSuspect}})
}
