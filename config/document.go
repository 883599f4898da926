// Package config defines the operators' configuration: client accounts, their
// templates, data centres and limits. It is one JSON document, which the
// platform's key-value service holds under one key. Each change of the document
// gives it a higher generation.
package config

import "chicorytray.example/chicorytray/wire"

// Key is the key under which the platform's key-value service holds the document.
const Key = "config"

// Document is the operators' configuration.
type Document struct {
	// Generation is the version of the document, from 0 to MaxGeneration. Each
	// accepted change has a higher one than the document that it replaces.
	Generation uint64 `json:"generation"`
	// WriteID identifies the write that stored this generation. An operator
	// whose write got no answer recognises by it whether the stored document
	// is their own. At most 63 bytes.
	WriteID string `json:"write_id,omitempty"`
	// DataCentres lists the data centres; at least one.
	DataCentres []DataCentre `json:"data_centres"`
	// Accounts lists the client accounts. The default is none.
	Accounts []Account `json:"accounts"`
	// Templates lists the kinds of work that callers may submit. The default
	// is none.
	Templates []Template `json:"templates"`
	// Routes choose a template for a request by its host and path. The default
	// is none.
	Routes []Route `json:"routes,omitempty"`
	// Limits apply to all accounts together.
	Limits Limits `json:"limits"`
}

// Route assigns the requests for a host and path prefix to a template. Of
// several routes that match, the one with the longest prefix is used.
type Route struct {
	// Host is a host name without port. Upper and lower case are the same.
	Host string `json:"host"`
	// Prefix is the start of the path. It begins with a slash and has no query.
	Prefix string `json:"prefix"`
	// Template is the name of a template of KindLeased; empty for a closed route.
	Template string `json:"template,omitempty"`
	// Closed is true if the requests cannot be served: they are refused and not run,
	// and no route with a shorter prefix is used. The default is false.
	Closed bool `json:"closed,omitempty"`
}

// DataCentre is one zone in which upstreams run.
type DataCentre struct {
	// Name is unique. It is 1 to 63 of the characters a-z, 0-9 and, inside, -.
	Name string `json:"name"`
	// Region has the form of Name. It is shown to operators.
	Region string `json:"region"`
	// InService is true if tasks may start in the data centre. The default is
	// false.
	InService bool `json:"in_service"`
	// DelaysMS is the one-way delay to other data centres in milliseconds, 0 to
	// MaxDelayMS, by their names. Placement prefers nearer data centres. If
	// neither direction between two data centres is listed, their delay counts
	// as DefaultDistance.
	DelaysMS map[string]float64 `json:"delays_ms,omitempty"`
}

// Account is a client account.
type Account struct {
	// Name is unique and has the form of DataCentre.Name.
	Name string `json:"name"`
	// TokenSHA256 lists the SHA-256 hashes of the account's bearer tokens, each
	// as 64 lower-case hexadecimal digits. With two tokens an operator can
	// replace one while callers go on using the other.
	TokenSHA256 []string `json:"token_sha256"`
	// MaxRunningTasks is the limit on the account's running tasks at all
	// entries together. 0, the default, means no limit.
	MaxRunningTasks int `json:"max_running_tasks,omitempty"`
	// MaxTasksPerSecond is the limit on the tasks that the account starts per
	// second at all entries together. 0, the default, means no limit.
	MaxTasksPerSecond float64 `json:"max_tasks_per_second,omitempty"`
}

// Kind is the kind of work that a template describes.
type Kind string

const (
	// KindJob is a job of several tasks with one answer.
	KindJob Kind = "job"
	// KindRequest is a single request, forwarded with its method, path,
	// headers and body.
	KindRequest Kind = "request"
	// KindLeased is a job of identical tasks that workers run under a lease.
	// The submission gives their number, their needs and a specification for
	// the worker.
	KindLeased Kind = "leased"
)

