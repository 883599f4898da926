// Package settings reads the JSON file with the settings of one process.
// Decoding is strict: an unknown field, a value without its unit or a value that
// contradicts another is an error, which names the file, the field and the
// accepted values. All errors of a file are reported at once.
package settings

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// Accepted values of Codec, the encoding of messages between processes.
const (
	CodecGob     = "gob"
	CodecMsgpack = "msgpack"
)

// Accepted values of Entry.Placement, the policy that chooses an agent for a task.
const (
	PlacementRandom    = "random"
	PlacementIdleFirst = "idle_first"
)

// Accepted values of Entry.Order, the order in which waiting tasks are started.
const (
	OrderUrgency   = "urgency"
	OrderObjective = "objective"
	OrderRemaining = "remaining"
	OrderValue     = "value"
	OrderDue       = "due"
)

// Orders returns the accepted values of Entry.Order, the default first.
func Orders() []string {
	return []string{OrderUrgency, OrderObjective, OrderRemaining, OrderValue, OrderDue}
}

// Accepted values of Agent.Sharing, the order in which an agent offers free slots to
// entries with equally urgent tasks.
const (
	SharingTasks = "tasks"
	SharingSlack = "slack"
)

// Accepted values of Entry.Admission, the rule by which jobs are accepted.
const (
	AdmissionDeadline  = "deadline"
	AdmissionObjective = "objective"
)

// Admissions returns the accepted values of Entry.Admission, the default first.
func Admissions() []string { return []string{AdmissionDeadline, AdmissionObjective} }

// Placements returns the accepted values of Entry.Placement, the default first.
func Placements() []string {
	return []string{PlacementIdleFirst, PlacementRandom}
}

// Duration is written in JSON as a string with a unit, for example "500ms".
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Timing holds the intervals of the protocol between processes. They are
// checked against each other because guarantees depend on their order. Each is
// more than 0 and at most 24h, except StopNotice, which may be 0.
type Timing struct {
	// Heartbeat is the interval between the heartbeats of an agent to an entry
	// that has tasks there, queued, running or waiting for room. Default 500ms.
	Heartbeat Duration `json:"heartbeat"`
	// IdleHeartbeat is the longest interval between the heartbeats of an agent to
	// an entry that has no tasks there. A value below Heartbeat, such as 0, the
	// default, means Heartbeat. With ConfigRead less than Gate, and unless the
	// tasks are leased less than Lapse.
	IdleHeartbeat Duration `json:"idle_heartbeat"`
	// PeerHeartbeat is the interval between the heartbeats of an entry to
	// another entry. It is longer with many entries; see PeerInterval. Default
	// 1s.
	PeerHeartbeat Duration `json:"peer_heartbeat"`
	// ConfigRead is the interval at which an entry reads the configuration from
	// the store. It also watches the configuration, but a watch may stop
	// reporting changes unnoticed. Default 1s.
	ConfigRead Duration `json:"config_read"`
	// Suspect is the time without a message from a process after which it gets
	// no new work. More than two Heartbeat, so that one lost heartbeat has no
	// effect, and more than PeerHeartbeat. Where heartbeats are sent at the
	// interval IdleHeartbeat, the time is longer by what that exceeds Heartbeat.
	// Default 1500ms.
	Suspect Duration `json:"suspect"`
	// Gate is the largest age of the last confirmation of its configuration at
	// which an agent starts a task. More than ConfigRead plus Heartbeat, and at
	// most 3s. Default 2s.
	Gate Duration `json:"gate"`
	// Lapse is the time without a message from an entry after which an agent
	// ends the entry's session and drops its queued tasks. With leased tasks it
	// is the time since the agent sent the last heartbeat whose reply renewed
	// the session, other messages do not count, and the agent also stops the
	// session's running tasks. More than Suspect, and more than PingAfter plus
	// PingTimeout. Default 3s.
	Lapse Duration `json:"lapse"`
	// Reconcile is the time for which an entry tries to reach an agent again
	// before it reports the tasks that it sent there as unknown. More than
	// Lapse; with leased tasks, see Leased. Default 5s.
	Reconcile Duration `json:"reconcile"`
	// PingAfter is the time after which an entry sends a ping on a connection
	// that has outstanding calls and receives nothing. Default 1s.
	PingAfter Duration `json:"ping_after"`
	// PingTimeout is the time to wait for the answer to a ping before the
	// connection is closed. Default 500ms.
	PingTimeout Duration `json:"ping_timeout"`
	// CallTimeout is the timeout of a control call between processes.
	// Default 1s.
	CallTimeout Duration `json:"call_timeout"`
	// StoreTimeout is the timeout of one call of the platform's key-value
	// service. Default 1s.
	StoreTimeout Duration `json:"store_timeout"`
	// LeaseTTL is the time after which the store removes an entry's
	// registration unless the entry renews it. The entry renews it at a third
	// of this time. More than three StoreTimeout. Default 10s.
	LeaseTTL Duration `json:"lease_ttl"`
	// StopNotice is the time for which a stopping entry goes on accepting jobs,
	// until the load balancer sends it no more. 0s to 24h. Default 5s.
	StopNotice Duration `json:"stop_notice"`
	// StopGrace is the time after the beginning of a planned stop at which the
	// process is killed if it has not ended. An entry answers its open jobs
	// StopMargin before that. 0 means that it waits for their deadlines; otherwise
	// more than StopNotice + StopMargin, at most 24h. Default 0s.
	StopGrace Duration `json:"stop_grace"`
	// StopAccept makes a stopping entry accept jobs after StopNotice as well, if
	// they can be expected to end StopMargin before StopGrace, and close each
	// connection of a caller after its next response. Callers keep connections open
	// that they had before, and would otherwise be refused on them. Needs StopGrace.
	// Default false: jobs are refused after StopNotice.
	StopAccept bool `json:"stop_accept"`
}

