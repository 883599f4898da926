package entry

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against lost, repeated or misordered results without any fault, and
// against a free slot that is not used while tasks wait.
func TestJobIsAnsweredWhole(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		h.agent(1, "anping")
		h.agent(2, "chihkan")
		waitForDiscovery()
		begin := time.Now()
		w := postJob(e, "proof", "render", 64)
		h.checkResults(w, "/render", 64)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 64)
		h.Check(h.upstreams.maxStartsOfOneTask(), qt.Equals, 1)
		// 64 tasks of 100 ms on 16 slots take four rounds, all of them full.
		h.Check(time.Since(begin), qt.Equals, 400*time.Millisecond)

		w = call(e, http.MethodGet, "/v1/jobs/"+w.Header().Get(headerJob), "")
		h.checkResults(w, "/render", 64)
	})
}
