package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
)

// Guards against differences between the fake Keeper and the one over a store:
// jobs that are not stored, ended, cancelled or taken over after their entry died.
func TestDurableJobsOverAStore(t *testing.T) {
	inBubble(t, func(h *harness) {
		es, _, _ := h.pairOver(func(o *Options) { o.newKeeper = nil })
		var jobs []string // one for each entry
		for _, job := range []string{"j0", "j1", "j2", "j3", "j4", "j5", "j6", "j7"} {
			if _, other := es[0].firstEntry(job); other == (len(jobs) == 1) && len(jobs) < 2 {
				jobs = append(jobs, job)
			}
		}
		h.Assert(jobs, qt.HasLen, 2)
		for _, job := range jobs {
			h.accepted(es[0], step(job, 2))
		}
		time.Sleep(2 * time.Second)
		h.Check(h.ups.count(), qt.Equals, 4)
		h.Check(h.state(es[0], jobs[1]), qt.Equals, durable.InProgress)
		h.ends[1]() // the second entry dies
		h.net.Reset("10.0.1.2")
		time.Sleep(15 * time.Second)
		h.Check(h.ups.count(), qt.Equals, 6) // the tasks of its job started again
		h.Check(h.ups.concurrent, qt.Equals, 1)
		time.Sleep(35 * time.Second)
		for _, job := range jobs {
			h.Check(h.state(es[0], job), qt.Equals, durable.Completed)
		}
		h.Check(h.ups.count(), qt.Equals, 6)
		h.accepted(es[0], step("last", 1))
		found, err := es[0].CancelDurableJob(context.Background(), "last")
		h.Check(found && err == nil, qt.IsTrue)
		time.Sleep(leasedRetention + time.Second)
		h.Check(h.state(es[0], "last"), qt.Equals, durable.Cancelled)
		a := es[0].SubmitDurable(context.Background(), step("last", 3))
		h.Check(a.Reason, qt.Equals, reasonJobMismatch)
	})
}
