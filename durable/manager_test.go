package durable_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
)

// Guards against more store calls by an entry without durable jobs than one scan
// every 5 minutes.
func TestIdleCalls(t *testing.T) {
	run(t, 1, func(r *rig) {
		r.Check(r.stub.Calls(), qt.DeepEquals, map[storestub.Kind]int{storestub.List: 1})
		n := r.calls(func() { wait(time.Hour) })
		r.Check(n >= 11 && n <= 13, qt.IsTrue, qt.Commentf("%d calls in an hour", n))
		r.Check(r.stub.Calls()[storestub.List], qt.Equals, r.stub.TotalCalls())
	})
}

// Guards against wrong records of a job, and against more store calls for it than
// the budget allows: two for the epoch, one transaction each for creation, update
// and end, and one grant for the lease of the end record.
func TestLifeOfAJob(t *testing.T) {
	run(t, 1, func(r *rig) {
		n := r.nodes[0]
		created := n.create(record("j"))
		wait(50 * time.Millisecond)
		r.Check(created.calls, qt.Equals, 1)
		r.Check(created.err, qt.IsNil)
		r.Check(n.manager.Valid(time.Now()), qt.IsTrue)
		calls := r.stub.Calls()
		r.Check(calls[storestub.Transact], qt.Equals, 1)
		r.Check(calls[storestub.Grant]+calls[storestub.CompareAndSwap], qt.Equals, 2)

		rec := record("j")
		rec.Started = true
		started := n.update(rec, time.Second)
		rec.Done = []durable.TaskRun{{Index: 1, Tag: 5}}
		wait(100 * time.Millisecond)
		updated := n.update(rec, 200*time.Millisecond)
		rec.Done[0].Tag = 6 // the Manager must have copied the record
		wait(time.Second)
		r.Check(started.after, qt.Equals, 300*time.Millisecond)
		r.Check(updated.after, qt.Equals, 200*time.Millisecond)
		r.Check(r.stub.Calls()[storestub.Transact], qt.Equals, 2)
		stored := r.stored("j")
		r.Check(stored.Done, qt.DeepEquals, []durable.TaskRun{{Index: 1, Tag: 5}})
		r.Check(stored.Serial, qt.Equals, uint64(2))

		ended := n.finish(end("j"))
		wait(50 * time.Millisecond)
		r.Check(ended.calls, qt.Equals, 1)
		r.Check(r.stored("j"), qt.IsNil)
		r.Check(r.stub.Calls()[storestub.Transact], qt.Equals, 3)
		r.Check(r.stub.Calls()[storestub.Grant], qt.Equals, 2)
		found, err := n.manager.Lookup(context.Background(), "j")
		r.Check(err, qt.IsNil)
		r.Check(found.End.State, qt.Equals, durable.Completed)

		again := n.create(record("j"))
		other := record("j")
		other.Count++
		different := n.create(other)
		wait(time.Second)
		r.Check(again.found.End, qt.IsNotNil)
		r.Check(different.err, qt.ErrorIs, durable.ErrIdentifierInUse)
		n.create(record("k"))
		wait(59 * time.Second)
		n.finish(end("k"))
		wait(119 * time.Second)
		r.Check(r.stub.Calls()[storestub.Grant], qt.Equals, 3) // a lease older than 60 s is not used for the second end
		_, kept := r.stub.Peek(durable.EndedPrefix + "j")
		r.Check(kept, qt.IsTrue)
		idle := r.calls(func() { wait(30 * time.Second) })
		r.Check(idle >= 30 && idle <= 33, qt.IsTrue, qt.Commentf("%d calls in 30 s with an epoch", idle))
	})
}

