// Package ledger records which tasks an agent started for which entry, and
// fences the sessions of entries. It is what makes a task start at most once:
// a start is possible only in the entry's current session, only for a task
// that is queued there, and only once for each sequence of a session.
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
	// lapsed. The task did not start and never will in this session.
	ErrFenced = merry.Sentinel("ledger: session fenced")
	// ErrDuplicate means that the sequence was already used in the session.
	// The task may have started.
	ErrDuplicate = merry.Sentinel("ledger: sequence already used")
	// ErrWithdrawn means that the task was withdrawn before it started and
	// never will.
	ErrWithdrawn = merry.Sentinel("ledger: task withdrawn")
	// ErrNotFound means that no record of the task exists.
	ErrNotFound = merry.Sentinel("ledger: no record of the task")
)

// Owner is one entry process.
type Owner struct {
	Entry       string
	Incarnation wire.Incarnation
}

// OwnerOf returns the process that owns the session.
func OwnerOf(s wire.Session) Owner { return Owner{s.Entry, s.Incarnation} }

// WithdrawnTask is a queued task that was dropped before it started.
type WithdrawnTask struct {
	Owner Owner
	Key   wire.TaskKey
	Task  wire.Task
}

// OpenResult is what an entry must learn when it opens a session.
type OpenResult struct {
	// Started holds the entry's tasks that were started in earlier sessions
	// and not acknowledged, ordered by key.
	Started []wire.StartedTask
	// Truncated means that the list may lack started tasks.
	Truncated bool
	// Withdrawn tasks of earlier sessions never start.
	Withdrawn []WithdrawnTask
}

// Stats are the sizes of a ledger.
type Stats struct {
	Entries, Sessions        int // known entry processes, and those with an open session
	Queued, Running          int
	Finished                 int // started, finished and not acknowledged
	Evicted, Lapsed, Fencing uint64
}

// ownerRetention is the silence after which an entry process without records is
// forgotten. Longer than any job lives; an entry that returns later is told
// that its list is truncated.
const ownerRetention = 10 * time.Minute
