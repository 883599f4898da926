package leasedtest

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a job that runs although its caller was told last that it never
// will: an outage of the store holds the write up that stores it, and the entry that
// sent this write refuses the next submission of the job.
func TestRefusalAfterALateCreation(t *testing.T) {
	for first := range 2 {
		t.Run(fmt.Sprint("first to e", first), func(t *testing.T) {
			withSystem(t, func(s *system) {
				for i := range 2 { // both entries begin an epoch
					<-s.submitDurable(i, job{duration: 100 * ms}).ended
				}
				time.Sleep(500 * ms) // between two renewals
				s.store.HoldWrites(1, 1900*ms)
				j := s.submitDurable(first, job{tasks: 2, duration: 100 * ms})
				time.Sleep(10 * ms)
				s.store.SetDown(true)
				time.Sleep(6 * time.Second)
				s.store.SetDown(false)
				s.finishDurable()
				ran := false
				for _, r := range s.evidence.Starts() {
					ran = ran || r.Run.Task.Job == j.id
				}
				s.Check(ran, qt.IsTrue) // the write took effect
				accepted, _, _, _ := j.snapshot()
				s.Check(accepted.IsZero(), qt.IsFalse)
			})
		})
	}
}
