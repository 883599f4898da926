package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// Guards against pending jobs of an ended process that are no longer counted
// after the first heartbeat of the next process, and against counting them
// longer than lostPeerRetention.
func TestPendingOfAReplacedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pendingByPeer{peerTimeout: func() time.Duration { return 750 * time.Millisecond }}
		none := func(string) bool { return false }
		first := wire.EntryRef{ID: "e1", Incarnation: wire.NewIncarnation()}
		next := wire.EntryRef{ID: "e1", Incarnation: wire.NewIncarnation()}
		p.update(first, map[string]int{"step": 3}, nil)
		time.Sleep(time.Second)
		p.update(next, nil, nil)
		qt.Check(t, p.count("step", none), qt.Equals, 3)
		p.recordScan(time.Now(), []durable.StoredRecord{pendingStored(first, "1"), pendingStored(first, "2"), pendingStored(next, "3")})
		qt.Check(t, p.count("step", none), qt.Equals, 2)
		p.update(next, map[string]int{"step": 1}, nil)
		qt.Check(t, p.count("step", none), qt.Equals, 3)
		time.Sleep(time.Millisecond)
		p.recordScan(time.Now(), []durable.StoredRecord{pendingStored(next, "1"), pendingStored(next, "2"), pendingStored(next, "3")}) // taken over
		qt.Check(t, p.count("step", none), qt.Equals, 3)
		p.update(next, nil, nil)
		qt.Check(t, p.count("step", none), qt.Equals, 0)
		time.Sleep(time.Millisecond)
		p.recordScan(time.Now(), nil)
		qt.Check(t, p.count("step", none), qt.Equals, 0)
		p.update(first, map[string]int{"step": 3}, nil)
		time.Sleep(time.Second)
		p.update(next, nil, nil)
		qt.Check(t, p.count("step", none), qt.Equals, 3)
		time.Sleep(lostPeerRetention)
		qt.Check(t, p.count("step", none), qt.Equals, 0)
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

// pendingStored returns the record of a pending job that the process owns.
func pendingStored(owner wire.EntryRef, identifier string) durable.StoredRecord {
	epoch := durable.Epoch(owner.ID + "-" + owner.Incarnation.String() + "-1")
	return durable.StoredRecord{Record: durable.Record{Identifier: identifier, Template: "step", Count: 1, Owner: epoch}}
}

// Guards against pending jobs that no entry counts: those of a process that this
// entry never heard of, those that it gave up and nobody has taken over, and those
// that it accepted by the record of an owner that does not hold them.
func TestPendingJobsThatNobodyHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := wire.EntryRef{ID: "e1", Incarnation: wire.NewIncarnation()}
		before := wire.EntryRef{ID: "e1", Incarnation: wire.NewIncarnation()}
		peer := wire.EntryRef{ID: "e2", Incarnation: wire.NewIncarnation()}
		p := pendingByPeer{self: entryProcess{self.ID, self.Incarnation}, peerTimeout: func() time.Duration { return 750 * time.Millisecond }}
		held := map[string]bool{}
		check := func(others, unowned int) {
			t.Helper()
			has := func(id string) bool { return held[id] }
			qt.Check(t, p.count("step", has), qt.Equals, others)
			qt.Check(t, p.countUnowned(has)["step"], qt.Equals, unowned)
		}
		started := pendingStored(before, "4")
		started.Started = true
		p.recordScan(time.Now(), []durable.StoredRecord{pendingStored(before, "1"), pendingStored(peer, "2"), pendingStored(self, "3"), started})
		held["3"] = true
		check(2, 0)
		p.update(peer, map[string]int{"step": 5}, nil) // counts its own job
		check(6, 0)
		held["1"] = true // taken over
		check(5, 0)
		scan := time.Now()
		time.Sleep(time.Millisecond)
		delete(held, "3") // the epoch ended
		p.recordGivenUp("3", "step")
		check(5, 1)
		p.recordFound(pendingStored(peer, "5").Record)
		check(6, 1)
		p.recordScan(scan, nil) // began before
		check(6, 1)
		time.Sleep(foundJobRetention)
		p.update(peer, map[string]int{"step": 5}, nil)
		check(5, 1)
		p.recordScan(time.Now(), nil)
		check(5, 0)
	})
}

// Guards against an entry cut off from the store that does not count the pending jobs of
// processes that only its peers know of, against counting jobs twice that their owner
// reports, and against counting by peers what the own scan read.
func TestPendingJobsThatOnlyPeersKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ref := func(id string) wire.EntryRef { return wire.EntryRef{ID: id, Incarnation: wire.NewIncarnation()} }
		self, before, peer, other, lost := ref("e1"), ref("e1"), ref("e2"), ref("e3"), ref("e4")
		timeout := func() time.Duration { return 750 * time.Millisecond }
		none := func(string) bool { return false }
		process := func(e wire.EntryRef) entryProcess { return entryProcess{e.ID, e.Incarnation} }

		// What the peer knows: the former process of this entry reported lately, other
		// reports, and the lost one has records, one of which the peer holds itself.
		p := pendingByPeer{self: process(peer), peerTimeout: timeout}
		p.recordScan(time.Now(), []durable.StoredRecord{pendingStored(lost, "1"), pendingStored(lost, "2"), pendingStored(lost, "3"), pendingStored(other, "4")})
		time.Sleep(time.Millisecond)
		p.update(before, map[string]int{"step": 7}, nil)
		p.update(other, map[string]int{"step": 2}, nil)
		held := func(id string) bool { return id == "1" }
		numbers := func(to wire.EntryRef) map[string]int {
			out := map[string]int{}
			for _, r := range p.reportFor(process(to), held) {
				out[r.Entry+" "+r.Incarnation.String()] = r.Pending["step"]
			}
			return out
		}
		name := func(e wire.EntryRef) string { return e.ID + " " + e.Incarnation.String() }
		qt.Check(t, numbers(self), qt.DeepEquals, map[string]int{name(before): 7, name(lost): 2})
		qt.Check(t, numbers(other), qt.DeepEquals, map[string]int{name(lost): 2})
		time.Sleep(time.Second) // other is not heard of any more
		qt.Check(t, numbers(self), qt.DeepEquals, map[string]int{name(before): 7, name(lost): 2, name(other): 2})

		q := pendingByPeer{self: process(self), peerTimeout: timeout}
		qt.Check(t, q.lacksScan(), qt.IsTrue)
		told := append(p.reportFor(process(self), held), wire.ProcessPending{Entry: self.ID, Incarnation: self.Incarnation, Pending: map[string]int{"step": 50}},
			wire.ProcessPending{Entry: "e5", Pending: map[string]int{"step": -50}})
		q.update(other, map[string]int{"step": 1}, nil)
		q.update(peer, map[string]int{"step": 4}, told)
		qt.Check(t, q.count("step", none), qt.Equals, 7+2+1+4)
		time.Sleep(time.Millisecond)
		q.recordScan(time.Now(), nil) // all of these jobs have another owner or have started
		qt.Check(t, q.lacksScan(), qt.IsFalse)
		qt.Check(t, q.count("step", none), qt.Equals, 1+4)
		time.Sleep(maxScanAge + time.Millisecond)
		q.update(peer, map[string]int{"step": 4}, told)
		qt.Check(t, q.lacksScan(), qt.IsTrue)
		qt.Check(t, q.count("step", none), qt.Equals, 7+2+4) // other has not reported since the scan
	})
}
