package entry

import (
	"context"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

// Submission is a job of identical leased tasks.
type Submission struct {
	// Job is the identifier that the caller chose. While the entry has the
	// job, a submission under the same identifier joins it.
	Job      string
	Template string
	Count    int
	Needs    wire.Resources
	Spec     string
	// Expected duration of one task; 0 takes the template's. A hint.
	Expected time.Duration
	// Deadline from now by which the caller needs the answer; 0 takes the
	// template's.
	Deadline time.Duration
}

// Answer is the end of a submission.
type Answer struct {
	// Outcome is OutcomeNotRun only where it is proved that no task of the
	// submission started and none will.
	Outcome Outcome
	Reason  wire.Reason
	Detail  string
	// RetryAfter is set for a refusal that a later attempt can avoid.
	RetryAfter time.Duration
}

// Submit runs a job and returns when it has ended. The end of ctx cancels the
// job unless another submission joined it.
func (e *Entry) Submit(ctx context.Context, in Submission) Answer {
	s, err := e.newSubmission(in)
	if err == nil {
		err = checkTasks(s)
	}
	if err == nil {
		err = e.runLeased(ctx, s)
	}
	if err != nil {
		p := asProblem(err)
		return Answer{Outcome: p.Outcome, Reason: p.Reason, Detail: p.Detail, RetryAfter: p.retryAfter}
	}
	return s.job.leased.answer
}

// newSubmission checks the template and gives the submission the form that the
// filters use. The program that embeds the entry authenticates its callers.
func (e *Entry) newSubmission(in Submission) (*submission, error) {
	if !e.started() {
		return nil, retryLater(time.Second, reasonNoConfiguration, "the entry has not started")
	}
	v := e.config.view()
	if v == nil {
		return nil, retryLater(time.Second, reasonNoConfiguration, "this entry has no configuration yet")
	}
	t, ok := v.Template(in.Template)
	if !ok || t.Kind != config.KindLeased {
		return nil, notRun(http.StatusNotFound, reasonTemplateNotFound, "there is no template %q of kind %s", in.Template, config.KindLeased)
	}
	if in.Deadline < 0 || in.Expected < 0 {
		return nil, notRun(http.StatusBadRequest, reasonInvalid, "the deadline or the expected duration is negative")
	}
	if limit := e.settings.Limits.MaxBodyBytes; int64(len(in.Spec)) > limit {
		return nil, notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the specification exceeds %d bytes", limit)
	}
	account, _ := v.AccountNamed(t.Account) // a valid document has it
	s := &submission{
		kind: config.KindLeased, requestID: in.Job, arrived: time.Now(), view: v, account: account, template: t,
		request: jobRequest{Template: in.Template, Job: in.Job, Count: in.Count, Spec: in.Spec},
	}
	if in.Needs != (wire.Resources{}) {
		s.request.Needs = &config.Needs{Accelerators: in.Needs.Accelerators, MemoryMB: in.Needs.MemoryMB, MilliCPU: in.Needs.MilliCPU}
	}
	s.deadline = effectiveDeadline(s, e.settings.Limits.MaxDeadline.AsDuration())
	if in.Deadline > 0 {
		s.deadline = min(s.deadline, in.Deadline)
	}
	s.expected = min(in.Expected, s.deadline)
	return s, nil
}

// runLeased admits the submission and waits for the end of its job. An error
// means that the submission was refused or that its caller left.
func (e *Entry) runLeased(ctx context.Context, s *submission) error {
	if ctx.Err() != nil {
		return notRun(http.StatusServiceUnavailable, wire.ReasonCancelled, "the caller disconnected")
	}
	id := e.newJobID()
	s.workload = workloadOf(s)
	err := error(nil)
	if !e.dispatcher.postAndWait(func(d *dispatcher) { err = d.submitLeased(s, id) }) {
		return retryLater(time.Second, reasonStopping, "the entry is stopping")
	}
	if err != nil {
		return err
	}
	select {
	case <-s.job.done:
		return nil
	case <-ctx.Done():
	}
	e.dispatcher.postAndWait(func(d *dispatcher) { d.callerLeft(s.job) })
	select {
	case <-s.job.done:
		return nil
	default:
		return unknownOutcome(wire.ReasonCancelled, "the caller disconnected; others wait for the job")
	}
}

// serveLeased passes a submission of POST /v1/jobs through the rest of the
// filters. Admission, expansion and queueing are one step, so that submissions
// under one identifier cannot pass each other.
func (e *Entry) serveLeased(ctx context.Context, s *submission) error {
	if err := e.runLeased(ctx, s); err != nil {
		return err
	}
	s.answer = s.job.answer
	return nil
}

// CancelJob ends a job that the entry has and that is not durable, and reports
// whether it had it. None of its tasks is ordered again, also if the job is
// submitted again soon. A start order that is on its way may still be carried
// out, until its validity ends.
func (e *Entry) CancelJob(name string) bool {
	found := false
	e.withOpenJob(name, func(d *dispatcher, j *job) {
		found = true
		d.cancelLeased(j)
	})
	return found
}

// HasOpenJob reports whether the entry has the job, which is not durable, and it
// has not ended.
func (e *Entry) HasOpenJob(name string) bool {
	open := false
	e.withOpenJob(name, func(*dispatcher, *job) { open = true })
	return open
}

// withOpenJob runs f on the dispatcher if it has the job, it has not ended and is not
// durable.
func (e *Entry) withOpenJob(name string, f func(*dispatcher, *job)) {
	if !e.started() {
		return
	}
	e.dispatcher.postAndWait(func(d *dispatcher) {
		if j := d.leasedJobs[name]; j != nil && !j.answered && j.leased.durable == nil {
			f(d, j)
		}
	})
}

// PendingJobs returns the number of jobs of the template that are not durable and of
// which no task has started.
func (e *Entry) PendingJobs(template string) (n int) {
	if e.started() {
		e.dispatcher.postAndWait(func(d *dispatcher) { n = d.pendingByTemplate[template] })
	}
	return n
}

// Configuration returns the configuration in force; nil when there is none.
func (e *Entry) Configuration() *config.View { return e.config.view() }

// ConfigDocument returns the configuration in force as JSON; generation 0 when there
// is none.
func (e *Entry) ConfigDocument() (generation uint64, raw []byte) { return e.config.document() }
