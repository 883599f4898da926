package leasedtest

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/store"
)

// standInChecks is the number of random schedules with the worse behaviour of
// stand-ins that CI runs.
const standInChecks = "15"

// maxCallerDelay bounds the delays of a caller's messages. Section 13.3 has a
// reserve of 166 ms from the end of a caller's call to the cancellation.
const maxCallerDelay = 150

// longestOutageLease is the time to live of the leases that outages of the store end
// at once in random schedules. Leases of end records live longer, and
// TestLeasesExpireInAnOutage covers them.
const longestOutageLease = 10 * time.Second

// standInKinds are kinds of events in which stand-ins do what the contracts permit
// and the kinds of eventKinds leave out. Each of them has a row in
// docs/decisions/stand-ins.md.
var standInKinds = []string{
	"all silent", "all silent", "silent peers", "silent store", "silent agent's store", "silent direction", "silent direction back",
	"slow return", "slow return", "power off entry", "power off agent", "power off agent",
	"store refuses entry", "store refuses agent", "store slow", "store answers silent", "store reads silent", "store down, leases expire",
	"store down, leases pause", "store watch silent", "foreign registration",
	"store pages short", "jitter", "jitter", "jitter to the store", "ends noticed late",
	"worker's connections reset", "worker's connections reset and refused", "worker's connections reset and refused", "worker's connections flap",
}

// callerKinds are the calls of eventKinds.
var callerKinds = []string{"submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "burst", "leave", "leave", "leave"}

// drawLink draws how a caller's messages travel.
func drawLink(t *rapid.T) callerLink {
	delay := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, maxCallerDelay).Draw(t, name)) * ms
	}
	return callerLink{requestLate: delay("request late"), endLate: delay("end late"), endLost: rapid.Bool().Draw(t, "end lost")}
}

// drawStandInEvent draws an event and how the caller of its job behaves.
func drawStandInEvent(t *rapid.T, kinds []string) event {
	e := drawEvent(t, kinds)
	e.job.link = drawLink(t)
	e.job.sameEntry = rapid.IntRange(0, 3).Draw(t, "same entry") == 0
	e.job.hasty = max(0, rapid.IntRange(-4, 2).Draw(t, "hasty"))
	e.job.atOnce = rapid.Bool().Draw(t, "resent at once")
	return e
}

// applyStandInEvent executes an event of standInKinds, and passes others on.
func (s *system) applyStandInEvent(e event, others func(event)) {
	from, to := entryHost(e.entry), agentHost(e.agent)
	switch e.kind {
	case "all silent":
		for i := range s.entries {
			for j := range s.agents {
				s.net.Freeze(entryHost(i), agentHost(j))
				s.net.Freeze(agentHost(j), storeHost)
			}
			s.net.Freeze(entryHost(i), storeHost)
		}
		s.net.Freeze(entryHost(0), entryHost(1))
	case "silent peers":
		s.net.Freeze(entryHost(0), entryHost(1))
	case "silent store":
		s.net.Freeze(from, storeHost)
	case "silent agent's store":
		s.net.Freeze(to, storeHost)
	case "silent direction":
		s.net.FreezeDirection(from, to)
	case "silent direction back":
		s.net.FreezeDirection(to, from)
	case "slow return":
		s.injectFor(e.duration, func() { s.net.Partition(from, to) }, func() { s.net.HealSlowly(from, to, e.duration) })
	case "power off entry":
		s.powerOffEntry(e.entry, e.duration)
	case "power off agent":
		s.powerOffAgent(e.agent, e.duration)
	case "jitter":
		s.injectFor(e.duration, func() { s.net.Jitter(from, to, e.job.duration/3) }, func() { s.net.Jitter(from, to, 0) })
	case "jitter to the store":
		s.injectFor(e.duration, func() { s.net.Jitter(from, storeHost, e.job.duration/3) }, func() { s.net.Jitter(from, storeHost, 0) })
	case "ends noticed late":
		p := s.entry(e.entry)
		s.injectFor(e.duration, func() { p.setEndsNoticedLate(e.job.duration / 4) }, func() { p.setEndsNoticedLate(0) })
	case "worker's connections reset":
		s.setWorkerFaults(e.agent, e.duration, leasestub.Faults{Reset: true})
	case "worker's connections reset and refused":
		s.setWorkerFaults(e.agent, e.duration, leasestub.Faults{Reset: true, Refuse: true})
	case "worker's connections flap":
		s.faults.Go(func() {
			for range 10 {
				s.setWorkerFaults(e.agent, e.job.duration/50, leasestub.Faults{Reset: true, Refuse: true})
				time.Sleep(e.duration / 10)
			}
		})
	case "foreign registration":
		s.putForeignRegistration(e.job.tasks)
	default:
		if !s.applyStandInStoreEvent(e) {
			others(e)
			return
		}
	}
	s.tracef("%v", e)
}