// Guards against a creation that is refused although it is stored, or accepted
// although it is not, under each fault of the store.
func TestCreationUnderFaults(t *testing.T) {
	for name, f := range map[string]struct {
		fault func(*storestub.Stub)
		want  error
		open  bool
	}{
		"down":              {func(s *storestub.Stub) { s.SetDown(true) }, durable.ErrNotStored, false},
		"slow":              {func(s *storestub.Stub) { s.SetLatency(250 * time.Millisecond) }, nil, true},
		"too slow":          {func(s *storestub.Stub) { s.SetLatency(3500 * time.Millisecond) }, durable.ErrOutcomeUnknown, false},
		"answers lost":      {func(s *storestub.Stub) { s.LoseAnswers(2) }, nil, true},
		"late effect":       {func(s *storestub.Stub) { s.HoldWrites(1, 40*time.Millisecond) }, nil, true},
		"later effect":      {func(s *storestub.Stub) { s.HoldWrites(3, time.Second) }, nil, true},
		"the epoch is gone": {func(s *storestub.Stub) { s.ExpireLeases() }, durable.ErrInvalidEpoch, false},
	} {
		run(t, 1, func(r *rig) {
			n := r.nodes[0]
			first := n.create(record("first"))
			wait(500 * time.Millisecond)
			r.Check(first.calls, qt.Equals, 1)
			f.fault(r.stub)
			a := n.create(record("j"))
			wait(2900 * time.Millisecond)
			comment := qt.Commentf("%s: %+v", name, a)
			r.Check(a.calls, qt.Equals, 1, comment)
			if f.want == nil {
				r.Check(a.err, qt.IsNil, comment)
			} else {
				r.Check(a.err, qt.ErrorIs, f.want, comment)
			}
			if f.want == nil || !f.open && !errors.Is(f.want, durable.ErrOutcomeUnknown) {
				r.Check(r.stored("j") != nil, qt.Equals, f.open, comment)
			}
			r.stub.SetDown(false)
			r.stub.SetLatency(0)
			wait(10 * time.Second)
			r.Check(a.calls, qt.Equals, 1, comment)
			r.Check(r.owners("first"), qt.Equals, 1, comment)
			if r.stored("j") != nil {
				r.Check(r.owners("j"), qt.Equals, 1, comment)
			}
		})
	}
}

// Guards against an update or an end that is lost, or reported twice, under lost
// answers and late effects.
func TestWritesUnderFaults(t *testing.T) {
	for name, fault := range map[string]func(*storestub.Stub){
		"answers lost": func(s *storestub.Stub) { s.LoseAnswers(3) },
		"late effects": func(s *storestub.Stub) { s.HoldWrites(3, 300*time.Millisecond) },
		"down": func(s *storestub.Stub) {
			s.SetDown(true)
			time.AfterFunc(time.Second, func() { s.SetDown(false) })
		},
		"slow": func(s *storestub.Stub) {
			s.SetLatency(400 * time.Millisecond)
			time.AfterFunc(time.Second, func() { s.SetLatency(0) })
		},
	} {
		run(t, 1, func(r *rig) {
			n := r.nodes[0]
			n.create(record("j"))
			n.create(record("k"))
			wait(time.Second)
			fault(r.stub)
			rec := record("j")
			rec.Done = []durable.TaskRun{{Index: 1, Tag: 5}}
			updated, ended := n.update(rec, 0), n.finish(end("k"))
			wait(2500 * time.Millisecond)
			r.Check(updated.calls, qt.Equals, 1, qt.Commentf(name))
			r.Check(ended.calls, qt.Equals, 1, qt.Commentf(name))
			r.Check(r.stored("j").Done, qt.HasLen, 1)
			r.Check(r.stored("k"), qt.IsNil)
			r.Check(n.invalidated, qt.Equals, 0, qt.Commentf(name))
		})
	}
}

// Guards against jobs that an entry keeps after its ownership expired, also while
// a call waits for its answer, and against jobs that no entry takes over when the
// store is reachable again.
func TestLeaseExpiresDuringOutage(t *testing.T) {
	for _, fault := range []func(*storestub.Stub, bool){
		(*storestub.Stub).SetDown,
		func(s *storestub.Stub, on bool) {
			s.SetLatency(0)
			if on {
				s.SetLatency(time.Minute)
			}
		},
		func(s *storestub.Stub, on bool) { // down at first, and slow when the ownership expires
			s.SetDown(on)
			s.SetLatency(0)
			if on {
				time.AfterFunc(1300*time.Millisecond, func() { s.SetLatency(time.Minute) })
			}
		},
	} {
		for offset := time.Duration(0); offset < time.Second; offset += 100 * time.Millisecond {
			run(t, 2, func(r *rig) {
				n := r.nodes[0]
				n.create(record("j"))
				wait(time.Second + offset)
				fault(r.stub, true)
				wait(1500 * time.Millisecond)
				wait(time.Until(n.manager.Status().ValidUntil))
				r.Check(n.manager.Valid(time.Now()), qt.IsFalse)
				r.Check(n.invalidated, qt.Equals, 1)
				r.Check(r.owners("j"), qt.Equals, 0)
				calls := r.calls(func() { wait(10 * time.Second) })
				r.Check(calls < 60, qt.IsTrue, qt.Commentf("%d calls in 10 s of outage", calls))
				fault(r.stub, false)
				wait(time.Minute) // until slow calls have ended
				r.Check(r.owners("j"), qt.Equals, 1)
			})
		}
	}
}

