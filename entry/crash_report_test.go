package entry

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// Guards against a job that is given up for crashes which did not happen: its agents have
// taken them back since, because their workers have answered.
func TestRefutedCrashesDoNotCount(t *testing.T) {
	lost := script{duration: 400 * time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeInterrupted, Reason: wire.ReasonWorkerLost, Crash: wire.CrashSuspect}}
	for refuted, want := range map[bool]Outcome{true: OutcomeDone, false: OutcomeFailed} {
		t.Run(fmt.Sprint(refuted), func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.leasedEntry(nil)
				var runs atomic.Int64
				for i := range 3 {
					a := h.worker(i+1, lost)
					a.setScript(func(wire.Task) script {
						if runs.Add(1) <= 2 {
							return lost
						}
						return runsFor(100)
					})
					a.mu.Lock()
					a.refutesCrashes = refuted
					a.mu.Unlock()
				}
				waitForDiscovery()
				h.Check(h.submit(e, "1f", 1).wait().Outcome, qt.Equals, want)
				h.Check(h.upstreams.totalStarts(), qt.Equals, map[bool]int{true: 3, false: 2}[refuted])
			})
		})
	}
}

// Guards against crashes at another entry that count for the next submission here although
// they were taken back.
func TestRefutedCrashesElsewhereDoNotCount(t *testing.T) {
	for role, want := range map[wire.CrashRole]Outcome{wire.CrashNone: OutcomeDone, wire.CrashUnconfirmed: OutcomeFailed} {
		inBubble(t, func(h *harness) {
			e := h.leasedEntry(nil)
			a := h.worker(1, script{duration: 10 * time.Millisecond, result: &wire.Result{
				Outcome: wire.OutcomeInterrupted, Reason: wire.ReasonWorkerLost, Crash: wire.CrashUnconfirmed}})
			h.worker(2, runsFor(100))
			report := func(role wire.CrashRole) {
				a.mu.Lock()
				a.suspects = nil
				for i := range 3 {
					a.suspects = append(a.suspects, wire.CrashReport{Entry: 1, Key: wire.TaskKey{Sequence: uint64(i)}, Account: "portal", Job: "1f", Role: role})
				}
				a.mu.Unlock()
				time.Sleep(500 * time.Millisecond)
			}
			waitForDiscovery()
			report(wire.CrashUnconfirmed)
			report(role)
			h.Check(h.submit(e, "1f", 1).wait().Outcome, qt.Equals, want, qt.Commentf("%v", role))
		})
	}
}
