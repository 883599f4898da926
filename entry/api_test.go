package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

// Guards against refusals with a wrong status, outcome or reason, and against a
// refused submission that starts a task.
func TestRefusals(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", func(o *Options) { o.Settings.Limits.MaxBodyBytes = 200 << 10 })
		h.agent(1, "anping")
		time.Sleep(5 * time.Second)
		for _, tc := range []struct {
			name, method, path, body string
			header                   []string
			status                   int
			reason                   wire.Reason
		}{
			{"no token", "POST", "/v1/jobs", `{"template":"proof"}`, []string{"Authorization", ""}, 401, reasonTokenRejected},
			{"wrong token", "POST", "/v1/jobs", `{"template":"proof"}`, []string{"Authorization", "Bearer x"}, 401, reasonTokenRejected},
			{"another account's template", "POST", "/v1/jobs", `{"template":"proof"}`, []string{"Authorization", "Bearer other-token"}, 404, reasonTemplateNotFound},
			{"template of another kind", "POST", "/v1/jobs", `{"template":"page"}`, nil, 404, reasonTemplateNotFound},
			{"unknown template", "GET", "/v1/requests/nothing", ``, nil, 404, reasonTemplateNotFound},
			{"not JSON", "POST", "/v1/jobs", `{`, nil, 400, reasonInvalid},
			{"unknown field", "POST", "/v1/jobs", `{"template":"proof","task":[]}`, nil, 400, reasonInvalid},
			{"unknown task", "POST", "/v1/jobs", `{"template":"proof","tasks":[{"name":"x"}]}`, nil, 400, reasonInvalid},
			{"negative deadline", "POST", "/v1/jobs", `{"template":"proof","deadline_ms":-1}`, nil, 400, reasonInvalid},
			{"too many tasks", "POST", "/v1/jobs", jobBody("proof", "render", 1501), nil, 413, reasonTooLarge},
			{"body too large", "POST", "/v1/jobs", strings.Repeat(" ", 200<<10) + `{"template":"proof"}`, nil, 413, reasonTooLarge},
			{"no agent is large enough", "POST", "/v1/jobs", `{"template":"huge"}`, nil, 422, reasonCanNeverRun},
			{"key too long", "POST", "/v1/jobs", `{"template":"proof"}`, []string{headerIdempotencyKey, strings.Repeat("k", 256)}, 400, reasonInvalid},
			{"unknown path", "POST", "/v2/jobs", ``, nil, 404, reasonInvalid},
			{"wrong method", "PUT", "/v1/jobs", ``, nil, 405, reasonInvalid},
		} {
			w := call(e, tc.method, tc.path, tc.body, tc.header...)
			h.Check(w.Code, qt.Equals, tc.status, qt.Commentf("%s: %s", tc.name, w.Body))
			p := h.checkProblem(w, OutcomeNotRun)
			h.Check(p.Reason, qt.Equals, tc.reason, qt.Commentf("%s: %s", tc.name, w.Body))
			h.Check(strings.Contains(w.Body.String(), "Bearer"), qt.IsFalse)
		}
		h.Check(h.upstreams.totalStarts(), qt.Equals, 0)
	})
}

// Guards against a forwarded request that reaches the upstream changed or with
// the caller's token, and against a changed response.
func TestForwardedRequest(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		var got wire.Task
		h.agent(1, "anping").setScript(func(t wire.Task) script {
			got = t
			return script{duration: time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeDone, Response: wire.Response{
				Status: 302, Body: []byte("moved"), Header: []wire.Header{{Name: "Location", Value: "/x"}, {Name: "Set-Cookie", Value: "a"},
					{Name: "Set-Cookie", Value: "b"}, {Name: "Connection", Value: "close"}, {Name: "Content-Length", Value: "99"}}}}}
		})
		waitForDiscovery()
		w := call(e, "PATCH", "/v1/requests/page/a%2Fb/c?q=1&q=2", "body", "X-One", "1", headerRequestID, "abc",
			"Connection", "X-Drop", "X-Drop", "1")
		h.Check(w.Code, qt.Equals, 302)
		h.Check(w.Body.String(), qt.Equals, "moved")
		h.Check(w.Header()["Set-Cookie"], qt.DeepEquals, []string{"a", "b"})
		h.Check(w.Header()["Connection"], qt.HasLen, 0)
		h.Check(w.Header()["Content-Length"], qt.DeepEquals, []string{"5"})
		h.Check(w.Header().Get(headerRequestID), qt.Equals, "abc")
		h.Check(got.AnyStatus, qt.IsTrue)
		h.Check(got.Request.Method+" "+got.Request.Path, qt.Equals, "PATCH /a%2Fb/c?q=1&q=2")
		h.Check(string(got.Request.Body), qt.Equals, "body")
		sent := http.Header{}
		for _, f := range got.Request.Header {
			sent.Add(f.Name, f.Value)
		}
		h.Check(sent, qt.DeepEquals, http.Header{"X-One": {"1"}, headerRequestID: {"abc"}})
	})
}

