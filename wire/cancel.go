package wire

import "time"

// CancelLeasedRequest asks another entry to cancel the jobs of leased tasks with
// these identifiers, which their callers chose, and to start none of them while
// callers may submit them again. Durable jobs are not affected.
type CancelLeasedRequest struct{ Jobs []string }

// CancelLeasedReply says which jobs the entry had, by their indexes in the
// request. A job in neither list was not known.
type CancelLeasedReply struct {
	Cancelled []int // was open and is cancelled
	Ended     []int // had ended with a final answer
}

// CancelledRequest asks another entry which cancellations it remembers.
type CancelledRequest struct{}

// CancelledReply has the identifiers of the jobs that were cancelled, and how long ago
// each was, at whichever entry.
type CancelledReply struct {
	Jobs []string
	Ages []time.Duration
}
