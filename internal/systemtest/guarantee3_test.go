package systemtest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// isolate cuts the processes of a data centre off from all other processes, from
// the operators and from the store.
func isolate(s *system, dataCentre string) {
	inside, outside := s.hostsOf(dataCentre)
	forEachPair(inside, append(outside, operatorHost), s.net.Partition)
	for _, p := range s.processes() {
		if p.dataCentre == dataCentre {
			p.store.setAccess(storeSilent)
		}
	}
}

// reconnect ends isolate, and makes the store reachable for all processes.
func reconnect(s *system, dataCentre string) {
	inside, outside := s.hostsOf(dataCentre)
	forEachPair(inside, append(outside, operatorHost), s.net.Heal)
	for _, p := range s.processes() {
		p.store.setAccess(storeReachable)
	}
}

// startsSince returns the number of starts in a data centre after the given time.
func (s *system) startsSince(dataCentre string, from time.Time) int {
	n := 0
	for _, st := range s.record.Starts() {
		if st.DataCentre == dataCentre && st.At.After(from) {
			n++
		}
	}
	return n
}

// Guards against a start in a data centre more than 3 s after the store accepted
// the change that took it out of service, and against a system that does not use
// it again after its return. Jobs are queued at entries and agents all the time.
func TestDataCentreOutOfService(t *testing.T) {
	pause := func(d time.Duration) { time.Sleep(d) }
	for _, tc := range []struct {
		name string
		out  func(s *system) // takes Recife out of service during a fault
		heal func(s *system)
	}{
		{"no fault", func(s *system) { s.setInService(recife, false) }, nil},
		{"silent watches", func(s *system) { s.store.SetSilentWatch(true); s.setInService(recife, false) }, nil},
		{"entry cut from the store", func(s *system) {
			s.entries[0].store.setAccess(storeRefuses)
			pause(2 * time.Second)
			s.setInService(recife, false)
		}, nil},
		{"entry's calls of the store hang", func(s *system) {
			s.entries[0].store.setAccess(storeSilent)
			s.setInService(recife, false)
		}, nil},
		{"agents cut from the store", func(s *system) {
			for _, a := range s.agents {
				a.store.setAccess(storeRefuses)
			}
			s.setInService(recife, false)
		}, nil},
		{"store slow", func(s *system) { s.store.SetLatency(500 * time.Millisecond); s.setInService(recife, false) }, nil},
		{"store out before the change", func(s *system) {
			s.setStoreDown(true)
			pause(6 * time.Second)
			s.setStoreDown(false)
			s.setInService(recife, false)
		}, nil},
		{"store out after the change", func(s *system) {
			s.setInService(recife, false)
			pause(1100 * time.Millisecond)
			s.setStoreDown(true)
		}, func(s *system) { s.setStoreDown(false) }},
		{"store out around the change by the tool", func(s *system) {
			s.setStoreDown(true)
			pause(4 * time.Second)
			s.setStoreDown(false)
			s.takeOutWithTool(recife)
			s.setStoreDown(true)
		}, func(s *system) { s.setStoreDown(false) }},
		{"store out at once after a change by the tool", func(s *system) {
			s.store.SetSilentWatch(true)
			s.takeOutWithTool(recife)
			s.setStoreDown(true)
		}, func(s *system) { s.setStoreDown(false) }},
		{"processes started during an outage", func(s *system) {
			s.setStoreDown(true)
			pause(3 * time.Second)
			s.restartAgent(0)
			s.restartEntry(1)
			pause(2 * time.Second)
			s.setStoreDown(false)
			s.setInService(recife, false)
		}, nil},
		{"data centre cut off", func(s *system) { isolate(s, recife); s.setInService(recife, false) },
			func(s *system) { reconnect(s, recife) }},
		{"data centre cut off earlier", func(s *system) { isolate(s, recife); pause(5 * time.Second); s.setInService(recife, false) },
			func(s *system) { reconnect(s, recife) }},
		{"data centre cut off from processes but not from the store", func(s *system) {
			isolate(s, recife)
			s.entries[0].store.setAccess(storeReachable)
			s.setInService(recife, false)
		}, func(s *system) { reconnect(s, recife) }},
		{"agents paused over the change", func(s *system) {
			for _, a := range s.agents[:2] {
				a.pause()
			}
			s.setInService(recife, false)
			pause(5 * time.Second)
			for _, a := range s.agents[:2] {
				a.resume()
			}
		}, nil},
		{"entry paused over the change", func(s *system) {
			s.entries[0].pause()
			s.setInService(recife, false)
			pause(5 * time.Second)
			s.entries[0].resume()
		}, nil},
		{"connections to entries silent", func(s *system) {
			s.setInService(recife, false)
			for i := range s.entries {
				for k := range s.agents {
					s.net.Freeze(entryHost(i), agentHost(k))
				}
			}
		}, nil},
		{"agents replaced after the change", func(s *system) {
			s.setInService(recife, false)
			pause(500 * time.Millisecond)
			s.restartAgent(0)
			s.restartAgent(1)
		}, nil},
		{"taken out twice", func(s *system) {
			s.setInService(recife, false)
			pause(4 * time.Second)
			s.setInService(recife, true)
			pause(2 * time.Second)
			s.setInService(recife, false)
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			withSystem(t, layout{}, func(s *system) {
				s.setDelay(messageDelay)
				// The load keeps about three of eight slots busy, so that
				// jobs are accepted all the time; the tasks of two large
				// jobs are queued everywhere.
				s.startLoad(20*time.Second, job{tasks: 3})
				pause(2 * time.Second)
				s.submit(0, job{tasks: 40, serviceTime: serviceTime})
				s.submit(1, job{tasks: 40, serviceTime: serviceTime})
				pause(serviceTime / 2)
				s.Check(s.startsSince(recife, time.Now().Add(-serviceTime)) > 0, qt.IsTrue)
				tc.out(s)
				pause(6 * time.Second)
				if tc.heal != nil {
					tc.heal(s)
				}
				pause(6 * time.Second)
				s.background.Wait()
				back := time.Now()
				s.setInService(recife, true)
				pause(2 * time.Second)
				for range 4 { // more than the other data centres have slots for
					s.submit(0, job{tasks: 8})
				}
				pause(4 * time.Second)
				s.Check(s.startsSince(recife, back) > 0, qt.IsTrue, qt.Commentf("Recife is not used again"))
				s.expectOutcome(s.submit(1, job{tasks: 4}), "done")
			})
		})
	}
}

// Guards against a system that stops serving jobs during an outage of the store,
// although the configuration cannot change during it.
func TestUnkeyedWorkContinuesDuringStoreOutage(t *testing.T) {
	withSystem(t, layout{}, func(s *system) {
		s.setStoreDown(true)
		for range 30 {
			time.Sleep(2 * time.Second)
			s.expectOutcome(s.submit(0, job{tasks: 4}), "done")
		}
	})
}