// Guards against an incomplete answer to a job whose results together exceed
// the limit.
func TestAnswerTooLarge(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", func(o *Options) { o.Settings.Limits.MaxAnswerBytes = 1000 })
		h.agent(1, "anping").setScript(sameScript(script{duration: time.Millisecond, result: &wire.Result{
			Outcome: wire.OutcomeDone, Response: wire.Response{Status: 200, Body: make([]byte, 300)}}}))
		waitForDiscovery()
		p := h.checkProblem(postJob(e, "proof", "render", 4), OutcomeFailed)
		h.Check(p.Reason, qt.Equals, reasonAnswerTooLarge)
	})
}

// Guards against answers without Content-Length over a real HTTP connection, and
// against accepting request headers above the limit.
func TestHTTPServer(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		h.agent(1, "anping")
		waitForDiscovery()
		client := &http.Client{Transport: &http.Transport{DialContext: h.dialHTTP, DisableKeepAlives: true}}
		do := func(header string) (status int, length int64, body string) {
			r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.CallerAddress+"/v1/jobs", strings.NewReader(`{"template":"proof"}`))
			h.Assert(err, qt.IsNil)
			r.Header.Set("Authorization", "Bearer "+testToken)
			r.Header.Set("X-Large", header)
			resp, err := client.Do(r)
			h.Assert(err, qt.IsNil)
			defer func() { _ = resp.Body.Close() }()
			raw, err := io.ReadAll(resp.Body)
			h.Assert(err, qt.IsNil)
			return resp.StatusCode, resp.ContentLength, string(raw)
		}
		status, length, body := do("x")
		h.Check(status, qt.Equals, http.StatusOK)
		h.Check(length, qt.Equals, int64(len(body)))
		status, _, _ = do(strings.Repeat("x", 80<<10))
		h.Check(status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		time.Sleep(time.Second) // the server closes its connection 500 ms after this answer
	})
}

// Guards against a change in the structure of the state dump that breaks tools
// which read it.
func TestStateShape(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		h.entry(2, "chihkan", nil)
		h.agent(1, "anping").setScript(sameScript(script{duration: time.Second}))
		waitForDiscovery()
		done := make(chan *httptest.ResponseRecorder, 1)
		go func() { done <- postJob(e, "proof", "render", 12) }()
		time.Sleep(100 * time.Millisecond)
		raw, err := json.Marshal(e.State())
		h.Assert(err, qt.IsNil)
		var got map[string]any
		h.Assert(json.Unmarshal(raw, &got), qt.IsNil)
		h.Check(sortedKeys(got), qt.Equals, "accounts agents configuration entry jobs messages peers queue")
		h.Check(got["configuration"].(map[string]any)["basis"], qt.Equals, "own")
		j := got["jobs"].([]any)[0].(map[string]any)
		h.Check(j["sent"], qt.Equals, 10.0-2) // the scripted agent refused two for lack of slots
		h.Check(j["waiting"], qt.Equals, 4.0)
		h.Check(strings.Contains(string(raw), testToken), qt.IsFalse)
		<-done
	})
}

