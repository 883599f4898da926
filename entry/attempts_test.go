package entry

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

// Guards against a job that is answered as failed although its template allows its task
// further attempts (review case 10), and against a counter of failed runs that overflows
// and allows attempts without end.
func TestTasksGetAllAttemptsOfTheirTemplate(t *testing.T) {
	failed := script{duration: time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError}}
	for _, tc := range []struct {
		allowed, failures int
		want              Outcome
	}{
		{120, 119, OutcomeDone},
		{120, 1000, OutcomeFailed},
		{300, 299, OutcomeDone},
		{300, 1000, OutcomeFailed},
	} {
		t.Run(fmt.Sprintf("%d allowed, %d fail", tc.allowed, tc.failures), func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.leasedEntry(func(t *config.Template) { t.MaxAttempts = tc.allowed })
				var runs atomic.Int64
				for i := range 2 {
					h.worker(i+1, failed).setScript(func(wire.Task) script {
						if runs.Add(1) <= int64(tc.failures) {
							return failed
						}
						return runsFor(1)
					})
				}
				waitForDiscovery()
				h.Check(h.submit(e, "1f", 1).wait().Outcome, qt.Equals, tc.want)
				h.Check(runs.Load(), qt.Equals, int64(min(tc.allowed, tc.failures+1)))
			})
		})
	}
}
