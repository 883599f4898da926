package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

// Guards against a field that is silently ignored so that other work runs,
// against refusals with a wrong status or without a useful detail, and against
// an embedding program whose CallerHandler is not served.
func TestLeasedSubmissionsOverHTTP(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		h.worker(1, runsFor(200))
		time.Sleep(agentAbsenceGrace) // from now on jobs without a usable agent are refused
		for _, tc := range []struct {
			name, body string
			status     int
			detail     string
		}{
			{"whole", `{"template":"step","job":"1f","count":3,"needs":{"milli_cpu":2500,"memory_mb":64},"spec":"s","expected_ms":90}`, 200, ""},
			{"no identifier, needs of the template", `{"template":"step","count":1}`, 200, ""},
			{"no count", `{"template":"step"}`, 400, "no tasks"},
			{"too many", `{"template":"step","count":1501}`, 413, "1501 tasks"},
			{"tasks", `{"template":"step","count":1,"tasks":[{"name":"a"}]}`, 400, "give count"},
			{"identifier with a space", `{"template":"step","count":1,"job":"a b"}`, 400, "printable"},
			{"no processors", `{"template":"step","count":1,"needs":{"memory_mb":64}}`, 400, "milli_cpu"},
			{"negative memory", `{"template":"step","count":1,"needs":{"milli_cpu":1,"memory_mb":-1}}`, 400, "negative"},
			{"more processors than can be added up", `{"template":"step","count":3,"needs":{"milli_cpu":9223372036854775807}}`, 400, "needs"},
			{"more memory than can be added up", `{"template":"step","count":3,"needs":{"milli_cpu":1,"memory_mb":9223372036854775807}}`, 400, "needs"},
			{"more accelerators than can be added up", `{"template":"step","count":3,"needs":{"milli_cpu":1,"accelerators":9223372036854775807}}`, 400, "needs"},
			{"never fits", `{"template":"step","count":1,"needs":{"milli_cpu":32001}}`, 422, "can never run"},
			{"leased fields of another kind", `{"template":"proof","count":2}`, 400, "only for templates of kind leased"},
			{"identifier of other work", `{"template":"step","job":"1f","count":4}`, 422, "other work"},
			{"wrong type", `{"template":"step","count":"4"}`, 400, "not a job"},
		} {
			w := call(e, http.MethodPost, "/v1/jobs", tc.body)
			h.Check(w.Code, qt.Equals, tc.status, qt.Commentf("%s: %s", tc.name, w.Body))
			if tc.status != http.StatusOK {
				h.Check(h.checkProblem(w, OutcomeNotRun).Detail, qt.Contains, tc.detail)
				continue
			}
			again := call(e, http.MethodGet, "/v1/jobs/"+w.Header().Get(headerJob), "")
			h.Check(again.Body.String(), qt.Equals, w.Body.String())
		}
		h.Check(call(e, http.MethodPost, "/v1/jobs", `{"template":"step","count":1}`, headerIdempotencyKey, "k").Code, qt.Equals, http.StatusBadRequest)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 4)
		h.Check(h.submitAsync(e, Submission{Job: "1f", Template: "proof", Count: 1}).wait().Reason, qt.Equals, reasonTemplateNotFound)
		e.options.CallerHandler = http.NewServeMux()
		h.Check(e.callerServer().Handler, qt.Equals, e.options.CallerHandler)
		generation, raw := e.ConfigDocument()
		doc, err := config.Parse(raw)
		h.Check(err == nil && doc.Generation == generation && doc.Equal(e.Configuration().Document()), qt.IsTrue)
	})
}

// Guards against refusing jobs while agents are absent only briefly, against
// the outcome "not run" for a job of which a task has started, and against
// "failed" for a job of which no task failed: a job that has started goes on to
// its deadline.
func TestLeasedJobIsGivenUpInTime(t *testing.T) {
	const giveUp = 2800 * time.Millisecond // 3 x 900 ms + 100 ms, for 2 waves
	for _, tc := range []struct {
		name   string
		set    func(a *fakeAgent)
		took   time.Duration // until the answer
		want   Outcome
		starts int
	}{
		{"agent away for a moment", func(a *fakeAgent) { a.die(); time.AfterFunc(1500*time.Millisecond, a.start) }, 0, OutcomeDone, 4},
		{"agent away for long", func(a *fakeAgent) { a.die() }, giveUp, OutcomeNotRun, 0},
		{"agent gone", func(a *fakeAgent) { a.die(); time.Sleep(8 * time.Second) }, 0, OutcomeNotRun, 0},
		{"runs longer than it is worth", func(a *fakeAgent) { a.setScript(sameScript(runsFor(9000))) }, 9 * time.Second, OutcomeDone, 4},
		{"runs past its deadline", func(a *fakeAgent) { a.setScript(sameScript(runsFor(12000))) }, 10 * time.Second, OutcomeUnknown, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.leasedEntry(func(t *config.Template) { t.SlackFactor, t.TargetMS = 1, 500 })
				a := h.worker(1, runsFor(200))
				time.Sleep(6 * time.Second) // longer than agentAbsenceGrace after the start
				tc.set(a)
				time.Sleep(500 * time.Millisecond)
				begin := time.Now()
				got := h.submit(e, "1f", 4).wait()
				took := time.Since(begin)
				h.Check(got.Outcome, qt.Equals, tc.want, qt.Commentf("%+v", got))
				h.Check(got.RetryAfter > 0, qt.Equals, tc.want == OutcomeNotRun)
				h.Check(tc.took == 0 || took == tc.took, qt.IsTrue, qt.Commentf("took %v", took))
				time.Sleep(10 * time.Millisecond)
				running, _ := h.upstreams.runningAndStarts("")
				h.Check(h.upstreams.totalStarts()+running, qt.Equals, tc.starts)
			})
		})
	}
}