// StopMargin is the time that is left of StopGrace to deliver the last answers.
const StopMargin = 500 * time.Millisecond

// IdleInterval is the interval that IdleHeartbeat sets.
func (t Timing) IdleInterval() time.Duration {
	return max(t.Heartbeat, t.IdleHeartbeat).AsDuration()
}

// peerHeartbeatsPerSecond is the largest number of heartbeats that an entry sends
// to all its peers in a second. With a fixed interval the messages of an entry
// would grow with the number of entries, and those of all with its square.
const peerHeartbeatsPerSecond = 25

// PeerInterval returns the interval between the heartbeats of an entry to each of
// a number of peers: PeerHeartbeat, or longer if peerHeartbeatsPerSecond would be
// exceeded.
func (t Timing) PeerInterval(peers int) time.Duration {
	return max(t.PeerHeartbeat.AsDuration(), time.Duration(peers)*time.Second/peerHeartbeatsPerSecond)
}

// PeerSuspect is Suspect for one of a number of peers.
func (t Timing) PeerSuspect(peers int) time.Duration {
	return t.Suspect.AsDuration() + t.PeerInterval(peers) - t.PeerHeartbeat.AsDuration()
}

// IdleSuspect is Suspect for a process that sends heartbeats at the interval
// IdleHeartbeat.
func (t Timing) IdleSuspect() time.Duration {
	return t.Suspect.AsDuration() + t.IdleInterval() - t.Heartbeat.AsDuration()
}

