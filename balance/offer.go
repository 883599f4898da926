package balance

import (
	"cmp"
	"strings"
	"time"
)

// Backlog is what an agent knows of the tasks that wait at one entry.
type Backlog struct {
	Entry        string // its identifier
	Urgency      int    // of the most urgent waiting task; 0 is most urgent
	LateAt       time.Time
	WaitingSince time.Time // since when the first task has been waiting
	Held         int       // tasks and reserved slots of the entry at the agent
}

// Order compares two backlogs. The result is negative if a is offered a free slot
// before b. It is never 0 for different entries.
type Order func(a, b Backlog) int

// ByTasks prefers the more urgent backlog, then the entry that holds less.
func ByTasks(a, b Backlog) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Held, b.Held), strings.Compare(a.Entry, b.Entry))
}

// BySlack prefers the more urgent backlog, then the one whose first task is late
// soonest, then the one whose first task has waited longest, then the entry that
// holds less. Entries of different strength thus have about equal waits: the longer
// its tasks wait, the more slots an entry is offered.
func BySlack(a, b Backlog) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.LateAt.Compare(b.LateAt), a.WaitingSince.Compare(b.WaitingSince), ByTasks(a, b))
}
