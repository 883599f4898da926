package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// durableEntry starts an entry whose records are kept in s.
func (h *harness) durableEntry(number int, s *recordStore, change func(*settings.Entry)) (*Entry, *fakeManager) {
	return h.durableEntryWith(number, s, func(o *Options) {
		if change != nil {
			change(&o.Settings)
		}
	})
}

func (h *harness) durableEntryWith(number int, s *recordStore, change func(*Options)) (*Entry, *fakeManager) {
	if number == 1 {
		h.storeConfig(2, addStepTemplate)
	}
	var m *fakeManager
	e := h.entry(number, "anping", func(o *Options) {
		t := &o.Settings.Timing
		t.Heartbeat, t.PeerHeartbeat, t.Suspect, t.Lapse, t.Reconcile = 150*ms, 350*ms, 400*ms, 600*ms, 1300*ms
		t.PingAfter, t.PingTimeout, t.Gate, t.CallTimeout, t.StoreTimeout = 250*ms, 150*ms, 3000*ms, 300*ms, 300*ms
		o.Settings.Limits.MaxDurableJobs = 10_000
		o.newRecordManager = func(opts durable.Options) recordManager { m = newFakeManager(s, opts); return m }
		change(o)
	})
	return e, m
}

// Guards against an entry whose settings allow no durable jobs accepting one,
// or creating the recordManager that calls the store for them.
func TestDurableJobsAreOff(t *testing.T) {
	inBubble(t, func(h *harness) {
		e, m := h.durableEntry(1, newRecordStore(), func(s *settings.Entry) { s.Limits.MaxDurableJobs = 0 })
		time.Sleep(time.Second)
		a := e.SubmitDurable(context.Background(), stepSubmission("j", 1))
		h.Check(a.Outcome, qt.Equals, OutcomeNotRun)
		h.Check(a.Reason, qt.Equals, reasonDurableDisabled)
		_, err := e.DurableJobState(context.Background(), "j", 0)
		h.Check(err, qt.ErrorIs, ErrJobNotFound)
		found, err := e.CancelDurableJob(context.Background(), "j")
		h.Check(found, qt.IsFalse)
		h.Check(err, qt.IsNil)
		h.Check(m, qt.IsNil)
	})
}

func addStepTemplate(d *config.Document) {
	d.Templates = append(d.Templates, config.Template{
		Name: "step", Account: "portal", Kind: config.KindLeased, DeadlineMS: 5000, ExpectedMS: 200, Pool: "bench",
		MaxAttempts: 2, SlackFactor: 4, TargetMS: 2000, Needs: config.Needs{MilliCPU: 4000, MemoryMB: 64},
	})
}

// adoptedWorker starts an agent that has adopted its worker, so that its
// heartbeats list all unclaimed ends.
func (h *harness) adoptedWorker(number int, s script) *fakeAgent {
	a := h.worker(number, s)
	a.mu.Lock()
	a.adopted = true
	a.mu.Unlock()
	return a
}

func stepSubmission(job string, count int) Submission {
	return Submission{Job: job, Template: "step", Count: count}
}

func (h *harness) submitAccepted(e *Entry, in Submission) {
	h.Helper()
	h.Check(e.SubmitDurable(context.Background(), in), qt.Equals, Answer{Outcome: OutcomeAccepted})
}

func (h *harness) durableState(e *Entry, job string) durable.State {
	h.Helper()
	s, err := e.DurableJobState(context.Background(), job, 0)
	h.Check(err, qt.IsNil)
	return s
}

// endCounts returns how many acknowledgements, settled ends and voided ends the
// agent has received.
func (a *fakeAgent) endCounts() (acked, settled, voided int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.acked), len(a.settled), len(a.voided)
}

