package placement_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/placement"
)

// near and far are data centres 0.5 ms and 1.5 ms away.
func near(id string, slots int) placement.Agent {
	return placement.Agent{ID: id, DataCentre: "near", Rack: "rack-" + id, Slots: slots, Distance: 500 * time.Microsecond}
}

func far(id string, slots int) placement.Agent {
	a := near(id, slots)
	a.DataCentre, a.Distance = "far", 1500*time.Microsecond
	return a
}

var policies = []placement.Policy{placement.Random{}, placement.PowerOfTwo{}, placement.IdleFirst{}}

// Guards against tasks sent to agents that must get none, or that cannot take
// them, under any policy.
func TestNoPolicyChoosesAnUnfitAgent(t *testing.T) {
	any := placement.Class{Name: "any"}
	memory := placement.Class{Name: "memory", Needs: placement.Resources{MemoryMB: 100}}
	tests := []struct {
		name    string
		class   placement.Class
		arrange func(*placement.Table)
	}{
		{"not usable", any, func(t *placement.Table) { t.SetUsable("a", false) }},
		{"removed", any, func(t *placement.Table) { t.Remove("a") }},
		{"other data centre", placement.Class{DataCentres: []string{"far"}}, func(*placement.Table) {}},
		{"slots and queue full by report", any, func(t *placement.Table) {
			t.Report("a", placement.Load{Sequence: 1, Running: 2, Queued: 1})
		}},
		{"slots and queue full by own tasks", any, func(t *placement.Table) {
			for range 3 {
				t.Sent("a", placement.Resources{})
			}
		}},
		{"full by tasks sent since the report", any, func(t *placement.Table) {
			t.Report("a", placement.Load{Sequence: 1, Running: 2})
			t.Sent("a", placement.Resources{})
		}},
		{"memory taken by report", memory, func(t *placement.Table) {
			t.Report("a", placement.Load{Sequence: 1, Free: placement.Resources{MemoryMB: 99}})
		}},
		{"memory taken by own tasks", memory, func(t *placement.Table) { t.Sent("a", placement.Resources{MemoryMB: 60}) }},
		{"slow with its reduced slots in use", any, func(t *placement.Table) {
			t.SetWeight("a", 0.1)
			t.Sent("a", placement.Resources{})
		}},
	}
	for _, policy := range policies {
		for _, test := range tests {
			t.Run(policy.Name()+"/"+test.name, func(t *testing.T) {
				c := qt.New(t)
				table := placement.NewTable(policy)
				a := near("a", 2)
				a.QueueLimit, a.Capacity = 1, placement.Resources{MemoryMB: 150}
				table.Upsert(a)
				id, ok := table.Choose(placement.Class{Needs: test.class.Needs}, nil)
				c.Assert(id, qt.Equals, "a")
				c.Assert(ok, qt.IsTrue)
				test.arrange(table)
				_, ok = table.Choose(test.class, nil)
				c.Assert(ok, qt.IsFalse)
				c.Assert(table.Feasible(test.class), qt.IsFalse)
			})
		}
	}
}

// Guards against an old report overwriting a newer one, and against reports of
// a restarted agent being ignored because its sequence begins again.
func TestReportSequence(t *testing.T) {
	c := qt.New(t)
	table := placement.NewTable(placement.IdleFirst{})
	a := near("a", 1)
	a.Incarnation = 7
	class := placement.Class{}
	table.Upsert(a)
	c.Assert(table.Report("a", placement.Load{Sequence: 5, Running: 1}), qt.IsTrue)
	c.Assert(table.Report("a", placement.Load{Sequence: 4}), qt.IsFalse)
	c.Assert(table.Report("a", placement.Load{Sequence: 5}), qt.IsFalse)
	c.Assert(table.Feasible(class), qt.IsFalse)
	table.Upsert(a) // the same process: its load is kept
	c.Assert(table.Feasible(class), qt.IsFalse)
	a.Incarnation = 8
	table.Upsert(a)
	c.Assert(table.Feasible(class), qt.IsTrue)
	c.Assert(table.Report("a", placement.Load{Sequence: 1, Running: 1}), qt.IsTrue)
	c.Assert(table.Feasible(class), qt.IsFalse)
	a.Incarnation = 0
	table.Upsert(a) // the incarnation is not known: reset
	c.Assert(table.Feasible(class), qt.IsTrue)
}

