package wire

import "time"

// EndedRun is a run that has ended at a worker and whose end the agent has not
// acknowledged to the worker. Job, Step and Index identify the task as its
// caller does.
type EndedRun struct {
	Job   string
	Step  int
	Index int
	Tag   RunTag
	// Done and Failed tell how the run ended. Both are false for a run that
	// ended in another way, which has no result and does not count as an
	// attempt.
	Done, Failed bool
}

// RunTag identifies a run: it is a hash of the worker's process (its life), the
// task and the number of the run. Entries use it to apply the end of a run only
// once. 0 means none.
type RunTag uint64

// MaxEndedRunsPerHeartbeat is the largest number of unclaimed ends in one
// HeartbeatRequest. At about 40 bytes each they take 4 KB.
const MaxEndedRunsPerHeartbeat = 100

// DurableVerb is the operation that a DurableRequest asks for.
type DurableVerb int

// Verbs of a DurableRequest.
const (
	DurableSubmit DurableVerb = iota + 1 // create the job unless it exists
	DurableState                         // report the job's state
	DurableCancel                        // cancel the job
)

// DurableRequest forwards a caller's request about a durable job to the entry
// that owns the job, or that should create it. The receiver never forwards it
// again.
type DurableRequest struct {
	Verb       DurableVerb
	Identifier string // that the caller gave the job
	// Account restricts the request to jobs of this client account; a job of
	// another account is reported as not known. Empty means any account.
	Account    string
	Submission *DurableSubmission // set for DurableSubmit
	// Wait is the longest time for which the receiver delays its reply until
	// the job ends; used by DurableState.
	Wait time.Duration
}

// DurableSubmission is a durable job as its caller submits it.
type DurableSubmission struct {
	Template   string
	Count      int       // number of tasks
	Needs      Resources // of each task
	Spec       string    // passed to the worker; not interpreted
	ExpectedMS int64     // hint of the duration of one task in milliseconds; 0 for none
}

// DurableReply answers a DurableRequest.
type DurableReply struct {
	// Known is false when the entry has no such job in memory and did not
	// create one, or when only the store knows the job's state. Of the other
	// fields only State, and Outcome if it is unknown, have a meaning then.
	Known bool
	// State of the job: a durable.State. Without Known it is a state that the job
	// has at least, or empty.
	State string
	// Outcome, Reason, Detail and RetryAfterMS answer a submission or a
	// cancellation, with the meaning that they have in entry.Answer.
	Outcome      string
	Reason       Reason
	Detail       string
	RetryAfterMS int64 // milliseconds
}
