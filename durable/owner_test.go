package durable

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an epoch that is valid for longer than the store keeps its key,
// and against an expired one that becomes valid again.
func TestOwner(t *testing.T) {
	c := qt.New(t)
	const valid = 2640 * time.Millisecond // 3 s x 0.98 - 300 ms
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	o := NewOwnership(300 * time.Millisecond)
	c.Check(o.Valid(at(0)), qt.IsFalse)
	c.Check(o.Begin(at(3*time.Second), "e-1-1", 1, 5, at(0)), qt.IsFalse)
	c.Check(o.Begin(at(time.Second), "e-1-2", 2, 6, at(0)), qt.IsTrue)
	c.Check(o.Valid(at(valid-1)), qt.IsTrue)
	c.Check(o.Valid(at(valid)), qt.IsFalse)
	o.Renewed(at(2*time.Second), 2, at(time.Second))
	c.Check(o.Valid(at(time.Second+valid-1)), qt.IsTrue)
	o.Renewed(at(2*time.Second), 2, at(0)) // answers that arrive out of order
	o.Renewed(at(2*time.Second), 1, at(2*time.Second))
	c.Check(o.Valid(at(time.Second+valid-1)), qt.IsTrue)
	c.Check(o.Valid(at(time.Second+valid)), qt.IsFalse)
	o.Renewed(at(time.Second+valid), 2, at(time.Second+valid))
	c.Check(o.Valid(at(time.Second+valid)), qt.IsFalse)
	o.End()
	c.Check(o.Valid(at(0)), qt.IsFalse)
	c.Check(newEpoch("edge-1", "a", 3).Entry(), qt.Equals, "edge-1")
	c.Check(Epoch("edge-1").Entry(), qt.Equals, "")
}

// Guards against an orphan that no entry or several entries take over at once,
// and against the takeover of a job whose owner has a key.
func TestOrphans(t *testing.T) {
	c := qt.New(t)
	entries := map[string]bool{"a": true, "b": true, "c": true, "gone": false}
	var open []StoredRecord
	for i := range 300 {
		r := sample(fmt.Sprint(i))
		r.Owner = "gone-1-1"
		open = append(open, StoredRecord{r, 1})
	}
	alive := sample("alive")
	alive.Owner = "a-1-1"
	open = append(open, StoredRecord{alive, 1})
	owners := map[Epoch]bool{"a-1-1": true, "b-1-1": true, "c-1-1": true}
	all := []*Orphans{NewOrphans("a"), NewOrphans("b"), NewOrphans("c")}
	taken := map[string]int{}
	for _, o := range all {
		take, waiting := o.Select(time.Unix(0, 0), ScanResult{
			Open: open, Owners: owners, Entries: entries, Own: Epoch(o.self + "-1-1"),
			IsHeld: func(id string) bool { return id == "alive" && o.self == "a" },
		})
		c.Check(len(take)+waiting, qt.Equals, 300)
		c.Check(len(take) > 70 && len(take) < 130, qt.IsTrue, qt.Commentf("%s takes %d of 300", o.self, len(take)))
		for _, r := range take {
			taken[r.Identifier]++
			c.Check(PreferredEntry(o.self, r.Identifier, entries), qt.Equals, o.self)
		}
	}
	c.Check(taken, qt.HasLen, 300)
}

// Guards against an orphan that stays because the entry ranked first does not
// take it over, and against one of the own epoch, which no other entry can take
// over.
func TestOrphansWait(t *testing.T) {
	c := qt.New(t)
	entries := map[string]bool{"a": true, "b": true, "c": true}
	r, ranks := sample("job"), map[int]bool{}
	for self := range entries {
		o := NewOrphans(self)
		rank := o.reachableBefore(r.Identifier, entries)
		ranks[rank] = true
		own := Epoch(self + "-1-1")
		for owner, want := range map[Epoch]time.Duration{"old-1-1": time.Duration(rank) * rankDelay, own: rankDelay} {
			r.Owner = owner
			for d := time.Duration(0); d <= want; d += time.Second {
				take, _ := o.Select(time.Unix(0, 0).Add(d), ScanResult{
					Open: []StoredRecord{{r, 1}}, Owners: map[Epoch]bool{own: true}, Entries: entries, Own: own,
					IsHeld: func(string) bool { return false },
				})
				c.Check(len(take) == 1, qt.Equals, d == want, qt.Commentf("%s of rank %d, owner %s, after %v", self, rank, owner, d))
			}
		}
	}
	c.Check(ranks, qt.HasLen, 3)
}
