package wire

import "time"

// AgentConfig is the part of the operators' configuration that an agent needs.
type AgentConfig struct {
	Generation uint64
	// InService lists the data centres in which tasks may start. A data centre
	// that operators removed from the configuration is not in the list, so no
	// task starts there.
	InService []string
}

// OpenSessionRequest opens a session of an entry process at an agent and
// fences the process's earlier sessions.
type OpenSessionRequest struct {
	Session Session
	Config  AgentConfig
	// Acked lists tasks whose results the entry has; the agent drops their
	// records.
	Acked []TaskKey
}

// TaskKey identifies one attempt to start a task at an agent, among those of
// one entry process.
type TaskKey struct {
	Session  uint64 // number of the session in which the request was sent
	Sequence uint64 // of the request
}

// StartedTask is a record of a task that the agent started and that the entry
// has not acknowledged.
type StartedTask struct {
	Key      TaskKey
	Finished bool
	Result   Result // set when Finished
}

// OpenSessionReply lists what the agent started in the entry's earlier
// sessions. A task that is absent never started, unless Truncated is set.
type OpenSessionReply struct {
	Agent     AgentRef
	Started   []StartedTask
	Truncated bool // the agent evicted records of this entry
	Load      Load
}

// RunRequest asks an agent to start one task.
type RunRequest struct {
	Session  Session
	Sequence uint64 // unique among the entry process's requests in the session
	Task     Task
	Backlog  Backlog
	// Acked lists tasks whose results the entry has; the agent drops their
	// records.
	Acked []TaskKey
}

// RunReply is sent when the task has finished or was refused.
type RunReply struct {
	Agent  Incarnation
	Result Result
	Load   Load
}

// AwaitRequest asks for the result of a task that was started in an earlier
// session. The reply is a RunReply, sent when the task has finished.
type AwaitRequest struct {
	Session Session
	Key     TaskKey
}

// CancelRequest withdraws queued tasks and stops running ones.
type CancelRequest struct {
	Session Session
	Keys    []TaskKey
}

// CancelReply lists the tasks that had not started and never will.
type CancelReply struct {
	Withdrawn []TaskKey
	Load      Load
}

// AnnounceRequest tells an agent about an entry's backlog and configuration.
type AnnounceRequest struct {
	Session Session
	Backlog Backlog
	Config  *AgentConfig // nil when unchanged
	// Acked lists tasks whose results the entry has; the agent drops their
	// records.
	Acked []TaskKey
}

// AnnounceReply carries the agent's load.
type AnnounceReply struct{ Load Load }

// Empty is the argument or reply of calls that need none.
type Empty struct{}

// HeartbeatRequest is sent by an agent to each entry that it announces itself
// to. An entry that receives none for the suspect time sends the agent no new
// tasks.
//
// For durable jobs a heartbeat also lists unclaimed ends. The end of a run is
// unclaimed when the agent must not acknowledge it to the worker yet and expects
// no entry to acknowledge its result: the entry has no open session, the entry
// did not acknowledge the result in time, or this agent process had no record
// of the run when the worker listed its end.
type HeartbeatRequest struct {
	// Agent has only ID and Incarnation once the entry has answered a
	// heartbeat with the full reference on this connection. The other fields
	// are most of a heartbeat's bytes.
	Agent AgentRef
	// KnownEntry is the process that the agent knows at this address; 0 for none.
	KnownEntry Incarnation
	Load       Load
	Leaving    bool   // the agent accepts no new tasks
	Healthy    bool   // the upstream answered its last health check
	Generation uint64 // of the agent's configuration
	// ReadAge is the age of the newest read of the store that the agent heard
	// of from any entry; negative when there is none. An entry that cannot
	// read the store learns from it that others can.
	ReadAge time.Duration
	// Behind lists the runs of the entry's leased tasks that are stalled or slow.
	Behind []Straggler
	// Adopted means that the agent has adopted its worker: it knows all runs of
	// the worker, no durable task is running whose entry has no open session,
	// and each end that is not acknowledged to the worker is in Unclaimed or
	// belongs to an open session.
	Adopted bool
	// Unclaimed has the oldest unclaimed ends, at most
	// MaxEndedRunsPerHeartbeat.
	Unclaimed []EndedRun
	// MoreUnclaimed means that there may be unclaimed ends beyond those in
	// Unclaimed.
	MoreUnclaimed bool
	// Suspects lists the runs that are suspected of a crash of the worker within the
	// last seconds. Those of durable jobs are reported to their owner only.
	Suspects []CrashReport
	// ConfirmedAgo is the time since an entry last confirmed the configuration of
	// Generation, which therefore has it; 0 if none did, or from an agent that does not
	// tell.
	ConfirmedAgo time.Duration
}

// CrashReport is a run that is suspected of a crash of its worker. The run may not be
// over: a start order without an answer may still be carried out. The role CrashNone
// takes an earlier report back: the worker has answered since and did not crash.
type CrashReport struct {
	Entry   Incarnation // process that sent the task
	Key     TaskKey     // of the task, at that process
	Account string
	Job     string // identifier that the caller chose
	Index   int    // of the task in the job
	Role    CrashRole
}

// Straggler is a run of a leased task that makes no progress, or that makes it
// much more slowly than expected.
type Straggler struct {
	Key     TaskKey
	Percent int // share of its work that is done, 0 to 100
	// Elapsed is the time since the worker first listed the run, by its clock.
	Elapsed time.Duration
	Stalled bool // true: no progress; false: slow progress
}

// HeartbeatReply answers a HeartbeatRequest.
type HeartbeatReply struct {
	// Entry has only ID and Incarnation if the agent knows this process.
	Entry EntryRef
	// Describe asks for a heartbeat with the full AgentRef. The agent ignores
	// the other fields of such a reply.
	Describe   bool
	Generation uint64 // of the entry's configuration
	// ConfirmAge is the time since the entry's configuration was last
	// confirmed, which the rules for an outage of the store may allow without
	// a read; negative when there is no confirmation.
	ConfirmAge time.Duration
	// ReadAge is the age of the newest read of the store that the entry knows
	// of; negative when there is none.
	ReadAge time.Duration
	Config  *AgentConfig // nil unless the agent's generation was lower
	// Entries lists the known entries, the sender included. It is left out of
	// most replies while it is unchanged.
	Entries []EntryRef
	Backlog Backlog
	// Acked lists tasks whose results the entry has; the agent drops their
	// records.
	Acked    []TaskKey
	Stopping bool // the entry accepts no new jobs
	// Renews is the number of the open session that the reply renews. It is 0
	// if the entry has none, may not start tasks, or waits for the answer to a
	// cancellation. A session of leased tasks expires settings.Timing.Lapse
	// after the answered heartbeat was sent; no other message extends it.
	Renews uint64
	// Settled are the unclaimed ends that the agent may acknowledge to its
	// worker at once. Voided are those whose tasks may have been started
	// again; the agent may acknowledge them to its worker only after the
	// worker's lease has expired.
	Settled, Voided []EndedRun
}

// IntroduceRequest tells an agent about an entry. An agent that starts while it
// cannot read the store learns of entries only this way or from its seeds.
type IntroduceRequest struct{ Entry EntryRef }

// OfferRequest offers free slots to an entry that announced backlog.
type OfferRequest struct {
	Agent       string // identifier of the agent
	Incarnation Incarnation
	Load        Load
}

// OfferReply reports whether the entry used the offer.
type OfferReply struct{ Used bool }
