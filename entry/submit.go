package entry

import (
	"context"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/strictjson"
	"chicorytray.example/chicorytray/wire"
)

// Submission describes a job of identical leased tasks.
type Submission struct {
	// Job is the identifier that the caller chooses. While the entry has the job,
	// a submission of the same work under the identifier joins it.
	Job      string
	Template string
	Count    int
	Needs    wire.Resources
	Spec     string
	// Expected is a hint about the duration of one task; 0 means that of the
	// template.
	Expected time.Duration
	// Deadline is the time from now within which the caller needs the answer; 0
	// means that of the template, which it can only shorten.
	Deadline time.Duration
}

// Answer is the answer to a submission.
type Answer struct {
	// Outcome is OutcomeNotRun only if it is certain that no task of the
	// submission has started or will start.
	Outcome Outcome
	Reason  wire.Reason
	Detail  string
	// RetryAfter is set if the submission was refused and a later attempt may be
	// accepted.
	RetryAfter time.Duration
}

// Submit runs a job and returns its answer when it has ended. If ctx ends
// first, the job is cancelled unless another submission has joined it.
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
	if s.forward != nil {
		return s.forward.answer
	}
	return s.job.leased.answer
}

// newSubmission checks a submission and converts it into the form that the
// filters use. It checks no token: the program that embeds the entry
// authenticates its callers.
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
	account, _ := v.AccountNamed(t.Account) // a valid document contains it
	s := &submission{
		kind: config.KindLeased, requestID: in.Job, arrived: e.clock.Now(), view: v, account: account, template: t,
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

// runLeased admits the submission and waits for the end of its job. It returns
// an error if the submission was refused or ctx ended while other callers wait
// for the job.
func (e *Entry) runLeased(ctx context.Context, s *submission) error {
	if ctx.Err() != nil {
		return errCallerLeft()
	}
	release, err := e.acquireWaiting(ctx, s)
	if err != nil {
		return err
	}
	defer release()
	id := e.newJobID()
	s.workload, s.caller = workloadOf(s), callerOf(ctx)
	if !e.dispatcher.postAndWait(func(d *dispatcher) {
		if err = d.submitLeased(s, id); err != nil {
			err = d.forwardRefused(s, s.request.Job, err)
		}
	}) {
		return retryLater(time.Second, reasonStopping, "the entry is stopping")
	}
	if err != nil {
		return err
	}
	if s.forward != nil {
		if err := e.awaitForward(ctx, s); err != nil || s.forward != nil {
			return err
		}
	}
	select {
	case <-s.job.done:
		return nil
	case <-ctx.Done():
	}
	e.dispatcher.postAndWait(func(d *dispatcher) { d.callerLeft(s.job, s.caller) })
	select {
	case <-s.job.done:
		return nil
	default:
		return unknownOutcome(wire.ReasonCancelled, "the caller disconnected; other callers still wait for the job")
	}
}

// serveLeased passes a submission of POST /v1/jobs for leased tasks through the
// remaining filters. Admission, expansion and queueing are one event of the
// dispatcher, so that two submissions under one identifier cannot both create a
// job.
func (e *Entry) serveLeased(ctx context.Context, s *submission) error {
	if err := e.runLeased(ctx, s); err != nil {
		return err
	}
	if s.forward != nil {
		s.answer = forwardedAnswer(s.forward)
		return nil
	}
	s.answer = s.job.answer
	return nil
}

// HasOpenJob reports whether the entry has an open job with the identifier that
// is not durable.
func (e *Entry) HasOpenJob(identifier string) (open bool) {
	if e.started() {
		e.dispatcher.postAndWait(func(d *dispatcher) {
			j := d.leasedJobs[identifier]
			open = j != nil && !j.answered && j.leased.durable == nil || d.forwards.byJob[identifier] != nil
		})
	}
	return open
}

// PendingJobs returns the number of this entry's jobs of the template that are
// not durable and of which no task has started.
func (e *Entry) PendingJobs(template string) (n int) {
	if e.started() {
		e.dispatcher.postAndWait(func(d *dispatcher) { n = d.pendingByTemplate[template] })
	}
	return n
}

// Configuration returns the configuration in force; nil if there is none.
func (e *Entry) Configuration() *config.View { return e.config.view() }

// ConfigDocument returns the configuration in force as JSON; generation 0 if
// there is none.
func (e *Entry) ConfigDocument() (generation uint64, raw []byte) { return e.config.document() }

// RoutesLeftOut records why routes of the configuration that was last read cannot be
// used.
func (e *Entry) RoutesLeftOut(problems []strictjson.Problem) {
	e.metrics.routesLeftOut.Update(float64(len(problems)))
	if len(problems) > 0 {
		e.log.Error().Int("problems", len(problems)).Err(&config.Error{Problems: problems}).Msg("routes that cannot be used are closed or left out")
	}
}

// ConfigPredecessor returns the configuration that the next one read succeeds; see
// config.Document.EncodeAfter. The generation is 0 if there is none, or if the next one
// has to get a new generation also with the same content.
func (e *Entry) ConfigPredecessor() (generation uint64, raw []byte) { return e.config.predecessor() }
