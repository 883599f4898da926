// Package lease maintains an agent's table of the runs of leased tasks at one
// worker.
//
// All runs at a worker depend on one lease, which ends at a time on the worker's
// own clock. Orders start a run, stop it, or renew the lease of all runs; the
// reply to a renewal lists the runs that are active and those that have ended.
// An order without a reply may have been carried out, or may be carried out
// later. A run is removed from the table only when it is proved that nothing of
// it runs or will run, so that its capacity is never allocated twice.
//
// RunTable does no I/O, reads no clock and takes no lock; the caller serialises
// its calls.
package lease

import (
	"errors"
	"time"
)

// WorkerTime is a reading of a worker's monotonic clock, as the time since an
// origin that only the worker knows. The clock may run slower than that of the
// agent by ClockDrift.
type WorkerTime = time.Duration

// ClockDrift is the largest fraction by which a worker's clock may run slow.
const ClockDrift = 0.02

// Task identifies one task at a worker by its job, step and index.
type Task struct {
	Job   string
	Step  int
	Index int
}

// Run identifies one run of a task. Later runs of a task have higher numbers;
// the lowest is 1.
type Run struct {
	Task   Task
	Number uint64
}

// StartOrder starts a run.
type StartOrder struct {
	Run   Run
	Spec  string
	Token uint64 // fencing token
	// Born is the birth of the life for which the order is meant, as its lists state
	// it; 0 means that it is not known. The order must reach no process of another
	// birth.
	Born int64
	// ValidUntil is the time after which the worker must not carry out the
	// order. Carrying it out extends the lease to at least this time.
	ValidUntil WorkerTime
}

// StopOrder ends a run, and cancels its start if that was not carried out yet.
type StopOrder struct {
	Run   Run
	Token uint64
}

// RenewOrder extends the lease of all runs and requests a RenewReply.
type RenewOrder struct {
	Token uint64
	Born  int64 // as in StartOrder; another life may answer, and must extend no lease
	// LeaseEnd is the new end of the lease; 0 leaves it as it is. A lease is
	// never shortened.
	LeaseEnd WorkerTime
	// Acked acknowledges the ends up to this sequence; the worker forgets them.
	Acked uint64
	// Wait is how long the worker may wait for a run to end before it replies.
	Wait time.Duration
}

// Refusal is the reason for which a worker did not carry out an order; it is
// empty if the worker did.
type Refusal string

// Refusals of an order.
const (
	RefusedTokenTooLow  Refusal = "token_too_low" // the worker has seen a higher fencing token
	RefusedRunTooOld    Refusal = "run_too_old"   // this run or a later one of the task was stopped or has ended
	RefusedOrderExpired Refusal = "order_expired" // ValidUntil has passed
	RefusedNoRoom       Refusal = "no_room"
	RefusedUnhealthy    Refusal = "unhealthy"
	RefusedOtherLife    Refusal = "other_life" // the worker has restarted
	RefusedInvalid      Refusal = "invalid"
)

// Answer is the reply to a start or stop order.
type Answer struct {
	Refusal Refusal
	Clock   WorkerTime // 0 if the reply has no clock sample
}

// EndReason is the way in which a run ended.
type EndReason string

// Reasons for the end of a run. Workers may report others.
const (
	Done         EndReason = "done"
	Failed       EndReason = "failed" // by a fault of the task or of the worker
	Stopped      EndReason = "stopped"
	LeaseExpired EndReason = "lapsed"
)

// ActiveRun is a run that a worker executes.
type ActiveRun struct {
	Run     Run
	Percent int // completed work, 0 to 100
}

// RunEnd is the end of one run. Its sequence orders it among all ends of the
// worker's life; the first is 1.
type RunEnd struct {
	Sequence uint64
	Run      Run
	Reason   EndReason
}

// RenewReply is the reply to a renewal.
type RenewReply struct {
	Refusal Refusal
	Clock   WorkerTime // 0 if the reply has no clock sample
	Born    int64      // start of the process that made the list, Unix time in milliseconds; 0 if it did not say
	Active  []ActiveRun
	Ended   []RunEnd // not acknowledged yet, the oldest first, at most MaxEnds
}

// ErrNotSent means that no byte of an order was sent, so it was not carried out and
// will not be.
var ErrNotSent = errors.New("lease: the order was not sent")

// ErrWorkerDown means that a connection to the worker's address was refused, so
// the order was not carried out and will not be. It does not prove that the
// worker's process has ended. After any other error the order may have been
// carried out or may be carried out later.
var ErrWorkerDown = errors.New("lease: no process at the worker's address")

// ErrConnectionBroken means that the connection of an order was closed from the
// worker's side before the answer. The order may have been carried out.
var ErrConnectionBroken = errors.New("lease: the connection to the worker broke")