// applyStandInStoreEvent executes the events of standInKinds that concern the
// store, and reports whether the event is one.
func (s *system) applyStandInStoreEvent(e event) bool {
	refuse := func(host string, status int) {
		s.injectFor(2*e.duration, func() { s.store.Refuse(host, status) }, func() { s.store.Refuse(host, 0) })
	}
	silent := func(begin func()) {
		s.injectFor(e.duration, func() { s.store.SetSilentLosses(true); begin() }, func() { s.store.SetSilentLosses(false) })
	}
	switch e.kind {
	case "store refuses entry":
		refuse(entryHost(e.entry), http.StatusServiceUnavailable)
	case "store refuses agent":
		refuse(agentHost(e.agent), http.StatusTooManyRequests)
	case "store pages short":
		s.injectFor(2*e.duration, func() { s.store.SetPageKeys(e.job.tasks); s.store.SetLatency(30 * ms) }, func() { s.store.SetPageKeys(0); s.store.SetLatency(0) })
	case "store slow":
		s.injectFor(e.duration, func() { s.store.SetLatency(300 * ms) }, func() { s.store.SetLatency(0) })
	case "store answers silent":
		silent(func() { s.store.LoseAnswers(e.job.tasks) })
	case "store reads silent":
		silent(func() { s.store.LoseReads(e.job.tasks) })
	case "store down, leases expire":
		s.injectFor(2*e.duration, func() { s.store.SetDown(true); s.store.ExpireLeasesUpTo(longestOutageLease) }, func() { s.store.SetDown(false) })
	case "store down, leases pause":
		s.injectFor(2*e.duration, func() { s.store.SetDown(true); s.store.PauseLeases(true) },
			func() { s.store.PauseLeases(false); s.store.SetDown(false) })
	case "store watch silent":
		s.injectFor(2*e.duration, func() { s.store.SetSilentWatch(true) }, func() { s.store.SetSilentWatch(false) })
	default:
		return false
	}
	return true
}

// setWorkerFaults makes a worker fail for the given time.
func (s *system) setWorkerFaults(i int, d time.Duration, f leasestub.Faults) {
	s.injectFor(d, func() { s.workers[i].SetFaults(f) }, func() { s.workers[i].SetFaults(leasestub.Faults{}) })
}

// putForeignRegistration writes an unusable registration of an entry.
func (s *system) putForeignRegistration(n int) {
	values := []string{
		"", "{", "[]", "null", "7", "\xff\xfe", `{"id":7}`, `{"id":"e0","incarnation":"x","peer_address":[]}`,
	}
	s.store.Put(fmt.Sprint(store.EntriesPrefix, "x", n), []byte(values[n%len(values)]))
}

// powerOffEntry takes the power from an entry's machine. A new process starts after
// the given time. Callers see the end of their connections at once: they then send
// their jobs again earliest.
func (s *system) powerOffEntry(i int, after time.Duration) {
	e := s.entry(i)
	select {
	case <-e.killed:
		return
	default:
	}
	s.net.PowerOff(e.host)
	e.kill()
	s.injectFor(after, func() {}, func() {
		s.net.PowerOn(e.host)
		next := s.startEntry(i)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.entries[i] = next
	})
}

// powerOffAgent takes the power from the machine of an agent; its worker goes on. A
// new process starts after the given time, but not before 20 ms.
func (s *system) powerOffAgent(i int, after time.Duration) {
	a := s.agent(i)
	select {
	case <-a.killed:
		return
	default:
	}
	s.net.PowerOff(a.host)
	a.kill()
	s.injectFor(max(after, 20*ms), func() {}, func() {
		s.net.PowerOn(a.host)
		next := s.startAgent(i)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.agents[i] = next
	})
}

