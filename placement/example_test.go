package placement_test

import (
	"fmt"

	"chicorytray.example/chicorytray/placement"
)

func ExampleTable() {
	table := placement.NewTable(placement.IdleFirst{})
	table.Upsert(near("a", 8))
	table.Upsert(near("b", 8))
	table.Report("a", placement.Load{Sequence: 12, Running: 7})
	class := placement.Class{Name: "proofs", DataCentres: []string{"near"}}
	id, ok := table.Choose(class, nil)
	fmt.Println(id, ok)
	table.Sent(id, class.Needs) // and Settled, then Report, when the reply arrives
	fmt.Println(table.CanEverRun(placement.Class{Name: "else", DataCentres: []string{"east"}}))
	// Output:
	// b true
	// placement: class "else" can never run: no agent is known in east
}
