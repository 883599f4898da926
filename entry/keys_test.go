package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// twoEntries starts two entries that share one agent.
func (h *harness) twoEntries() (e1, e2 *Entry, a *fakeAgent) {
	e1, e2 = h.entry(1, "anping", nil), h.entry(2, "chihkan", nil)
	a = h.agent(1, "anping", "10.0.1.1:7000", "10.0.1.2:7000")
	waitForDiscovery()
	return e1, e2, a
}

// Guards against a submission with an idempotency key that runs twice, or gets
// different answers, when it arrives at two entries while the store is faulty.
func TestSameKeyAtTwoEntries(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(h *harness)
	}{
		{"store in order", func(*harness) {}},
		{"answers of writes lost", func(h *harness) { h.store.LoseAnswers(2) }},
		{"write carried out late", func(h *harness) { h.store.HoldWrites(1, 300*time.Millisecond) }},
		{"store slow", func(h *harness) { h.store.SetLatency(50 * time.Millisecond) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e1, e2, _ := h.twoEntries()
				tc.fault(h)
				got := make(chan *httptest.ResponseRecorder, 4)
				for _, e := range []*Entry{e1, e2, e1, e2} {
					go func() { got <- postJob(e, "proof", "render", 10, headerIdempotencyKey, "order-1") }()
				}
				jobs := map[string]bool{}
				for range 4 {
					w := <-got
					if w.Code != http.StatusOK { // a claim of unknown outcome must not start tasks
						h.checkProblem(w, OutcomeNotRun)
						continue
					}
					h.checkResults(w, "/render", 10)
					jobs[w.Header().Get(headerJob)] = true
				}
				h.Check(len(jobs) <= 1, qt.IsTrue, qt.Commentf("%v", jobs))
				time.Sleep(5 * time.Second)
				w := postJob(e2, "proof", "render", 10, headerIdempotencyKey, "order-1")
				h.checkResults(w, "/render", 10)
				h.Check(h.upstreams.totalStarts(), qt.Equals, 10)
			})
		})
	}
}

// Guards against answering a different request under the same idempotency key
// with the results of the first one.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	inBubble(t, func(h *harness) {
		e1, e2, _ := h.twoEntries()
		h.checkResults(postJob(e1, "proof", "render", 2, headerIdempotencyKey, "k"), "/render", 2)
		w := postJob(e2, "proof", "render", 3, headerIdempotencyKey, "k")
		h.Check(w.Code, qt.Equals, http.StatusUnprocessableEntity)
		h.checkProblem(w, OutcomeNotRun)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 2)
	})
}

// Guards against running a submission with an idempotency key without a claim
// in the store, and against a store outage that stops submissions without a
// key.
func TestKeysDuringAStoreOutage(t *testing.T) {
	inBubble(t, func(h *harness) {
		e1, _, _ := h.twoEntries()
		h.store.SetDown(true)
		w := postJob(e1, "proof", "render", 2, headerIdempotencyKey, "k")
		h.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
		h.Check(w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		h.checkProblem(w, OutcomeNotRun)
		h.checkResults(postJob(e1, "proof", "render", 2), "/render", 2)
		h.store.SetDown(false)
		h.checkResults(postJob(e1, "proof", "render", 2, headerIdempotencyKey, "k"), "/render", 2)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 4)
	})
}

// Guards against a repetition that runs again, or waits without limit, when the
// entry that ran the first submission has ended.
func TestOwnerOfAKeyIsGone(t *testing.T) {
	inBubble(t, func(h *harness) {
		e1, e2, a := h.twoEntries()
		a.setScript(sameScript(script{duration: 3 * time.Second}))
		first := make(chan *httptest.ResponseRecorder, 1)
		go func() { first <- postJob(e1, "proof", "render", 2, headerIdempotencyKey, "k") }()
		time.Sleep(time.Second)
		h.cleanups[0]() // ends e1 at once
		h.net.Reset("10.0.1.1")
		<-first
		begin := time.Now()
		w := postJob(e2, "proof", "render", 2, headerIdempotencyKey, "k")
		h.checkProblem(w, OutcomeUnknown)
		h.Check(time.Since(begin) < 5*time.Second, qt.IsTrue)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 2)
	})
}

// Guards against a refused submission whose idempotency key cannot be used again.
func TestRefusedSubmissionFreesItsKey(t *testing.T) {
	inBubble(t, func(h *harness) {
		e1 := h.entry(1, "anping", nil)
		time.Sleep(time.Second)
		w := postJob(e1, "proof", "render", 2, headerIdempotencyKey, "k") // no agent yet
		h.checkProblem(w, OutcomeNotRun)
		h.agent(1, "anping")
		waitForDiscovery()
		h.checkResults(postJob(e1, "proof", "render", 2, headerIdempotencyKey, "k"), "/render", 2)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 2)
	})
}

// Guards against a job that can be read or cancelled only at its own entry, and
// against one that another account can read or cancel.
func TestJobAtAnotherEntry(t *testing.T) {
	inBubble(t, func(h *harness) {
		e1, e2, a := h.twoEntries()
		w := postJob(e1, "proof", "render", 2)
		path := "/v1/jobs/" + w.Header().Get(headerJob)
		h.checkResults(call(e2, http.MethodGet, path, ""), "/render", 2)
		h.Check(call(e2, http.MethodGet, path, "", "Authorization", "Bearer other-token").Code, qt.Equals, http.StatusNotFound)

		a.setScript(sameScript(script{duration: 5 * time.Second}))
		running := make(chan *httptest.ResponseRecorder, 1)
		go func() { running <- postJob(e1, "proof", "render", 2) }()
		time.Sleep(time.Second)
		path = "/v1/jobs/" + lastJobID(e1)
		h.Check(call(e2, http.MethodGet, path, "").Code, qt.Equals, http.StatusAccepted)
		h.Check(call(e2, http.MethodDelete, path, "", "Authorization", "Bearer other-token").Code, qt.Equals, http.StatusNotFound)
		h.Check(call(e2, http.MethodDelete, path, "").Code, qt.Equals, http.StatusOK)
		h.checkProblem(<-running, OutcomeFailed)
		h.Check(call(e2, http.MethodGet, "/v1/jobs/nonsense", "").Code, qt.Equals, http.StatusNotFound)
	})
}