// Guards against a task that starts before its job is stored, an end that is
// acknowledged before it is stored, a durable job that ends at a deadline, more
// writes than needed, and state that is kept after jobs have ended.
func TestDurableJobRuns(t *testing.T) {
	inBubble(t, func(h *harness) {
		s := newRecordStore()
		e, m := h.durableEntry(1, s, nil)
		a := h.adoptedWorker(1, runsFor(100))
		waitForDiscovery()
		m.withLock(func() { m.blocked = true })
		answer := make(chan Answer, 1)
		h.wg.Go(func() { answer <- e.SubmitDurable(context.Background(), stepSubmission("1f", 4)) })
		time.Sleep(time.Second)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 0)
		m.withLock(func() { m.blocked = false })
		h.Check(<-answer, qt.Equals, Answer{Outcome: OutcomeAccepted})
		m.withLock(func() { m.blocked = true })
		time.Sleep(time.Second)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 4)
		acked, _, _ := a.endCounts()
		h.Check(acked, qt.Equals, 0)
		h.Check(h.durableState(e, "1f"), qt.Equals, durable.InProgress)
		m.withLock(func() { m.blocked = false })
		time.Sleep(time.Second)
		acked, _, _ = a.endCounts()
		h.Check(acked, qt.Equals, 4)
		h.Check(h.durableState(e, "1f"), qt.Equals, durable.Completed)
		h.Check(m.writes["1f"], qt.Equals, 1)
		h.submitAccepted(e, stepSubmission("1f", 4)) // submitted again
		h.checkNoStateLeft(e)
		h.submitAccepted(e, stepSubmission("1f", 4)) // only the store still has the job
		h.Check(h.durableState(e, "1f"), qt.Equals, durable.Completed)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 4)

		// Longer than every deadline.
		a.setScript(sameScript(runsFor(70_000)))
		h.submitAccepted(e, stepSubmission("2f", 1))
		time.Sleep(71 * time.Second)
		h.Check(h.durableState(e, "2f"), qt.Equals, durable.Completed)
		h.Check(h.upstreams.maxStartsOfOneTask(), qt.Equals, 1)
	})
}

// Guards against an answer that contradicts the outcome of the write: a refusal
// of a job that may be stored, or an acceptance of a job that is not stored.
func TestDurableSubmissionAnswers(t *testing.T) {
	for _, tc := range []struct {
		name      string
		err       error
		blocked   bool
		want      Outcome
		reason    wire.Reason
		retryable bool // the answer has RetryAfter
	}{
		{"not stored", durable.ErrNotStored, false, OutcomeNotRun, reasonStoreUnavailable, true},
		{"other work", durable.ErrIdentifierInUse, false, OutcomeNotRun, reasonJobReused, false},
		{"no epoch", durable.ErrInvalidEpoch, false, OutcomeNotRun, reasonOwnershipLost, true},
		{"unreadable", durable.ErrUnreadable, false, OutcomeNotRun, reasonRecordUnreadable, true},
		{"unknown", durable.ErrOutcomeUnknown, false, OutcomeUnknown, reasonOwnershipLost, false},
		{"no answer", nil, true, OutcomeUnknown, reasonStoreUnavailable, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e, m := h.durableEntry(1, newRecordStore(), nil)
				h.adoptedWorker(1, runsFor(100))
				waitForDiscovery()
				m.withLock(func() { m.createErr, m.blocked = tc.err, tc.blocked })
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				a := e.SubmitDurable(ctx, stepSubmission("1f", 1))
				h.Check(a.Outcome, qt.Equals, tc.want)
				h.Check(a.Reason, qt.Equals, tc.reason)
				h.Check(a.RetryAfter > 0, qt.Equals, tc.retryable)
				h.Check(h.upstreams.totalStarts(), qt.Equals, 0)
				m.withLock(func() { m.blocked = false })
				time.Sleep(time.Second)
				h.Check(h.upstreams.totalStarts() == 1, qt.Equals, tc.blocked) // the job was stored after the caller had left
			})
		})
	}
}

