package ledger_test

import (
	"fmt"
	"time"

	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

// An entry that lost its connection opens a new session. The result tells it
// which of its tasks were started; the others never will be.
func Example() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	l := ledger.New(wire.NewIncarnation(), 1000)
	first := wire.Session{Entry: "entry-1", Incarnation: 1, Number: 1}
	_, _ = l.OpenSession(first, now)
	_ = l.Enqueue(first, 1, wire.Task{Job: "j", Index: 0})
	_ = l.Enqueue(first, 2, wire.Task{Job: "j", Index: 1})
	_ = l.Start(first, 1)

	second := first
	second.Number = 2
	res, _ := l.OpenSession(second, now)
	fmt.Println("started:", res.Started[0].Key.Sequence)
	fmt.Println("dropped:", res.Withdrawn[0].Key.Sequence)
	fmt.Println("late start:", l.Start(first, 2))
	// Output:
	// started: 1
	// dropped: 2
	// late start: ledger: session fenced
}
