package wire

import "time"

// Header is one HTTP header field. Messages carry a slice of them, which keeps
// repeated fields and their order.
type Header struct{ Name, Value string }

// Request is the HTTP request that a task makes at its upstream.
type Request struct {
	Method string
	Path   string // path and query, beginning with a slash
	Header []Header
	Body   []byte
}

// Response is the upstream's complete HTTP response to one task.
type Response struct {
	Status int
	Header []Header
	Body   []byte
}

// Task is a task that an entry asks an agent to start.
type Task struct {
	Job         string
	Index       int // of the task in its job, from 0
	Attempt     int // 0 for the first; only tasks marked idempotent have more
	Template    string
	Account     string
	Urgency     int // 0 is most urgent
	Needs       Resources
	Request     Request
	MaxResponse int64         // largest accepted response body in bytes
	Remaining   time.Duration // until the job's deadline, when the message was sent
	// AnyStatus makes every complete upstream response with a status from 200
	// to 499 a success, as forwarded requests need it; otherwise only 2xx is.
	AnyStatus bool
	// Leased is set for a leased task, which has no Request.
	Leased *LeasedTask
	// Expected is the learned duration of a leased task; 0 when not known.
	Expected time.Duration
}

// LeasedTask is the part of a leased task that its worker needs.
type LeasedTask struct {
	// Job is the identifier that the caller chose. The caller may submit the
	// same job again under it, possibly to another entry.
	Job  string
	Step int
	Spec string // passed to the worker; not interpreted
	// Durable means that the agent acknowledges the end of the run to the
	// worker only after the entry has acknowledged the result. A durable task
	// whose Remaining is 0 has no deadline.
	Durable bool
	// Probation means that a worker crashed under an earlier run of the task, which
	// may have been the cause. A worker has at most one such task at a time.
	Probation bool
}

// Outcome is the outcome of one task at an agent.
type Outcome int

const (
	// OutcomeUnknown means that the task may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the task succeeded. For an HTTP upstream,
	// Response is complete.
	OutcomeDone
	// OutcomeFailed means that the task ran and failed.
	OutcomeFailed
	// OutcomeNotRun means that the task never started and never will.
	OutcomeNotRun
	// OutcomeInterrupted means that a leased task started and that its run
	// has certainly ended without a result, so that the task may be started
	// again.
	OutcomeInterrupted
)

// Reason says why a task was not run, failed, or has an unknown outcome.
type Reason string

// Reasons that agents and entries give.
const (
	// ReasonSessionFenced means that the task's session was not, or no longer,
	// the entry's current session at the agent.
	ReasonSessionFenced Reason = "session_fenced"
	ReasonAgentBusy     Reason = "agent_busy"
	ReasonAgentLeaving  Reason = "agent_leaving"
	ReasonOutOfService  Reason = "data_centre_out_of_service"
	// ReasonConfigUnconfirmed means that the agent's configuration was not
	// confirmed recently enough to start a task.
	ReasonConfigUnconfirmed   Reason = "configuration_unconfirmed"
	ReasonDeadline            Reason = "deadline_exceeded"
	ReasonCancelled           Reason = "cancelled"
	ReasonResourcesDoNotFit   Reason = "resources_do_not_fit"
	ReasonUpstreamError       Reason = "upstream_error"
	ReasonUpstreamUnreachable Reason = "upstream_unreachable"
	ReasonTooLarge            Reason = "result_too_large"
	// ReasonAgentLost means that the agent process was replaced, or that the
	// entry could not reach it in time.
	ReasonAgentLost Reason = "agent_lost"
	ReasonInvalid   Reason = "invalid_request"
	// ReasonDuplicate means that the agent received the request twice; the
	// first message decides the outcome of the task.
	ReasonDuplicate Reason = "duplicate_message"
	// ReasonStartRecordLost means that the agent has evicted its record of the
	// task.
	ReasonStartRecordLost Reason = "start_record_lost"
	// ReasonLeaseExpired means that a leased task was stopped because its
	// entry's session expired, which the replies to heartbeats renew, or
	// because the worker's lease expired.
	ReasonLeaseExpired Reason = "lease_lapsed"
	// ReasonWorkerLost means that the worker crashed, restarted or left.
	ReasonWorkerLost Reason = "worker_lost"
	// ReasonProbation means that the agent has another task on probation.
	ReasonProbation Reason = "other_task_on_probation"
	// ReasonCrashedWorkers means that workers crashed under a task that is
	// suspected to be the cause.
	ReasonCrashedWorkers Reason = "crashed_workers"
	// ReasonWorkerRefused means that the worker refused or ignored the order
	// to start a task.
	ReasonWorkerRefused Reason = "worker_refused"
)

// Result is the result of one task at an agent.
type Result struct {
	Outcome  Outcome
	Reason   Reason
	Detail   string
	Response Response
	Took     time.Duration // from the start to the end of the task, at the agent
	// Tag identifies the run of a durable job's task that ended done or failed;
	// otherwise 0.
	Tag RunTag
	// Crash is the part that the run has in a crash of its worker.
	Crash CrashRole
}

// CrashRole is the part that a run has in the crash of the worker on which it was
// lost.
type CrashRole int

const (
	// CrashNone means that the run was not lost in a crash.
	CrashNone CrashRole = iota
	// CrashBystander means that the run is probably not the cause.
	CrashBystander
	// CrashSuspect means that the run began and may be the cause.
	CrashSuspect
	// CrashUnconfirmed means that the run may be the cause if it began, which is not
	// known: its start order was not answered.
	CrashUnconfirmed
)

// Load is an agent's load, which it adds to its messages.
type Load struct {
	Sequence uint64 // grows with every change; of two loads the higher one is newer
	Running  int    // tasks, and slots that are reserved for other entries
	Queued   int    // tasks
	Free     Resources
	// Seen is the highest sequence that the agent received, in the session
	// SeenSession, from the entry to which it sends this load. Later requests
	// of that entry are not in the counts above.
	SeenSession, Seen uint64
}

// Backlog describes the tasks that wait at an entry. Agents use it to offer
// free slots.
type Backlog struct {
	Tasks   int // number of waiting tasks that the agent can run
	Urgency int // of the most urgent waiting task
	// Slack is the time, from the sending of the message, within which the first of
	// these tasks has to start so that its job can meet its objective; negative when
	// that has passed.
	Slack time.Duration
	// Waited is the time for which the job of that task had been waiting when the
	// message was sent. Slack and Waited are 0 in the messages of entries that do not
	// report them.
	Waited time.Duration
}
