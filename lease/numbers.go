package lease

import "time"

// numberRetention is how long the highest number of a task is remembered at least.
// Callers send a job again within seconds. A number that was forgotten costs an
// order that the worker refuses as too old.
const numberRetention = time.Minute

// numbers gives each run of a task a number above that of every earlier one.
type numbers struct {
	rotatedAt     time.Time // when recent was begun
	recent, older map[Task]uint64
}

func newNumbers() numbers { return numbers{recent: map[Task]uint64{}, older: map[Task]uint64{}} }

func (n *numbers) highest(t Task) uint64 { return max(n.recent[t], n.older[t]) }

func (n *numbers) next(now time.Time, t Task) uint64 {
	number := n.highest(t) + 1
	n.record(now, Run{t, number})
	return number
}

// record records the number of a run.
func (n *numbers) record(now time.Time, run Run) {
	if now.Sub(n.rotatedAt) > numberRetention {
		n.rotatedAt, n.older, n.recent = now, n.recent, map[Task]uint64{}
	}
	n.recent[run.Task] = max(n.highest(run.Task), run.Number)
}

// raiseAbove makes the next number of the task at least twice the refused one,
// because the worker does not say how high it has to be.
func (n *numbers) raiseAbove(now time.Time, run Run) {
	run.Number = 2*run.Number - 1
	n.record(now, run)
}