// Guards against too many transactions for the store: an entry makes at most 40 a
// second, and all entries together 320.
func TestCommitInterval(t *testing.T) {
	for entries, want := range map[int]int{1: 40, 32: 10} {
		run(t, 1, func(r *rig) {
			n := r.nodes[0]
			for i := 1; i < entries; i++ {
				r.mu.Lock()
				r.reachable[fmt.Sprintf("edge-%d", i)] = false
				r.mu.Unlock()
			}
			n.create(record("first"))
			wait(time.Second)
			before := r.stub.Calls()[storestub.Transact]
			for i := range 999 {
				n.create(record(fmt.Sprint(i)))
				wait(time.Millisecond)
			}
			r.Check(r.stub.Calls()[storestub.Transact]-before, qt.Equals, want)
		})
	}
}

// Guards against two owners of a job when one running entry cannot reach the
// store and the others can.
func TestPartialReach(t *testing.T) {
	run(t, 3, func(r *rig) {
		n := r.nodes[0]
		for i := range 20 {
			n.create(record(fmt.Sprint(i)))
		}
		wait(time.Second)
		n.store.setFailing(true)
		for _, other := range r.nodes[1:] {
			other.manager.PeerLost(n.name)
		}
		wait(2700 * time.Millisecond)
		r.Check(n.invalidated, qt.Equals, 1)
		wait(5 * time.Second) // until the last of three ranked entries takes over
		for i := range 20 {
			r.Check(r.owners(fmt.Sprint(i)), qt.Equals, 1)
		}
		n.store.setFailing(false)
		wait(10 * time.Second)
		for i := range 20 {
			r.Check(r.owners(fmt.Sprint(i)), qt.Equals, 1)
		}
	})
}

// Guards against jobs that no entry or several entries take over when entries
// fail one after the other.
func TestTakeovers(t *testing.T) {
	run(t, 3, func(r *rig) {
		for i := range 30 {
			r.nodes[i%3].create(record(fmt.Sprint(i)))
		}
		wait(time.Second)
		for _, n := range r.nodes[:2] {
			r.kill(n)
			wait(4500 * time.Millisecond)
			for i := range 30 {
				r.Check(r.owners(fmt.Sprint(i)), qt.Equals, 1, qt.Commentf("job %d after %s", i, n.name))
			}
		}
		last := r.nodes[2]
		ended := last.finish(end("0"))
		wait(100 * time.Millisecond)
		r.Check(ended.calls, qt.Equals, 1)
		n := r.calls(func() { wait(time.Minute) })
		r.Check(n < 70, qt.IsTrue, qt.Commentf("%d calls in the minute after takeovers", n))
	})
}

// Guards against jobs that are taken over only when the ownership lease expires,
// although the entry handed them over in a planned stop.
func TestHandOver(t *testing.T) {
	run(t, 2, func(r *rig) {
		n := r.nodes[0]
		n.create(record("j"))
		wait(time.Second)
		r.Check(n.manager.HandOver(context.Background()), qt.ErrorIs, durable.ErrJobsRemain)
		n.manager.GiveUp("j")
		delete(n.owned, "j")
		r.Check(n.manager.HandOver(context.Background()), qt.IsNil)
		r.mu.Lock()
		r.reachable[n.name] = false
		r.mu.Unlock()
		r.nodes[1].manager.PeerLost(n.name)
		wait(1500 * time.Millisecond)
		r.Check(r.nodes[1].takenAt, qt.HasLen, 1)
		refused := n.create(record("k"))
		wait(time.Second)
		r.Check(refused.err, qt.ErrorIs, durable.ErrInvalidEpoch)
	})
}

// Guards against a conflict of one job that keeps the changes of the other jobs
// in its transaction from being written.
func TestConflictInABatch(t *testing.T) {
	run(t, 1, func(r *rig) {
		n := r.nodes[0]
		for i := range 5 {
			n.create(record(fmt.Sprint(i)))
		}
		wait(time.Second)
		other := *r.stored("2")
		other.Owner = "edge-9-1-1"
		value, _ := other.Encode()
		r.stub.Put(durable.OpenPrefix+"2", value)
		var answers []*answer
		for i := range 5 {
			rec := record(fmt.Sprint(i))
			rec.Started = true
			answers = append(answers, n.update(rec, 0))
		}
		wait(time.Second)
		for i, a := range answers {
			want := 1
			if i == 2 {
				want = 0
			}
			r.Check(a.calls, qt.Equals, want, qt.Commentf("job %d", i))
		}
		r.Check(n.lost, qt.DeepEquals, []string{"2"})
	})
}

