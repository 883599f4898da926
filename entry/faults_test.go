package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// sameScript returns a function that returns s for every task.
func sameScript(s script) func(wire.Task) script { return func(wire.Task) script { return s } }

// Guards against repeated starts when an agent's process ends, and against the
// outcome "not run", or a late or missing answer, for tasks that may have run.
func TestAgentDies(t *testing.T) {
	for _, tc := range []struct {
		name           string
		template, task string
		script         script
		restart        bool
		second         bool // there is another agent for further attempts
		want           Outcome
		starts         int
		within         time.Duration
	}{
		{"before the start", "proof", "render", script{dieBefore: true}, false, true, OutcomeUnknown, 0, 6 * time.Second},
		{"during the start", "proof", "render", script{dieDuring: true}, false, true, OutcomeUnknown, 1, 6 * time.Second},
		{"and restarts at once", "proof", "render", script{dieDuring: true}, true, true, OutcomeUnknown, 1, time.Second},
		{"idempotent, before the start", "check", "spell", script{dieBefore: true}, false, true, "", 1, 6 * time.Second},
		{"idempotent, during the start", "check", "spell", script{dieDuring: true}, true, true, "", 2, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.entry(1, "anping", nil)
				a := h.agent(1, "anping")
				a.setScript(sameScript(tc.script))
				waitForDiscovery()
				if tc.second {
					h.agent(2, "chihkan") // farther away, so the first one gets the task
				}
				waitForDiscovery()
				begin := time.Now()
				if tc.restart {
					time.AfterFunc(100*time.Millisecond, func() {
						a.setScript(sameScript(script{duration: 100 * time.Millisecond}))
						a.start()
					})
				}
				w := postJob(e, tc.template, tc.task, 1)
				h.Check(time.Since(begin) <= tc.within, qt.IsTrue, qt.Commentf("took %v", time.Since(begin)))
				h.Check(h.upstreams.totalStarts(), qt.Equals, tc.starts)
				if tc.want == "" {
					h.checkResults(w, "/spell", 1)
					return
				}
				p := h.checkProblem(w, tc.want)
				h.Check(p.MayHaveRun, qt.DeepEquals, []int{0})
			})
		})
	}
}

// Guards against lost results and repeated starts when the network fails while
// the agent process keeps running.
func TestNetworkFaults(t *testing.T) {
	const entryHost, agentHost = "10.0.1.1", "10.0.2.1"
	for _, tc := range []struct {
		name     string
		took     time.Duration
		fault    func(h *harness)
		heal     time.Duration // when the fault is healed; 0 for at once or never
		complete bool
		within   time.Duration
	}{
		{"connections reset", 300 * time.Millisecond, func(h *harness) { h.net.Cut(entryHost, agentHost); h.net.Heal(entryHost, agentHost) }, 0, true, time.Second},
		{"connections frozen", 300 * time.Millisecond, func(h *harness) { h.net.Freeze(entryHost, agentHost) }, 0, true, 3 * time.Second},
		{"frozen while the task runs long", 4 * time.Second, func(h *harness) { h.net.Freeze(entryHost, agentHost) }, 0, true, 5 * time.Second},
		{"no data to the agent for 2 s", 300 * time.Millisecond, func(h *harness) { h.net.Drop(entryHost, agentHost) }, 2 * time.Second, true, 5 * time.Second},
		{"no data to the entry for 2 s", 300 * time.Millisecond, func(h *harness) { h.net.Drop(agentHost, entryHost) }, 2 * time.Second, true, 5 * time.Second},
		{"partition of 4 s", 300 * time.Millisecond, func(h *harness) { h.net.Partition(entryHost, agentHost) }, 4 * time.Second, true, 7 * time.Second},
		{"lasting partition", 300 * time.Millisecond, func(h *harness) { h.net.Partition(entryHost, agentHost) }, 0, false, 7 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.entry(1, "anping", nil)
				h.agent(1, "anping").setScript(sameScript(script{duration: tc.took}))
				waitForDiscovery()
				begin := time.Now()
				// The fault begins while the tasks run.
				time.AfterFunc(100*time.Millisecond, func() { tc.fault(h) })
				if tc.heal > 0 {
					time.AfterFunc(tc.heal, func() { h.net.Heal(entryHost, agentHost) })
				}
				w := postJob(e, "proof", "render", 5)
				h.Check(time.Since(begin) <= tc.within, qt.IsTrue, qt.Commentf("took %v", time.Since(begin)))
				h.Check(h.upstreams.totalStarts(), qt.Equals, 5)
				h.Check(h.upstreams.maxStartsOfOneTask(), qt.Equals, 1)
				if tc.complete {
					h.checkResults(w, "/render", 5)
				} else {
					p := h.checkProblem(w, OutcomeUnknown)
					h.Check(p.MayHaveRun, qt.DeepEquals, []int{0, 1, 2, 3, 4})
				}
			})
		})
	}
}