// Guards against a slot that stays taken after a task that was proved not sent,
// and against one that is offered twice while a task is outstanding.
func TestSentAndSettled(t *testing.T) {
	c := qt.New(t)
	table := placement.NewTable(placement.IdleFirst{})
	table.Upsert(near("a", 1))
	none := placement.Resources{}
	table.Sent("a", none)
	c.Assert(table.Feasible(placement.Class{}), qt.IsFalse)
	// A report that was made before the task reached the agent.
	table.Report("a", placement.Load{Sequence: 1})
	c.Assert(table.Feasible(placement.Class{}), qt.IsFalse)
	table.Settled("a", none)
	c.Assert(table.Feasible(placement.Class{}), qt.IsTrue)
	table.Settled("a", none) // once too often: ignored
	table.Sent("a", none)
	c.Assert(table.Feasible(placement.Class{}), qt.IsFalse)
}

// Guards against a far data centre being used while a near one has slots, and
// against queueing at an agent while another has a free slot.
func TestIdleFirstOrder(t *testing.T) {
	c := qt.New(t)
	table := placement.NewTable(placement.IdleFirst{})
	for _, a := range []placement.Agent{near("n1", 2), near("n2", 3), far("f1", 4)} {
		a.QueueLimit = 1
		table.Upsert(a)
	}
	var got []string
	for {
		id, ok := table.Choose(placement.Class{}, nil)
		if !ok {
			break
		}
		table.Sent(id, placement.Resources{})
		got = append(got, id)
	}
	c.Assert(got, qt.HasLen, 12)
	count := func(ids []string) map[string]int {
		n := map[string]int{}
		for _, id := range ids {
			n[id]++
		}
		return n
	}
	c.Assert(got[0], qt.Equals, "n2") // most free slots
	c.Assert(count(got[:5]), qt.DeepEquals, map[string]int{"n1": 2, "n2": 3})
	c.Assert(count(got[5:9]), qt.DeepEquals, map[string]int{"f1": 4})
	c.Assert(count(got[9:11]), qt.DeepEquals, map[string]int{"n1": 1, "n2": 1})
	c.Assert(got[11], qt.Equals, "f1")
}

// Guards against a slow upstream that gets as many tasks as the others.
func TestWeightReducesTheShare(t *testing.T) {
	for _, policy := range policies {
		t.Run(policy.Name(), func(t *testing.T) {
			c := qt.New(t)
			table := placement.NewTable(policy)
			table.Upsert(near("fast", 8))
			table.Upsert(near("slow", 8))
			table.SetWeight("slow", 0.25)
			c.Assert(table.Slots(placement.Class{}), qt.Equals, 10)
			sent := map[string]int{}
			for id, ok := table.Choose(placement.Class{}, nil); ok; id, ok = table.Choose(placement.Class{}, nil) {
				table.Sent(id, placement.Resources{})
				sent[id]++
			}
			c.Assert(sent, qt.DeepEquals, map[string]int{"fast": 8, "slow": 2})
		})
	}
}

// Guards against one rack holding a whole job because its agents have more free
// slots, while others have free slots too.
func TestIdleFirstSpreadsAJobOverRacks(t *testing.T) {
	c := qt.New(t)
	table := placement.NewTable(placement.IdleFirst{})
	for i := range 9 {
		a := near(fmt.Sprint(i), 24-8*(i/3))
		a.Rack = fmt.Sprint("rack", i/3)
		table.Upsert(a)
	}
	var spread placement.Spread
	for range 18 {
		id, _ := table.ChooseFor(placement.Query{RackTasks: spread.Count})
		table.Sent(id, placement.Resources{})
		spread.Add(table.Rack(id))
	}
	for i := range 3 {
		n := spread.Count(fmt.Sprint("rack", i))
		c.Check(n >= 4 && n <= 8, qt.IsTrue, qt.Commentf("rack %d has %d of 18 tasks", i, n))
	}
	spread.Done("rack0")
	c.Assert(spread.Count("rack0")+spread.Count("rack1")+spread.Count("rack2"), qt.Equals, 17)
}

