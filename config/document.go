// Package config is the operators' configuration: client accounts, their
// templates, data centres and limits. It is one JSON document under one key in
// the platform's service, with a generation that only grows.
package config

import "chicorytray.example/chicorytray/wire"

// Key under which the platform's service holds the document.
const Key = "config"

// Document is the operators' configuration.
type Document struct {
	// Generation grows by at least one with every accepted change.
	Generation uint64 `json:"generation"`
	// WriteID identifies the write that stored this generation, so that an
	// operator whose answer was lost can tell their own write from another's.
	WriteID     string       `json:"write_id,omitempty"`
	DataCentres []DataCentre `json:"data_centres"`
	Accounts    []Account    `json:"accounts"`
	Templates   []Template   `json:"templates"`
	// Routes choose a template by host and path.
	Routes []Route `json:"routes,omitempty"`
	Limits Limits  `json:"limits"`
}

// Route sends the requests for a host and path prefix to a template. The
// longest matching prefix wins.
type Route struct {
	Host string `json:"host"`
	// Prefix of the path, beginning with a slash.
	Prefix   string `json:"prefix"`
	Template string `json:"template"`
}

// DataCentre is one zone in which upstreams run.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// InService is false while operators keep tasks from starting there.
	InService bool `json:"in_service"`
	// DelaysMS gives the one-way delay to other data centres in
	// milliseconds. Placement tries nearer ones first; one that is not
	// listed counts as far away.
	DelaysMS map[string]float64 `json:"delays_ms,omitempty"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// TokenSHA256 are the hexadecimal SHA-256 hashes of the account's bearer
	// tokens; several allow a token to be replaced without a gap.
	TokenSHA256 []string `json:"token_sha256"`
	// MaxRunningTasks over all entries; 0 means no limit.
	MaxRunningTasks int `json:"max_running_tasks,omitempty"`
	// MaxTasksPerSecond over all entries; 0 means no limit.
	MaxTasksPerSecond float64 `json:"max_tasks_per_second,omitempty"`
}

// Kind of work that a template describes.
type Kind string

const (
	// KindJob is a job of several tasks with one answer.
	KindJob Kind = "job"
	// KindRequest is a single request, forwarded with its method, path,
	// headers and body.
	KindRequest Kind = "request"
	// KindLeased is a job of identical tasks that workers run under a lease.
	// The submission says how many, what they need and what they do.
	KindLeased Kind = "leased"
)

// Template describes one kind of work of a client account.
type Template struct {
	Name    string `json:"name"`
	Account string `json:"account"`
	Kind    Kind   `json:"kind"`
	// Tasks that a submission may name. A submission without tasks runs each
	// of them once. Empty for KindRequest.
	Tasks []Task `json:"tasks,omitempty"`
	// Urgency 0 is served first.
	Urgency int `json:"urgency"`
	// DataCentres in which tasks may run; empty means any.
	DataCentres []string `json:"data_centres,omitempty"`
	// Idempotent tasks may be sent again after an unknown outcome.
	Idempotent bool `json:"idempotent,omitempty"`
	// Needs of each task beside its slot.
	Needs Needs `json:"needs"`
	// DeadlineMS is the time in milliseconds from a job's arrival by which it
	// must be answered.
	DeadlineMS int64 `json:"deadline_ms"`
	// ExpectedMS is the declared duration of one task in milliseconds. It is
	// a hint; durations are learned.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
	// Value of a job relative to jobs of other templates, for entries whose
	// order is "value"; 0 counts as 1.
	Value float64 `json:"value,omitempty"`
	// Pool of workers that run the tasks; KindLeased only.
	Pool string `json:"pool,omitempty"`
	// MaxAttempts of a task that fails, at least 1; KindLeased only.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// SlackFactor times the work of a job, plus TargetMS in milliseconds, is
	// the objective of its response time; KindLeased only. A job is worth
	// little after it and nothing after three times the objective.
	SlackFactor float64 `json:"slack_factor,omitempty"`
	TargetMS    int64   `json:"target_ms,omitempty"`
}

// Needs are the resources that one task takes beside its slot.
type Needs struct {
	Accelerators int   `json:"accelerators,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
}

// Resources converts n to the form that messages use.
func (n Needs) Resources() wire.Resources {
	return wire.Resources{Accelerators: n.Accelerators, MemoryMB: n.MemoryMB, MilliCPU: n.MilliCPU}
}

// Task is one task definition of a template.
type Task struct {
	Name   string            `json:"name"`
	Method string            `json:"method"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	// Body is sent when the submission gives none.
	Body string `json:"body,omitempty"`
}

// Limits of the whole system.
type Limits struct {
	// MaxTasksPerJob is 1,500 when 0.
	MaxTasksPerJob int `json:"max_tasks_per_job,omitempty"`
	// MaxQueuedTasks per entry is 100,000 when 0.
	MaxQueuedTasks int `json:"max_queued_tasks,omitempty"`
}

// Defaults of Limits.
const (
	DefaultMaxTasksPerJob = 1500
	DefaultMaxQueuedTasks = 100000
)
