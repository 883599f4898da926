package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

const (
	reasonDurableLimit     wire.Reason = "too_many_durable_jobs"
	reasonRecordUnreadable wire.Reason = "record_unreadable"
	// durableRetryAfter is when a caller may try again after a refusal because
	// of too many open jobs. Durable jobs may run for long, so their number
	// falls slowly.
	durableRetryAfter = 5 * time.Second
)

// creation is the first write of the record of a submitted job.
type creation struct {
	workload workload
	job      *job
	done     chan struct{} // closed when the outcome is known
	err      error         // valid after done is closed
}

// SubmitDurable accepts a job that runs to its end even if entries, agents or
// workers fail. The outcome is OutcomeAccepted once the job is stored,
// OutcomeNotRun if it will never run, and OutcomeUnknown otherwise; in that
// case the caller should submit it again. The submission's deadline is ignored.
func (e *Entry) SubmitDurable(ctx context.Context, in Submission) Answer {
	in.Deadline = 0
	s, err := e.newSubmission(in)
	if err == nil {
		s.request.Durable = true
		err = checkTasks(s)
	}
	if err == nil {
		err = e.acceptDurable(ctx, s)
	}
	return durableAnswer(err)
}

func durableAnswer(err error) Answer {
	if err == nil {
		return Answer{Outcome: OutcomeAccepted}
	}
	p := asProblem(err)
	return Answer{Outcome: p.Outcome, Reason: p.Reason, Detail: p.Detail, RetryAfter: p.retryAfter}
}

// acceptDurable returns nil once the job is stored by its preferred entry, or by
// this one if that entry does not accept it.
func (e *Entry) acceptDurable(ctx context.Context, s *submission) error {
	if e.durableDisabled() {
		return durableDisabledError()
	}
	if known, err := e.checkOwnDurable(s); known {
		return err
	}
	alreadyAsked := ""
	if preferred, other := e.preferredEntry(s.request.Job); other {
		alreadyAsked = preferred.ID
		reply, sent, err := e.callDurable(ctx, preferred, submitRequest(s))
		if sent && err != nil || Outcome(reply.Outcome) == OutcomeUnknown {
			// The preferred entry may have stored the job, so a refusal of this entry,
			// now or later, does not mean that the job will never run.
			e.dispatcher.postAndWait(func(d *dispatcher) { d.durable.uncertain.add(s.request.Job, d.now) })
		}
		if err == nil && reply.Known {
			return submitError(reply)
		}
	}
	return e.confirmRefusal(ctx, s.request.Job, alreadyAsked, e.createDurable(ctx, s))
}

func submitRequest(s *submission) wire.DurableRequest {
	return wire.DurableRequest{
		Verb: wire.DurableSubmit, Identifier: s.request.Job, Account: s.account.Name,
		Submission: &wire.DurableSubmission{
			Template: s.template.Name, Count: s.request.Count, Needs: taskNeeds(s).Resources(), Spec: s.request.Spec,
			ExpectedMS: s.expected.Milliseconds(),
		},
	}
}

// submitError converts another entry's reply to a submission into an error; nil
// if that entry accepted the job.
func submitError(r wire.DurableReply) error {
	p := unknownOutcome(r.Reason, "%s", r.Detail)
	switch Outcome(r.Outcome) {
	case OutcomeAccepted:
		return nil
	case OutcomeNotRun:
		p = notRun(http.StatusServiceUnavailable, r.Reason, "%s", r.Detail)
		if r.RetryAfterMS == 0 {
			p.Status, p.Title = http.StatusUnprocessableEntity, http.StatusText(http.StatusUnprocessableEntity)
		}
	}
	p.retryAfter = time.Duration(r.RetryAfterMS) * time.Millisecond
	return p
}

// checkOwnDurable answers a submission of a job that this entry owns. known is
// false if it does not own the job or cannot trust its memory.
func (e *Entry) checkOwnDurable(s *submission) (known bool, err error) {
	s.workload = workloadOf(s)
	if !e.dispatcher.postAndWait(func(d *dispatcher) {
		j := d.leasedJobs[s.request.Job]
		if u := durableOf(j); u == nil || u.givenUp || !d.memoryAuthoritative() {
			return
		}
		known, err = true, d.checkSameWorkload(j.leased.workload, s)
	}) {
		return true, retryLater(time.Second, reasonStopping, "the entry is stopping")
	}
	return known, err
}

func (d *dispatcher) checkSameWorkload(existing workload, s *submission) error {
	if existing != s.workload {
		return notRun(http.StatusUnprocessableEntity, reasonJobReused, "the job's identifier is in use for other work; this submission was not run")
	}
	return nil
}

