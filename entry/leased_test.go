package entry

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

const ms = settings.Duration(time.Millisecond)

// leasedEntry starts an entry with a template "step" of leased tasks and the
// intervals of section 13.3 of docs/design.md.
func (h *harness) leasedEntry(change func(*config.Template), options ...func(*Options)) *Entry {
	h.storeConfig(2, func(d *config.Document) {
		t := config.Template{
			Name: "step", Account: "portal", Kind: config.KindLeased, DeadlineMS: 10000, ExpectedMS: 200,
			Pool: "bench", MaxAttempts: 3, SlackFactor: 4, TargetMS: 2000, Needs: config.Needs{MilliCPU: 4000, MemoryMB: 64},
		}
		if change != nil {
			change(&t)
		}
		d.Templates = append(d.Templates, t)
	})
	return h.entry(1, "anping", func(o *Options) {
		t := &o.Settings.Timing
		t.Heartbeat, t.PeerHeartbeat, t.Suspect, t.Lapse, t.Reconcile = 150*ms, 350*ms, 400*ms, 600*ms, 1300*ms
		t.PingAfter, t.PingTimeout, t.Gate = 250*ms, 150*ms, 3000*ms
		for _, change := range options {
			change(o)
		}
	})
}

// worker starts an agent of leased tasks with 32 cores. Number 1 is in the data
// centre of the entry and the others are not, so that it is preferred.
func (h *harness) worker(number int, s script) *fakeAgent {
	dataCentre := []string{"anping", "chihkan"}[min(number-1, 1)]
	a := newFakeAgent(h.net, h.upstreams, number, dataCentre, "10.0.1.1:7000")
	a.heartbeatInterval, a.runLinger = 150*time.Millisecond, 560*time.Millisecond // 1.02 leases plus the stop time
	a.ref.Pool, a.ref.Slots, a.ref.Capacity = "bench", 32, wire.Resources{MemoryMB: 128000, MilliCPU: 32000}
	a.setScript(sameScript(s))
	a.start()
	h.cleanups = append(h.cleanups, a.wait)
	return a
}

func runsFor(milliseconds int) script {
	return script{duration: time.Duration(milliseconds) * time.Millisecond}
}

// pendingSubmit is a call of Entry.Submit on its own goroutine.
type pendingSubmit struct {
	answer chan Answer
	cancel context.CancelFunc
}

func (h *harness) submit(e *Entry, job string, count int) *pendingSubmit {
	return h.submitAsync(e, Submission{Job: job, Template: "step", Count: count})
}

func (h *harness) submitAsync(e *Entry, in Submission) *pendingSubmit {
	ctx, cancel := context.WithCancel(context.Background())
	s := &pendingSubmit{make(chan Answer, 1), cancel}
	h.wg.Go(func() { s.answer <- e.Submit(ctx, in); cancel() })
	synctest.Wait()
	return s
}

func (s *pendingSubmit) wait() Answer { return <-s.answer }

// checkNoStateLeft waits until answers are no longer retained and checks that
// the entry has no state of ended jobs.
func (h *harness) checkNoStateLeft(e *Entry) {
	time.Sleep(leasedAnswerRetention + time.Second)
	e.dispatcher.postAndWait(func(d *dispatcher) {
		for name, n := range map[string]int{
			"classes": len(d.classes), "identifiers": len(d.leasedJobs), "pending": len(d.pendingByTemplate), "held": len(d.held),
			"jobs": len(d.jobs), "queued": d.queue.Len(), "open": d.openJobs, "waiting in the pool": d.poolOf("bench").waiting,
			"work in the pool": int(d.poolOf("bench").workAhead()), "of the account": d.accounts["portal"].running + d.accounts["portal"].waiting,
		} {
			h.Check(n, qt.Equals, 0, qt.Commentf(name))
		}
	})
}

// Guards against a lost or repeated task, a wrong start order for the worker,
// and classes, identifiers or counts that are kept after jobs have ended.
func TestLeasedJobsRun(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		orders := make(chan wire.Task, 1000)
		for i := range 2 {
			h.worker(i+1, script{}).setScript(func(t wire.Task) script { orders <- t; return runsFor(200) })
		}
		waitForDiscovery()
		var all []*pendingSubmit
		for i := range 20 {
			all = append(all, h.submitAsync(e, Submission{
				Job: fmt.Sprint("j", i), Template: "step", Count: 1 + i, Spec: "x", Expected: 150 * time.Millisecond,
				Needs: wire.Resources{MilliCPU: 2000 + int64(i)*377, MemoryMB: 64},
			}))
		}
		for i, s := range all {
			h.Check(s.wait(), qt.Equals, Answer{Outcome: OutcomeDone}, qt.Commentf("job %d", i))
		}
		h.Check(h.upstreams.totalStarts(), qt.Equals, 210)
		h.Check(h.upstreams.maxStartsOfOneTask(), qt.Equals, 1)
		h.Check(*(<-orders).Leased, qt.Equals, wire.LeasedTask{Job: "j0", Spec: "x"})
		h.checkNoStateLeft(e)
	})
}

