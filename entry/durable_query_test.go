package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
)

// Guards against a state that goes back: an entry reads the final state from the
// store, and afterwards the owner, whose write of the end record was not answered,
// still says in_progress, or the record does although the owner said more.
func TestStateWhileTheEndIsWritten(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*fakeManager) // at the owner
		want  durable.State
		err   error
	}{
		{name: "answer lost", fault: func(m *fakeManager) { m.endsUnknown = true }, want: durable.Completed},
		// The record does not say yet that a task has started.
		{name: "not carried out", fault: func(m *fakeManager) { m.blocked = true }, want: durable.InProgress},
		{name: "store silent", fault: func(m *fakeManager) { m.endsUnknown, m.lookupFails = true, true }, err: ErrUnavailable},
	} {
		for _, wait := range []time.Duration{0, time.Second} {
			t.Run(fmt.Sprint(tc.name, ", wait ", wait), func(t *testing.T) {
				inBubble(t, func(h *harness) {
					es, managers, s := h.twoDurableEntriesRunning(runsFor(100), func(*Options) {})
					job := ""
					for i := 0; job == ""; i++ {
						if _, other := es[0].preferredEntry(fmt.Sprint("j", i)); other { // its owner is the second entry
							job = fmt.Sprint("j", i)
						}
					}
					h.submitAccepted(es[0], stepSubmission(job, 1))
					for _, m := range managers {
						m.withLock(func() { tc.fault(m) })
					}
					time.Sleep(50 * time.Millisecond)
					h.Check(h.durableState(es[0], job), qt.Equals, durable.InProgress)
					time.Sleep(time.Second)
					r, _ := s.get(job)
					h.Check(r.Started, qt.IsFalse)
					for range 2 {
						for _, e := range es {
							state, err := e.DurableJobState(context.Background(), job, wait)
							h.Check(err, qt.ErrorIs, tc.err)
							h.Check(state, qt.Equals, tc.want)
						}
					}
					for _, m := range managers {
						m.withLock(func() { m.blocked, m.endsUnknown, m.lookupFails = false, false, false })
					}
					time.Sleep(time.Second)
					for _, e := range es {
						h.Check(h.durableState(e, job), qt.Equals, durable.Completed)
					}
				})
			})
		}
	}
}