// Guards against accepting different work under the identifier of an open job,
// against more open durable jobs than the limit, and against a limit that
// counts ended jobs.
func TestDurableAdmission(t *testing.T) {
	inBubble(t, func(h *harness) {
		e, _ := h.durableEntry(1, newRecordStore(), func(s *settings.Entry) { s.Limits.MaxDurableJobs = 2 })
		h.adoptedWorker(1, runsFor(1000))
		waitForDiscovery()
		h.submitAccepted(e, stepSubmission("1f", 1))
		h.submitAccepted(e, stepSubmission("2f", 1))
		h.submitAccepted(e, stepSubmission("2f", 1))
		h.Check(e.SubmitDurable(context.Background(), stepSubmission("2f", 2)).Reason, qt.Equals, reasonJobReused)
		h.Check(e.Submit(context.Background(), stepSubmission("2f", 1)).Reason, qt.Equals, reasonJobReused)
		a := e.SubmitDurable(context.Background(), stepSubmission("3f", 1))
		h.Check(a.Reason, qt.Equals, reasonDurableLimit)
		h.Check(a.RetryAfter > 0, qt.IsTrue)
		time.Sleep(2 * time.Second)
		h.submitAccepted(e, stepSubmission("3f", 1))
	})
}

// Guards against a durable job that fails before or after its last attempt, and
// against an end record without the state failed.
func TestDurableJobFails(t *testing.T) {
	inBubble(t, func(h *harness) {
		s := newRecordStore()
		e, _ := h.durableEntry(1, s, nil)
		failed := script{duration: time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError}}
		h.adoptedWorker(1, failed)
		waitForDiscovery()
		h.submitAccepted(e, stepSubmission("1f", 1))
		time.Sleep(time.Second)
		h.Check(h.durableState(e, "1f"), qt.Equals, durable.Failed)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 2)
		_, end := s.get("1f")
		h.Check(end.State, qt.Equals, durable.Failed)
	})
}

// Guards against a cancellation that is acknowledged before it is stored,
// against tasks that start afterwards, and against acknowledging the
// cancellation of an unknown job.
func TestDurableJobIsCancelled(t *testing.T) {
	inBubble(t, func(h *harness) {
		s := newRecordStore()
		e, m := h.durableEntry(1, s, nil)
		h.adoptedWorker(1, runsFor(5000))
		waitForDiscovery()
		h.submitAccepted(e, stepSubmission("1f", 12)) // 8 of them run
		m.withLock(func() { m.blocked = true })
		time.Sleep(time.Second)
		done := make(chan bool, 1)
		h.wg.Go(func() {
			found, err := e.CancelDurableJob(context.Background(), "1f")
			done <- found && err == nil
		})
		time.Sleep(time.Second)
		h.Check(done, qt.HasLen, 0)
		m.withLock(func() { m.blocked = false })
		h.Check(<-done, qt.IsTrue)
		_, end := s.get("1f")
		h.Check(end.State, qt.Equals, durable.Cancelled)
		started := h.upstreams.totalStarts()
		time.Sleep(10 * time.Second)
		h.Check(h.upstreams.totalStarts(), qt.Equals, started)
		h.Check(h.durableState(e, "1f"), qt.Equals, durable.Cancelled)
		found, err := e.CancelDurableJob(context.Background(), "none")
		h.Check(found, qt.IsFalse)
		h.Check(err, qt.IsNil)
	})
}

// Guards against runs that go on, and ends that are written, after the entry
// has lost a job to another owner or has lost its ownership lease.
func TestDurableJobIsGivenUp(t *testing.T) {
	for name, fault := range map[string]func(*fakeManager){
		"lost":        func(m *fakeManager) { m.options.Handler.JobLost("1f") },
		"invalidated": func(m *fakeManager) { m.withLock(func() { m.invalid = true }); m.options.Handler.OwnershipLost() },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				s := newRecordStore()
				e, m := h.durableEntry(1, s, nil)
				a := h.adoptedWorker(1, runsFor(1000))
				waitForDiscovery()
				h.submitAccepted(e, stepSubmission("1f", 12))
				time.Sleep(900 * time.Millisecond)
				fault(m)
				time.Sleep(5 * time.Second)
				h.Check(h.upstreams.totalStarts(), qt.Equals, 8)
				h.Check(a.idle(), qt.IsTrue)
				r, end := s.get("1f")
				h.Check(r.Done, qt.HasLen, 0)
				h.Check(end.State, qt.Equals, durable.State(""))
				h.checkNoStateLeft(e)
			})
		})
	}
}

