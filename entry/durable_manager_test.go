package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
)

// Guards against differences between fakeManager and the recordManager over a
// store: with a store, durable jobs must be stored, completed, cancelled, and
// taken over after their entry has died.
func TestDurableJobsOverAStore(t *testing.T) {
	inBubble(t, func(h *harness) {
		es, _, _ := h.twoDurableEntriesWith(func(o *Options) { o.newRecordManager = nil })
		var jobs []string // one for each entry
		for _, job := range []string{"j0", "j1", "j2", "j3", "j4", "j5", "j6", "j7"} {
			if _, other := es[0].preferredEntry(job); other == (len(jobs) == 1) && len(jobs) < 2 {
				jobs = append(jobs, job)
			}
		}
		h.Assert(jobs, qt.HasLen, 2)
		for _, job := range jobs {
			h.submitAccepted(es[0], stepSubmission(job, 2))
		}
		time.Sleep(2 * time.Second)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 4)
		h.Check(h.durableState(es[0], jobs[1]), qt.Equals, durable.InProgress)
		h.cleanups[1]() // the second entry dies
		h.net.Reset("10.0.1.2")
		time.Sleep(15 * time.Second)
		h.Check(h.upstreams.totalStarts(), qt.Equals, 6) // the tasks of its job started again
		h.Check(h.upstreams.maxConcurrent, qt.Equals, 1)
		time.Sleep(35 * time.Second)
		for _, job := range jobs {
			h.Check(h.durableState(es[0], job), qt.Equals, durable.Completed)
		}
		h.Check(h.upstreams.totalStarts(), qt.Equals, 6)
		h.submitAccepted(es[0], stepSubmission("last", 1))
		found, err := es[0].CancelDurableJob(context.Background(), "last")
		h.Check(found && err == nil, qt.IsTrue)
		time.Sleep(leasedAnswerRetention + time.Second)
		h.Check(h.durableState(es[0], "last"), qt.Equals, durable.Cancelled)
		a := es[0].SubmitDurable(context.Background(), stepSubmission("last", 3))
		h.Check(a.Reason, qt.Equals, reasonJobReused)
	})
}
