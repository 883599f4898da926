package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a crash report that cannot tell the run that had just been
// ordered from those that the worker had carried out for some time.
func TestLostRunsSayHowLongTheWorkerSurvivedThem(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	r := NewRunTable(Options{Token: 1, Lease: 450 * time.Millisecond, Validity: 300 * time.Millisecond})
	start := func(index int, answered bool) {
		o, err := r.Start(now, Task{Job: "j", Index: index}, "")
		c.Assert(err, qt.IsNil)
		if answered {
			r.StartAnswered(now, o, Answer{Clock: time.Second})
		}
	}
	start(0, true)
	now = now.Add(200 * time.Millisecond)
	start(1, true)
	start(2, false)
	now = now.Add(100 * time.Millisecond) // the crash is noticed
	survived := map[int]time.Duration{}
	for _, lost := range r.LifeEnded() {
		c.Check(lost.Outcome, qt.Equals, OutcomeLost)
		survived[lost.Run.Task.Index] = lost.Survived
	}
	c.Assert(survived, qt.DeepEquals, map[int]time.Duration{0: 200 * time.Millisecond, 1: 0, 2: 0})
}
