// Package ledger records which tasks an agent has started for which entry, and
// fences the sessions of entries. It ensures that a task starts at most once: a
// start is possible only in the entry's current session, only for a task that
// is queued there, and only once for each sequence of a session.
//
// The ledger does no locking. Its caller holds one lock over the ledger and
// the decision to start, so that a session cannot be opened between the check
// and the start.
package ledger

import (
	"time"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/wire"
)

// Errors of the ledger. Match them with errors.Is.
var (
	// ErrFenced means that the session is not the entry's current one, or has
	// expired. The task did not start and never will in this session.
	ErrFenced = merry.Sentinel("ledger: session fenced")
	// ErrDuplicate means that the sequence was already used in the session.
	// The task may have started.
	ErrDuplicate = merry.Sentinel("ledger: sequence already used")
	// ErrWithdrawn means that the task was withdrawn before it started and
	// never will.
	ErrWithdrawn = merry.Sentinel("ledger: task withdrawn")
	// ErrNotFound means that the ledger has no record of the task, or that the
	// task does not run any more.
	ErrNotFound = merry.Sentinel("ledger: no record of the task")
)

// Owner identifies the entry process that owns sessions and their tasks.
type Owner struct {
	Entry       string
	Incarnation wire.Incarnation
}

// OwnerOf returns the entry process that owns the session.
func OwnerOf(s wire.Session) Owner { return Owner{s.Entry, s.Incarnation} }

// WithdrawnTask is a queued task that was dropped before it started and never
// will.
type WithdrawnTask struct {
	Owner Owner
	Key   wire.TaskKey
	Task  wire.Task
}

// OpenResult describes the tasks of an entry's earlier sessions when it opens a
// new one.
type OpenResult struct {
	// Started lists the entry's tasks that were started in earlier sessions
	// and not acknowledged, ordered by key.
	Started []wire.StartedTask
	// Truncated means that Started may lack tasks, because their records were
	// evicted or the ledger does not know the earlier sessions.
	Truncated bool
	// Withdrawn lists the queued tasks of the previous session, which never
	// start.
	Withdrawn []WithdrawnTask
}

// Stats are the sizes of a ledger, and totals since it was created.
type Stats struct {
	Entries, Sessions int // known entry processes, and those with an open session
	Queued, Running   int // tasks
	Finished          int // tasks that have finished and are not acknowledged
	// Totals: evicted records, expired sessions, and sessions that replaced an
	// earlier one of their entry process.
	Evicted, Lapsed, Fencing uint64
}

// ownerRetention is the least time without contact after which an entry process
// without a running task is forgotten. It is longer than any job lasts. An
// entry that returns later is told that its list of started tasks is truncated.
const ownerRetention = 10 * time.Minute