// Guards against repeating or failing a task whose result was lost on the
// connection, although the agent still has it.
func TestAnswerLost(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		a := h.agent(1, "anping")
		a.setScript(func(t wire.Task) script { return script{duration: 50 * time.Millisecond, loseAnswer: t.Index == 3} })
		waitForDiscovery()
		w := postJob(e, "proof", "render", 20)
		h.checkResults(w, "/render", 20)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 20)
		h.Check(h.upstreams.maxStartsOfOneTask(), qt.Equals, 1)
	})
}

// Guards against lost or repeated tasks after an entry was paused so long that
// the agent ended its session.
func TestEntryPausedPastLapse(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		a := h.agent(1, "anping")
		waitForDiscovery()
		got := make(chan *httptest.ResponseRecorder)
		go func() { got <- postJob(e, "proof", "render", 40) }()
		time.Sleep(150 * time.Millisecond)
		e.dispatcher.post(func(*dispatcher) { time.Sleep(4 * time.Second) })
		time.Sleep(3500 * time.Millisecond)
		a.endSessions()
		h.checkResults(<-got, "/render", 40)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 40)
		h.Check(h.upstreams.maxStartsOfOneTask(), qt.Equals, 1)
	})
}

// Guards against tasks that run or start after their job has failed, and
// against one Cancel message for each task instead of one for each agent.
func TestFirstFailureOf1500Tasks(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		var agents []*fakeAgent
		for i := range 11 {
			a := h.agent(i+1, []string{"anping", "chihkan", "rende"}[i%3])
			a.setScript(func(t wire.Task) script {
				if t.Index == 700 {
					return script{duration: 50 * time.Millisecond, result: &wire.Result{
						Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError, Response: wire.Response{Status: 500}}}
				}
				return script{duration: 200 * time.Millisecond}
			})
			agents = append(agents, a)
		}
		waitForDiscovery()
		w := postJob(e, "proof", "render", 1500)
		p := h.checkProblem(w, OutcomeFailed)
		h.Check(p.Reason, qt.Equals, wire.ReasonUpstreamError)
		started := h.upstreams.totalStarts()
		h.Check(started < 1500, qt.IsTrue, qt.Commentf("%d started", started))
		time.Sleep(10 * time.Millisecond)
		for _, a := range agents {
			h.Check(a.idle(), qt.IsTrue)
			h.Check(a.cancels <= 1, qt.IsTrue, qt.Commentf("%d Cancel messages", a.cancels))
		}
		waitForDiscovery()
		h.Check(h.upstreams.totalStarts(), qt.Equals, started)
		h.Check(h.upstreams.maxStartsOfOneTask(), qt.Equals, 1)
		h.Check(e.State().Accounts[0], qt.Equals, StateAccount{Name: "portal"})
	})
}