// Guards against faults that every other test misses because a stand-in promises
// more than the contract that it stands for.
func TestStandInRandomSchedules(t *testing.T) {
	fixSchedules(t, standInChecks)
	kinds := append(append(append([]string{}, callerKinds...), standInKinds...), faultKinds()...)
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) event { return drawStandInEvent(r, kinds) }), 5, 40).Draw(r, "events")
		third := rapid.SampledFrom([]string{"north", "west"}).Draw(r, "third")
		f := &failures{}
		synctest.Test(t, func(*testing.T) {
			s := startSystem(qt.New(f), third)
			for _, e := range events {
				time.Sleep(e.after)
				s.applyStandInEvent(e, s.applyEvent)
			}
			s.finishAndCheck()
		})
		if f.Failed() {
			r.Fatalf("%s", f.text)
		}
	})
}

// Guards against an entry that counts the deadline of a request from the time at
// which it reads it, after a pause, although the request was sent during the pause.
// Its caller has stopped waiting and sends the job to the other entry, and the end
// of its connection may arrive late or never.
func TestRequestsSentDuringAPause(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pause func(s *system, d time.Duration)
	}{
		{"paused", func(s *system, d time.Duration) { s.pauseEntry(0, d) }},
		{"suspended", func(s *system, d time.Duration) { s.suspendEntry(0, d) }},
	} {
		for _, lasts := range []time.Duration{1200 * ms, 2200 * ms, 2800 * ms} {
			t.Run(fmt.Sprint(tc.name, " for ", lasts), func(t *testing.T) {
				withSystem(t, func(s *system) {
					tc.pause(s, lasts)
					time.Sleep(60 * ms) // the pause has begun
					j := s.submit(0, job{tasks: 3, duration: 900 * ms, deadline: 1900 * ms, link: callerLink{endLost: true}})
					<-j.ended
					// Up to 4 submissions: none has to run in time, but none may overlap another.
					s.Check(j.mayHaveRun, qt.IsTrue)
				})
			})
		}
	}
}

// Guards against an entry that goes on with a job whose caller has left before its
// timeout, over a connection that has gone silent, and has sent the job to the other
// entry. Listed in KNOWN-RED.txt.
func TestCallerLeavesASilentConnection(t *testing.T) {
	withSystem(t, func(s *system) {
		j := s.submit(0, job{tasks: 3, duration: 2 * time.Second, link: callerLink{endLate: 10 * time.Second}})
		time.Sleep(100 * ms)
		j.disconnectCaller()
		<-j.ended
		s.Check(j.outcome, qt.Equals, entry.OutcomeDone)
	})
}

// Guards against the end of a durable job that callers no longer learn, because the
// store's leases expired while it was down. Listed in KNOWN-RED.txt.
func TestLeasesExpireInAnOutage(t *testing.T) {
	withSystem(t, func(s *system) {
		j := s.submitDurable(0, job{tasks: 2, duration: 100 * ms})
		<-j.ended
		time.Sleep(time.Second)
		s.Check(s.queryState(j, 0), qt.Equals, durable.Completed)
		s.store.SetDown(true)
		s.store.ExpireLeases()
		time.Sleep(time.Second)
		s.store.SetDown(false)
		time.Sleep(10 * time.Second)
		for i := range s.entries {
			s.Check(s.queryState(j, i), qt.Equals, durable.Completed)
		}
	})
}

// Guards against the same for durable jobs.
func TestStandInDurableRandomSchedules(t *testing.T) {
	fixSchedules(t, standInChecks)
	kinds := append(append([]string{}, durableKinds...), standInKinds...)
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) event { return drawStandInEvent(r, kinds) }), 5, 40).Draw(r, "events")
		f := &failures{}
		synctest.Test(t, func(*testing.T) {
			s := startSystem(qt.New(f), "west")
			stop := s.startQueries(false)
			for _, e := range events {
				time.Sleep(e.after)
				s.applyStandInEvent(e, s.applyDurableEvent)
			}
			s.faults.Wait()
			s.finishDurable()
			stop()
			s.finishAndCheck()
		})
		if f.Failed() {
			r.Fatalf("%s", f.text)
		}
	})
}