// Guards against several entries with the same view that all choose the same
// one of two equal agents.
func TestEqualAgentsAreEquallyLikely(t *testing.T) {
	c := qt.New(t)
	table := placement.NewTable(placement.IdleFirst{})
	for i, slots := range []int{2, 1, 1, 1, 2} {
		table.Upsert(near(fmt.Sprint(i), slots))
	}
	chosen := map[string]int{}
	for range 1000 {
		id, _ := table.Choose(placement.Class{}, nil)
		chosen[id]++
	}
	c.Assert(chosen["0"] > 400 && chosen["4"] > 400, qt.IsTrue, qt.Commentf("%v", chosen))
}

// Guards against a decision that looks at all agents when many have to be
// avoided, and against one that never finds the only agent that fits.
func TestSearchIsLimitedAndStartsElsewhereNextTime(t *testing.T) {
	c := qt.New(t)
	table := placement.NewTable(placement.IdleFirst{})
	for i := range 4000 {
		a := near(fmt.Sprint(i), 4+i%4)
		a.Capacity = placement.Resources{Accelerators: i % 2, MemoryMB: int64(1 - i%2)}
		if i == 2000 {
			a.Capacity = placement.Resources{Accelerators: 1, MemoryMB: 1}
		}
		table.Upsert(a)
	}
	asked := 0
	_, ok := table.Choose(placement.Class{}, func(string) bool { asked++; return true })
	c.Assert(ok, qt.IsFalse)
	c.Assert(asked < 2000, qt.IsTrue, qt.Commentf("%d agents", asked))
	both := placement.Class{Needs: placement.Resources{Accelerators: 1, MemoryMB: 1}}
	for tries := 0; !ok && tries < 1000; tries++ {
		_, ok = table.Choose(both, nil)
	}
	c.Assert(ok, qt.IsTrue)
}

// Guards against a job that waits for ever because nothing can run it, and
// against a refusal for a fault that may pass.
func TestCanEverRun(t *testing.T) {
	c := qt.New(t)
	table := placement.NewTable(placement.IdleFirst{})
	c.Assert(table.CanEverRun(placement.Class{}), qt.ErrorIs, placement.ErrNoAgents)
	gpu, big := near("gpu", 1), far("big", 1)
	gpu.Capacity = placement.Resources{Accelerators: 2, MemoryMB: 100}
	big.Capacity = placement.Resources{MemoryMB: 1000}
	table.Upsert(gpu)
	table.Upsert(big)
	table.SetUsable("gpu", false)
	c.Assert(table.CanEverRun(placement.Class{Needs: placement.Resources{Accelerators: 2}}), qt.IsNil)

	err := table.CanEverRun(placement.Class{Name: "both", Needs: placement.Resources{Accelerators: 1, MemoryMB: 500}})
	var never *placement.NeverError
	c.Assert(errors.As(err, &never), qt.IsTrue)
	c.Assert(never.Largest, qt.Equals, placement.Resources{Accelerators: 2, MemoryMB: 1000})
	c.Assert(err, qt.ErrorMatches, `.*"both" can never run: it needs 1 accelerators, 500 MB .*`)

	err = table.CanEverRun(placement.Class{Name: "else", DataCentres: []string{"east", "west"}})
	c.Assert(err, qt.ErrorMatches, `.*"else" can never run: no agent is known in east, west`)
	table.Remove("gpu")
	c.Assert(table.CanEverRun(placement.Class{Needs: placement.Resources{Accelerators: 1}}), qt.IsNotNil)
}