// Guards against accepting a job that cannot end in time, which wastes
// processor time, and against refusing a job because of the load of another
// pool.
func TestLeasedAdmission(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(func(t *config.Template) { t.SlackFactor, t.TargetMS = 1, 200 }) // 3 x 1,000 ms + 100 ms
		h.worker(1, runsFor(200))
		httpAgent := newFakeAgent(h.net, h.upstreams, 9, "anping", "10.0.1.1:7000")
		httpAgent.heartbeatInterval = 150 * time.Millisecond
		httpAgent.start()
		h.cleanups = append(h.cleanups, httpAgent.wait)
		waitForDiscovery()
		var all []*pendingSubmit
		for i := range 30 {
			all = append(all, h.submit(e, fmt.Sprint(i), 8)) // the worker is busy for 200 ms with each
		}
		h.checkResults(postJob(e, "proof", "render", 2), "/render", 2)
		ends := map[wire.Reason]int{}
		for _, s := range all {
			ends[s.wait().Reason]++
		}
		// In 3.1 s, 15 jobs of 200 ms can end; the estimates are not exact.
		h.Check(ends[""] >= 14 && ends[wire.ReasonDeadline] <= 1, qt.IsTrue, qt.Commentf("%v", ends))
		h.Check(ends["deadline_unreachable"] >= 14, qt.IsTrue, qt.Commentf("%v", ends))
	})
}

// Guards against a job that runs again when it is submitted again after its
// cancellation, and against a state dump without the caller's identifier or the
// run counts.
func TestCancelledLeasedJobStaysCancelled(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		h.worker(1, script{}).setScript(func(t wire.Task) script {
			if t.Attempt == 0 && t.Index == 0 {
				return script{duration: time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeFailed}}
			}
			return runsFor(5000)
		})
		waitForDiscovery()
		s := h.submit(e, "1f", 4)
		time.Sleep(100 * time.Millisecond)
		dump := e.State().Jobs[0]
		h.Check([]any{dump.Identifier, dump.Attempts, dump.Interruptions, dump.Sent}, qt.DeepEquals, []any{"1f", 1, 0, 4})
		h.checkCancel(e, "2f", false)
		h.checkCancel(e, "1f", true)
		h.Check(s.wait().Outcome, qt.Equals, OutcomeFailed)
		h.Check(h.submit(e, "1f", 4).wait().Reason, qt.Equals, wire.ReasonCancelled)
		time.Sleep(time.Second)
		running, _ := h.upstreams.runningAndStarts("")
		h.Check([]int{h.upstreams.totalStarts(), running}, qt.DeepEquals, []int{5, 0})
		h.checkCancel(e, "1f", false)
	})
}

// Guards against renewing a session while it is in doubt, while a Cancel
// message has no reply or within resumeDelay after a pause of the entry, and
// against renewing the old session number after the session was in doubt.
func TestOnlyAnOpenSessionIsRenewed(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		h.worker(1, script{})
		waitForDiscovery()
		renews := func() (n uint64) {
			e.dispatcher.postAndWait(func(d *dispatcher) { n = d.heartbeatReply(d.agents["a1"]).Renews })
			return n
		}
		h.Check(renews(), qt.Equals, uint64(1))
		e.dispatcher.postAndWait(func(d *dispatcher) { d.agents["a1"].unansweredCancels++ })
		h.Check(renews(), qt.Equals, uint64(0))
		e.dispatcher.postAndWait(func(d *dispatcher) {
			d.agents["a1"].unansweredCancels--
			d.lastClockUpdate = d.lastClockUpdate.Add(-d.timing.Heartbeat.AsDuration() - 1)
		})
		h.Check(renews(), qt.Equals, uint64(0))
		time.Sleep(resumeDelay)
		h.Check(renews(), qt.Equals, uint64(1))
		h.net.Partition("10.0.1.1", "10.0.2.1")
		e.dispatcher.postAndWait(func(d *dispatcher) { d.handleSessionInDoubt(d.agents["a1"], 1, errFenced) })
		h.Check(renews(), qt.Equals, uint64(0))
		h.net.Heal("10.0.1.1", "10.0.2.1")
		waitForDiscovery()
		h.Check(renews() > 1, qt.IsTrue)
	})
}

// Guards against an embedding program whose CallerHandler is not served, or
// that gets a different configuration than the one in force.
func TestEmbeddingProgram(t *testing.T) {
	inBubble(t, func(h *harness) {
		own := http.NewServeMux()
		e := h.entry(1, "anping", func(o *Options) { o.CallerHandler = own })
		h.Check(e.callerServer().Handler, qt.Equals, http.Handler(own))
		waitForDiscovery()
		generation, raw := e.ConfigDocument()
		doc, err := config.Parse(raw)
		h.Check(err, qt.IsNil)
		h.Check(doc.Generation == generation && doc.Equal(e.Configuration().Document()), qt.IsTrue)
		h.Check(h.submitAsync(e, Submission{Job: "1f", Template: "proof", Count: 1}).wait().Reason, qt.Equals, reasonTemplateNotFound)
	})
}
