package leasedtest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against two runs of a task whose caller leaves and sends the job to another
// entry at once, when its tasks run already: the first entry learns late or never that the
// caller has left, or is killed. Listed in KNOWN-RED.txt.
func TestHastyCallerOfARunningJob(t *testing.T) {
	for name, leave := range map[string]func(s *system){
		"end noticed at once": func(*system) {},
		"end noticed late":    func(s *system) { s.entry(0).setEndsNoticedLate(400 * ms) },
		"end lost":            func(s *system) { s.net.Freeze(callerHost, entryHost(0)) },
		"entry killed":        func(s *system) { s.entry(0).kill() },
		"entry paused":        func(s *system) { s.entry(0).setPaused(true) },
		"entry cut off":       func(s *system) { s.net.Partition(entryHost(0), entryHost(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				for i := range 4 {
					j := &job{tasks: 2, milliCPU: 4000, duration: 300 * ms, deadline: 3 * time.Second, mayHaveRun: true}
					s.register(j)
					c := s.openSubmission(0, j)
					time.Sleep(40 * ms)
					if i == 3 {
						leave(s)
					}
					s.Assert(c.Close(), qt.IsNil)
					s.checkDoneAt(1, j)
				}
				s.entry(0).setPaused(false)
				s.net.Heal(entryHost(0), entryHost(1))
				s.net.Heal(callerHost, entryHost(0))
			})
		})
	}
}
