package systemtest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// standInKinds are kinds of events in which stand-ins do what the contracts permit
// and the kinds of eventKinds leave out. Each of them has a row in
// docs/decisions/stand-ins.md.
var standInKinds = []string{
	"all silent", "all silent", "slow return", "slow return", "power off entry", "power off agent",
	"store leases pause", "upstream persists", "upstream silent", "upstream reads late", "upstream reads late", "jitter", "jitter", "jitter to upstream",
	"sent to both", "sent to both", "sent and left",
}

// keyedJob is a job that every event which repeats it sends with the same body.
func keyedJob(key string) job {
	return job{idempotencyKey: key, keyPrefix: key, tasks: 5, serviceTime: serviceTime, deadline: 12 * time.Second}
}

// applyStandInEvent executes one event of standInKinds.
func (s *system) applyStandInEvent(e event, during func(begin, end func())) {
	entry, agent := s.entries[e.entry], s.agents[e.agent]
	switch e.kind {
	case "all silent":
		for _, a := range s.processes() {
			for _, b := range s.processes() {
				s.net.Freeze(a.host, b.host)
			}
		}
		for i, a := range s.agents {
			s.net.Freeze(a.host, upstreamHost(i))
		}
	case "slow return":
		during(func() { s.net.Partition(entry.host, agent.host) }, func() { s.net.HealSlowly(entry.host, agent.host, e.duration/2) })
	case "power off entry": // and on again at once
		s.net.PowerOff(entry.host)
		s.net.PowerOn(entry.host)
		s.restartEntry(e.entry)
	case "power off agent":
		s.net.PowerOff(agent.host)
		s.net.PowerOn(agent.host)
		s.restartAgent(e.agent)
	case "store leases pause":
		during(func() { s.setStoreDown(true); s.store.PauseLeases(true) }, func() { s.store.PauseLeases(false); s.setStoreDown(false) })
	case "upstream persists":
		during(func() { agent.upstream.SetFaults(upstreamstub.Faults{Persist: true}) }, func() { agent.upstream.SetFaults(upstreamstub.Faults{}) })
	case "upstream reads late":
		during(func() { agent.upstream.SetFaults(upstreamstub.Faults{ReadLateMS: e.duration.Milliseconds() / 3}) }, func() { agent.upstream.SetFaults(upstreamstub.Faults{}) })
	case "jitter":
		during(func() { s.net.Jitter(entry.host, agent.host, e.serviceTime) }, func() { s.net.Jitter(entry.host, agent.host, 0) })
	case "jitter to upstream":
		during(func() { s.net.Jitter(agent.host, upstreamHost(e.agent), e.serviceTime) }, func() { s.net.Jitter(agent.host, upstreamHost(e.agent), 0) })
	case "sent to both":
		s.submit(e.entry, keyedJob("k3"))
		s.submit(1-e.entry, keyedJob("k3"))
	case "sent and left":
		left := s.submit(e.entry, keyedJob("k4"))
		time.Sleep(time.Duration(e.tasks-1) * 100 * time.Microsecond)
		left.cancel()
		s.submit(1-e.entry, keyedJob("k4"))
	case "upstream silent":
		s.net.Freeze(agent.host, upstreamHost(e.agent))
	default:
		s.applyEvent(e, during)
	}
}

// Guards against faults that every other test misses because a stand-in promises
// more than the contract that it stands for.
func TestStandInRandomSchedules(t *testing.T) {
	kinds := append(append([]string{}, standInKinds...), eventKinds...)
	b := storeFaultBounds{stale: maxStaleReads}
	checkDrawnSchedules(t, func(r *rapid.T) event {
		e := drawEvent(r)
		e.kind = rapid.SampledFrom(kinds).Draw(r, "any kind")
		return e
	}, func(c *qt.C, events []event) { runSchedule(c, events, b, (*system).applyStandInEvent) })
}