// createDurable stores the job as owned by this entry. If ctx ends before the
// outcome is known, the write goes on, and the entry runs the job if it is
// stored.
func (e *Entry) createDurable(ctx context.Context, s *submission) error {
	id := e.newJobID()
	var c *creation
	err := error(nil)
	if !e.dispatcher.postAndWait(func(d *dispatcher) { c, err = d.createDurable(s, id) }) {
		return retryLater(time.Second, reasonStopping, "the entry is stopping")
	}
	if c == nil {
		return err
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return unknownOutcome(reasonStoreUnavailable, "the caller's wait ended before it was known whether the job was stored")
	}
}

// createDurable begins to write the record of a new job. It returns nil and nil
// if the entry already has the job.
func (d *dispatcher) createDurable(s *submission, id string) (*creation, error) {
	identifier := s.request.Job
	if c := d.durable.creating[identifier]; c != nil {
		return c, d.checkSameWorkload(c.workload, s)
	}
	if j := d.durable.open[identifier]; j != nil {
		return nil, d.checkSameWorkload(j.leased.workload, s)
	}
	if err := d.checkDurableLimits(s, identifier); err != nil {
		return nil, d.refusalOf(identifier, err)
	}
	j := d.newDurableJob(s, identifier)
	if err := d.checkLeasedRunnable(j); err != nil {
		return nil, d.refusalOf(identifier, err)
	}
	d.shares.RecordTasks(d.now, j.account, j.count)
	j.leased.durable.record = durable.Record{
		Identifier: identifier, Account: j.account, Template: j.template.Name, Count: j.count, Needs: j.class.Needs,
		Spec: s.request.Spec, Expected: s.expected, Accepted: time.UnixMilli(d.now.UnixMilli()),
	}
	d.durable.hadJobs = true
	c := &creation{workload: s.workload, job: j, done: make(chan struct{})}
	d.durable.creating[identifier] = c
	d.durable.manager.Create(j.leased.durable.record, func(found durable.LookupResult, err error) {
		d.durable.inbox.put(func(d *dispatcher) { d.handleCreated(s, c, id, found, err) })
	})
	return c, nil
}

// checkDurableLimits returns the reason for which the entry cannot accept a new
// durable job; nil if it can.
func (d *dispatcher) checkDurableLimits(s *submission, identifier string) error {
	if d.noticeEnded() || d.durable.handOverDone != nil {
		return retryLater(refusalRetryAfter, reasonStopping, "the entry is stopping")
	}
	if j := d.leasedJobs[identifier]; j != nil && !j.answered && durableOf(j) == nil {
		return d.checkSameWorkload(j.leased.workload, s) // always an error, because only s is durable
	}
	if f := d.forwards.byJob[identifier]; f != nil {
		return d.checkSameWorkload(f.workload, s) // always an error, as above
	}
	open := len(d.durable.open) + len(d.durable.creating)
	if limit := d.limits.MaxDurableJobs; open >= limit {
		p := retryLater(durableRetryAfter, reasonDurableLimit, "the entry has %d open durable jobs; the limit is %d", open, limit)
		p.Status, p.Title = http.StatusTooManyRequests, http.StatusText(http.StatusTooManyRequests)
		return p
	}
	return nil
}

// newDurableJob returns a durable job, which has no deadline.
func (d *dispatcher) newDurableJob(s *submission, identifier string) *job {
	j := d.newLeasedJob(s, identifier)
	j.deadline, j.leased.startDeadline = time.Time{}, time.Time{}
	j.leased.durable = &durableJob{}
	j.leased.admission.LastStart = 0
	// Tasks of durable jobs start only while the ownership lease is valid, so
	// they need a class of their own: otherwise they would block the tasks of
	// other jobs that wait behind them in the same class.
	j.class.Name = "durable " + j.class.Name
	j.queueClass.Name = "durable " + j.queueClass.Name
	return j
}

// handleCreated handles the outcome of a creation: it adds the job if its
// record was stored just now.
func (d *dispatcher) handleCreated(s *submission, c *creation, id string, found durable.LookupResult, err error) {
	identifier := c.job.leased.identifier
	if d.durable.creating[identifier] == c {
		delete(d.durable.creating, identifier)
	}
	switch {
	case err == nil:
		d.durable.uncertain.remove(identifier)
	case errors.Is(err, durable.ErrOutcomeUnknown):
		d.durable.uncertain.add(identifier, d.now)
	}
	c.err = d.refusalOf(identifier, creationError(err))
	defer close(c.done)
	if found.Open != nil {
		d.durable.pending.recordFound(*found.Open)
	}
	if err != nil || found.Open != nil || found.End != nil {
		return // refused, or an earlier submission stored the job
	}
	if d.noticeEnded() {
		// Another entry takes the job over after the hand-over.
		d.durable.manager.GiveUp(identifier)
		return
	}
	d.durable.open[identifier] = c.job
	d.addLeased(s, c.job, id)
}

