package systemtest

import (
	"testing"
	"time"
)

// Guards against a late start in a data centre out of service while the store
// serves stale reads, which do not show the accepted change. Found by random
// schedules, seeds 1002 and 1004.
func TestStaleReadsDoNotConfirm(t *testing.T) {
	withSystem(t, layout{}, func(s *system) {
		s.startLoad(10*time.Second, job{tasks: 6, serviceTime: serviceTime, deadline: 8 * time.Second})
		time.Sleep(2 * time.Second)
		s.store.SetStale(true)
		s.setInService(recife, false)
		time.Sleep(6 * time.Second)
		s.store.SetStale(false)
	})
}

// Guards against an entry that is cut off from the store and from the other entries
// and concludes that the store is down for all. Agents report the other entries'
// reads to it only after its own reads have failed. Found by random schedules, seed
// 1001.
func TestLateReportsOfReadsByOthers(t *testing.T) {
	for _, way := range []storeAccess{storeRefuses, storeSilent} {
		withSystem(t, layout{}, func(s *system) {
			s.startLoad(20*time.Second, job{tasks: 3, serviceTime: serviceTime, deadline: 8 * time.Second})
			time.Sleep(2 * time.Second)
			s.entries[0].store.setAccess(way)
			alone := []string{entryHost(0), agentHost(0), agentHost(1)}
			forEachPair(alone, []string{entryHost(1)}, s.net.Partition)
			time.Sleep(4 * time.Second)
			s.setInService(recife, false)
			time.Sleep(12 * time.Second)
			forEachPair(alone, []string{entryHost(1)}, s.net.Heal)
			s.entries[0].store.setAccess(storeReachable)
		})
	}
}

// Guards against a late start when an outage of the store begins after the store
// accepted a change and before any entry read it, and the tool that made the
// change did not push it to any entry.
func TestOutageBeforeAnyReadOfAChange(t *testing.T) {
	withSystem(t, layout{}, func(s *system) {
		s.startLoad(10*time.Second, job{tasks: 6, serviceTime: serviceTime, deadline: 8 * time.Second})
		time.Sleep(2 * time.Second)
		s.store.SetSilentWatch(true)
		time.Sleep(1500 * time.Millisecond)
		s.setInService(recife, false)
		s.setStoreDown(true)
		time.Sleep(6 * time.Second)
		s.setStoreDown(false)
	})
}