// Guards against starting a durable task after the ownership lease has become
// invalid, but before OwnershipLost is called.
func TestNoDurableStartWithoutOwnership(t *testing.T) {
	inBubble(t, func(h *harness) {
		e, m := h.durableEntry(1, newRecordStore(), nil)
		a := h.adoptedWorker(1, runsFor(100))
		waitForDiscovery()
		a.setScript(func(t wire.Task) script { return script{refuse: wire.ReasonAgentBusy} })
		h.submitAccepted(e, stepSubmission("1f", 1))
		m.withLock(func() { m.invalid = true })
		time.Sleep(100 * time.Millisecond)
		a.setScript(sameScript(runsFor(100)))
		h.Check(h.submit(e, "2f", 1).wait().Outcome, qt.Equals, OutcomeDone) // other jobs run
		time.Sleep(time.Second)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 1)
		m.withLock(func() { m.invalid = false })
		time.Sleep(time.Second)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 2)
	})
}

// Guards against a planned stop that does not hand over durable jobs before the
// ownership lease ends, loses the end of a run, or waits until durable jobs
// end.
func TestPlannedStopHandsOver(t *testing.T) {
	inBubble(t, func(h *harness) {
		s := newRecordStore()
		e, m := h.durableEntry(1, s, func(s *settings.Entry) { s.Timing.StopNotice = 1000 * ms })
		h.adoptedWorker(1, script{}).setScript(func(t wire.Task) script { return []script{runsFor(100), runsFor(100_000)}[min(t.Index, 1)] })
		waitForDiscovery()
		h.submitAccepted(e, stepSubmission("1f", 4))
		begin := time.Now()
		h.Check(e.Stop(context.Background()), qt.IsNil)
		h.Check(time.Since(begin) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
		h.Check(m.handedOver, qt.IsTrue)
		h.Check(m.givenUp, qt.DeepEquals, []string{"1f"})
		r, _ := s.get("1f")
		h.Check(r.Done, qt.HasLen, 1)
		h.Check(r.Started, qt.IsTrue)
		now, _ := h.upstreams.runningAndStarts("1f/1")
		h.Check(now, qt.Equals, 0)
	})
}

// Guards against wrong HTTP statuses for durable jobs, and against answers that
// reveal a job to another account.
func TestDurableOverHTTP(t *testing.T) {
	inBubble(t, func(h *harness) {
		e, m := h.durableEntry(1, newRecordStore(), nil)
		h.adoptedWorker(1, runsFor(1000))
		waitForDiscovery()
		post := func(job string) int {
			return call(e, http.MethodPost, "/v1/jobs", fmt.Sprintf(`{"template":"step","durable":true,"count":1,"job":%q}`, job)).Code
		}
		other := []string{"Authorization", "Bearer other-token"}
		h.Check(post("1f"), qt.Equals, http.StatusAccepted)
		h.Check(post(""), qt.Equals, http.StatusBadRequest)
		h.Check(post(e.newJobID()), qt.Equals, http.StatusBadRequest)
		for range 2 { // in the second round only the store has the job
			h.Check(call(e, http.MethodGet, "/v1/jobs/1f", "", other...).Code, qt.Equals, http.StatusNotFound)
			h.Check(call(e, http.MethodDelete, "/v1/jobs/1f", "", other...).Code, qt.Equals, http.StatusNotFound)
			time.Sleep(20 * time.Second)
		}
		w := call(e, http.MethodGet, "/v1/jobs/1f", "")
		h.Check(w.Code, qt.Equals, http.StatusOK)
		h.Check(strings.TrimSpace(w.Body.String()), qt.Equals, `{"job":"1f","state":"completed"}`)
		h.Check(post("2f"), qt.Equals, http.StatusAccepted)
		synctest.Wait()
		h.Check(call(e, http.MethodGet, "/v1/jobs/2f", "").Code, qt.Equals, http.StatusAccepted)
		h.Check(call(e, http.MethodDelete, "/v1/jobs/2f", "").Code, qt.Equals, http.StatusOK)
		h.Check(call(e, http.MethodGet, "/v1/jobs/none", "").Code, qt.Equals, http.StatusNotFound)
		m.withLock(func() { m.lookupFails = true })
		h.Check(call(e, http.MethodGet, "/v1/jobs/none", "").Code, qt.Equals, http.StatusServiceUnavailable)
		h.Check(e.State().Durable.Jobs, qt.Equals, 0)
	})
}
