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

// OpenSessionRequest opens a session and fences the entry's earlier ones.
type OpenSessionRequest struct {
	Session Session
	Config  AgentConfig
	Acked   []TaskKey
}

// TaskKey names one start: the session in which it was sent and its sequence.
type TaskKey struct {
	Session  uint64
	Sequence uint64
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

// RunRequest asks for one start.
type RunRequest struct {
	Session  Session
	Sequence uint64
	Task     Task
	Backlog  Backlog
	Acked    []TaskKey
}

// RunReply arrives when the task is finished or refused.
type RunReply struct {
	Agent  Incarnation
	Result Result
	Load   Load
}

// AwaitRequest asks for the result of a started task after a new session was opened.
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
	Acked   []TaskKey
}

// AnnounceReply carries the agent's load.
type AnnounceReply struct{ Load Load }

// Empty is the argument or reply of calls that need none.
type Empty struct{}

// HeartbeatRequest keeps an agent known to an entry.
type HeartbeatRequest struct {
	// Agent has only ID and Incarnation once the entry has answered a whole
	// one on this connection. The rest is most of a heartbeat's bytes.
	Agent AgentRef
	// KnownEntry is the process that the agent knows at this address; 0 for none.
	KnownEntry Incarnation
	Load       Load
	Leaving    bool
	Healthy    bool // the upstream answered its last health check
	Generation uint64
	// ReadAge is the age of the newest read of the store that the agent heard
	// of from any entry; negative when there is none. It shows an entry that
	// cannot read the store that others can.
	ReadAge time.Duration
	// Behind lists the runs of the entry's leased tasks that are stalled or slow.
	Behind []Straggler
	// Adopted means that the agent has adopted its worker, so that every end
	// there which is not acknowledged is in Unclaimed or belongs to an open
	// session. Unclaimed has the oldest MaxUnclaimed of them.
	Adopted   bool
	Unclaimed []EndedRun
	// MoreUnclaimed means that there are further ones.
	MoreUnclaimed bool
}

// Straggler is a run of a leased task that makes no progress or too little.
type Straggler struct {
	Key     TaskKey
	Percent int // of its work, 0 to 100
	// Elapsed is the time since the worker first listed the run, by its clock.
	Elapsed time.Duration
	Stalled bool // without progress; otherwise it is slow
}

// HeartbeatReply answers a HeartbeatRequest.
type HeartbeatReply struct {
	// Entry has only ID and Incarnation if the agent knows this process.
	Entry EntryRef
	// Describe asks for a heartbeat with the whole AgentRef; nothing else in
	// the reply counts then.
	Describe   bool
	Generation uint64
	ConfirmAge time.Duration // by the store-outage rule; negative when there is no confirmation
	ReadAge    time.Duration // of the newest read of the store known; negative when there is none
	Config     *AgentConfig  // nil unless the agent's generation was lower
	Entries    []EntryRef    // entries known, the sender included
	Backlog    Backlog
	Acked      []TaskKey
	Stopping   bool // the entry accepts no new jobs
	// Renews is the number of the session that is open and not in doubt; 0
	// for none. Only this extends the session of leased tasks, counted from
	// the moment the heartbeat was sent.
	Renews uint64
	// Settled are the unclaimed ends that the agent may acknowledge to its
	// worker. Voided are those that it may acknowledge only after the
	// worker's lease has ended, because their tasks were started again.
	Settled, Voided []EndedRun
}

// IntroduceRequest tells an agent of an entry. An agent that started while it
// cannot read the store learns of entries only this way or from its seeds.
type IntroduceRequest struct{ Entry EntryRef }

// OfferRequest offers free slots to an entry that announced backlog.
type OfferRequest struct {
	Agent       string
	Incarnation Incarnation
	Load        Load
}

// OfferReply says whether the entry had a use for the offer.
type OfferReply struct{ Used bool }
