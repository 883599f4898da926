package lease

import "time"

// numberRetention is the least time for which the highest number of a task is
// remembered. Callers resubmit a job within seconds. After a number was
// forgotten, the worker may refuse one order as too old.
const numberRetention = time.Minute

// maxNumber is the highest number that is taken from a list or reached by raises.
// Agents count from 1 and double the number at most 16 times for one task, so a run
// with a higher one has another writer. Above the highest of its type no number would
// be left for the next run.
const maxNumber = 1 << 62

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
	n.rotate(now)
	n.recent[t] = number
	return number
}

// rotate drops the older numbers after numberRetention.
func (n *numbers) rotate(now time.Time) {
	if now.Sub(n.rotatedAt) > numberRetention {
		n.rotatedAt, n.older, n.recent = now, n.recent, map[Task]uint64{}
	}
}

// record remembers the number of a run unless it exceeds maxNumber.
func (n *numbers) record(now time.Time, run Run) {
	if run.Number > maxNumber {
		return
	}
	n.rotate(now)
	n.recent[run.Task] = max(n.highest(run.Task), run.Number)
}

// raiseAbove makes the next number of the task at least twice that of the
// refused run, because the worker does not say how high it has to be.
func (n *numbers) raiseAbove(now time.Time, run Run) {
	run.Number = min(2*run.Number-1, maxNumber)
	n.record(now, run)
}
