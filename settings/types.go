// Package settings reads the JSON settings of one process. Decoding is strict:
// an unknown field, a wrong unit or a contradictory value is an error that
// names the file, the field and the accepted values, and all errors of a file
// are reported at once.
package settings

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// Codecs of messages between processes.
const (
	CodecGob     = "gob"
	CodecMsgpack = "msgpack"
)

// Policies that an entry may use to choose an agent for a task.
const (
	PlacementRandom    = "random"
	PlacementIdleFirst = "idle_first"
)

// Orders in which an entry gives out waiting tasks.
const (
	OrderUrgency   = "urgency"
	OrderObjective = "objective"
	OrderRemaining = "remaining"
	OrderValue     = "value"
)

// Orders returns the accepted names of orders, the default first.
func Orders() []string {
	return []string{OrderUrgency, OrderObjective, OrderRemaining, OrderValue}
}

// Placements returns the accepted names of placement policies.
func Placements() []string {
	return []string{PlacementIdleFirst, PlacementRandom}
}

// Duration is written in JSON as a string with a unit, for example "500ms".
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Timing holds the intervals of the protocol between processes. They are
// checked against each other because guarantees depend on their order.
type Timing struct {
	// Heartbeat between an agent and an entry. Default 500ms.
	Heartbeat Duration `json:"heartbeat"`
	// PeerHeartbeat between entries. Default 1s.
	PeerHeartbeat Duration `json:"peer_heartbeat"`
	// ConfigRead is the interval at which an entry reads the configuration
	// beside its watch, because a watch can go silent. Default 1s.
	ConfigRead Duration `json:"config_read"`
	// Suspect is the silence after which a peer gets no new work. More than
	// two heartbeats. Default 1500ms.
	Suspect Duration `json:"suspect"`
	// Gate is the greatest age of a confirmed configuration at which an agent
	// starts a task. More than ConfigRead plus Heartbeat. Default 2s.
	Gate Duration `json:"gate"`
	// Lapse is the silence after which an agent ends an entry's session. More
	// than Suspect. Default 3s.
	Lapse Duration `json:"lapse"`
	// Reconcile is how long an entry tries to reach an agent again before it
	// declares the tasks sent there unknown. More than Lapse. Default 5s.
	Reconcile Duration `json:"reconcile"`
	// PingAfter is the silence on a connection with calls outstanding after
	// which it is pinged. Default 1s.
	PingAfter Duration `json:"ping_after"`
	// PingTimeout closes a pinged connection. Default 500ms.
	PingTimeout Duration `json:"ping_timeout"`
	// CallTimeout of control calls between processes. Default 1s.
	CallTimeout Duration `json:"call_timeout"`
	// StoreTimeout of one call to the platform's service. Default 1s.
	StoreTimeout Duration `json:"store_timeout"`
	// LeaseTTL of an entry's registration; renewed at a third of it. Default 10s.
	LeaseTTL Duration `json:"lease_ttl"`
	// StopNotice is how long a stopping entry goes on accepting jobs while the
	// load balancer takes it out. Default 5s.
	StopNotice Duration `json:"stop_notice"`
}