// TLS names the PEM files of one side of a connection. If all are empty, which
// is the default, TLS is not used.
type TLS struct {
	// CertFile is the path of the certificate.
	CertFile string `json:"cert_file,omitempty"`
	// KeyFile is the path of the certificate's private key.
	KeyFile string `json:"key_file,omitempty"`
	// CAFile is the path of the certificates of the authority that signs the
	// peers' certificates. It is required for connections between processes,
	// which use mutual TLS, and not used for callers.
	CAFile string `json:"ca_file,omitempty"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Log selects what is logged.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// Default info.
	Level string `json:"level"`
}

// Store says how to reach the platform's key-value service.
type Store struct {
	// URL is http or https with an IP address and a port, for example
	// "http://127.0.0.1:7000". Required.
	URL string `json:"url"`
	// MaxCallsPerSecond is the limit on the calls per second of this process.
	// More than 0. Default 50.
	MaxCallsPerSecond float64 `json:"max_calls_per_second"`
	// LinearizableReads is true if the service never answers a read of a key
	// with an older state. Without it, an entry verifies each read that
	// confirms its configuration, which costs the service as much as a write.
	// If it is true for a service that does answer with older states, an old
	// answer may confirm a configuration that was replaced. Default false.
	LinearizableReads bool `json:"linearizable_reads"`
}

// Entry holds the settings of chicorytray-entry. The addresses are IP:port; a
// host name is an error.
type Entry struct {
	// ID is the unique name of the entry: 1 to 63 letters, digits, dots,
	// hyphens or underscores, beginning with a letter or digit. Required.
	ID string `json:"id"`
	// DataCentre is the name of the data centre in which the entry runs.
	// Required.
	DataCentre string `json:"data_centre"`
	// CallerAddress is the address on which callers reach the entry over HTTP.
	// It may be a wildcard address. Required.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the address on which other processes reach the entry. It
	// must not be a wildcard address. Required.
	PeerAddress string `json:"peer_address"`
	// AdminAddress is the address on which operators reach the entry. It must
	// not be a wildcard address. Required.
	AdminAddress string `json:"admin_address"`
	// Seeds are peer addresses of entries. They are used while the store is
	// unavailable and the entry has no configuration or knows no other entry.
	// Default none.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the platform's key-value service. Its URL is required.
	Store Store `json:"store"`
	// Timing holds the intervals of the protocol; see Timing for the defaults.
	Timing Timing `json:"timing"`
	// Limits bound what callers may send and receive; see Limits for the
	// defaults.
	Limits Limits `json:"limits"`
	// Codec is the encoding of messages between processes, "gob" or "msgpack".
	// It must be the same for all processes. Default "gob".
	Codec string `json:"codec"`
	// Placement is the policy that chooses an agent for a task: "idle_first"
	// prefers free slots in near data centres, "random" takes any agent with
	// room. Default "idle_first".
	Placement string `json:"placement"`
	// Order is the order in which waiting tasks are started: "urgency" serves
	// the most urgent jobs first and shares capacity fairly between client
	// accounts; "objective" takes the job with the earliest objective of its
	// response time, "remaining" the job with the least remaining work, and
	// "value" the job with the highest value for each core-second of remaining
	// work. These three ignore urgency and accounts. "due" takes the job that must
	// start first to be on time, before all that can only be late, and shares
	// capacity between accounts. Default "urgency".
	Order string `json:"order"`
	// PoolLoads is whether the entry tells the other entries its load of each pool of
	// leased-task workers, and uses theirs. All entries should have the same. Default
	// false.
	PoolLoads bool `json:"pool_loads"`
	// Admission is the rule by which jobs of leased tasks are accepted: "deadline"
	// refuses a job that is expected to end after it would be given up, "objective"
	// one that would be late or make accepted jobs late. "objective" requires the
	// order "due", in which it counts the work ahead. Default "deadline".
	Admission string `json:"admission"`
	// ObjectiveMinAgents is the number of known agents from which on a pool is subject to
	// admission "objective"; smaller pools stay with "deadline". In a pool of 11 workers
	// "objective" refused three times as many jobs and served less of the work.
	// At least 0. Default 0: all pools.
	ObjectiveMinAgents int `json:"objective_min_agents"`
	// Forwarding says whether jobs are passed on to other entries; see Forwarding for
	// the defaults.
	Forwarding Forwarding `json:"forwarding"`
	// UnevenWorkers says whether tasks are placed by the speeds of the workers; see
	// UnevenWorkers for the defaults.
	UnevenWorkers UnevenWorkers `json:"uneven_workers"`
	// CallerTLS are the files for connections of callers. Default no TLS.
	CallerTLS TLS `json:"caller_tls"`
	// PeerTLS are the files for connections between processes, which use mutual
	// TLS. Default no TLS.
	PeerTLS TLS `json:"peer_tls"`
	// Log selects what is logged.
	Log Log `json:"log"`
}

// Leased holds the intervals of leased tasks. Together with Timing.Lapse they
// bound the time for which a run can go on after its entry is lost; see section
// 13.3 of docs/design.md. For that, Timing.Reconcile must be more than
//
//	Timing.Lapse + Timing.Heartbeat/2 + 1.02 Lease + 2 StopTime
//
// where the factor of Lease allows for a worker's clock that is 2 % slow. Each
// interval is more than 0 and at most 24h.
type Leased struct {
	// Lease is the time by which each renewal extends the lease at the worker.
	// More than Renew + 2 OrderTimeout, so that the lease survives the loss of
	// the answers to two renewals, more than 2 Renew + OrderTimeout, so that it
	// survives the loss of a renewal, and at most 1s. Default 450ms.
	Lease Duration `json:"lease"`
	// Renew is the time for which the worker may delay its answer to a renewal,
	// until the next run ends. Default 150ms.
	Renew Duration `json:"renew"`
	// OrderTimeout is the time to wait for the answer to an order; for a renewal
	// it is added to Renew. Default 100ms.
	OrderTimeout Duration `json:"order_timeout"`
	// OrderValidity is the time after which the worker ignores an order to start
	// a run. More than Renew + OrderTimeout, and at most Lease. Default 300ms.
	OrderValidity Duration `json:"order_validity"`
	// StopTime is the time that a worker takes at most to stop a run.
	// Default 50ms.
	StopTime Duration `json:"stop_time"`
	// Resend is the time after which a caller whose connection broke submits
	// its job again. The agent only checks the value: it must be more than the
	// bound of Timing.Reconcile above plus Timing.Heartbeat, so that no run of
	// the first submission is left by then. Default 1300ms.
	Resend Duration `json:"resend"`
	// StallAfter is the shortest time without progress after which a run is
	// reported to its entry as stalled. More than Renew, which is the most that
	// one interval between two replies of the worker counts, so that a single
	// pause is not reported. Default 250ms.
	StallAfter Duration `json:"stall_after"`
}

// Limits bound what callers may send and receive.
type Limits struct {
	// MaxBodyBytes is the largest body of a request, in bytes. At least 1.
	// Default 8 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxResultBytes is the largest result of one task, in bytes. At least 1.
	// Default 1 MiB.
	MaxResultBytes int64 `json:"max_result_bytes"`
	// MaxAnswerBytes is the largest total size of the results of a job, in
	// bytes. At least MaxResultBytes. Default 64 MiB.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// MaxHeaderBytes is the largest header of a request, in bytes. At least
	// 1 KiB. Default 64 KiB.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxDeadline is the longest deadline of a job; longer ones are shortened to
	// it. More than 0 and at most 24h. Default 60s.
	MaxDeadline Duration `json:"max_deadline"`
	// MaxMessageBytes is the largest message between processes, in bytes. At
	// least MaxHeaderBytes plus the largest of MaxBodyBytes, MaxResultBytes and
	// config.MaxDocumentBytes (8 MiB). Default 16 MiB.
	MaxMessageBytes int64 `json:"max_message_bytes"`
	// AnswerRetention is the time for which the answer to a job without an
	// idempotency key can be read again. Answers to leased jobs are kept for 10 s
	// instead. The oldest answers are removed earlier if those that an entry
	// keeps exceed 64 MiB. More than 0 and at most 24h. Default 60s.
	AnswerRetention Duration `json:"answer_retention"`
	// ClaimRetention is the time for which an idempotency key is remembered, and
	// for which the answer to its job is kept. More than MaxDeadline and at most
	// 24h. Default 10m.
	ClaimRetention Duration `json:"claim_retention"`
	// MaxDurableJobs is the largest number of open durable jobs at an entry;
	// further submissions are refused. Jobs that the entry takes over from
	// another are never refused. With 0, the default, all submissions are
	// refused, because durable jobs do not hold their guarantees under every
	// failure yet (issue 11). Either none or all entries of a deployment must
	// have 0.
	MaxDurableJobs int `json:"max_durable_jobs"`

	// The following fields bound what clients take that nobody controls; see
	// docs/design/client-limits.md. Each number is 0 or more; 0, the default, means
	// no limit.

	// MemoryMB is the memory of the process's machine, in MB. The runtime collects
	// garbage more often from three quarters of it on. Limits below that are 0 are
	// set to a share of it: MaxConnections to a sixth at 24 KiB each, MaxReadBytes
	// to an eighth, MaxWaitingBytes to a sixteenth.
	MemoryMB int64 `json:"memory_mb"`
	// FileDescriptors is the number of descriptors that the process may open. A
	// MaxConnections of 0 is set to at most half of it.
	FileDescriptors int `json:"file_descriptors"`
	// MaxConnections is the largest number of connections at each of the addresses
	// for callers, peers and operators. For a further one, a connection whose
	// request is not complete or that has been idle for 10 s is closed; without
	// one, the new connection is.
	MaxConnections int `json:"max_connections"`
	// MaxConnectionsPerAddress is the largest number of callers' connections from
	// one IP address. Leave it at 0 if callers share an address, as behind a load
	// balancer.
	MaxConnectionsPerAddress int `json:"max_connections_per_address"`
	// MaxReadBytes is the memory for requests and messages that are being read, in
	// bytes, of all addresses together. Callers may take half of it, and so may
	// operators. At least MaxMessageBytes.
	MaxReadBytes int64 `json:"max_read_bytes"`
	// MaxWaitingBytes is the memory for the jobs of callers that wait for their
	// answer, in bytes. Further jobs are refused with 503 and Retry-After.
	MaxWaitingBytes int64 `json:"max_waiting_bytes"`
	// MaxHeaderLines is the largest number of lines of a request's header. A
	// connection that sends more is closed.
	MaxHeaderLines int `json:"max_header_lines"`
	// HeaderTimeout is the time in which a client sends the header of a request.
	// More than 0 and at most 24h, as the next two. Default 10s.
	HeaderTimeout Duration `json:"header_timeout"`
	// BodyTimeout is the time in which a client sends a whole request. More than
	// HeaderTimeout. Default 60s.
	BodyTimeout Duration `json:"body_timeout"`
	// IdleTimeout is the time without a request after which a connection of a
	// client is closed. Default 120s.
	IdleTimeout Duration `json:"idle_timeout"`
}

// Agent holds the settings of chicorytray-agent. The addresses are IP:port; a
// host name and a wildcard address are errors.
type Agent struct {
	// ID is the unique name of the agent, with the form of Entry.ID. Required.
	ID string `json:"id"`
	// DataCentre is the name of the data centre in which the agent runs.
	// Required.
	DataCentre string `json:"data_centre"`
	// Rack is the name of the worker's rack; tasks of a job are spread over
	// racks. Required without Leased.
	Rack string `json:"rack"`
	// Worker is the name of the machine on which the agent runs. Required.
	Worker string `json:"worker"`
	// PeerAddress is the address on which entries reach the agent. Required.
	PeerAddress string `json:"peer_address"`
	// AdminAddress is the address on which operators reach the agent. Required.
	AdminAddress string `json:"admin_address"`
	// Upstream is the address of the upstream beside this agent. Required
	// without Leased.
	Upstream string `json:"upstream"`
	// HealthPath is the path of the upstream that is requested once per
	// Timing.Heartbeat. The agent accepts no new tasks after a status of 503, or
	// after two failed checks in a row, until a check succeeds. Empty, the
	// default, disables the check.
	HealthPath string `json:"health_path,omitempty"`
	// Slots is the number of tasks that the upstream runs at a time, 1 to
	// 10,000. Required without Leased.
	Slots int `json:"slots"`
	// QueueLimit is the number of tasks that may wait at the agent, so that the
	// next one starts without a round trip to an entry. 0 to Slots; 0 to 10,000
	// with Leased. Default 2, or Slots if that is less.
	QueueLimit int `json:"queue_limit"`
	// Connections is the largest number of connections to the upstream, Slots
	// to 100,000. Default 64, or Slots if that is more.
	Connections int `json:"connections"`
	// Capacity is what the worker offers to tasks: accelerators in devices,
	// memory_mb in megabytes and milli_cpu in thousandths of a core. Default 0
	// of each.
	Capacity wire.Resources `json:"capacity"`
	// Sharing is the order in which free slots are offered to entries whose waiting
	// tasks are equally urgent: "tasks" prefers the entry with the fewest tasks at
	// the agent, "slack" the one whose first task is late soonest, then the one whose
	// first task has waited longest. All agents should have the same. Default
	// "tasks".
	Sharing string `json:"sharing"`
	// MaxEntries is the number of entries that the agent announces itself to. At
	// least 1. Default 16.
	MaxEntries int `json:"max_entries"`
	// MaxRecords is the number of records of started tasks that the agent keeps
	// until entries acknowledge the results. Above it, the records of the tasks
	// that finished first are removed. At least 1. Default 10000.
	MaxRecords int `json:"max_records"`
	// MaxMessageBytes is the largest message between processes, in bytes. At
	// least 1 MiB more than config.MaxDocumentBytes (8 MiB). Default 16 MiB.
	MaxMessageBytes int64 `json:"max_message_bytes"`
	// Leased is given for a worker that runs leased tasks; {} takes all
	// defaults. Rack, Upstream, HealthPath, Slots, Connections and Capacity must
	// be left out then, because the worker announces them itself. Default not
	// given.
	Leased *Leased `json:"leased,omitempty"`
	// Seeds are peer addresses of entries. They are used until the agent has read
	// the registered entries from the store, and while it reaches no entry.
	// Default none.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the platform's key-value service. Its URL is required.
	Store Store `json:"store"`
	// Timing holds the intervals of the protocol; see Timing for the defaults.
	Timing Timing `json:"timing"`
	// Codec is the encoding of messages between processes, "gob" or "msgpack".
	// It must be the same for all processes. Default "gob".
	Codec string `json:"codec"`
	// PeerTLS are the files for connections between processes, which use mutual
	// TLS. Default no TLS.
	PeerTLS TLS `json:"peer_tls"`
	// Limits bound what connections take; see AgentLimits for the defaults.
	Limits AgentLimits `json:"limits"`
	// Log selects what is logged.
	Log Log `json:"log"`
}
