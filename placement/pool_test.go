package placement_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/placement"
)

// leasedAgent returns an agent with 32 cores that runs leased tasks of the pool.
func leasedAgent(id, pool string) placement.Agent {
	a := near(id, 32)
	a.Pool, a.Capacity = pool, placement.Resources{MilliCPU: 32000}
	return a
}

func leasedClass(pool string, milliCPU int64) placement.Class {
	return placement.Class{Name: "c", Pool: pool, Needs: placement.Resources{MilliCPU: milliCPU}}
}

// Guards against placing leased tasks at agents of another pool or of HTTP
// upstreams, and HTTP tasks at workers for leased tasks.
func TestPoolsAreKeptApart(t *testing.T) {
	for _, policy := range policies {
		table := placement.NewTable(policy)
		table.Upsert(near("http", 8))
		table.Upsert(leasedAgent("one", "p1"))
		table.Upsert(leasedAgent("two", "p2"))
		for class, want := range map[string]string{"": "http", "p1": "one", "p2": "two", "p3": ""} {
			for range 20 {
				id, _ := table.Choose(placement.Class{Pool: class}, nil)
				qt.Check(t, id, qt.Equals, want)
			}
		}
		qt.Check(t, table.CanEverRun(leasedClass("p3", 1)), qt.ErrorMatches, ".*no agent is known in pool p3")
		qt.Check(t, table.CanEverRun(leasedClass("p1", 33000)), qt.ErrorMatches, ".*no agent has all of it.*")
	}
}

// Guards against Slots counting cores as tasks, and against placing more tasks at
// a worker than its processors or weight allow, or none at a slow worker.
func TestProcessorsLimitLeasedTasks(t *testing.T) {
	for _, tc := range []struct {
		name        string
		need        int64
		arrange     func(*placement.Table)
		slots, fits int // Slots, and tasks that can be placed, of two workers
	}{
		{"large tasks", 9400, func(*placement.Table) {}, 6, 6},
		{"one core each", 1000, func(*placement.Table) {}, 64, 64},
		{"one not usable", 9400, func(t *placement.Table) { t.SetUsable("one", false) }, 3, 3},
		{"none usable", 9400, func(t *placement.Table) { t.SetUsable("one", false); t.SetUsable("two", false) }, 0, 0},
		{"more than all", 100000, func(*placement.Table) {}, 1, 0},
		{"full for now", 8000, func(t *placement.Table) { t.SetFull("one", true) }, 8, 4},
		{"slow", 8000, func(t *placement.Table) { t.SetWeight("one", 0.5) }, 6, 6},
		{"slow, with large tasks", 20000, func(t *placement.Table) { t.SetWeight("one", 0.1) }, 1, 2},
	} {
		table := placement.NewTable(placement.IdleFirst{})
		table.Upsert(leasedAgent("one", "p"))
		table.Upsert(leasedAgent("two", "p"))
		tc.arrange(table)
		class, fits := leasedClass("p", tc.need), 0
		qt.Check(t, table.Slots(class), qt.Equals, tc.slots, qt.Commentf(tc.name))
		for ; table.Feasible(class) && fits < 100; fits++ {
			id, _ := table.Choose(class, nil)
			table.RecordSent(id, class.Needs)
		}
		qt.Check(t, fits, qt.Equals, tc.fits, qt.Commentf(tc.name))
	}
}