// TLS names the files of one side. Empty means no TLS.
type TLS struct {
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	// CAFile is required for connections between processes, which use mutual
	// certificates.
	CAFile string `json:"ca_file,omitempty"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Log selects what is logged.
type Log struct {
	// Level is one of debug, info, warn, error. Default info.
	Level string `json:"level"`
}

// Store says how to reach the platform's service.
type Store struct {
	// URL with an IP address, for example "http://127.0.0.1:7000".
	URL string `json:"url"`
	// MaxCallsPerSecond of this process. Default 50.
	MaxCallsPerSecond float64 `json:"max_calls_per_second"`
	// LinearizableReads says that the service never answers a read of a key
	// with an older state. Without it, which is the default, an entry verifies
	// each read that confirms its configuration; that costs the service as
	// much as a write. Set wrongly, an old answer confirms a replaced
	// configuration.
	LinearizableReads bool `json:"linearizable_reads"`
}

// Entry holds the settings of chicorytray-entry.
type Entry struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Addresses are IP:port; a host name is an error.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
	// Seeds are peer addresses of entries, used while the store is out.
	Seeds  []string `json:"seeds,omitempty"`
	Store  Store    `json:"store"`
	Timing Timing   `json:"timing"`
	Limits Limits   `json:"limits"`
	Codec  string   `json:"codec"` // "gob" (default) or "msgpack"
	// Placement is the policy that chooses an agent. Default "idle_first".
	Placement string `json:"placement"`
	// Order of waiting tasks. Default "urgency".
	Order     string `json:"order"`
	CallerTLS TLS    `json:"caller_tls"`
	PeerTLS   TLS    `json:"peer_tls"`
	Log       Log    `json:"log"`
}

// Leased holds the intervals of leased tasks. With the session's lapse they
// bound how long a run can outlive its entry; see section 13.3 of docs/design.md.
type Leased struct {
	// Lease is how far each renewal extends the lease at the worker. Default 450ms.
	Lease Duration `json:"lease"`
	// Renew is how long a renewal waits at the worker for the next end. A
	// lease survives a lost renewal (2 Renew + OrderTimeout < Lease) and the
	// lost answers to two (Renew + 2 OrderTimeout < Lease). Default 150ms.
	Renew Duration `json:"renew"`
	// OrderTimeout is the wait for the answer to an order, beyond Renew for a
	// renewal. Default 100ms.
	OrderTimeout Duration `json:"order_timeout"`
	// OrderValidity is the time after which the worker ignores the order of a
	// start. Default 300ms.
	OrderValidity Duration `json:"order_validity"`
	// StopTime is how long a worker takes to stop a run. Default 50ms.
	StopTime Duration `json:"stop_time"`
	// Resend is the time after which a caller sends a job again whose
	// connection broke. More than Timing.Lapse + 3/2 Heartbeat + Lease and its
	// clock drift of 2 % + 2 StopTime. Default 1300ms.
	Resend Duration `json:"resend"`
	// StallAfter is the least time without progress after which a run is
	// reported to its entry as stalled. More than Renew, so that one pause
	// between two lists is no stall. Default 250ms.
	StallAfter Duration `json:"stall_after"`
}

// Limits on what callers may send and receive.
type Limits struct {
	// MaxBodyBytes of a request. Default 8 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxResultBytes of one task. Default 1 MiB.
	MaxResultBytes int64 `json:"max_result_bytes"`
	// MaxAnswerBytes of all results of a job. Default 64 MiB.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// MaxHeaderBytes of a request. Default 64 KiB.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxDeadline of a job. Default 60s.
	MaxDeadline Duration `json:"max_deadline"`
	// MaxMessageBytes between processes. Default 16 MiB.
	MaxMessageBytes int64 `json:"max_message_bytes"`
	// AnswerRetention is how long an answer stays readable. Default 60s.
	AnswerRetention Duration `json:"answer_retention"`
	// ClaimRetention of idempotency keys. Default 10m.
	ClaimRetention Duration `json:"claim_retention"`
	// MaxDurableJobs that are open at an entry; further submissions are refused.
	// 0, the default, refuses all: durable jobs do not hold their guarantees
	// under every failure yet (issue 11). Either none or all entries of a
	// deployment have 0. Jobs that are taken over are not refused.
	MaxDurableJobs int `json:"max_durable_jobs"`
}

// Agent holds the settings of chicorytray-agent.
type Agent struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	Worker     string `json:"worker"`
	// Addresses are IP:port; a host name is an error.
	PeerAddress  string `json:"peer_address"`
	AdminAddress string `json:"admin_address"`
	// Upstream is the IP:port of the upstream beside this agent.
	Upstream string `json:"upstream"`
	// HealthPath is requested on the upstream once per Heartbeat; a status
	// of 503 means that it leaves. Empty disables the check.
	HealthPath string `json:"health_path,omitempty"`
	// Slots is the number of tasks that the upstream runs at a time.
	Slots int `json:"slots"`
	// QueueLimit is the number of tasks that may wait at the agent, at most
	// Slots. It hides the round trip to the entry. Default 2.
	QueueLimit int `json:"queue_limit"`
	// Connections to the upstream, at least Slots. Default 64.
	Connections int            `json:"connections"`
	Capacity    wire.Resources `json:"capacity"`
	// MaxEntries is the number of entries that the agent announces itself to.
	// Default 16.
	MaxEntries int `json:"max_entries"`
	// MaxRecords of started tasks that entries have not acknowledged. Default 10000.
	MaxRecords      int   `json:"max_records"`
	MaxMessageBytes int64 `json:"max_message_bytes"` // default 16 MiB
	// Leased is given for a worker that runs leased tasks. Upstream, Rack,
	// Slots, Capacity, Connections and HealthPath are left out then, because
	// the worker announces itself.
	Leased  *Leased  `json:"leased,omitempty"`
	Seeds   []string `json:"seeds,omitempty"`
	Store   Store    `json:"store"`
	Timing  Timing   `json:"timing"`
	Codec   string   `json:"codec"`
	PeerTLS TLS      `json:"peer_tls"`
	Log     Log      `json:"log"`
}
