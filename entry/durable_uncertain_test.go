package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/settings"
)

// Guards against the refusal of a job, as one that never runs, by an entry whose own
// write of an earlier submission may still store it, and against answers without end
// that say no more than that.
func TestRefusalAfterAnUncertainCreation(t *testing.T) {
	inBubble(t, func(h *harness) {
		e, m := h.durableEntry(1, newRecordStore(), func(s *settings.Entry) { s.Limits.MaxDurableJobs = 1 })
		h.adoptedWorker(1, runsFor(100))
		waitForDiscovery()
		submit := func(job string, err error) Answer {
			m.withLock(func() { m.createErr = err })
			return e.SubmitDurable(context.Background(), stepSubmission(job, 1))
		}
		h.Check(submit("1f", durable.ErrOutcomeUnknown).Outcome, qt.Equals, OutcomeUnknown)
		for range 3 {
			time.Sleep(uncertainRetention - time.Second)
			h.Check(submit("1f", durable.ErrNotStored).Outcome, qt.Equals, OutcomeUnknown)
			h.Check(submit("1f", durable.ErrInvalidEpoch).Outcome, qt.Equals, OutcomeUnknown)
		}
		h.Check(submit("2f", durable.ErrNotStored).Outcome, qt.Equals, OutcomeNotRun)
		time.Sleep(uncertainRetention)
		h.Check(submit("1f", durable.ErrNotStored).Outcome, qt.Equals, OutcomeNotRun)

		h.Check(submit("1f", durable.ErrOutcomeUnknown).Outcome, qt.Equals, OutcomeUnknown)
		h.Check(submit("3f", nil).Outcome, qt.Equals, OutcomeAccepted)
		a := submit("1f", nil) // more jobs than the limit
		h.Check(a.Outcome, qt.Equals, OutcomeUnknown)
		h.Check(a.Reason, qt.Equals, reasonDurableLimit)
		h.Check(submit("2f", nil).Outcome, qt.Equals, OutcomeNotRun)
		time.Sleep(time.Second)
		h.Check(submit("1f", nil).Outcome, qt.Equals, OutcomeAccepted)
		time.Sleep(20 * time.Second) // the job has ended and its answer is forgotten
		h.Check(submit("1f", durable.ErrNotStored).Outcome, qt.Equals, OutcomeNotRun)
	})
}

// Guards against the same by an entry that is not the one whose write may store the
// job: it passes the submission on, it had no answer from that entry before, or it
// prefers itself.
func TestRefusalAfterAnUncertainCreationElsewhere(t *testing.T) {
	for _, tc := range []struct {
		name    string
		again   int // entry of the next submission; that of the first is 0, and 1 is preferred for the job
		between func(h *harness, es [2]*Entry)
	}{
		{name: "passed on"},
		{name: "preferred entry is out of reach", between: func(h *harness, _ [2]*Entry) {
			h.net.Partition("10.0.1.1", "10.0.1.2")
			time.Sleep(3 * time.Second)
		}},
		{name: "preferred entry is stopping", between: func(_ *harness, es [2]*Entry) {
			es[1].dispatcher.postAndWait(func(d *dispatcher) { d.stopping = true })
		}},
		{name: "stored by an entry that is not preferred", again: 1, between: func(h *harness, _ [2]*Entry) {
			h.net.Heal("10.0.1.1", "10.0.1.2")
			time.Sleep(3 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				es, managers, _ := h.twoDurableEntries()
				job := ""
				for i := 0; job == ""; i++ {
					if _, other := es[0].preferredEntry(fmt.Sprint("j", i)); other {
						job = fmt.Sprint("j", i)
					}
				}
				if tc.again != 0 { // the first submission is handled where it arrives
					h.net.Partition("10.0.1.1", "10.0.1.2")
					time.Sleep(3 * time.Second)
				}
				setErr := func(err error) {
					for _, m := range managers {
						m.withLock(func() { m.createErr = err })
					}
				}
				setErr(durable.ErrOutcomeUnknown)
				h.Check(es[0].SubmitDurable(context.Background(), stepSubmission(job, 1)).Outcome, qt.Equals, OutcomeUnknown)
				setErr(durable.ErrNotStored)
				if tc.between != nil {
					tc.between(h, es)
				}
				h.Check(es[tc.again].SubmitDurable(context.Background(), stepSubmission(job, 1)).Outcome, qt.Equals, OutcomeUnknown)
				h.Check(es[tc.again].SubmitDurable(context.Background(), stepSubmission(job+"x", 1)).Outcome, qt.Equals, OutcomeNotRun)
				h.net.Heal("10.0.1.1", "10.0.1.2")
				setErr(nil)
				es[1].dispatcher.postAndWait(func(d *dispatcher) { d.stopping = false })
				time.Sleep(3 * time.Second)
				h.submitAccepted(es[0], stepSubmission(job, 1))
			})
		})
	}
}

// Guards against a list of uncertain creations that grows without limit, or that loses
// one that was renewed.
func TestUncertainCreations(t *testing.T) {
	var u uncertainCreations
	now := time.Unix(0, 0)
	for i := range maxUncertainCreations + 10 {
		now = now.Add(time.Millisecond)
		u.add(fmt.Sprint(i), now)
		u.add("first", now)
	}
	qt.Check(t, u.has("0", now), qt.IsFalse)
	qt.Check(t, u.has("first", now), qt.IsTrue)
	qt.Check(t, u.has(fmt.Sprint(maxUncertainCreations), now), qt.IsTrue)
	qt.Check(t, len(u.order) <= maxUncertainCreations, qt.IsTrue)
	qt.Check(t, len(u.since) <= maxUncertainCreations, qt.IsTrue)
	now = now.Add(uncertainRetention)
	qt.Check(t, u.has("first", now), qt.IsFalse)
	u.add("last", now)
	qt.Check(t, len(u.order), qt.Equals, 1)
	qt.Check(t, len(u.since), qt.Equals, 1)
	u.remove("last")
	qt.Check(t, u.has("last", now), qt.IsFalse)
}
