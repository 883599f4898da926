package queue

import (
	"cmp"
	"slices"
	"time"
)

// State is a snapshot of a queue, for a process's state dump.
type State struct {
	Tasks    int            `json:"tasks"`
	Work     time.Duration  `json:"work_ns"`
	Jobs     int            `json:"jobs"` // including those without waiting tasks
	Levels   []LevelState   `json:"levels"`
	Accounts []AccountState `json:"accounts"`
}

// LevelState counts the waiting jobs of one urgency, after promotions. See
// MostUrgent for the meaning of Urgency under policies that ignore urgency.
type LevelState struct {
	Urgency int            `json:"urgency"`
	Classes map[string]int `json:"jobs_by_class"`
}

// AccountState holds an account's attained work and number of waiting jobs.
// Policies that ignore accounts count all jobs under the empty name.
type AccountState struct {
	Name     string  `json:"name"`
	Attained float64 `json:"attained_s"` // seconds of work
	Jobs     int     `json:"waiting_jobs"`
}

// State returns a snapshot of the queue. Its cost grows with the number of
// accounts and classes, not with the number of tasks.
func (q *Queue) State() State {
	s := State{Tasks: q.tasks, Work: q.work, Jobs: len(q.jobs)}
	for _, l := range q.levels {
		level := LevelState{Urgency: l.urgency, Classes: make(map[string]int, len(l.classes))}
		for name, c := range l.classes {
			for _, queue := range c.accounts.items {
				level.Classes[name] += queue.jobs.len()
			}
		}
		s.Levels = append(s.Levels, level)
	}
	for _, a := range q.accounts {
		account := AccountState{Name: a.name, Attained: a.attained}
		for _, queue := range a.queues {
			account.Jobs += queue.jobs.len()
		}
		s.Accounts = append(s.Accounts, account)
	}
	slices.SortFunc(s.Accounts, func(a, b AccountState) int { return cmp.Compare(a.Name, b.Name) })
	return s
}
