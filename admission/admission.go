// Package admission decides whether a job is accepted.
//
// A job that would miss its deadline is refused at once, because a refusal
// costs its caller a millisecond, while a missed deadline costs the whole
// deadline and the slots that the job used. The expected wait is
//
//	queued work / (slots × service rate)
//
// where the service rate is the work that one slot does for this process in a
// second, measured while tasks are waiting. It is 1 when the process has all
// slots to itself, and lower when other processes use them too.
//
// # Use
//
// The caller calls Decide for each job, with the current state of its queue and
// of the account. If several goroutines accept jobs, that state must include jobs
// that were accepted but are not queued yet. The caller calls RecordStarted for
// each task sent, from which the service rate is measured. Decision.RetryAfter is
// intended for the HTTP header Retry-After: it is the time until the same job
// could be accepted if nothing else arrived.
//
// Controller reads no clock and takes no lock; the caller serialises its calls.
package admission

import (
	"math"
	"time"
)

// Reason is the reason for which a job was refused.
type Reason string

// Reasons of a Decision.
const (
	// ReasonAccepted is the reason of a job that was not refused.
	ReasonAccepted Reason = ""
	// ReasonQueueFull means that the bounded queue has no room for the job.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline means that the job would miss its deadline.
	ReasonDeadline Reason = "deadline_unreachable"
	// ReasonNoUpstream means that no suitable upstream in service is known.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonAccountLimit means that the account's limit of running tasks
	// would make the job miss its deadline, or that the account would have more
	// queued tasks than Options.MaxAccountQueued.
	ReasonAccountLimit Reason = "account_limit"
	// ReasonAccountRate means that the account's limit of started tasks per
	// second is used up.
	ReasonAccountRate Reason = "account_rate_limit"
	// ReasonInvalid means that the request has no tasks or no deadline.
	ReasonInvalid Reason = "invalid_request"
)

// Defaults of Options and constants of the decision.
const (
	// DefaultMaxQueuedTasks is the maximum length of the queue of one process.
	DefaultMaxQueuedTasks = 100000
	// DefaultDeadlineShare is the fraction of a job's deadline that the
	// expected time to completion may use. The rest covers errors of the
	// estimate and more urgent jobs that arrive later.
	DefaultDeadlineShare = 0.8
	// MinRetryAfter is the shortest wait proposed to a caller. The Retry-After
	// header counts whole seconds.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the longest wait proposed to a caller.
	MaxRetryAfter = 60 * time.Second
	// rateTimeConstant is the time constant of the exponential decay of old
	// measurements of the service rate. Bursts last some seconds.
	rateTimeConstant = 5 * time.Second
	// ratePriorTime is the measured time with waiting tasks at which the
	// measured service rate has the same weight as the assumed rate of 1.
	ratePriorTime = time.Second
	// minRate and maxRate bound the service rate, so that a wrong measurement
	// neither refuses nor accepts every job. A rate above 1 means that the
	// expected durations are too long.
	minRate = 0.05
	maxRate = 1.5
)

// Request describes a job that asks for admission.
type Request struct {
	Account  string
	Urgency  int           // 0 is most urgent
	Tasks    int           // number of tasks of the job
	Expected time.Duration // expected duration of one task
	Deadline time.Duration // time from now
	// DeadlineShare is the fraction of the deadline that the expected time to
	// completion may use; 0 takes Options.DeadlineShare.
	DeadlineShare float64
}

// State describes the load of the process at the time of a decision.
type State struct {
	QueuedTasks int
	// QueuedWork is the expected work that is served before the job: all
	// queued work, or that of the same and higher urgency.
	QueuedWork time.Duration
	Slots      int // of the upstreams in service that the job may use
	// AccountRunning and AccountQueued count the account's tasks in this
	// process.
	AccountRunning, AccountQueued int
	// AccountMaxRunning is the number of tasks that this process may run at a
	// time for the account; 0 means no limit.
	AccountMaxRunning float64
	// AccountStartRate is the number of tasks per second that this process may
	// start for the account; 0 means no limit.
	AccountStartRate float64
	// ServiceRate is the service rate of a slot, if the caller measures it for
	// a part of the slots; 0 takes the one measured by RecordStarted.
	ServiceRate float64
}

// Decision is the answer to a Request. RetryAfter, in whole seconds, is set for
// refusals that a later attempt can avoid.
type Decision struct {
	Accept     bool
	Reason     Reason
	RetryAfter time.Duration
	Wait       time.Duration // expected time until the job's last task is finished
}

// Options configures a Controller. A zero field takes its default.
type Options struct {
	MaxQueuedTasks int
	// MaxAccountQueued is the maximum number of queued tasks of one account;
	// 0 sets no limit other than MaxQueuedTasks.
	MaxAccountQueued int
	// DeadlineShare is the fraction of the deadline that the expected time to
	// completion may use.
	DeadlineShare float64
}