// Guards against a setting order that has no effect, and against a queue policy
// that does not get the cores of a task.
func TestOrderOfWaitingTasks(t *testing.T) {
	for order, want := range map[string]string{"": "short", settings.OrderUrgency: "short", settings.OrderValue: "light"} {
		inBubble(t, func(h *harness) {
			e := h.leasedEntry(nil, func(o *Options) { o.Settings.Order = order })
			a := h.worker(1, runsFor(200))
			waitForDiscovery()
			full := h.submit(e, "full", 8) // takes all cores
			short := h.submitAsync(e, Submission{Job: "short", Template: "step", Count: 8, Expected: 150 * time.Millisecond})
			light := h.submitAsync(e, Submission{
				Job: "light", Template: "step", Count: 8, Expected: 200 * time.Millisecond, Needs: wire.Resources{MilliCPU: 1000},
			})
			for _, s := range []*pendingSubmit{full, short, light} {
				h.Check(s.wait(), qt.Equals, Answer{Outcome: OutcomeDone})
			}
			// Tasks that are sent at the same time may arrive in any order.
			jobs := a.sentJobs()
			h.Assert(jobs, qt.HasLen, 24)
			h.Check(jobs[:8], qt.DeepEquals, slices.Repeat([]string{"full"}, 8))
			h.Check(jobs[8:16], qt.DeepEquals, slices.Repeat([]string{want}, 8), qt.Commentf("order %q", order))
		})
	}
}

// Guards against a second run of a job that is submitted again while it runs or
// a few seconds after its answer, and against an answer that is kept without
// limit.
func TestResentJobIsJoined(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		h.worker(1, runsFor(200))
		waitForDiscovery()
		first := h.submit(e, "1f", 4)
		h.Check(e.HasOpenJob("1f"), qt.IsTrue)
		h.Check(e.HasOpenJob("other"), qt.IsFalse)
		second := h.submit(e, "1f", 4)
		first.cancel()
		h.Check(first.wait().Outcome, qt.Equals, OutcomeUnknown)
		h.Check(h.submit(e, "1f", 5).wait().Reason, qt.Equals, reasonJobReused)
		h.Check(second.wait().Outcome, qt.Equals, OutcomeDone)
		h.Check(e.HasOpenJob("1f"), qt.IsFalse)
		// The first wait ends 1 s before the retention of the answer, which is
		// reused; the second wait ends after it, and the job runs again.
		for _, starts := range []int{4, 8} {
			time.Sleep(leasedAnswerRetention - 2*time.Second*time.Duration(8-starts)/4 + time.Second)
			h.Check(h.submit(e, "1f", 4).wait().Outcome, qt.Equals, OutcomeDone)
			h.Check(h.upstreams.totalStarts(), qt.Equals, starts)
		}
	})
}

// Guards against jobs that outlast the grace time of a planned stop and get no answer
// because the process is killed.
func TestPlannedStopAnswersBeforeItsGraceTimeEnds(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil, func(o *Options) { o.Settings.Timing.StopNotice, o.Settings.Timing.StopGrace = 1000*ms, 3000*ms })
		h.worker(1, runsFor(6000))
		waitForDiscovery()
		running := h.submit(e, "running", 8) // takes all cores
		waiting := h.submit(e, "waiting", 8)
		began := time.Now()
		stopped := make(chan error, 1)
		go func() { stopped <- e.Stop(context.Background()) }()
		h.Check(running.wait(), qt.Equals, Answer{Outcome: OutcomeUnknown, Reason: reasonStopping, Detail: "the entry had to stop before the job was done"})
		h.Check(waiting.wait(), qt.Equals, Answer{
			Outcome: OutcomeNotRun, Reason: reasonStopping, Detail: "the entry had to stop before the job was done", RetryAfter: time.Second,
		})
		h.Check(<-stopped, qt.IsNil)
		h.Check(time.Since(began) <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		time.Sleep(time.Second)
		alive, _ := h.upstreams.runningAndStarts("")
		h.Check(alive, qt.Equals, 0)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 8)
	})
}

