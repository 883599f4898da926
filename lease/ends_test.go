package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/wire"
)

// tagOf returns the tag of a run in the life of these tests.
func tagOf(r Run) wire.RunTag { return Life{ID: "w", Born: 1}.Tag(r) }

// ackedNext returns the sequence that the next renewal acknowledges.
func (t *rig) ackedNext() uint64 { return t.Renew(t.now, 0).Acked }

// Guards against ends that are acknowledged to the worker before they are
// released, and against ends that are held although nothing will release them.
func TestWhichEndsAreHeld(t *testing.T) {
	foreign := Run{Task{Job: "f"}, 3}
	for _, tc := range []struct {
		name      string
		do        func(t *rig)
		held      int
		untracked bool
	}{
		{"not durable", func(t *rig) { t.poll(nil, RunEnd{1, run1, Done}) }, 0, false},
		{"durable, done", func(t *rig) { t.HoldEnd(run1); t.poll(nil, RunEnd{1, run1, Done}) }, 1, false},
		{"durable, failed", func(t *rig) { t.HoldEnd(run1); t.poll(nil, RunEnd{1, run1, Failed}) }, 1, false},
		{"durable, of another kind", func(t *rig) { t.HoldEnd(run1); t.poll(nil, RunEnd{1, run1, "evicted"}) }, 1, false},
		{"durable, stopped", func(t *rig) { t.HoldEnd(run1); t.poll(nil, RunEnd{1, run1, Stopped}) }, 0, false},
		{"durable, lapsed", func(t *rig) { t.HoldEnd(run1); t.poll(nil, RunEnd{1, run1, LeaseExpired}) }, 0, false},
		{"listed twice", func(t *rig) { t.HoldEnd(run1); t.poll(nil, RunEnd{1, run1, Done}); t.poll(nil, RunEnd{1, run1, Done}) }, 1, false},
		{"listed again after it was settled", func(t *rig) {
			t.HoldEnd(run1)
			t.poll(nil, RunEnd{1, run1, Done})
			t.ReleaseEnd(tagOf(run1))
			t.poll(nil, RunEnd{1, run1, Done})
		}, 0, false},
		{"of another process", func(t *rig) { t.poll(nil, RunEnd{1, foreign, Done}) }, 1, true},
		{"of another process, stopped", func(t *rig) { t.poll(nil, RunEnd{1, foreign, Stopped}) }, 0, false},
		{"of no task", func(t *rig) { t.poll(nil, RunEnd{1, Run{}, Failed}) }, 0, false},
		{"given up, not durable", func(t *rig) {
			t.answerStart("")
			t.Renew(t.now, 0)
			t.expire(time.Second)
			t.poll(nil, RunEnd{1, run1, Done})
		}, 0, false},
		{"given up, durable", func(t *rig) {
			t.HoldEnd(run1)
			t.answerStart("")
			t.Renew(t.now, 0)
			t.expire(time.Second)
			t.poll(nil, RunEnd{1, run1, Done})
		}, 1, true},
		{"refused for a foreign run of the number", func(t *rig) {
			t.answerStart(RefusedRunTooOld)
			t.poll(nil, RunEnd{1, run1, Done})
		}, 1, true},
		{"the life ended", func(t *rig) { t.HoldEnd(run1); t.poll(nil, RunEnd{1, run1, Done}); t.LifeEnded(false) }, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, table := qt.New(t), ordered()
			tc.do(table)
			c.Assert(table.HeldEnds(), qt.HasLen, tc.held)
			if tc.held == 0 {
				return
			}
			c.Check(table.HeldEnds()[0].Untracked, qt.Equals, tc.untracked)
			c.Check(table.ackedNext(), qt.Equals, uint64(0))
			c.Check(table.ReleaseEnd(table.HeldEnds()[0].Tag), qt.IsTrue)
			c.Check(table.ackedNext(), qt.Equals, uint64(1))
		})
	}
}

