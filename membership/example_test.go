package membership_test

import (
	"fmt"
	"time"

	"chicorytray.example/chicorytray/membership"
	"chicorytray.example/chicorytray/wire"
)

// A peer is suspect if no message was received from it within the suspect time.
func ExamplePeers() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	p := membership.New(1500 * time.Millisecond)
	p.RecordHeard("entry-1", now)
	fmt.Println(p.Suspect("entry-1", now.Add(time.Second)))
	fmt.Println(p.Suspect("entry-1", now.Add(2*time.Second)))
	// Output:
	// false
	// true
}

// An agent announces itself to entries in its own and in other data centres.
func ExampleSubset() {
	known := []wire.EntryRef{
		{ID: "a1", DataCentre: "a"}, {ID: "a2", DataCentre: "a"}, {ID: "a3", DataCentre: "a"},
		{ID: "b1", DataCentre: "b"},
	}
	for _, e := range membership.Subset("agent-1", "a", known, 2) {
		fmt.Println(e.DataCentre)
	}
	// Output:
	// a
	// b
}