// Guards against running more tasks of an account at a time than its limit.
func TestAccountLimit(t *testing.T) {
	inBubble(t, func(h *harness) {
		h.storeConfig(2, func(d *config.Document) { d.Accounts[0].MaxRunningTasks = 4 })
		e := h.entry(1, "anping", nil)
		h.agent(1, "anping")
		waitForDiscovery()
		begin := time.Now()
		h.checkResults(postJob(e, "proof", "render", 16), "/render", 16)
		h.Check(time.Since(begin) >= 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
	})
}

// Guards against an account that can use its full limit at each entry, instead of
// sharing it between them.
func TestAccountLimitIsSharedByEntries(t *testing.T) {
	inBubble(t, func(h *harness) {
		h.storeConfig(2, func(d *config.Document) { d.Accounts[0].MaxRunningTasks = 6 })
		e1, e2, _ := h.twoEntries()
		time.Sleep(3 * time.Second)
		got := make(chan *httptest.ResponseRecorder, 2)
		for _, e := range []*Entry{e1, e2} {
			go func() { got <- postJob(e, "proof", "render", 60) }()
		}
		h.checkResults(<-got, "/render", 60)
		h.checkResults(<-got, "/render", 60)
		h.Check(h.upstreams.maxRunning <= 6, qt.IsTrue, qt.Commentf("%d ran at a time", h.upstreams.maxRunning))
	})
}

// Guards against an entry that has waiting tasks but sends none to an agent
// that offers free slots.
func TestOffer(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		a := h.agent(1, "anping")
		waitForDiscovery()
		offer := func() (used bool) {
			a.mu.Lock()
			req := wire.OfferRequest{Agent: a.ref.ID, Incarnation: a.ref.Incarnation, Load: a.load}
			a.mu.Unlock()
			var reply wire.OfferReply
			h.Assert(e.rpcOffer(h.Context(), &req, &reply), qt.IsNil)
			return reply.Used
		}
		h.Check(offer(), qt.IsFalse) // no task waits
		// Another entry's tasks fill the agent.
		a.mu.Lock()
		a.changeRunning(8)
		a.load.Queued = 2
		a.mu.Unlock()
		time.Sleep(time.Second)
		done := make(chan *httptest.ResponseRecorder, 1)
		go func() { done <- postJob(e, "proof", "render", 1) }()
		time.Sleep(20 * time.Millisecond)
		a.mu.Lock()
		a.changeRunning(-8)
		a.load.Queued = 0
		a.mu.Unlock()
		begin := time.Now()
		h.Check(offer(), qt.IsTrue)
		h.checkResults(<-done, "/render", 1)
		h.Check(time.Since(begin), qt.Equals, 100*time.Millisecond)
	})
}

// FuzzDecodeJob guards against panics, wrong refusals, and accepted jobs that
// are invalid or that cannot be decoded again after encoding.
func FuzzDecodeJob(f *testing.F) {
	for _, seed := range []string{
		`{"template":"proof"}`, `{"template":"proof","tasks":[{"name":"render","body":"x","header":{"A":"b"}}],"deadline_ms":5}`,
		`{"template":"proof"}{}`, `{"template":1}`, `{"Template":"proof"}`, `{"template":"p","tasks":[{"name":"a","body":"","body_base64":""}]}`,
		`{"template":"p","deadline_ms":1e99}`, `[]`, `null`, ``, "\x00", `{"template":"p","tasks":null}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := decodeJob(body)
		if err != nil {
			p := asProblem(err)
			if p.Outcome != OutcomeNotRun || p.Status != http.StatusBadRequest {
				t.Fatalf("refused as %v", p)
			}
			return
		}
		if req.Template == "" || req.DeadlineMS < 0 || req.ExpectedMS < 0 {
			t.Fatalf("accepted %+v", req)
		}
		again, err := json.Marshal(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeJob(again); err != nil {
			t.Fatalf("%s: %v", again, err)
		}
	})
}

// Guards against a deadline so large that it overflows, so that the job ends at
// once or never.
func TestLargeDeadlineIsLimited(t *testing.T) {
	c := qt.New(t)
	s := &submission{template: &config.Template{DeadlineMS: 10000}}
	for ms, want := range map[int64]time.Duration{0: 10 * time.Second, 500: 500 * time.Millisecond, 1 << 62: 10 * time.Second} {
		s.request.DeadlineMS = ms
		c.Check(effectiveDeadline(s, time.Minute), qt.Equals, want)
	}
}
