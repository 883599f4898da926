package leasedtest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an entry that counts too few pending jobs because it has started while
// it is cut off from the store: the jobs are those of its former process, whose records
// it cannot read.
func TestPendingAtAnEntryThatStartsWithoutTheStore(t *testing.T) {
	withSystem(t, func(s *system) {
		time.Sleep(12 * time.Second) // longer than the interval at which entries read the registrations
		for range 40 {
			s.submitDurable(0, job{duration: 2 * time.Second, milliCPU: 9400}) // each worker has room for one
		}
		time.Sleep(3 * time.Second)
		s.net.Cut(entryHost(0), storeHost)
		s.replaceEntry(0, 50*ms)
		for range 8 {
			time.Sleep(250 * ms)
			s.checkPending(0)
			s.checkPending(1)
		}
		e, other := s.entry(0), s.entry(1)
		s.Check(e.Ready(), qt.IsNil)
		s.Check(other.PendingDurableJobs("step") > 20, qt.IsTrue)
		s.net.Heal(entryHost(0), storeHost)
		s.finishDurable()
	})
}
