package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// Guards against pending jobs of an ended process that are no longer counted
// after the first heartbeat of the next process, and against counting them
// longer than lostPeerRetention.
func TestPendingOfAReplacedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pendingByPeer
		first := wire.EntryRef{ID: "e1", Incarnation: wire.NewIncarnation()}
		next := wire.EntryRef{ID: "e1", Incarnation: wire.NewIncarnation()}
		p.update(first, map[string]int{"step": 3})
		time.Sleep(time.Second)
		p.update(next, nil)
		qt.Check(t, p.count("step"), qt.Equals, 3)
		p.recordTakeover("step", 750*time.Millisecond)
		qt.Check(t, p.count("step"), qt.Equals, 2)
		time.Sleep(lostPeerRetention)
		qt.Check(t, p.count("step"), qt.Equals, 0)
	})
}

// Guards against a job that is no longer counted as pending, and is recorded as
// started, while its only task waits in the queue of an agent.
func TestPendingWhileATaskWaitsAtItsAgent(t *testing.T) {
	inBubble(t, func(h *harness) {
		s := newRecordStore()
		e, _ := h.durableEntry(1, s, nil)
		a := h.adoptedWorker(1, runsFor(60_000))
		setQueued := func(n int) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.load.Queued = n
			a.load.Sequence++
		}
		setQueued(1)
		waitForDiscovery()
		h.submitAccepted(e, stepSubmission("1f", 1))
		time.Sleep(3 * time.Second)
		a.mu.Lock()
		h.Check(a.runs, qt.Equals, 1)
		a.mu.Unlock()
		h.Check(e.PendingDurableJobs("step"), qt.Equals, 1)
		r, _ := s.get("1f")
		h.Check(r.Started, qt.IsFalse)
		setQueued(0)
		time.Sleep(time.Second)
		h.Check(e.PendingDurableJobs("step"), qt.Equals, 0)
		time.Sleep(time.Second)
		r, _ = s.get("1f")
		h.Check(r.Started, qt.IsTrue)
	})
}