// creationError converts the error of a creation into the problem that the caller
// gets.
func creationError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, durable.ErrIdentifierInUse):
		return notRun(http.StatusUnprocessableEntity, reasonJobReused, "the job's identifier is in use for other work; this submission was not run")
	case errors.Is(err, durable.ErrNotStored):
		return retryLater(refusalRetryAfter, reasonStoreUnavailable, "the job could not be stored")
	case errors.Is(err, durable.ErrInvalidEpoch):
		return retryLater(refusalRetryAfter, reasonOwnershipLost, "the entry has no valid ownership lease, so it cannot accept durable jobs")
	case errors.Is(err, durable.ErrUnreadable):
		return retryLater(refusalRetryAfter, reasonRecordUnreadable, "the record stored under the job's identifier is unreadable")
	}
	p := unknownOutcome(reasonOwnershipLost, "it is not known whether the job was stored")
	p.Status, p.Title = http.StatusBadGateway, http.StatusText(http.StatusBadGateway)
	return p
}

// submissionFromRecord converts a stored record into a submission. known is
// false if the configuration does not contain the template; a placeholder takes
// its place.
func (d *dispatcher) submissionFromRecord(r durable.Record) (s *submission, known bool) {
	s = &submission{
		kind: config.KindLeased, requestID: r.Identifier, arrived: r.Accepted, view: d.view, expected: r.Expected,
		account: &config.Account{Name: r.Account}, template: &config.Template{Name: r.Template, Account: r.Account, Kind: config.KindLeased},
		request: jobRequest{
			Template: r.Template, Job: r.Identifier, Count: r.Count, Spec: r.Spec, Durable: true,
			Needs: &config.Needs{Accelerators: r.Needs.Accelerators, MemoryMB: r.Needs.MemoryMB, MilliCPU: r.Needs.MilliCPU},
		},
		deadline: max(r.Expected, d.limits.MaxDeadline.AsDuration()), // limits only the expected duration
	}
	if d.view != nil {
		if t, ok := d.view.Template(r.Template); ok && t.Kind == config.KindLeased {
			s.template, known = t, true
		}
	}
	s.workload = workloadOf(s)
	return s, known
}

// takeOver adds a job of a lost owner. Its tasks do not start before the runs
// of the old owner have ended and the agents have reported the ends, or the
// wait for a report was given up.
func (d *dispatcher) takeOver(r durable.Record, at time.Time) {
	if d.durable.open[r.Identifier] != nil {
		return
	}
	s, known := d.submissionFromRecord(r)
	j := d.newDurableJob(s, r.Identifier)
	u := j.leased.durable
	u.record = r
	u.record.Done, u.record.Failed = slices.Clone(r.Done), slices.Clone(r.Failed)
	u.recovery = &recovery{
		submission: s, templateKnown: known, takenOverAt: at, ends: map[wire.RunTag]wire.EndedRun{},
		oldRunsEndedAt: latestOf(d.now, at.Add(d.timing.Reconcile.AsDuration()), d.startedAt.Add(d.timing.Lapse.AsDuration())),
	}
	j.leased.anyStarted = r.Started
	for _, run := range r.Done {
		j.setFinalState(run.Index, taskDone)
	}
	for _, run := range r.Failed {
		j.leased.failedRuns[run.Index]++
	}
	for _, c := range r.Crashes {
		if j.crashes == nil {
			j.crashes = map[int]containment.History{}
		}
		j.crashes[c.Index] = containment.History{Crashes: c.Crashes, Suspicions: c.Suspicions, Unconfirmed: c.Unconfirmed}
	}
	d.durable.hadJobs = true
	d.durable.open[r.Identifier] = j
	d.addLeased(s, j, d.durable.newJobID())
	d.log.Info().Str("job", j.id).Str("identifier", r.Identifier).Int("done", len(r.Done)).Msg("durable job taken over")
	if d.durable.handOverDone != nil {
		d.giveUpDurable(j, "the entry is stopping")
	}
}

func latestOf(times ...time.Time) (t time.Time) {
	for _, u := range times {
		if u.After(t) {
			t = u
		}
	}
	return t
}

// checkDurableIdentifier refuses a missing identifier, and one under which the
// job could not be queried over HTTP: it contains a slash or has the form of
// identifiers that entries issue.
func checkDurableIdentifier(r *jobRequest) error {
	switch _, _, entryIssued := parseJobID(r.Job); {
	case r.Job == "":
		return notRun(http.StatusBadRequest, reasonInvalid, "job is missing; a durable job needs an identifier")
	case entryIssued, strings.Contains(r.Job, "/"):
		return notRun(http.StatusBadRequest, reasonInvalid, "job contains a slash or has the form of an identifier that entries issue")
	}
	return nil
}
