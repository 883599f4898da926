package wire

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
