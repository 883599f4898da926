package lease

import "time"

// numberRetention is the least time for which the highest number of a task is
// remembered. Callers resubmit a job within seconds. After a number was
// forgotten, the worker may refuse one order as too old.
const numberRetention = time.Minute

// numbers assigns the numbers of runs: each is above those of all earlier runs
// of the task.
type numbers struct {
	rotatedAt     time.Time // when recent was created
	recent, older map[Task]uint64
}

func newNumbers() numbers { return numbers{recent: map[Task]uint64{}, older: map[Task]uint64{}} }

func (n *numbers) highest(t Task) uint64 { return max(n.recent[t], n.older[t]) }

func (n *numbers) next(now time.Time, t Task) uint64 {
	number := n.highest(t) + 1
	n.record(now, Run{t, number})
	return number
}

// record remembers the number of a run, and drops the older numbers after
// numberRetention.
func (n *numbers) record(now time.Time, run Run) {
	if now.Sub(n.rotatedAt) > numberRetention {
		n.rotatedAt, n.older, n.recent = now, n.recent, map[Task]uint64{}
	}
	n.recent[run.Task] = max(n.highest(run.Task), run.Number)
}

// raiseAbove makes the next number of the task at least twice that of the
// refused run, because the worker does not say how high it has to be.
func (n *numbers) raiseAbove(now time.Time, run Run) {
	run.Number = 2*run.Number - 1
	n.record(now, run)
}
