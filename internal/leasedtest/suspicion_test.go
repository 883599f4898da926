package leasedtest

import (
	"testing"
	"time"

	"chicorytray.example/chicorytray/internal/leasestub"
)

// begunRuns returns the number of runs that have begun at all workers.
func (s *system) begunRuns() (n int) {
	for _, c := range s.evidence.Count() {
		n += c
	}
	return n
}

// disruptAll gives all workers the faults for the given time.
func (s *system) disruptAll(d time.Duration, f leasestub.Faults) {
	for i := range s.workers {
		s.setWorkerFaults(i, d, f)
	}
}

// Guards against a job that fails as one that crashes workers although no worker
// crashed: connections to living workers are reset and refused twice, just after a run
// of its task began. In the last case the lease ends between the two.
func TestDisruptedConnectionsAreNoCrash(t *testing.T) {
	for _, d := range []disruption{{"30ms", 30 * ms, false}, {"300ms", 300 * ms, false}, {"30ms, lease ends", 30 * ms, true}} {
		t.Run(d.name, d.test)
	}
}

// The same where the lease ends in each of them, and the second one begins 10 ms to 20 ms
// after the first has ended: an agent may not have asked its worker yet.
// Listed in KNOWN-RED.txt.
func TestDisruptionsOfAWholeLeaseAreNoCrash(t *testing.T) {
	disruption{"700ms", 700 * ms, false}.test(t)
}

// disruption resets and refuses connections to all workers, twice.
type disruption struct {
	name    string
	lasts   time.Duration
	silence bool // the workers are silent between the two, until their leases have ended
}

func (d disruption) test(t *testing.T) {
	resets := leasestub.Faults{Reset: true, Refuse: true}
	withSystem(t, func(s *system) {
		s.submit(0, job{tasks: 1, duration: time.Second})
		for begun := range 2 {
			for i := 0; s.begunRuns() <= begun && i < 3000; i++ {
				time.Sleep(ms)
			}
			time.Sleep(5 * ms)
			s.disruptAll(d.lasts, resets)
			if begun == 0 && d.silence {
				time.Sleep(100 * ms)
				s.disruptAll(700*ms, leasestub.Silent())
			}
		}
		s.checkAllDone()
	})
}