// Guards against an undecodable record that is overwritten or treated as absent.
func TestUnreadableRecord(t *testing.T) {
	run(t, 1, func(r *rig) {
		n := r.nodes[0]
		kv := r.stub.Put(durable.OpenPrefix+"bad", []byte(`{"v":2}`))
		a := n.create(record("bad"))
		wait(time.Minute)
		r.Check(a.err, qt.ErrorIs, durable.ErrUnreadable)
		_, err := n.manager.Lookup(context.Background(), "bad")
		r.Check(err, qt.ErrorIs, durable.ErrUnreadable)
		now, _ := r.stub.Peek(kv.Key)
		r.Check(now, qt.DeepEquals, kv)
	})
}

// Guards against wrong presences, against calls that do not share their reads,
// and against an answer that was read before the call.
func TestPresences(t *testing.T) {
	run(t, 1, func(r *rig) {
		n := r.nodes[0]
		restarted := end("restarted")
		restarted.Restarted = true
		for _, id := range []string{"open", "once", "restarted"} {
			n.create(record(id))
		}
		r.stub.Put(durable.OpenPrefix+"bad", []byte("?"))
		wait(time.Second)
		n.finish(end("once"))
		n.finish(restarted)
		wait(100 * time.Millisecond)
		ask := func(ids ...string) (p map[string]durable.Presence) {
			p, err := n.manager.Presences(context.Background(), ids)
			r.Check(err, qt.IsNil)
			return p
		}
		r.Check(ask("open", "once", "restarted", "bad", "none"), qt.DeepEquals, map[string]durable.Presence{
			"open": durable.JobOpen, "once": durable.JobEnded, "restarted": durable.JobEndedRestarted,
			"bad": durable.JobUnreadable, "none": durable.JobAbsent,
		})
		before := r.stub.Calls()[storestub.List]
		for range 10 {
			go ask("open")
		}
		synctest.Wait()
		n.create(record("none"))
		wait(100 * time.Millisecond)
		r.Check(ask("none"), qt.DeepEquals, map[string]durable.Presence{"none": durable.JobOpen})
		r.Check(r.stub.Calls()[storestub.List]-before <= 2, qt.IsTrue)
		r.stub.SetDown(true)
		_, err := n.manager.Presences(context.Background(), []string{"none"})
		r.Check(err, qt.ErrorIs, store.ErrUnavailable)
	})
}

// Guards against an overload of the store, and against jobs that are not taken
// over, when all entries start again after all of them were lost. The store
// accepts 400 writes and 2,000 reads a second.
func TestThousandRecordsAfterTotalLoss(t *testing.T) {
	const jobs, maxCalls = 1000, 100
	run(t, 0, func(r *rig) {
		for i := range jobs {
			rec := record(fmt.Sprint(i))
			rec.Owner, rec.Serial = durable.Epoch(fmt.Sprintf("edge-%d-0-1", i%3)), 1
			value, err := rec.Encode()
			r.Assert(err, qt.IsNil)
			r.stub.Put(durable.OpenPrefix+rec.Identifier, value)
		}
		r.stub.SetLatency(5 * time.Millisecond)
		for i := range 3 {
			r.start(fmt.Sprintf("edge-%d", i), "2")
		}
		began, most := time.Now(), 0
		var all time.Duration
		taken := func() (n int) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, node := range r.nodes {
				n += len(node.takenAt)
			}
			return n
		}
		const step = 20 * time.Millisecond
		samples := []int{0}
		for range 500 {
			wait(step)
			samples = append(samples, r.stub.TotalCalls())
			most = max(most, samples[len(samples)-1]-samples[max(0, len(samples)-1-int(time.Second/step))])
			if all == 0 && taken() == jobs {
				all = time.Since(began)
			}
		}
		r.Logf("%d jobs taken over after %v; at most %d calls in a second", taken(), all, most)
		r.Check(taken(), qt.Equals, jobs)
		r.Check(all <= 2*time.Second, qt.IsTrue)
		r.Check(most <= maxCalls, qt.IsTrue)
		for i := range jobs {
			r.Check(r.owners(fmt.Sprint(i)), qt.Equals, 1)
		}
	})
}
