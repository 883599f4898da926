// Package admission decides whether a job is accepted.
//
// A job that would miss its deadline is refused at once, because a refusal
// costs its caller a millisecond while a missed deadline costs the whole
// deadline and the slots that it used. The expected wait is
//
//	queued work / (slots × rate)
//
// where rate is the work that one slot was measured to do for this process in
// a second while tasks were waiting. It is 1 when the process has all slots to
// itself and lower when others use them too.
//
// # Use
//
// The caller asks Decide for each job, with the state of its queue and of the
// account at that moment. The queue of a process that accepts jobs from several
// goroutines must count a job that was accepted and is not queued yet. It calls
// Started for each task sent, which is how the rate is measured. RetryAfter of a
// refusal is meant for the HTTP header of that name: the time until the same
// job could be accepted if nothing else arrived.
//
// Controller reads no clock and takes no lock; the caller serialises its calls.
package admission

import (
	"math"
	"time"
)

// Reason says why a job was refused.
type Reason string

// Reasons of a Decision.
const (
	// ReasonAccepted is the reason of a job that was not refused.
	ReasonAccepted Reason = ""
	// ReasonQueueFull means that the bounded queue has no room for the job.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline means that the job would miss its deadline.
	ReasonDeadline Reason = "deadline_unreachable"
	// ReasonNoUpstream means that no upstream in service is known now.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonAccountLimit means that the account's limit of running tasks
	// would make the job miss its deadline.
	ReasonAccountLimit Reason = "account_limit"
	// ReasonAccountRate means that the account's limit of starts a second
	// is used up.
	ReasonAccountRate Reason = "account_rate_limit"
	// ReasonInvalid means that the request has no tasks or no deadline.
	ReasonInvalid Reason = "invalid_request"
)

// Defaults of Options and constants of the decision.
const (
	// DefaultMaxQueuedTasks bounds the queue of one process.
	DefaultMaxQueuedTasks = 100000
	// DefaultDeadlineShare of a job's deadline may be used up by the expected
	// time; the rest covers errors of the estimate and more urgent jobs that
	// arrive later.
	DefaultDeadlineShare = 0.8
	// MinRetryAfter is the least wait proposed to a caller; Retry-After
	// counts whole seconds.
	MinRetryAfter = time.Second
	// MaxRetryAfter is the greatest wait proposed to a caller.
	MaxRetryAfter = 60 * time.Second
	// rateTimeConstant is the time constant with which old measurements of the
	// rate fade. Bursts last some seconds.
	rateTimeConstant = 5 * time.Second
	// ratePriorTime is the time with waiting tasks after which the measured
	// rate weighs as much as the assumed one.
	ratePriorTime = time.Second
	// minRate and maxRate bound the rate of a slot: a wrong measurement must
	// neither refuse nor accept everything. Above 1 durations are overestimated.
	minRate = 0.05
	maxRate = 1.5
)

// Request describes a job that asks for admission.
type Request struct {
	Account  string
	Urgency  int           // 0 is most urgent
	Tasks    int           // tasks of the job
	Expected time.Duration // of one task
	Deadline time.Duration // from now
	// DeadlineShare of the deadline that the expected time may use up; 0
	// takes that of the Options.
	DeadlineShare float64
}

// State is what the process knows when it decides.
type State struct {
	QueuedTasks int
	// QueuedWork is the expected work that is served before the job: all of
	// it, or that of the same and higher urgency.
	QueuedWork time.Duration
	Slots      int // of the upstreams that the job may use and that are in service
	// AccountRunning and AccountQueued count the account's tasks here.
	AccountRunning, AccountQueued int
	// AccountMaxRunning is the number of tasks that this process may run at a
	// time for the account; 0 means no limit.
	AccountMaxRunning float64
	// AccountStartRate is the number of tasks a second that this process may
	// start for the account; 0 means no limit.
	AccountStartRate float64
	// ServiceRate of a slot, where the caller measures it for a part of the slots; 0
	// takes the one measured by Started.
	ServiceRate float64
}

// Decision is the answer to a Request. RetryAfter is set for refusals that a
// later attempt can avoid, in whole seconds.
type Decision struct {
	Accept     bool
	Reason     Reason
	RetryAfter time.Duration
	Wait       time.Duration // expected until the job's last task is finished
}

// Options of a Controller. A zero field takes its default.
type Options struct {
	MaxQueuedTasks int
	// MaxAccountQueued bounds the queued tasks of one account; 0 means only
	// MaxQueuedTasks.
	MaxAccountQueued int
	// DeadlineShare of the deadline that the expected time may use up.
	DeadlineShare float64
}

// Controller decides about jobs.
type Controller struct {
	options Options
	rate    ServiceRate
	buckets map[string]*bucket
}

// New returns a Controller that assumes a rate of 1 until it measured one.
func New(o Options) *Controller {
	if o.MaxQueuedTasks <= 0 {
		o.MaxQueuedTasks = DefaultMaxQueuedTasks
	}
	if o.DeadlineShare <= 0 {
		o.DeadlineShare = DefaultDeadlineShare
	}
	return &Controller{options: o, buckets: make(map[string]*bucket)}
}

// RecordStarted records that a task with the expected work was sent, the slots that
// such tasks may use, and whether other tasks went on waiting for lack of free
// slots. Tasks that wait for an account's limit must not count: the rate would
// fall while slots are free, and jobs of other accounts would be refused.
func (c *Controller) RecordStarted(now time.Time, work time.Duration, slots int, backlog bool) {
	c.rate.Observe(now, work, slots, backlog)
}

// ServiceRate returns the work that one slot does for this process in a second.
func (c *Controller) ServiceRate() float64 { return c.rate.Value() }

// Decide accepts or refuses a job. An accepted job counts against the
// account's rate.
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
	// With an empty queue a job is always tried: a wrong estimate that
	// refuses every job of a template would never be corrected.
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

// accountCompletionTime is the time until the job is finished when the account's share
// of running tasks is the only limit.
func (c *Controller) accountCompletionTime(r Request, s State) time.Duration {
	if s.AccountMaxRunning <= 0 {
		return 0
	}
	tasks := float64(s.AccountRunning + s.AccountQueued + r.Tasks)
	// A share below 1 still runs one task at a time.
	return max(r.Expected, scale(r.Expected, tasks/max(s.AccountMaxRunning, 1)))
}

func refuse(reason Reason, after time.Duration) Decision {
	seconds := time.Duration(math.Ceil(after.Seconds())) * time.Second
	return Decision{Reason: reason, RetryAfter: min(max(seconds, MinRetryAfter), MaxRetryAfter)}
}

// scale multiplies a duration and saturates instead of overflowing.
func scale(d time.Duration, by float64) time.Duration {
	v := float64(d) * by
	if v >= math.MaxInt64/4 {
		return math.MaxInt64 / 4
	}
	return time.Duration(v)
}