// Guards against runs that go on after the last caller has disconnected,
// against a job that is submitted again and starts while runs of the earlier
// job have not ended, and against renewing a session that is in doubt.
func TestCallerOfLeasedJobIsGone(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		h.worker(1, runsFor(3000))
		waitForDiscovery()
		s := h.submit(e, "1f", 4)
		time.Sleep(100 * time.Millisecond)
		renews := func(d *dispatcher) uint64 { return d.heartbeatReply(d.agents["a1"]).Renews }
		e.dispatcher.postAndWait(func(d *dispatcher) { h.Check(renews(d), qt.Equals, uint64(1)) })
		h.net.Partition("10.0.1.1", "10.0.2.1") // the Cancel message is lost
		s.cancel()
		h.Check(s.wait().Outcome, qt.Equals, OutcomeFailed)
		again := h.submit(e, "1f", 4)
		h.worker(2, runsFor(100))
		time.Sleep(600 * time.Millisecond)
		e.dispatcher.postAndWait(func(d *dispatcher) { h.Check(renews(d), qt.Equals, uint64(0)) })
		h.Check(e.PendingJobs("step"), qt.Equals, 1)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 4)
		h.Check(again.wait().Outcome, qt.Equals, OutcomeDone)
		h.Check(e.PendingJobs("step"), qt.Equals, 0)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 8)
		h.Check(h.upstreams.maxConcurrent, qt.Equals, 1)
	})
}

// Guards against a task that is never started again when its agent is silent or
// its process is replaced, and against starting it at another agent while the
// first run may go on.
func TestLeasedTaskOfLostAgentStartsElsewhere(t *testing.T) {
	for name, fault := range map[string]func(h *harness, a *fakeAgent){
		"silent":         func(h *harness, _ *fakeAgent) { h.net.Partition("10.0.1.1", "10.0.2.1") },
		"dead":           func(_ *harness, a *fakeAgent) { a.die() },
		"replaced":       func(_ *harness, a *fakeAgent) { a.die(); a.start() },
		"replaced later": func(_ *harness, a *fakeAgent) { a.die(); time.Sleep(time.Second); a.start() },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.leasedEntry(nil)
				a := h.worker(1, runsFor(900))
				waitForDiscovery()
				s := h.submit(e, "1f", 4)
				time.Sleep(100 * time.Millisecond)
				h.Check(h.upstreams.totalStarts(), qt.Equals, 4)
				h.worker(2, runsFor(200))
				begin := time.Now()
				fault(h, a)
				h.Check(s.wait().Outcome, qt.Equals, OutcomeDone)
				h.Check(h.upstreams.maxConcurrent, qt.Equals, 1)
				h.Check(h.upstreams.totalStarts(), qt.Equals, 8)
				took := time.Since(begin)
				// The first run may go on until Timing.Reconcile, 1.3 s, has passed.
				h.Check(took >= 1300*time.Millisecond && took < 2900*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
			})
		})
	}
}

// Guards against attempts that are miscounted, go to the same agent again
// although another one has room, or are made after the last allowed one, and
// against other tasks of the job that still run after it has failed.
func TestFailedAndInterruptedLeasedTasks(t *testing.T) {
	failed := script{duration: time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError}}
	lost := script{duration: time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeInterrupted, Reason: wire.ReasonWorkerLost}}
	for _, tc := range []struct {
		name   string
		task0  [2]script // script of task 0 at each agent
		want   Answer
		starts int // number of starts of task 0
	}{
		{"fails once", [2]script{failed, runsFor(100)}, Answer{Outcome: OutcomeDone}, 2},
		{"fails always", [2]script{failed, failed}, Answer{Outcome: OutcomeFailed, Reason: wire.ReasonUpstreamError}, 3},
		{"interrupted once", [2]script{lost, runsFor(100)}, Answer{Outcome: OutcomeDone}, 2},
		{"interrupted always", [2]script{lost, lost}, Answer{Outcome: OutcomeUnknown, Reason: wire.ReasonWorkerLost}, maxInterruptions + 1},
		{"refused by the worker", [2]script{{refuse: wire.ReasonWorkerRefused}, runsFor(100)}, Answer{Outcome: OutcomeDone}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.leasedEntry(nil)
				for i, s := range tc.task0 {
					h.worker(i+1, s).setScript(func(t wire.Task) script {
						return []script{s, runsFor(4000)}[min(t.Index, 1)]
					})
				}
				waitForDiscovery()
				got := h.submit(e, "1f", 2).wait()
				got.Detail = ""
				h.Check(got, qt.Equals, tc.want)
				time.Sleep(10 * time.Millisecond)
				running, starts := h.upstreams.runningAndStarts("1f/0")
				h.Check(starts, qt.Equals, tc.starts)
				h.Check(running, qt.Equals, 0)
				h.checkNoStateLeft(e)
			})
		})
	}
}

