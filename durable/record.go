package durable

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// Prefixes of the keys.
const (
	OpenPrefix   = "durable/open/"
	EndedPrefix  = "durable/ended/"
	OwnersPrefix = "durable/owners/"
)

// State of a durable job.
type State string

// States of a job. Queued and InProgress are open.
const (
	Queued     State = "queued"      // no task has started
	InProgress State = "in_progress" // a task has started
	Completed  State = "completed"   // every task ended done
	Failed     State = "failed"      // a task failed as often as its template allows
	Cancelled  State = "cancelled"
)

// Epoch names one period of ownership of an entry process. Its key is
// OwnersPrefix and the name; a key that has disappeared never comes back.
type Epoch string

// TaskRun is a run of a task whose end is recorded.
type TaskRun struct {
	Index int
	Tag   wire.RunTag
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
	Serial    uint64 // rises with each write of the record
	Started   bool   // a task has started
	Restarted bool   // a task may have been started again although a run of it ended done
	Done      []TaskRun
	Failed    []TaskRun
}

// EndRecord is the end record of a job.
type EndRecord struct {
	Identifier string
	Account    string
	Template   string
	Workload   string
	State      State // Completed, Failed or Cancelled
	Ended      time.Time
	Restarted  bool
}