// Guards against a discarded end that is acknowledged before the worker's lease
// has certainly expired, also if an earlier agent process extended the lease;
// against one that is never acknowledged; and against starts while it waits.
func TestVoidedEndWaitsForTheLease(t *testing.T) {
	end := func(t *rig) { t.HoldEnd(run1); t.poll(nil, RunEnd{1, run1, Done}) }
	for _, tc := range []struct {
		name string
		do   func(t *rig)
		wait time.Duration // the end is held 1 ms before this time and not 1 ms after it
	}{
		// An earlier process may have extended the lease to 1 s after the first
		// reply; the worker needs 50 ms to stop, on a clock that is 2 % slow.
		{"of an earlier process", func(t *rig) {
			t.RunTable = NewRunTable(t.options)
			t.poll(nil)
			t.start, _ = t.Start(t.now, task1, "")
			t.answerStart(RefusedRunTooOld)
			t.poll(nil, RunEnd{1, run1, Done})
		}, 1071 * ms},
		{"idle for long", func(t *rig) { end(t); t.pass(3 * time.Second); t.poll(nil) }, 0},
		{"extended for another run", func(t *rig) {
			end(t)
			t.pass(3 * time.Second)
			t.poll(nil, RunEnd{1, run1, Done})
			_, _ = t.Start(t.now, Task{Job: "other"}, "")
			t.poll(nil, RunEnd{1, run1, Done})
		}, 561 * ms},
		{"lapsed before", func(t *rig) {
			end(t)
			_, _ = t.Start(t.now, Task{Job: "k"}, "")
			t.Renew(t.now, 0)
			t.expire(2 * time.Second)
		}, 0},
		{"of a run that was given up", func(t *rig) {
			t.HoldEnd(run1)
			t.answerStart("")
			t.Renew(t.now, 0)
			t.expire(2 * time.Second)
			t.poll(nil, RunEnd{1, run1, Done})
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, table := qt.New(t), ordered()
			tc.do(table)
			c.Check(table.DiscardEnd(tagOf(run1)), qt.IsTrue)
			c.Check(table.ReleaseEnd(tagOf(run1)), qt.IsFalse, qt.Commentf("a discarded end must not be released"))
			if tc.wait > 0 {
				table.expire(tc.wait - ms)
				c.Check(table.Renew(table.now, 0).LeaseEnd, qt.Equals, WorkerTime(0))
				c.Check(table.Adopted(), qt.IsFalse)
				c.Check(table.ackedNext(), qt.Equals, uint64(0))
			}
			table.expire(2 * ms)
			c.Check(table.ackedNext(), qt.Equals, uint64(1))
			c.Check(table.AwaitsLeaseExpiry(), qt.IsFalse)
		})
	}
}

// Guards against runs that count as lost, or a worker that counts as adopted,
// after a reply that was truncated at MaxEnds.
func TestFullListProvesNothing(t *testing.T) {
	var ended []RunEnd
	for i := range MaxEnds {
		ended = append(ended, RunEnd{uint64(i) + 1, Run{Task{Job: "f", Index: i}, 1}, Stopped})
	}
	c, table := qt.New(t), ordered()
	table.answerStart("")
	table.pass(time.Second)
	table.poll(nil, ended...)
	c.Check(table.MoreEnds(), qt.IsTrue)
	c.Check(table.removed, qt.HasLen, 0)
	c.Check(table.Adopted(), qt.IsTrue, qt.Commentf("earlier replies were not truncated"))
	table.poll(nil, RunEnd{MaxEnds + 1, run1, Done})
	c.Check(table.removed, qt.DeepEquals, []RemovedRun{{Run: run1, Outcome: OutcomeDone, Proof: ProofListed}})

	fresh := NewRunTable(Options{Lease: leaseTime})
	l := RenewReply{Clock: startClock, Ended: ended}
	fresh.RenewalAnswered(startTime, fresh.Renew(startTime, 0), l)
	c.Check(fresh.Adopted(), qt.IsFalse)
	l.Ended = nil
	fresh.RenewalAnswered(startTime, fresh.Renew(startTime, 0), l)
	c.Check(fresh.Adopted(), qt.IsTrue)
}

