package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/placement"
)

// reference models one agent: the load that a table should estimate for it.
type reference struct {
	agent           placement.Agent
	usable          bool
	load            placement.Load
	outstanding     []placement.Resources // needs of the tasks not done, oldest first
	sentSinceReport int                   // how many of outstanding were sent after the report
}

func sumResources(list []placement.Resources) placement.Resources {
	var total placement.Resources
	for _, r := range list {
		total = total.Plus(r)
	}
	return total
}

func (r *reference) fits(c placement.Class) bool {
	if !r.usable || len(c.DataCentres) > 0 && c.DataCentres[0] != r.agent.DataCentre {
		return false
	}
	load := max(r.load.Running+r.load.Queued+r.sentSinceReport, len(r.outstanding))
	reported := r.load.Free.Minus(sumResources(r.outstanding[len(r.outstanding)-r.sentSinceReport:]))
	held := r.agent.Capacity.Minus(sumResources(r.outstanding))
	return load < r.agent.Slots+r.agent.QueueLimit && c.Needs.Fits(reported) && c.Needs.Fits(held)
}

// Guards against an index that disagrees with the agents: a chosen agent must
// have room, and Feasible must be true exactly if some agent has room.
func TestTableAgreesWithAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := placement.NewTable(rapid.SampledFrom(policies).Draw(t, "policy"))
		agents := map[string]*reference{}
		ids := rapid.IntRange(0, 8)
		needs := func(t *rapid.T) placement.Resources {
			return placement.Resources{Accelerators: rapid.IntRange(0, 2).Draw(t, "accelerators"), MemoryMB: rapid.Int64Range(0, 3).Draw(t, "memory")}
		}
		var sequence uint64
		t.Repeat(map[string]func(*rapid.T){
			"upsert": func(t *rapid.T) {
				id := fmt.Sprint(ids.Draw(t, "id"))
				a := placement.Agent{
					ID: id, DataCentre: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone"),
					Slots: rapid.IntRange(1, 3).Draw(t, "slots"), QueueLimit: rapid.IntRange(0, 1).Draw(t, "queue"),
					Capacity: needs(t).Plus(needs(t)),
					Distance: time.Duration(rapid.IntRange(0, 1).Draw(t, "distance")) * time.Millisecond,
				}
				table.Upsert(a)
				known := agents[id]
				agents[id] = &reference{agent: a, usable: known == nil || known.usable, load: placement.Load{Free: a.Capacity}}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(ids.Draw(t, "id"))
				table.Remove(id)
				delete(agents, id)
			},
			"usable": func(t *rapid.T) {
				id, usable := fmt.Sprint(ids.Draw(t, "id")), rapid.Bool().Draw(t, "usable")
				table.SetUsable(id, usable)
				if r := agents[id]; r != nil {
					r.usable = usable
				}
			},
			"report": func(t *rapid.T) {
				id := fmt.Sprint(ids.Draw(t, "id"))
				if r := agents[id]; r != nil {
					sequence++
					r.load = placement.Load{Sequence: sequence, Running: rapid.IntRange(0, 3).Draw(t, "running"), Free: needs(t)}
					r.sentSinceReport = 0
					table.Report(id, r.load)
				}
			},
			"choose": func(t *rapid.T) {
				c := placement.Class{Needs: needs(t)}
				if rapid.Bool().Draw(t, "restricted") {
					c.DataCentres = []string{"y"}
				}
				avoided := fmt.Sprint(ids.Draw(t, "avoid"))
				possible, others := false, false
				for id, r := range agents {
					possible = possible || r.fits(c)
					others = others || r.fits(c) && id != avoided
				}
				if table.Feasible(c) != possible || possible && !table.HasRoom() {
					t.Fatalf("Feasible(%v) = %v", c, !possible)
				}
				id, ok := table.Choose(c, func(id string) bool { return id == avoided })
				if ok != others || ok && (id == avoided || !agents[id].fits(c)) {
					t.Fatalf("Choose(%v) = %q, %v; an agent other than %s has room: %v", c, id, ok, avoided, others)
				}
				if ok {
					table.RecordSent(id, c.Needs)
					agents[id].outstanding = append(agents[id].outstanding, c.Needs)
					agents[id].sentSinceReport++
				}
			},
			"settle": func(t *rapid.T) {
				id := fmt.Sprint(ids.Draw(t, "id"))
				if r := agents[id]; r != nil && len(r.outstanding) > 0 {
					table.RecordDone(id, r.outstanding[0])
					r.outstanding = r.outstanding[1:]
					r.sentSinceReport = min(r.sentSinceReport, len(r.outstanding)) // tasks sent before the report are done first
				}
			},
		})
	})
}