// Template describes one kind of work of a client account.
type Template struct {
	// Name is unique over all accounts and has the form of DataCentre.Name.
	Name string `json:"name"`
	// Account is the name of the client account that may use the template.
	Account string `json:"account"`
	// Kind is KindJob, KindRequest or KindLeased.
	Kind Kind `json:"kind"`
	// Tasks are the tasks that a submission may name, 1 to
	// Limits.MaxTasksPerJob; KindJob only. A submission that names none runs
	// each of them once.
	Tasks []Task `json:"tasks,omitempty"`
	// Urgency of the jobs, 0 to MaxUrgency; jobs of urgency 0, the default, are
	// served first.
	Urgency int `json:"urgency"`
	// DataCentres lists the names of the data centres in which tasks may run.
	// Empty, the default, means any.
	DataCentres []string `json:"data_centres,omitempty"`
	// Regions lists the names of the regions in whose data centres tasks may run; of
	// those that DataCentres allows, if both are given. Empty, the default, means any.
	// The size of a document with many templates then does not grow with the number
	// of data centres.
	Regions []string `json:"regions,omitempty"`
	// Idempotent is true if a task may be sent again after an unknown outcome.
	// The default is false.
	Idempotent bool `json:"idempotent,omitempty"`
	// Needs are the resources that each task takes in addition to its slot.
	Needs Needs `json:"needs"`
	// DeadlineMS is the time from a job's arrival by which it must be answered,
	// in milliseconds, 1 to MaxDeadlineMS. An entry's setting
	// limits.max_deadline may shorten it.
	DeadlineMS int64 `json:"deadline_ms"`
	// ExpectedMS is the declared duration of one task in milliseconds, at most
	// DeadlineMS. It is used until entries have learned the durations. 0, the
	// default, means not declared.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
	// Value of a job relative to jobs of other templates, at most MaxValue, for
	// entries whose setting order is "value". 0, the default, counts as 1.
	Value float64 `json:"value,omitempty"`
	// Pool is the name of the pool of workers that run the tasks, 1 to 63
	// printable characters without spaces; KindLeased only.
	Pool string `json:"pool,omitempty"`
	// MaxAttempts is the number of failed runs after which a task has failed, 1
	// to MaxAttemptsLimit; KindLeased only.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// SlackFactor times the expected running time of a job, plus TargetMS, is
	// the objective of its response time. More than 0; KindLeased only. A job
	// that ends later than its objective earns a small part of its value, and
	// none after three times the objective.
	SlackFactor float64 `json:"slack_factor,omitempty"`
	// TargetMS is the constant part of the objective in milliseconds, 0 or
	// more; KindLeased only. See SlackFactor. The default is 0.
	TargetMS int64 `json:"target_ms,omitempty"`
}

// Needs are the resources that one task takes in addition to its slot. The
// defaults are 0.
type Needs struct {
	// Accelerators is a number of devices.
	Accelerators int `json:"accelerators,omitempty"`
	// MemoryMB is an amount of memory in megabytes.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// MilliCPU is a share of the processors in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
}

// Resources converts n to the type that messages use.
func (n Needs) Resources() wire.Resources {
	return wire.Resources{Accelerators: n.Accelerators, MemoryMB: n.MemoryMB, MilliCPU: n.MilliCPU}
}

// Task defines the HTTP request that one task of a template makes at its
// upstream.
type Task struct {
	// Name is unique in its template and has the form of DataCentre.Name.
	Name string `json:"name"`
	// Method is one of DELETE, GET, HEAD, OPTIONS, PATCH, POST and PUT.
	Method string `json:"method"`
	// Path is the path and query, at most 8,192 bytes, beginning with one slash.
	Path string `json:"path"`
	// Header is the request's header. Names that agents set themselves, or that
	// belong to one connection, are not accepted. The default is none.
	Header map[string]string `json:"header,omitempty"`
	// Body is the request's body if the submission gives none. The default is
	// empty.
	Body string `json:"body,omitempty"`
}

// Limits apply to all accounts together.
type Limits struct {
	// MaxTasksPerJob is the largest number of tasks of a job, at most
	// MaxTasksPerJobLimit. 0, the default, means DefaultMaxTasksPerJob.
	MaxTasksPerJob int `json:"max_tasks_per_job,omitempty"`
	// MaxQueuedTasks is the largest number of tasks that wait at one entry, at
	// most MaxQueuedTasksLimit. 0, the default, means DefaultMaxQueuedTasks.
	MaxQueuedTasks int `json:"max_queued_tasks,omitempty"`
}

// Defaults of Limits, in tasks.
const (
	DefaultMaxTasksPerJob = 1500
	DefaultMaxQueuedTasks = 100000
)
