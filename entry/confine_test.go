package entry

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/wire"
)

// crashingPool is a pool of workers that crash under task 0 of each job whose
// identifier begins with "bad".
type crashingPool struct {
	agents []*fakeAgent

	mu   sync.Mutex
	runs map[string]map[int]bool // numbers of the workers that ran tasks, by template
}

func (h *harness) crashingPool(workers int) *crashingPool {
	p := &crashingPool{runs: map[string]map[int]bool{}}
	for i := range workers {
		a := h.worker(i+1, script{})
		a.setScript(func(t wire.Task) script { return p.run(i+1, t) })
		p.agents = append(p.agents, a)
	}
	return p
}

func (p *crashingPool) run(worker int, t wire.Task) script {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs[t.Template] == nil {
		p.runs[t.Template] = map[int]bool{}
	}
	p.runs[t.Template][worker] = true
	switch {
	case strings.HasPrefix(t.Leased.Job, "bad") && t.Index == 0:
		return script{duration: time.Millisecond, result: &wire.Result{
			Outcome: wire.OutcomeInterrupted, Reason: wire.ReasonWorkerLost, Crash: wire.CrashSuspect}}
	case strings.HasPrefix(t.Leased.Job, "fails-once") && t.Attempt == 0:
		return script{duration: time.Millisecond, result: &wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonUpstreamError}}
	case strings.HasPrefix(t.Leased.Job, "long"):
		return runsFor(9000)
	}
	return runsFor(50)
}

// workersUsed returns the number of workers that ran tasks of the template since the
// last call.
func (p *crashingPool) workersUsed(template string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.runs[template])
	delete(p.runs, template)
	return n
}

// addOtherTemplate adds a template "other" of the same pool to the configuration.
func (h *harness) addOtherTemplate() {
	h.storeConfig(3, func(d *config.Document) {
		for _, name := range []string{"step", "other"} {
			d.Templates = append(d.Templates, config.Template{
				Name: name, Account: "portal", Kind: config.KindLeased, DeadlineMS: 10000, ExpectedMS: 200,
				Pool: "bench", MaxAttempts: 3, SlackFactor: 4, TargetMS: 2000, Needs: config.Needs{MilliCPU: 4000, MemoryMB: 64},
			})
		}
	})
}

// confinedEntry starts an entry with ten workers, at which two tasks of the template
// "step" have been given up.
func (h *harness) confinedEntry() (*Entry, *crashingPool) {
	e := h.leasedEntry(nil)
	h.addOtherTemplate()
	pool := h.crashingPool(10)
	waitForDiscovery()
	for i := range 2 {
		h.Check(h.submit(e, fmt.Sprint("bad", i), 2).wait().Outcome, qt.Equals, OutcomeFailed)
	}
	return e, pool
}

// confined returns the number of agents to which the template is confined; 0 if it is
// not.
func (h *harness) confined(e *Entry, template string) (members int) {
	e.dispatcher.postAndWait(func(d *dispatcher) { members = len(d.confined.members[template]) })
	return members
}

// Guards against a template that takes down the whole pool: after two of its tasks
// were given up, it gets only the workers that the others do not need, at every
// entry, and all workers again once it has behaved.
func TestTemplateThatCrashesWorkersIsConfined(t *testing.T) {
	inBubble(t, func(h *harness) {
		e, pool := h.confinedEntry()
		h.Check(h.confined(e, "step") > 0, qt.IsTrue)
		h.Check(h.confined(e, "other"), qt.Equals, 0)
		h.Check(e.State().Containment.Convictions, qt.DeepEquals, map[string]int{"step": 2})

		long := h.submitAsync(e, Submission{Job: "long", Template: "other", Count: 40}) // half of the pool
		time.Sleep(5 * time.Second)
		pool.workersUsed("step")
		for i := range 20 {
			h.Check(h.submit(e, fmt.Sprint("good", i), 8).wait().Outcome, qt.Equals, OutcomeDone)
		}
		h.Check(h.confined(e, "step"), qt.Equals, 3)
		h.Check(pool.workersUsed("step") <= 3, qt.IsTrue)
		h.Check(long.wait().Outcome, qt.Equals, OutcomeDone)

		time.Sleep(containment.Memory)
		h.Check(h.confined(e, "step"), qt.Equals, 0)
		h.Check(e.State().Containment, qt.IsNil)
		h.submit(e, "after", 40).wait()
		h.Check(pool.workersUsed("step") > 5, qt.IsTrue)
	})
}

// Guards against jobs of a confined template that wait for workers that are down, and
// against idle workers beside them while nobody else needs these.
func TestJobsOfAConfinedTemplate(t *testing.T) {
	inBubble(t, func(h *harness) {
		e, pool := h.confinedEntry()
		time.Sleep(2 * time.Second)
		pool.workersUsed("step")
		h.submit(e, "idle", 40).wait()
		h.Check(pool.workersUsed("step") > 5, qt.IsTrue)

		e.dispatcher.postAndWait(func(d *dispatcher) {
			for id := range d.confined.members["step"] {
				d.agents[id].leaving = true
				d.updateUsable(d.agents[id])
			}
		})
		refused := h.submit(e, "refused", 2).wait()
		h.Check(refused.Outcome, qt.Equals, OutcomeNotRun)
		h.Check(refused.RetryAfter, qt.Equals, refusalRetryAfter)
	})
}

