package systemtest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/settings"
)

// messageDelay is the one-way delay between processes. It separates the steps of a
// task: sent at 0, started after 1 delay, and its result received 2 delays plus
// the service time after it was sent.
const messageDelay = 2 * time.Millisecond

// serviceTime is the service time of tasks during which faults are injected.
const serviceTime = 300 * time.Millisecond

// faultTimes are times after the submission at which faults are injected: before
// tasks start, while messages are under way, while tasks run, and around the
// arrival of their results.
var faultTimes = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 150 * time.Millisecond,
	serviceTime + time.Millisecond, serviceTime + messageDelay, serviceTime + 3*time.Millisecond,
}

// fault is a fault of entry 0, of agent 0 or of the connections of either.
type fault struct {
	name   string
	inject func(s *system)
}

// injectFor returns a function that begins a fault, waits for d and ends it.
func injectFor(d time.Duration, begin, end func(s *system)) func(s *system) {
	return func(s *system) {
		begin(s)
		time.Sleep(d)
		end(s)
	}
}

// forEachAgent applies a network rule to entry 0 and each agent.
func forEachAgent(s *system, rule func(entry, agent string)) {
	for i := range s.agents {
		rule(entryHost(0), agentHost(i))
	}
}

func healAll(s *system) { forEachAgent(s, s.net.Heal) }

// singleFaults are single faults of processes and connections.
var singleFaults = []fault{
	{"entry killed", func(s *system) { s.entries[0].kill() }},
	{"entry replaced", func(s *system) { s.restartEntry(0) }},
	{"agent killed", func(s *system) { s.agents[0].kill() }},
	{"agent replaced", func(s *system) { s.restartAgent(0) }},
	{"connections reset", func(s *system) { forEachAgent(s, s.net.Cut); healAll(s) }},
	{"cut for 2 s", injectFor(2*time.Second, func(s *system) { forEachAgent(s, s.net.Cut) }, healAll)},
	{"cut for 8 s", injectFor(8*time.Second, func(s *system) { forEachAgent(s, s.net.Cut) }, healAll)},
	{"connections silent", func(s *system) { forEachAgent(s, s.net.Freeze) }},
	{"requests silent", func(s *system) { forEachAgent(s, s.net.FreezeDirection) }},
	{"answers silent", func(s *system) {
		forEachAgent(s, func(e, a string) { s.net.FreezeDirection(a, e) })
	}},
	{"requests late by 2 s", injectFor(2*time.Second, func(s *system) { forEachAgent(s, s.net.Drop) }, healAll)},
	{"requests late by 8 s", injectFor(8*time.Second, func(s *system) { forEachAgent(s, s.net.Drop) }, healAll)},
	{"answers late by 2 s", injectFor(2*time.Second, func(s *system) {
		forEachAgent(s, func(e, a string) { s.net.Drop(a, e) })
	}, healAll)},
	{"answers late by 8 s", injectFor(8*time.Second, func(s *system) {
		forEachAgent(s, func(e, a string) { s.net.Drop(a, e) })
	}, healAll)},
	{"entry paused for 2 s", injectFor(2*time.Second, func(s *system) { s.entries[0].pause() }, func(s *system) { s.entries[0].resume() })},
	{"entry paused for 12 s", injectFor(12*time.Second, func(s *system) { s.entries[0].pause() }, func(s *system) { s.entries[0].resume() })},
	{"agent paused for 2 s", injectFor(2*time.Second, func(s *system) { s.agents[0].pause() }, func(s *system) { s.agents[0].resume() })},
	{"agent paused for 12 s", injectFor(12*time.Second, func(s *system) { s.agents[0].pause() }, func(s *system) { s.agents[0].resume() })},
	{"connections reset twice", func(s *system) {
		for range 2 {
			forEachAgent(s, s.net.Cut)
			healAll(s)
			time.Sleep(messageDelay / 2)
		}
	}},
	{"silent, then replaced", func(s *system) { forEachAgent(s, s.net.Freeze); time.Sleep(time.Second); s.restartAgent(0) }},
	{"upstream connection reset", func(s *system) {
		s.net.Cut(agentHost(0), upstreamHost(0))
		s.net.Heal(agentHost(0), upstreamHost(0))
	}},
}

