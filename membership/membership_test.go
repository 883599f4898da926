package membership

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/wire"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against new work for a peer that failed, or from which no message was
// received within the suspect time or ever.
func TestSuspicion(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(p *Peers)
		after time.Duration
		want  bool
	}{
		{"unknown", func(*Peers) {}, 0, true},
		{"learnt, never heard", func(p *Peers) { p.Add("x") }, 0, true},
		{"heard", func(p *Peers) { p.RecordHeard("x", epoch) }, 1500 * time.Millisecond, false},
		{"silent", func(p *Peers) { p.RecordHeard("x", epoch) }, 1501 * time.Millisecond, true},
		{"failed", func(p *Peers) { p.RecordHeard("x", epoch); p.RecordFailed("x") }, 0, true},
		{"heard after failure", func(p *Peers) { p.RecordHeard("x", epoch); p.RecordFailed("x"); p.RecordHeard("x", epoch) }, 0, false},
		{"older message last", func(p *Peers) { p.RecordHeard("x", epoch); p.RecordHeard("x", epoch.Add(-time.Hour)) }, 0, false},
		{"forgotten", func(p *Peers) { p.RecordHeard("x", epoch); p.Remove("x") }, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			p := New(1500 * time.Millisecond)
			tc.setup(p)
			now := epoch.Add(tc.after)
			c.Check(p.Suspect("x", now), qt.Equals, tc.want)
			c.Check(len(p.Alive(now)) == 0, qt.Equals, tc.want)
		})
	}
}

func entries(perDataCentre ...int) []wire.EntryRef {
	var refs []wire.EntryRef
	for dc, n := range perDataCentre {
		for i := range n {
			refs = append(refs, wire.EntryRef{ID: fmt.Sprintf("dc%d-e%d", dc, i), DataCentre: fmt.Sprintf("dc%d", dc)})
		}
	}
	return refs
}

// Guards against an agent that selects only entries in its own data centre, or
// none there, and against fewer entries than the limit allows.
func TestSubsetMixesDataCentres(t *testing.T) {
	for _, tc := range []struct {
		name         string
		entries      []wire.EntryRef
		limit        int
		local, total int
	}{
		{"few", entries(2, 2), 16, 2, 4},
		{"many", entries(20, 20, 20), 16, 8, 16},
		{"odd limit", entries(20, 20), 5, 3, 5},
		{"few local", entries(1, 30), 8, 1, 8},
		{"few remote", entries(30, 1), 8, 7, 8},
		{"none", nil, 8, 0, 0},
		{"no places", entries(3), 0, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			got := Subset("agent", "dc0", tc.entries, tc.limit)
			local := 0
			for _, e := range got {
				if e.DataCentre == "dc0" {
					local++
				}
			}
			c.Check(got, qt.HasLen, tc.total)
			c.Check(local, qt.Equals, tc.local)
		})
	}
}

// Guards against many agents reconnecting when one entry is removed, and against
// results that depend on the order of the list.
func TestSubsetIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := entries(rapid.IntRange(1, 20).Draw(t, "own"), rapid.IntRange(1, 20).Draw(t, "other"))
		limit := rapid.IntRange(1, 16).Draw(t, "limit")
		self := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "agent")
		before := Subset(self, "dc0", all, limit)
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		fewer := append(append([]wire.EntryRef{}, all[removed+1:]...), all[:removed]...)
		kept := map[string]bool{}
		for _, e := range Subset(self, "dc0", fewer, limit) {
			kept[e.ID] = true
		}
		for _, e := range before {
			if e.ID != all[removed].ID && !kept[e.ID] {
				t.Fatalf("%s left the subset when %s was removed from the list", e.ID, all[removed].ID)
			}
		}
	})
}

// Guards against some entries being selected by most of the agents.
func TestSubsetSpreadsAgents(t *testing.T) {
	c := qt.New(t)
	count := map[string]int{}
	for i := range 1000 {
		for _, e := range Subset(fmt.Sprintf("agent-%d", i), "elsewhere", entries(40), 16) {
			count[e.ID]++
		}
	}
	for id, n := range count {
		// 400 expected each; 100 is more than 6 standard deviations.
		c.Check(n > 300 && n < 500, qt.IsTrue, qt.Commentf("%s: %d agents", id, n))
	}
	c.Check(count, qt.HasLen, 40)
}