// Guards against two runs with the same tag, and against a tag of 0, which means
// that there is none.
func TestTagsDiffer(t *testing.T) {
	seen := map[wire.RunTag]bool{0: true}
	for _, l := range []Life{{}, {ID: "a"}, {ID: "a", Born: 1}, {ID: "aj"}} {
		for _, r := range []Run{{}, run1, {Task{Job: "j"}, 2}, {Task{Job: "j", Step: 1}, 1}, {Task{Job: "j", Index: 1}, 1}} {
			qt.Check(t, seen[l.Tag(r)], qt.IsFalse, qt.Commentf("%v %v", l, r))
			seen[l.Tag(r)] = true
		}
	}
}

// Guards against an acknowledgement of an end that is still held, against one
// that omits ends that may be acknowledged, and against an end that is processed
// twice, for any order of ends, replies and releases.
func TestAcknowledgedSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := adopted()
		ackable := map[uint64]bool{}            // by sequence: the end may be acknowledged
		durableEnds := map[wire.RunTag]RunEnd{} // ends of durable runs that are not released, listed or not
		workerEnds := []RunEnd{}                // ends that the worker has and that are not acknowledged
		var last, listed, acked uint64
		started := 0
		check := func() {
			n := r.Renew(r.now, 0)
			want := uint64(0)
			for want < listed && ackable[want+1] {
				want++
			}
			if n.Acked != want || n.Acked < acked {
				t.Fatalf("renewal acknowledges sequence %d after %d; want %d of %d listed ends", n.Acked, acked, want, listed)
			}
			acked = n.Acked
			for len(workerEnds) > 0 && workerEnds[0].Sequence <= acked {
				workerEnds = workerEnds[1:]
			}
			shown := workerEnds[:min(len(workerEnds), rapid.IntRange(0, 5).Draw(t, "shown"))]
			r.apply(n, RenewReply{Born: 1, Clock: startClock, Ended: shown})
			for _, e := range shown {
				listed = max(listed, e.Sequence)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"end": func(t *rapid.T) {
				last++
				o, err := r.Start(r.now, Task{Job: "j", Index: int(last)}, "")
				if err != nil {
					t.Fatal(err)
				}
				e := RunEnd{last, o.Run, rapid.SampledFrom([]EndReason{Done, Failed, Stopped, LeaseExpired}).Draw(t, "how")}
				ackable[last] = true
				if rapid.Bool().Draw(t, "durable") {
					r.HoldEnd(o.Run)
					if ackable[last] = e.Reason == Stopped || e.Reason == LeaseExpired; !ackable[last] {
						durableEnds[tagOf(o.Run)] = e
					}
				}
				workerEnds = append(workerEnds, e)
				started++
			},
			"settle": func(t *rapid.T) {
				held := r.HeldEnds()
				if len(held) == 0 {
					return
				}
				h := held[rapid.IntRange(0, len(held)-1).Draw(t, "held")]
				if durableEnds[h.Tag] != h.RunEnd || !r.ReleaseEnd(h.Tag) {
					t.Fatalf("held end %+v is not that of a durable run or cannot be released", h)
				}
				ackable[h.Sequence] = true
				delete(durableEnds, h.Tag)
			},
			"list": func(*rapid.T) { check() },
		})
		for range started + 1 {
			for _, h := range r.HeldEnds() {
				r.ReleaseEnd(h.Tag)
				ackable[h.Sequence] = true
			}
			check()
			r.apply(r.Renew(r.now, 0), RenewReply{Born: 1, Clock: startClock, Ended: workerEnds})
			listed = last
		}
		if len(r.removed) != started || r.HeldEndCount() != 0 {
			t.Fatalf("%d of %d runs were removed, %d ends are held", len(r.removed), started, r.HeldEndCount())
		}
	})
}
