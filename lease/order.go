// Package lease keeps the table of the runs at one worker that runs leased
// tasks.
//
// Everything that runs at a worker holds a lease for a limited time on the
// worker's own clock. Orders start a run, stop it, or renew the lease of all
// runs; the reply to a renewal lists what runs and what has ended. An order
// without an answer may have been carried out, or may be carried out later. A
// run leaves the table only on proof that nothing of it runs or ever will, so
// that its capacity is never given away twice.
//
// Runs does no I/O, reads no clock and takes no lock; the caller serialises its
// calls.
package lease

import (
	"errors"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// WorkerTime is a time on the worker's steady clock, since an origin that only the
// worker knows. The clock may be ClockDrift slower than that of the agent.
type WorkerTime = time.Duration

// ClockDrift bounds by which share a worker's clock may be slow.
const ClockDrift = 0.02

// Task names one task at a worker, in the job's own terms.
type Task struct {
	Job   string
	Step  int
	Index int
}

// Run is one run of a task. Numbers of the runs of a task rise; the first is 1.
type Run struct {
	Task   Task
	Number uint64
}

// StartOrder starts a run.
type StartOrder struct {
	Run   Run
	Spec  string
	Token uint64 // fencing token
	// ValidUntil is when the order becomes void if it was not carried out, and the
	// least time to which it extends the lease.
	ValidUntil WorkerTime
}

// StopOrder ends a run, and voids its start if that was not carried out yet.
type StopOrder struct {
	Run   Run
	Token uint64
}

// RenewOrder extends the lease of all runs and asks for a List.
type RenewOrder struct {
	Token uint64
	// LeaseEnd is the new end of the lease; 0 leaves it as it is. A lease is
	// never shortened.
	LeaseEnd WorkerTime
	// Acked is the highest sequence of the ends that were taken note of.
	Acked uint64
	// Wait is how long the worker may wait for an end before it replies.
	Wait time.Duration
}

// Refusal is why a worker did nothing for an order; empty means that it
// carried the order out.
type Refusal string

// Refusals of an order.
const (
	RefusedTokenTooLow  Refusal = "token_too_low" // a higher fencing token was seen
	RefusedRunTooOld    Refusal = "run_too_old"   // this or a higher run was stopped or ended
	RefusedOrderExpired Refusal = "order_expired" // Until has passed
	RefusedNoRoom       Refusal = "no_room"
	RefusedUnhealthy    Refusal = "unhealthy"
	RefusedOtherLife    Refusal = "other_life" // the worker has restarted
	RefusedInvalid      Refusal = "invalid"
)

// Answer is the reply to a start or stop.
type Answer struct {
	Refusal Refusal
	Clock   WorkerTime // 0 when the worker gave none
}

// EndReason says how a run ended.
type EndReason string

// Ends of a run.
const (
	Done         EndReason = "done"
	Failed       EndReason = "failed" // through a fault of the task or the worker
	Stopped      EndReason = "stopped"
	LeaseExpired EndReason = "lapsed" // the lease ended
)

// ActiveRun is one run that a worker runs.
type ActiveRun struct {
	Run     Run
	Percent int // of its work, 0 to 100
}

// RunEnd is the end of one run. Sequences of a worker's life begin at 1 and rise.
type RunEnd struct {
	Sequence uint64
	Run      Run
	Reason   EndReason
}

// RenewReply is the reply to a renewal.
type RenewReply struct {
	Refusal Refusal
	Clock   WorkerTime
	Active  []ActiveRun
	Ended   []RunEnd
}

// ErrWorkerDown means that no process answers at the worker's address, so that the
// life to which an order was sent has ended. After any other error the order
// may have been carried out or may be carried out later.
var ErrWorkerDown = errors.New("lease: no process at the worker's address")

// Life is one life of a worker. A restarted worker may keep its identifier; it
// is then born later.
type Life struct {
	ID   string
	Born int64 // Unix time in milliseconds
}

// Announcement is what a worker says of itself.
type Announcement struct {
	Life     Life
	Sequence uint64 // rises with each announcement of a life
	Pool     string
	Address  string // IP:port of the worker
	Rack     string
	Capacity wire.Resources
	Draining bool
}
