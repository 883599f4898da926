package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that keeps getting tasks although every run on it
// stalls, against concurrent runs of a restarted task, and against entries in
// dispatcher.restarts that are kept after their runs have ended.
func TestStallingWorkerIsEjected(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		stalling := h.worker(1, runsFor(60_000))
		stalling.mu.Lock()
		stalling.reportsStalled = true
		stalling.mu.Unlock()
		for i := range 3 {
			h.worker(i+2, runsFor(200))
		}
		waitForDiscovery()
		for i := range 20 {
			h.Check(h.submit(e, fmt.Sprint("j", i), 1).wait().Outcome, qt.Equals, OutcomeDone)
		}
		e.dispatcher.postAndWait(func(d *dispatcher) {
			h.Check(d.agents[stalling.ref.ID].ejected, qt.IsTrue)
			h.Check(d.restarts, qt.HasLen, 0)
		})
		h.Check(h.upstreams.totalStarts() <= 20+6, qt.IsTrue, qt.Commentf("%d starts", h.upstreams.totalStarts()))
		h.Check(h.upstreams.maxConcurrent, qt.Equals, 1)
		time.Sleep(time.Second)
		h.checkNoStateLeft(e)
	})
}
