package wire

import "time"

// PeerHeartbeat is exchanged between entries; the reply has the same form.
type PeerHeartbeat struct {
	Entry      EntryRef
	Generation uint64
	// ConfirmAge is the age of the sender's freshest confirmation of the
	// configuration; negative when there is none.
	ConfirmAge     time.Duration
	StoreReachable bool
	DataCentres    []string // in which the sender heard a process within the suspect time
	Demand         []AccountDemand
	Stopping       bool
	// Pending counts the sender's durable jobs of which no task has started,
	// by template.
	Pending map[string]int
}

// AccountDemand is the number of tasks a second that callers of a client
// account asked an entry for.
type AccountDemand struct {
	Account string
	Tasks   float64
}

// ConfigRequest asks an entry for its configuration if newer than Have.
type ConfigRequest struct{ Have uint64 }

// ConfigReply carries a configuration document as JSON; empty when not newer.
type ConfigReply struct {
	Generation uint64
	Document   []byte
	Entries    []EntryRef
}

// PushConfigRequest gives an entry a document that the store accepted.
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

// JobReply is a job's state or its answer. Status and Body are the HTTP answer
// that the job's caller received or will receive; zero while it runs.
type JobReply struct {
	Known       bool
	Finished    bool
	Outcome     string // done, not_run, failed or unknown; empty while it runs
	Account     string
	Status      int
	ContentType string
	Header      []Header // of a forwarded request's answer
	RetryAfter  time.Duration
	Body        []byte
}
