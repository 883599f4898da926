package placement_test

import (
	"fmt"
	"testing"
	"time"

	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/wire"
)

// loadedTable returns a table at 80 % load, with 8 slots per agent, 3 agents per
// rack, and up to 11 data centres of at least 4 agents each.
func loadedTable(policy placement.Policy, agents int) *placement.Table {
	table := placement.NewTable(policy)
	centres := min(max(agents/4, 1), 11)
	for i := range agents {
		dc := i % centres
		id := fmt.Sprint(i)
		table.Upsert(placement.Agent{
			ID: id, DataCentre: fmt.Sprint("dc", dc), Rack: fmt.Sprint("rack", i/3), Slots: 8, QueueLimit: 2,
			Capacity: wire.Resources{Accelerators: i % 3, MemoryMB: 64000, MilliCPU: 64000},
			Distance: time.Duration(dc) * time.Millisecond,
		})
		free := wire.Resources{Accelerators: i % 2, MemoryMB: int64(i*7919%64) * 1000, MilliCPU: int64(i*104729%64) * 1000}
		table.Report(id, placement.Load{Sequence: 1, Running: []int{8, 8, 7, 6, 3}[i*31%5], Free: free})
	}
	return table
}

// BenchmarkDecision measures one decision with its updates: check feasibility,
// choose an agent, record the sent task and its reply.
func BenchmarkDecision(b *testing.B) {
	for _, class := range []placement.Class{
		{Name: "plain"},
		{Name: "resources", Needs: wire.Resources{Accelerators: 1, MemoryMB: 32000, MilliCPU: 32000}},
	} {
		for _, policy := range policies {
			for _, agents := range []int{11, 100, 1000, 10000} {
				b.Run(fmt.Sprintf("%s/%s/agents=%d", policy.Name(), class.Name, agents), func(b *testing.B) {
					table := loadedTable(policy, agents)
					var spread placement.Spread
					q := placement.Query{Class: class, RackTasks: spread.Count}
					b.ReportAllocs()
					for b.Loop() {
						if !table.Feasible(class) {
							b.Fatal("no room")
						}
						id, _ := table.ChooseFor(q)
						table.RecordSent(id, class.Needs)
						spread.Add(table.Rack(id))
						table.RecordDone(id, class.Needs)
						spread.Done(table.Rack(id))
					}
				})
			}
		}
	}
}

// BenchmarkNoRoom measures the worst case of a search: agents have either free
// accelerators or free memory, and the class needs both.
func BenchmarkNoRoom(b *testing.B) {
	for _, agents := range []int{11, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			table := loadedTable(placement.IdleFirst{}, agents)
			for i := range agents {
				free := wire.Resources{Accelerators: i / 11 % 2, MemoryMB: int64(1 - i/11%2)}
				table.Report(fmt.Sprint(i), placement.Load{Sequence: 2, Free: free})
			}
			class := placement.Class{Needs: wire.Resources{Accelerators: 1, MemoryMB: 1}}
			for b.Loop() {
				if table.Feasible(class) {
					b.Fatal("room")
				}
			}
		})
	}
}

// BenchmarkAvoidMost measures a decision that may use only three tenths of the agents,
// as for the tasks of a confined template.
func BenchmarkAvoidMost(b *testing.B) {
	for _, agents := range []int{11, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			table := loadedTable(placement.IdleFirst{}, agents)
			allowed := map[string]bool{}
			for i := range max(1, 3*agents/10) {
				allowed[fmt.Sprint(i*7%agents)] = true
			}
			q := placement.Query{Class: placement.Class{Name: "plain"}, Avoid: func(id string) bool { return !allowed[id] }}
			found := 0
			for b.Loop() {
				if _, ok := table.ChooseFor(q); ok {
					found++
				}
			}
			b.ReportMetric(float64(found)/float64(b.N), "found/op")
		})
	}
}
