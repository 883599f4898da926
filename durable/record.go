package durable

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// Prefixes of the store's keys. The identifier of the job or the name of the
// epoch follows.
const (
	OpenPrefix   = "durable/open/"
	EndedPrefix  = "durable/ended/"
	OwnersPrefix = "durable/owners/"
)

// State of a durable job.
type State string

// States of a job. A job has an open record in the first two, and an end record
// in the others.
const (
	Queued     State = "queued"      // no task has started
	InProgress State = "in_progress" // a task has started
	Completed  State = "completed"   // every task is done
	Failed     State = "failed"      // a task failed as often as its template allows
	Cancelled  State = "cancelled"
)

// Epoch is the name of one period in which an entry process owns durable jobs.
// Its key is OwnersPrefix and the name. A key that has been removed is never
// written again.
type Epoch string

// TaskRun identifies a run of a task whose end is recorded.
type TaskRun struct {
	Index int // of the task in its job
	Tag   wire.RunTag
}

// TaskCrashes counts the worker crashes under the runs of one task; see
// containment.History.
type TaskCrashes struct {
	Index       int // of the task in its job
	Crashes     uint8
	Suspicions  uint8
	Unconfirmed uint8
}

// Record is the open record of a job.
type Record struct {
	Identifier string
	Account    string
	Template   string
	Count      int
	Needs      wire.Resources // of one task
	Spec       string
	Expected   time.Duration // of one task; a hint, 0 for none
	Accepted   time.Time     // wall clock of the entry that created it, in milliseconds

	Owner     Epoch
	Serial    uint64 // increases with each write of the record
	Started   bool   // a task has started
	Restarted bool   // a task may have been started again although an earlier run of it was done
	Done      []TaskRun
	Failed    []TaskRun
	Crashes   []TaskCrashes // at most one for each task
}

// EndRecord is the record of a job that has ended.
type EndRecord struct {
	Identifier string
	Account    string
	Template   string
	Workload   string
	State      State // Completed, Failed or Cancelled
	Ended      time.Time
	Restarted  bool
}