// Guards against a wrong outcome, later starts or a missing answer when a job
// is cancelled while it is queued, while it runs or after it is done.
func TestCancellation(t *testing.T) {
	for _, tc := range []struct {
		name  string
		busy  bool          // another job uses all slots
		after time.Duration // from the submission
		want  string
	}{
		{"while queued", true, 50 * time.Millisecond, "not_run"},
		{"while running", false, 50 * time.Millisecond, "failed"},
		{"when done", false, 500 * time.Millisecond, "done"},
	} {
		for _, by := range []string{"DELETE", "disconnect"} {
			t.Run(tc.name+" by "+by, func(t *testing.T) {
				inBubble(t, func(h *harness) {
					e := h.entry(1, "anping", nil)
					a := h.agent(1, "anping")
					waitForDiscovery()
					if tc.busy {
						a.setScript(sameScript(script{duration: 2 * time.Second}))
						h.wg.Go(func() { postJob(e, "proof", "render", 8) })
						time.Sleep(10 * time.Millisecond)
					}
					before := h.upstreams.totalStarts()
					ctx, cancel := context.WithCancel(context.Background())
					got := make(chan *httptest.ResponseRecorder, 1)
					go func() { got <- callWithContext(ctx, e, http.MethodPost, "/v1/jobs", jobBody("proof", "render", 4)) }()
					time.Sleep(tc.after)
					job := lastJobID(e)
					if by == "DELETE" {
						w := call(e, http.MethodDelete, "/v1/jobs/"+job, "")
						h.Check(w.Body.String(), qt.JSONEquals, jobStatus{Job: job, State: "answered", Outcome: tc.want})
					} else {
						cancel()
					}
					w := <-got
					cancel()
					if tc.want == "done" {
						h.checkResults(w, "/render", 4)
						return
					}
					p := h.checkProblem(w, Outcome(tc.want))
					h.Check(p.Reason, qt.Equals, wire.ReasonCancelled)
					waitForDiscovery()
					if tc.want == "not_run" {
						h.Check(h.upstreams.totalStarts(), qt.Equals, before)
					}
					h.Check(h.upstreams.maxStartsOfOneTask(), qt.Equals, 1)
				})
			})
		}
	}
}

// Guards against the outcome "not run" or "failed" for tasks whose agent does
// not reply to the cancellation.
func TestCancellationWhileTheAgentIsUnreachable(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		h.agent(1, "anping").setScript(sameScript(script{duration: 5 * time.Second}))
		waitForDiscovery()
		got := make(chan *httptest.ResponseRecorder, 1)
		go func() { got <- postJob(e, "proof", "render", 4) }()
		time.Sleep(100 * time.Millisecond)
		h.net.Partition("10.0.1.1", "10.0.2.1")
		begin := time.Now()
		call(e, http.MethodDelete, "/v1/jobs/"+lastJobID(e), "")
		h.Check(time.Since(begin) <= 1100*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(begin)))
		p := h.checkProblem(<-got, OutcomeUnknown)
		h.Check(p.MayHaveRun, qt.DeepEquals, []int{0, 1, 2, 3})
	})
}

// Guards against sending new tasks to an agent that reports that it is leaving.
func TestLeavingAgentGetsNoWork(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		a := h.agent(1, "anping")
		h.agent(2, "chihkan")
		waitForDiscovery()
		a.mu.Lock()
		a.leaving = true
		a.mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		h.checkResults(postJob(e, "proof", "render", 20), "/render", 20)
		h.Check(a.runs, qt.Equals, 0)
	})
}

// Guards against a faulty upstream that keeps getting tasks and fails their
// jobs, and against ejecting agents when all of them fail, because then the
// jobs are at fault.
func TestFailingUpstreamIsEjected(t *testing.T) {
	for _, tc := range []struct {
		name    string
		failing int // number of agents that fail all tasks
		ejected int // number of agents that must be ejected
		most    int // maximum number of failed jobs
	}{{"one of five", 1, 1, 10}, {"all", 5, 0, 100}} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.entry(1, "anping", nil)
				for i := range 5 {
					a := h.agent(i+1, "anping")
					if i < tc.failing {
						a.setScript(sameScript(script{duration: 20 * time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError}}))
					}
				}
				waitForDiscovery()
				failed := 0
				for range 100 {
					if postJob(e, "proof", "render", 5).Code != http.StatusOK {
						failed++
					}
				}
				ejected := 0
				for _, a := range e.State().Agents {
					if a.Ejected || a.Weight < 1 { // or ejected before and now probed
						ejected++
					}
				}
				h.Check(ejected, qt.Equals, tc.ejected)
				h.Check(failed <= tc.most, qt.IsTrue, qt.Commentf("%d jobs failed", failed))
			})
		})
	}
}

// lastJobID returns the identifier of the newest job.
func lastJobID(e *Entry) string {
	synctest.Wait()
	return newJobID(e.self, e.lastJobNumber.Load())
}

// Guards against an answer long after the deadline, and against the outcome
// "not run" for a job whose task was still running at its deadline.
func TestDeadline(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		h.agent(1, "anping").setScript(sameScript(script{duration: 30 * time.Second}))
		waitForDiscovery()
		begin := time.Now()
		w := call(e, http.MethodPost, "/v1/jobs", `{"template":"proof","deadline_ms":700}`)
		h.checkProblem(w, OutcomeUnknown)
		h.Check(time.Since(begin) < 2*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(begin)))
	})
}