// Guards against a second start of a task, a partial answer and a false "not run"
// when a process or a connection fails at any step of a task, and against a system
// that no longer serves jobs afterwards.
func TestFaultAtEachStep(t *testing.T) {
	for _, f := range singleFaults {
		for _, at := range faultTimes {
			t.Run(fmt.Sprintf("%s at %s", f.name, at), func(t *testing.T) {
				t.Parallel()
				withSystem(t, layout{}, func(s *system) {
					s.setDelay(messageDelay)
					for _, template := range []string{"work", "again"} {
						s.submit(0, job{template: template, tasks: 10, serviceTime: serviceTime})
					}
					s.submit(1, job{tasks: 4, serviceTime: serviceTime})
					time.Sleep(at)
					f.inject(s)
					time.Sleep(6 * time.Second)
					s.expectOutcome(s.submit(1, job{tasks: 8}), "done")
				})
			})
		}
	}
}

// setDelay sets the one-way delay of messages between all processes.
func (s *system) setDelay(d time.Duration) {
	ps := s.processes()
	for i, p := range ps {
		for _, q := range ps[i+1:] {
			s.net.Delay(p.host, q.host, d)
		}
	}
}

// Guards against the start of a task whose request is delayed by the network until
// the entry has resolved the task. The entry's newer session must fence the
// request.
func TestRequestThatArrivesAfterReconciliationDoesNotStart(t *testing.T) {
	withSystem(t, layout{entries: []string{recife}, agents: []string{recife, fortaleza}, slots: 1}, func(s *system) {
		s.net.Drop(entryHost(0), agentHost(0)) // requests and new connections are delayed
		sub := s.submit(0, job{tasks: 2})
		time.Sleep(10 * time.Second)
		s.net.Heal(entryHost(0), agentHost(0))
		<-sub.done
		s.Check(sub.err, qt.IsNil)
		time.Sleep(5 * time.Second)
	})
}

// Guards against a second start by net/http, which resends a request without a body
// when a kept-alive connection breaks before the answer.
func TestBrokenKeptAliveConnectionIsNotReplayed(t *testing.T) {
	withSystem(t, layout{entries: []string{recife}, agents: []string{recife}, slots: 1}, func(s *system) {
		get := func() int {
			status, _ := s.request(http.MethodGet, entryHost(0), "/v1/requests/request/x?service_ms=300")
			return status
		}
		s.Check(get(), qt.Equals, http.StatusOK) // leaves a kept-alive connection
		s.background.Go(func() {
			time.Sleep(serviceTime / 2)
			s.net.Cut(agentHost(0), upstreamHost(0))
			s.net.Heal(agentHost(0), upstreamHost(0))
		})
		s.Check(get(), qt.Equals, http.StatusGatewayTimeout)
		s.Check(s.record.Starts(), qt.HasLen, 2)
	})
}

// Guards against a second start of a task when the agent no longer has the record
// of the first. Absence from a truncated list does not prove that a task was not
// started.
func TestTruncatedListIsNotTakenForNotRun(t *testing.T) {
	for _, template := range []string{"work", "again"} {
		withSystem(t, layout{
			entries: []string{recife}, agents: []string{recife, fortaleza}, slots: 8,
			agent: func(a *settings.Agent) { a.MaxRecords = 1 },
		}, func(s *system) {
			sub := s.submit(0, job{template: template, tasks: 12})
			time.Sleep(50 * time.Millisecond)
			s.net.FreezeDirection(agentHost(0), entryHost(0)) // the results are lost
			<-sub.done
			s.Check(sub.succeeded(), qt.Equals, template == "again", qt.Commentf("%.200s", sub.rawBody))
		})
	}
}