// Guards against a task that uses up its attempts at a worker that fails every
// run, which has room while the healthy workers are busy. The task must wait
// for another worker, without blocking other tasks.
func TestFailedTaskWaitsForAnotherWorker(t *testing.T) {
	failed := script{duration: time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError}}
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		h.worker(1, failed).setScript(func(t wire.Task) script {
			if t.Leased.Job == "1f" {
				return failed
			}
			return runsFor(50)
		})
		h.worker(2, runsFor(400))
		waitForDiscovery()
		fill := h.submit(e, "fill", 16) // 8 at each worker
		time.Sleep(60 * time.Millisecond)
		begin := time.Now()
		s := h.submit(e, "1f", 1)
		h.Check(h.submit(e, "2f", 1).wait().Outcome, qt.Equals, OutcomeDone)
		h.Check(time.Since(begin) < 200*time.Millisecond, qt.IsTrue)
		h.Check(s.wait().Outcome, qt.Equals, OutcomeDone)
		h.Check(time.Since(begin) > 400*time.Millisecond, qt.IsTrue)
		h.Check(fill.wait().Outcome, qt.Equals, OutcomeDone)
		_, starts := h.upstreams.runningAndStarts("1f/0")
		h.Check(starts, qt.Equals, 2)
	})
}

// Guards against a paused entry that, when it resumes, starts tasks of jobs
// whose callers have disconnected and submitted them to another entry
// meanwhile.
func TestPausedEntryStartsNothingForCallersThatLeft(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		h.worker(1, runsFor(700))
		waitForDiscovery()
		gone := h.submit(e, "1f", 12) // 8 run at a time
		stays := h.submit(e, "2f", 4)
		time.Sleep(100 * time.Millisecond)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 8)
		e.dispatcher.post(func(*dispatcher) { time.Sleep(1500 * time.Millisecond) })
		time.Sleep(1510 * time.Millisecond)
		h.worker(2, runsFor(700)) // has free capacity
		// The resumed process notices the closed connection 40 ms later.
		time.Sleep(30 * time.Millisecond)
		gone.cancel()
		h.Check(stays.wait().Outcome, qt.Equals, OutcomeDone)
		time.Sleep(2 * time.Second)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 12)
		h.Check(h.upstreams.maxConcurrent, qt.Equals, 1)
	})
}

// Guards against a caller that waits past the deadline of its job because the timers
// of its entry stood still while the machine was suspended.
func TestDeadlinesIncludeSuspensions(t *testing.T) {
	inBubble(t, func(h *harness) {
		var suspended atomic.Int64
		offset := func() time.Duration { return time.Duration(suspended.Load()) }
		e := h.leasedEntry(nil, func(o *Options) { o.Clock = clock.New(time.Now, offset) })
		h.worker(1, runsFor(20000))
		waitForDiscovery()
		running := h.submit(e, "1f", 8) // occupies all cores until its deadline, after 10 s
		time.Sleep(100 * time.Millisecond)
		waiting := h.submit(e, "2f", 1)
		time.Sleep(9400 * time.Millisecond)
		suspended.Store(int64(500 * time.Millisecond)) // shorter than the lapse, after which jobs are given up
		begin := time.Now()
		h.Check(waiting.wait().Outcome, qt.Equals, OutcomeNotRun)
		h.Check(running.wait().Outcome, qt.Equals, OutcomeUnknown)
		h.Check(time.Since(begin) <= 2*tickInterval, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
	})
}

// Guards against an entry that starts the tasks of a caller whose context has ended while
// the submission waited for the dispatcher. The context is all that the entry knows of a
// program that embeds it, and of a stream of HTTP/2 that its caller resets.
func TestContextEndsWhileTheSubmissionWaits(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		h.worker(1, runsFor(200))
		waitForDiscovery()
		e.dispatcher.post(func(*dispatcher) { time.Sleep(100 * time.Millisecond) }) // no pause: shorter than a heartbeat
		gone := h.submit(e, "1f", 3)
		time.Sleep(50 * time.Millisecond)
		gone.cancel()
		gone.wait()
		time.Sleep(time.Second)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 0)
	})
}
