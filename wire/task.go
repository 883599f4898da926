package wire

import "time"

// Header is one HTTP header field. A slice keeps repeated fields and their order.
type Header struct{ Name, Value string }

// Request is the HTTP request that a task makes at its upstream.
type Request struct {
	Method string
	Path   string // path and query, beginning with a slash
	Header []Header
	Body   []byte
}

// Response is the upstream's whole answer to one task.
type Response struct {
	Status int
	Header []Header
	Body   []byte
}

// Task is one start that an entry asks an agent to make.
type Task struct {
	Job         string
	Index       int
	Attempt     int // 0 for the first; only tasks marked idempotent have more
	Template    string
	Account     string
	Urgency     int // 0 is most urgent
	Needs       Resources
	Request     Request
	MaxResponse int64         // bytes
	Remaining   time.Duration // until the job's deadline, when the message was sent
	// AnyStatus makes every whole upstream answer below 500 a result, as a
	// forwarded request needs it; otherwise only 2xx succeeds.
	AnyStatus bool
	// Leased is set for a leased task, which has no Request.
	Leased *LeasedTask
	// Expected is the learned duration of a leased task; 0 when not known.
	Expected time.Duration
}

// LeasedTask is what a worker that runs leased tasks needs to know of a task.
type LeasedTask struct {
	// Job is the identifier that the caller chose. The same job may come again
	// under it, at another entry.
	Job  string
	Step int
	Spec string // for the worker; not interpreted
	// Durable means that the end of the run is acknowledged to the worker
	// only after the entry has acknowledged the result. Without Remaining the
	// task has no deadline.
	Durable bool
}

// Outcome of one task at an agent.
type Outcome int

const (
	// OutcomeUnknown means that the task may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the upstream answered and Response is whole.
	OutcomeDone
	// OutcomeFailed means that the task ran and failed.
	OutcomeFailed
	// OutcomeNotRun means that the task never started and never will.
	OutcomeNotRun
	// OutcomeInterrupted means that a leased task started and that its run has
	// ended for certain without a result, so that it may be started again.
	OutcomeInterrupted
)

// Reason says why a task was not run, failed, or has an unknown outcome.
type Reason string

// Reasons that agents and entries give.
const (
	ReasonSessionFenced       Reason = "session_fenced"
	ReasonAgentBusy           Reason = "agent_busy"
	ReasonAgentLeaving        Reason = "agent_leaving"
	ReasonOutOfService        Reason = "data_centre_out_of_service"
	ReasonConfigUnconfirmed   Reason = "configuration_unconfirmed"
	ReasonDeadline            Reason = "deadline_exceeded"
	ReasonCancelled           Reason = "cancelled"
	ReasonResourcesDoNotFit   Reason = "resources_do_not_fit"
	ReasonUpstreamError       Reason = "upstream_error"
	ReasonUpstreamUnreachable Reason = "upstream_unreachable"
	ReasonTooLarge            Reason = "result_too_large"
	ReasonAgentLost           Reason = "agent_lost"
	ReasonInvalid             Reason = "invalid_request"
	ReasonDuplicate           Reason = "duplicate_message"
	ReasonStartRecordLost     Reason = "start_record_lost"
	// ReasonLeaseLapsed: the entry of a leased task was silent, or the worker's
	// lease ended.
	ReasonLeaseLapsed Reason = "lease_lapsed"
	// ReasonWorkerLost: the worker crashed, restarted or left.
	ReasonWorkerLost Reason = "worker_lost"
	// ReasonWorkerRefused: the worker refused or ignored the order.
	ReasonWorkerRefused Reason = "worker_refused"
)

// Result is what became of one task at an agent.
type Result struct {
	Outcome  Outcome
	Reason   Reason
	Detail   string
	Response Response
	Took     time.Duration // from start to whole answer at the agent
	Tag      RunTag        // of the run of a durable job's task that ended done or failed
}

// Load is an agent's state as piggybacked on its messages.
type Load struct {
	Sequence uint64 // grows with every change; the higher one is newer
	Running  int
	Queued   int
	Free     Resources
	// Seen is the highest sequence that the agent received from the entry
	// that gets this load, in the session SeenSession. Later starts of that
	// entry are not in the counts above.
	SeenSession, Seen uint64
}

// Backlog is what an entry has waiting, as agents need it to offer free slots.
type Backlog struct {
	Tasks   int
	Urgency int // of the most urgent waiting task
}