// Controller accepts or refuses jobs.
type Controller struct {
	options Options
	rate    ServiceRate
	buckets map[string]*bucket
}

// New returns a Controller that assumes a service rate of 1 until it has measured
// one.
func New(o Options) *Controller {
	if o.MaxQueuedTasks <= 0 {
		o.MaxQueuedTasks = DefaultMaxQueuedTasks
	}
	if o.DeadlineShare <= 0 {
		o.DeadlineShare = DefaultDeadlineShare
	}
	return &Controller{options: o, buckets: make(map[string]*bucket)}
}

// RecordStarted records that a task with the expected work was sent, the number
// of slots that such tasks may use, and whether other tasks are still waiting for
// lack of free slots. Tasks that wait because of an account's limit must not
// count as backlog: the service rate would fall while slots are free, and jobs of
// other accounts would be refused.
func (c *Controller) RecordStarted(now time.Time, work time.Duration, slots int, backlog bool) {
	c.rate.Observe(now, work, slots, backlog)
}

// ServiceRate returns the work, in seconds, that one slot does for this process
// in a second.
func (c *Controller) ServiceRate() float64 { return c.rate.Value() }

// Decide accepts or refuses a job. The tasks of an accepted job are deducted from
// the account's limit of started tasks per second.
func (c *Controller) Decide(now time.Time, r Request, s State) Decision {
	if r.Tasks <= 0 || r.Deadline <= 0 {
		return Decision{Reason: ReasonInvalid}
	}
	if s.Slots <= 0 {
		return refuse(ReasonNoUpstream, MinRetryAfter)
	}
	if s.ServiceRate <= 0 {
		s.ServiceRate = c.rate.Value()
	}
	if r.DeadlineShare <= 0 {
		r.DeadlineShare = c.options.DeadlineShare
	}
	speed := float64(s.Slots) * s.ServiceRate // work done in a second
	wait := scale(s.QueuedWork, 1/speed)
	if d, full := c.checkQueueLimits(r, s, wait); full {
		return d
	}
	ownTime := max(r.Expected, scale(r.Expected, float64(r.Tasks)/speed))
	finish := wait + ownTime
	usable := scale(r.Deadline, r.DeadlineShare)
	// With an empty queue a job is always accepted here. Otherwise a wrong
	// estimate could refuse every job of a template and never be corrected.
	if finish > usable && s.QueuedTasks > 0 {
		return refuse(ReasonDeadline, min(wait, finish-usable))
	}
	if excess := c.accountCompletionTime(r, s) - usable; excess > 0 && s.AccountQueued+s.AccountRunning > 0 {
		return refuse(ReasonAccountLimit, excess)
	}
	if s.AccountStartRate > 0 {
		if after, ok := c.takeTokens(now, r, s.AccountStartRate); !ok {
			return refuse(ReasonAccountRate, after)
		}
	}
	return Decision{Accept: true, Wait: finish}
}

func (c *Controller) checkQueueLimits(r Request, s State, wait time.Duration) (Decision, bool) {
	if s.QueuedTasks+r.Tasks > c.options.MaxQueuedTasks {
		over := float64(s.QueuedTasks+r.Tasks-c.options.MaxQueuedTasks) / float64(max(s.QueuedTasks, 1))
		return refuse(ReasonQueueFull, scale(wait, over)), true
	}
	if limit := c.options.MaxAccountQueued; limit > 0 && s.AccountQueued+r.Tasks > limit {
		over := float64(s.AccountQueued+r.Tasks-limit) / float64(max(s.QueuedTasks, 1))
		return refuse(ReasonAccountLimit, scale(wait, over)), true
	}
	return Decision{}, false
}

// accountCompletionTime returns the time until the job is finished if the
// account's limit of running tasks is the only constraint.
func (c *Controller) accountCompletionTime(r Request, s State) time.Duration {
	if s.AccountMaxRunning <= 0 {
		return 0
	}
	tasks := float64(s.AccountRunning + s.AccountQueued + r.Tasks)
	// With a limit below 1, one task still runs at a time.
	return max(r.Expected, scale(r.Expected, tasks/max(s.AccountMaxRunning, 1)))
}

func refuse(reason Reason, after time.Duration) Decision {
	seconds := time.Duration(math.Ceil(after.Seconds())) * time.Second
	return Decision{Reason: reason, RetryAfter: min(max(seconds, MinRetryAfter), MaxRetryAfter)}
}

// scale returns d × by, limited as by durationOf.
func scale(d time.Duration, by float64) time.Duration { return durationOf(float64(d) * by) }

// durationOf returns a number of nanoseconds as a duration, limited to a quarter of the
// longest one so that sums of a few results do not overflow.
func durationOf(nanos float64) time.Duration {
	if nanos >= math.MaxInt64/4 {
		return math.MaxInt64 / 4
	}
	return time.Duration(nanos)
}
