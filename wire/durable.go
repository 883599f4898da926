package wire

import "time"

// EndedRun is the end of a run at a worker that the agent has not acknowledged.
// Job, Step and Index name the task in the caller's terms.
type EndedRun struct {
	Job   string
	Step  int
	Index int
	Tag   RunTag
	// Done or Failed; neither for a run that ended in another way, which has
	// no result and does not count as an attempt.
	Done, Failed bool
}

// RunTag is a hash of a worker's life, a task and the number of its run. It
// tells whether the end of a run was applied already; 0 means none.
type RunTag uint64

// MaxEndedRunsPerHeartbeat bounds the unclaimed ends in one heartbeat. At about 40 bytes an
// end they take 4 KB.
const MaxEndedRunsPerHeartbeat = 100

// DurableVerb is what is asked of an entry about a durable job.
type DurableVerb int

// Verbs of a DurableRequest.
const (
	DurableSubmit DurableVerb = iota + 1
	DurableState
	DurableCancel
)

// DurableRequest passes a caller's request for a durable job on to the entry
// that owns the job, or that should create it. It is passed on once.
type DurableRequest struct {
	Verb       DurableVerb
	Identifier string
	// Account whose job is asked for; that of another account is reported as
	// not known. Empty asks for the job of any.
	Account    string
	Submission *DurableSubmission // with DurableSubmit
	// Wait is how long the state of a job that has not ended may be held back
	// for its end; with DurableState.
	Wait time.Duration
}

// DurableSubmission is a durable job as it is submitted.
type DurableSubmission struct {
	Template   string
	Count      int
	Needs      Resources
	Spec       string
	ExpectedMS int64 // a hint; 0 for none
}

// DurableReply answers a DurableRequest.
type DurableReply struct {
	// Known is false when the entry has no such job in memory and did not
	// create one; nothing else in the reply counts then.
	Known bool
	State string // of the job, as durable.State
	// Outcome, Reason, Detail and RetryAfterMS of a submission or a
	// cancellation, as in entry.Answer.
	Outcome      string
	Reason       Reason
	Detail       string
	RetryAfterMS int64
}
