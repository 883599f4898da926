package leasedtest

import (
	"testing"
	"time"

	"chicorytray.example/chicorytray/internal/leasestub"
)

// Guards against an entry that renews a session in which its Cancel is unanswered:
// the runs would outlive the caller's resend interval and overlap with those of
// the next submission. The connection of the entry's calls loses Cancel while
// heartbeats continue, the workers lose stop orders, and the entry notices the
// caller's disconnect after a pause of less than one heartbeat interval. Whether
// runs overlap depends on the phases of heartbeats and leases, so the schedule is
// repeated with other phases.
func TestCancelIsLost(t *testing.T) {
	withSystem(t, func(s *system) {
		for i := range 10 {
			s.loseCancel(time.Duration(50+20*i) * ms)
		}
	})
}

// loseCancel makes a caller disconnect from entry 0 some time after its job
// started, while Cancel messages are lost, and waits until the job was completed
// through entry 1.
func (s *system) loseCancel(after time.Duration) {
	// Answers of the agents for this job keep the entry from pinging them, and its
	// needs make the entry spread the victim's tasks over the workers.
	others := s.submit(0, job{tasks: 3, milliCPU: 9000, duration: after + 200*ms})
	time.Sleep(5 * ms)
	victim := s.submit(0, job{tasks: 3, duration: 1900 * ms})
	time.Sleep(after)
	e := s.entry(0)
	e.setPaused(true)
	for !e.isPaused() {
		time.Sleep(ms)
	}
	victim.disconnectCaller()
	s.dropCalls(0, 1500*ms)
	for i := range s.workers {
		w := s.workers[i]
		s.injectFor(1500*ms, func() { w.SetFaults(leasestub.Faults{Stop: leasestub.Fault{Lost: true}}) }, func() { w.SetFaults(leasestub.Faults{}) })
	}
	time.Sleep(140 * ms)
	e.setPaused(false)
	<-others.ended
	<-victim.ended
	time.Sleep(2 * time.Second)
}

// dropCalls drops what an entry sends on the connections that it dialled, for the
// duration d.
func (s *system) dropCalls(entry int, d time.Duration) {
	for i := range s.agents {
		from, to := entryHost(entry), agentHost(i)
		s.injectFor(d, func() { s.net.DropDialled(from, from, to) }, func() { s.net.Heal(from, to) })
	}
}
