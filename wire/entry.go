package wire

import "time"

// PeerHeartbeat is exchanged between entries; the reply has the same form.
type PeerHeartbeat struct {
	Entry      EntryRef
	Generation uint64
	// ConfirmAge is the age of the sender's freshest confirmation of the
	// configuration; negative when there is none.
	ConfirmAge time.Duration
	// StoreReachable is whether the store answers the sender or an agent that it
	// asked.
	StoreReachable bool
	// DataCentres lists the data centres from which the sender received a
	// message within the suspect time.
	DataCentres []string
	Demand      []AccountDemand
	Stopping    bool // the sender accepts no new jobs
	// Pending is the number of the sender's durable jobs of which no task has
	// started, by template.
	Pending map[string]int
	// WantsPending in a request asks for PendingElsewhere in the reply, because the
	// sender has not read the records of durable jobs for a while.
	WantsPending bool
	// PendingElsewhere has the pending durable jobs of processes that do not report
	// theirs to the sender or to the receiver, as far as the sender knows them.
	PendingElsewhere []ProcessPending
	// CrashingTasks is the number of tasks that the sender gave up within
	// containment.Memory because workers crashed under them, by template.
	CrashingTasks map[string]int
	// Confined lists the templates that are confined by what the sender knows; see
	// containment.Report.
	Confined []string
	// PoolLoads has the sender's load of each pool; only in a reply, so that the
	// receiver can bound its age.
	PoolLoads []PoolLoad
	Leaving   bool // a planned stop of the sender has begun
	// ShortOfProcessor is whether the sender is short of processor time; only in a
	// reply.
	ShortOfProcessor bool
}

// PoolLoad is the load of an entry in one pool of leased-task workers. Work is processor
// time, in milliseconds times thousandths of a core.
type PoolLoad struct {
	Pool     string
	Waiting  int64 // expected work of the waiting tasks
	Running  int64 // expected work of the tasks at agents
	Admitted int64 // work of the jobs admitted in the last second
	Refused  int   // jobs refused in the last second for lack of capacity
	Usable   bool  // the sender has a usable agent of the pool
}

// ProcessPending is the number of the pending durable jobs of one process of an entry,
// by template.
type ProcessPending struct {
	Entry       string // its identifier
	Incarnation Incarnation
	Pending     map[string]int
}

// AccountDemand is the rate at which callers of a client account submit tasks
// to an entry.
type AccountDemand struct {
	Account string
	Tasks   float64 // per second
}

// ConfigRequest asks an entry for its configuration if its generation is higher
// than Have.
type ConfigRequest struct{ Have uint64 }

// ConfigReply carries a configuration document as JSON.
type ConfigReply struct {
	Generation uint64     // in force at the sender
	Document   []byte     // empty when Generation is not higher than asked for
	Entries    []EntryRef // known to the sender
}

// ReadConfigRequest asks an agent to read the configuration from the store for an
// entry that cannot.
type ReadConfigRequest struct {
	Content []byte // config.ContentHash of the document in force at the entry
}

// ReadConfigReply has the result of the read.
type ReadConfigReply struct {
	Read bool // the store answered with a configuration, or that it has none
	// Answers is whether the store answered at all; see gate.Observation.
	Answers  bool
	Same     bool   // the content is that of the request; Document is empty
	Document []byte // empty if the store has none
}

// PushConfigRequest sends an entry a document that the store has accepted.
type PushConfigRequest struct{ Document []byte }

// PushConfigReply carries the generation in force after the push.
type PushConfigReply struct{ Generation uint64 }

// JobRequest asks the entry that owns a job about it. A job of another client
// account is reported as not known.
type JobRequest struct {
	Job     string
	Account string
	Wait    time.Duration // how long to wait for the answer; 0 answers at once
}

// JobReply is a job's state or its answer. Status, ContentType, Header and Body
// are the HTTP response that the job's caller received or will receive; they
// are zero while the job runs.
type JobReply struct {
	Known       bool // false: the entry has no such job of the account
	Finished    bool
	Outcome     string // done, not_run, failed or unknown; empty while the job runs
	Account     string
	Status      int
	ContentType string
	Header      []Header // only for a forwarded request
	RetryAfter  time.Duration
	Body        []byte
}