// Guards against a failed task of a confined template that waits for an agent on which
// it may not start, while the one agent that is left to it has room.
func TestFailedTaskOfAConfinedTemplateIsTriedAgain(t *testing.T) {
	inBubble(t, func(h *harness) {
		e, pool := h.confinedEntry()
		h.submitAsync(e, Submission{Job: "long", Template: "other", Count: 40})
		time.Sleep(5 * time.Second)
		members := map[string]bool{}
		e.dispatcher.postAndWait(func(d *dispatcher) { members = d.confined.members["step"] })
		h.Assert(members, qt.HasLen, 3)
		left := 0
		for _, a := range pool.agents {
			if a.mu.Lock(); members[a.ref.ID] {
				left++
				a.leaving = left > 1
			}
			a.mu.Unlock()
		}
		time.Sleep(time.Second)
		began := time.Now()
		h.Check(h.submit(e, "fails-once", 1).wait().Outcome, qt.Equals, OutcomeDone)
		h.Check(time.Since(began) < time.Second, qt.IsTrue)
	})
}

// Guards against tasks on probation that hold up the tasks behind them while no
// worker takes them.
func TestTasksOnProbationDoNotHoldUpOthers(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.leasedEntry(nil)
		for i := range 2 {
			h.worker(i+1, script{}).setScript(func(t wire.Task) script {
				switch {
				case t.Leased.Probation:
					return script{refuse: wire.ReasonProbation}
				case strings.HasPrefix(t.Leased.Job, "bad"):
					return script{duration: time.Millisecond, result: &wire.Result{
						Outcome: wire.OutcomeInterrupted, Reason: wire.ReasonWorkerLost, Crash: wire.CrashSuspect}}
				}
				return runsFor(50)
			})
		}
		waitForDiscovery()
		began := time.Now()
		bad := h.submit(e, "bad", 30)
		time.Sleep(100 * time.Millisecond)
		h.Check(h.submit(e, "good", 8).wait().Outcome, qt.Equals, OutcomeDone)
		h.Check(time.Since(began) < time.Second, qt.IsTrue)
		h.Check(bad.wait().Outcome, qt.Equals, OutcomeUnknown)
		e.dispatcher.postAndWait(func(d *dispatcher) { h.Check(d.probation, qt.HasLen, 0) })
		h.checkNoStateLeft(e)
	})
}

// Guards against an idempotent request that breaks one upstream after the other, as
// often as the retry budget allows.
func TestRequestThatBreaksUpstreamsIsGivenUp(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		var agents []*fakeAgent
		for i := range 9 {
			a := h.agent(i+1, "anping")
			a.setScript(sameScript(script{duration: time.Millisecond, result: &wire.Result{
				Outcome: wire.OutcomeUnknown, Reason: wire.ReasonUpstreamError, Detail: "connection reset"}}))
			agents = append(agents, a)
		}
		waitForDiscovery()
		h.checkProblem(postJob(e, "check", "spell", 1), OutcomeUnknown)
		runs := 0
		for _, a := range agents {
			a.mu.Lock()
			runs += a.runs
			a.mu.Unlock()
		}
		h.Check(runs <= 5, qt.IsTrue, qt.Commentf("%d upstreams broke; three may, and two more starts may follow", runs))
	})
}

// Guards against an entry that ends because a heartbeat reports crashes under a task
// which the open job does not have.
func TestCrashReportsOfTasksThatDoNotExist(t *testing.T) {
	for _, index := range []int{-1, 1, 1 << 40} {
		inBubble(t, func(h *harness) {
			e := h.leasedEntry(nil)
			report := func(agent *fakeAgent, sequence uint64) {
				agent.mu.Lock()
				defer agent.mu.Unlock()
				agent.suspects = append(agent.suspects, wire.CrashReport{
					Entry: 1, Key: wire.TaskKey{Sequence: sequence}, Account: "portal", Job: "1f", Index: index, Role: wire.CrashUnconfirmed,
				})
			}
			a := h.worker(1, runsFor(3000))
			report(a, 1)
			report(a, 2)
			waitForDiscovery()
			s := h.submit(e, "1f", 1)
			report(a, 3)
			h.Check(s.wait().Outcome, qt.Equals, OutcomeDone)
		})
	}
}

// Guards against a crash that counts twice, by repeated reports or by the result of the
// run as well, and against crashes at another entry that do not count for the next
// submission here.
func TestReportedCrashesCountOnce(t *testing.T) {
	for elsewhere, starts := range []int{4, 4, 2, 1} {
		t.Run(fmt.Sprint("elsewhere ", elsewhere), func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.leasedEntry(nil)
				for i := range 5 {
					a := h.worker(i+1, script{duration: 1200 * time.Millisecond, result: &wire.Result{
						Outcome: wire.OutcomeInterrupted, Reason: wire.ReasonWorkerLost, Crash: wire.CrashUnconfirmed}})
					a.mu.Lock()
					a.reportsCrashes = true
					if i < elsewhere {
						a.suspects = []wire.CrashReport{{Entry: 1, Account: "portal", Job: "bad", Role: wire.CrashUnconfirmed}}
					}
					a.mu.Unlock()
				}
				waitForDiscovery()
				h.Check(h.submit(e, "bad", 1).wait().Outcome, qt.Equals, OutcomeFailed)
				h.Check(h.upstreams.totalStarts(), qt.Equals, starts)
			})
		})
	}
}
