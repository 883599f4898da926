package gate_test

import (
	"fmt"
	"time"

	"chicorytray.example/chicorytray/gate"
)

// An agent receives a confirmation of its configuration with the reply to a
// heartbeat, and may start tasks until the confirmation is too old.
func Example() {
	sent := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	g := gate.New(2 * time.Second)
	if at, ok := gate.ConfirmedAt(sent, 500*time.Millisecond); ok {
		g.Confirm(at)
	}
	ok, _ := g.MayStart(sent.Add(time.Second), true)
	fmt.Println(ok)
	ok, reason := g.MayStart(sent.Add(2*time.Second), true)
	fmt.Println(ok, reason)
	// Output:
	// true
	// false configuration_unconfirmed
}
