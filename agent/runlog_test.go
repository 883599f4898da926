package agent

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
)

// Guards against a run that was taken to be over, or had to end, without a line that
// says why for its job and task, and against lines about ordinary runs.
func TestExceptionalEndsOfRunsAreLogged(t *testing.T) {
	for _, tc := range []struct {
		name   string
		happen func(r *leasedRig, e *entryStub)
		want   []string
	}{
		{"done", func(*leasedRig, *entryStub) { time.Sleep(5 * time.Second) }, nil},
		{"cancelled", func(_ *leasedRig, e *entryStub) { e.cancelTask() }, []string{`"reason":"cancelled"`, "run_stop_ordered"}},
		{"lease expired", func(r *leasedRig, _ *entryStub) {
			r.machine.SetFaults(leasestub.Silent())
			time.Sleep(3 * time.Second) // the lease certainly expires meanwhile
			r.machine.SetFaults(leasestub.Faults{})
		}, []string{`"proof":"lease_expired"`, `"outcome":"lapsed"`, "run_removed"}},
		{"worker restarted", func(r *leasedRig, _ *entryStub) {
			r.machine.Crash()
			r.machine.Boot()
		}, []string{`"proof":"life_over"`, `"outcome":"lost"`, `"life_ended_by":"another_life_answered"`, "run_removed"}},
		{"worker crashed", func(r *leasedRig, _ *entryStub) { r.machine.Crash() },
			[]string{`"proof":"life_over"`, `"outcome":"lost"`, `"life_ended_by":"connection_refused"`, "run_removed"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
				var log bytes.Buffer
				r.agent.runLog = r.agent.runLog.Output(&log)
				done := e.runLeased("j", 4, 2*time.Second)
				time.Sleep(300 * time.Millisecond)
				tc.happen(r, e)
				<-done
				r.Assert(strings.Count(log.String(), "\n"), qt.Equals, min(1, len(tc.want)), qt.Commentf(log.String()))
				if len(tc.want) > 0 {
					tc.want = append(tc.want, `"caller_job":"j","step":0,"task":0,"run":1,"worker":"m1"`, fmt.Sprintf(`"entry":%q`, e.ref.ID), "ordered_ms_ago")
				}
				for _, w := range tc.want {
					r.Check(log.String(), qt.Contains, w)
				}
			})
		})
	}
}

// Guards against a burst of faults that floods the log, and against dropped lines and
// proofs that no metric counts.
func TestLinesAboutRunsAreBounded(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, _ *entryStub) {
		var log bytes.Buffer
		r.agent.runLog = r.agent.runLog.Output(&log)
		r.agent.mu.Lock()
		for i := range uint64(1000) {
			run := lease.Run{Task: lease.Task{Job: "j"}, Number: i}
			r.agent.leased.notifyRemoved(r.agent.leased.life, []lease.RemovedRun{{Run: run, Outcome: lease.OutcomeLost, Proof: lease.ProofLifeOver}})
		}
		r.agent.mu.Unlock()
		r.Check(strings.Count(log.String(), "run_removed"), qt.Equals, maxRunLines)
		r.Check(r.counter("run_lines_dropped"), qt.Equals, int64(1000-maxRunLines))
		removed := r.metrics.Snapshot().Counters()["runs_removed+proof="+string(lease.ProofLifeOver)]
		r.Assert(removed, qt.IsNotNil)
		r.Check(removed.Value(), qt.Equals, int64(1000))
	})
}
