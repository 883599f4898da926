package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"chicorytray.example/chicorytray/admission"
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/forward"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// maxForwardAttempts is the number of peers that are asked to run a job.
const maxForwardAttempts = 2

// forwards are the open forwards of this entry as the sender. The dispatcher owns them.
type forwards struct {
	settings   settings.Forwarding
	lastNumber uint64
	byNumber   map[uint64]*outgoingForward
	byJob      map[string]*outgoingForward // by the caller's identifier
	refusedAt  map[string]time.Time        // last refusal, by peer
	// peers returns what is known of the other entries, with their references.
	peers func(v *config.View) ([]forward.Peer, map[string]wire.EntryRef)
	// room returns the free room for a pool by peer; nil if it is not known.
	room  func(now time.Time, pool string) map[string]float64
	conns *sharedConns
}

// outgoingForward is a job that runs at another entry and whose callers wait here.
type outgoingForward struct {
	forward.Outgoing // of the peer that is asked now
	number           uint64
	peer             wire.EntryRef
	asked            []string
	reason           forward.Reason
	refusal          *problem // by this entry; nil for ReasonNoProcessor
	// here is for ReasonNoProcessor the submission with which the job is admitted here if
	// no peer takes it, and hereID the identifier that the job gets.
	here       *submission
	hereID     string
	workload   workload
	callers    []*caller
	request    wire.ForwardRequest
	pool       string
	view       *config.View
	arrived    time.Time
	deadline   time.Time
	cancelCall context.CancelCauseFunc
	// unknownAt is when the outcome is answered as unknown after a failed call; zero
	// while a call is in progress.
	unknownAt time.Time

	// The following fields do not change after done is closed.
	done    chan struct{}
	job     string // at the receiver
	answer  Answer
	refused *problem // set if answer is a refusal by this entry
	runHere *job     // set instead of answer if the job was admitted here
}

// forwardRefused forwards a submission that this entry has refused with err, if that is
// possible, and otherwise returns err.
func (d *dispatcher) forwardRefused(s *submission, identifier string, err error) error {
	var p *problem
	if !d.mayForward(s, identifier) || !errors.As(err, &p) {
		return err
	}
	reason, ok := d.forwardReason(s, p)
	if !ok || !d.forwards.settings.HasReason(string(reason)) || !d.startForward(s, reason, p, nil, "") {
		return err
	}
	return nil
}

// mayForward reports whether the submission may be forwarded, if there is a reason.
func (d *dispatcher) mayForward(s *submission, identifier string) bool {
	return !s.received && !s.stays && identifier != "" &&
		jobWithOpenRuns(d.leasedJobs[identifier]) == nil // whose runs only this entry awaits
}

// startForward sends the submission to a peer; it returns false if none can take it. The
// other arguments are fields of outgoingForward.
func (d *dispatcher) startForward(s *submission, reason forward.Reason, refusal *problem, here *submission, hereID string) bool {
	r := &s.request
	f := &outgoingForward{
		reason: reason, refusal: refusal, here: here, hereID: hereID, workload: s.workload, pool: s.template.Pool, view: s.view,
		arrived: s.arrived, deadline: s.arrived.Add(s.deadline), done: make(chan struct{}),
		request: wire.ForwardRequest{
			Sender: d.self, Job: r.Job, Account: s.account.Name, Template: s.template.Name,
			Count: r.Count, Spec: r.Spec, Expected: s.expected,
		},
	}
	if s.caller != nil {
		f.callers = []*caller{s.caller}
	}
	if r.Needs != nil {
		f.request.Needs = r.Needs.Resources()
	}
	if !d.sendForward(f) {
		return false
	}
	d.forwards.byJob[r.Job] = f
	d.openJobs++
	s.forward = f
	return true
}

// forwardReason returns why a refused submission may be forwarded; ok is false if it may
// not.
func (d *dispatcher) forwardReason(s *submission, p *problem) (r forward.Reason, ok bool) {
	switch p.Reason {
	case reasonStopping:
		// The response has to reach the caller before this process ends.
		expected := d.durations.Expected(s.template.Name, cappedMilliseconds(s.template.ExpectedMS, s.deadline))
		return forward.ReasonStopping, !d.stopping && d.now.Add(expected).Before(d.acceptUntil)
	case wire.Reason(admission.ReasonNoUpstream):
		return forward.ReasonNoAgent, true
	case wire.Reason(admission.ReasonDeadline):
		return forward.ReasonNoRoom, true
	}
	return "", false
}

// sendForward sends the job to the next peer; false if there is none.
func (d *dispatcher) sendForward(f *outgoingForward) bool {
	fs := &d.forwards
	attempts := maxForwardAttempts
	if f.here != nil {
		attempts = 1 // another one takes processor time as well
	}
	if len(f.asked) >= attempts || !d.now.Before(f.deadline) || allLeft(f.callers) {
		return false
	}
	peers, refs := fs.peers(f.view)
	open := map[string]int{}
	for _, o := range fs.byNumber {
		open[o.peer.ID]++
	}
	for i := range peers {
		peers[i].Open, peers[i].RefusedAt = open[peers[i].ID], fs.refusedAt[peers[i].ID]
	}
	var room map[string]float64
	if fs.room != nil {
		room = fs.room(d.now, f.pool)
	}
	id, ok := forward.Choose(d.now, forward.Job{Reason: f.reason, Generation: f.view.Generation(), Asked: f.asked}, peers, room,
		forward.Limits{PerPeer: fs.settings.MaxPerPeer, Total: fs.settings.MaxOpen})
	if !ok {
		return false
	}
	fs.lastNumber++
	f.Outgoing, f.number, f.peer, f.asked = forward.NewOutgoing(d.now), fs.lastNumber, refs[id], append(f.asked, id)
	fs.byNumber[f.number] = f
	request := f.request
	request.Number, request.Left = f.number, f.deadline.Sub(d.now)
	number, address := f.number, f.peer.Address
	d.metrics.forwardsSent.Inc(1)
	d.log.Info().Str("job", request.Job).Str("receiver", id).Str("reason", string(f.reason)).Uint64("number", number).Msg("job forwarded")
	ctx, cancel := context.WithCancelCause(d.callsCtx)
	f.cancelCall = cancel
	d.spawn(func(context.Context) {
		defer cancel(nil)
		var reply wire.ForwardReply
		err := fs.conns.call(ctx, address, "Entry.Forward", &request, &reply)
		d.post(func(d *dispatcher) { d.handleForwardReply(f, number, reply, err) })
	})
	return true
}

// handleForwardReply handles the end of a call of Entry.Forward.
func (d *dispatcher) handleForwardReply(f *outgoingForward, number uint64, reply wire.ForwardReply, err error) {
	if f.number != number || !f.unknownAt.IsZero() || d.forwards.byNumber[number] != f {
		return // given up meanwhile
	}
	var remote *rpcconn.RemoteError
	switch {
	case err == nil && reply.Outcome == string(OutcomeNotRun) && reply.Job == "":
		d.countForwardFailed("refused")
		d.forwards.refusedAt[f.peer.ID] = d.now
		d.log.Info().Str("job", f.request.Job).Str("receiver", f.peer.ID).Str("reason", string(reply.Reason)).Msg("forward refused")
		d.forwardElsewhere(f)
	case err == nil && reply.Reason == wire.ReasonCancelled:
		// The receiver cancelled the job because its confirmation had lapsed, which it
		// notices before this entry, or on a request of which this entry learns as well.
		d.forwardBroken(f, "cancelled")
	case err == nil:
		f.job = reply.Job
		d.finishForward(f, Answer{Outcome: Outcome(reply.Outcome), Reason: reply.Reason, Detail: reply.Detail, RetryAfter: reply.RetryAfter})
	case errors.As(err, &remote) && f.WasConfirmed():
		// A receiver refuses a confirmed forward by its reply. An error may be a panic
		// of its handler, after which the job may have started.
		d.forwardBroken(f, "broken")
	case errors.As(err, &remote): // of an older version, or the forward was not accepted
		d.countForwardFailed("refused")
		d.forwards.refusedAt[f.peer.ID] = d.now
		d.log.Info().Str("job", f.request.Job).Str("receiver", f.peer.ID).Err(err).Msg("forward refused")
		d.forwardElsewhere(f)
	case errors.Is(err, rpcconn.ErrNotSent):
		d.countForwardFailed("not_sent")
		d.forwards.refusedAt[f.peer.ID] = d.now
		d.log.Info().Str("job", f.request.Job).Str("receiver", f.peer.ID).Err(err).Msg("forward not sent")
		d.forwardElsewhere(f)
	default:
		d.forwardBroken(f, "broken")
	}
}

// forwardElsewhere sends a job that certainly is not and will not be run by the receiver
// to another peer, or answers it with the refusal of this entry, or admits it here if the
// entry was only short of processor time.
func (d *dispatcher) forwardElsewhere(f *outgoingForward) {
	d.endAttempt(f)
	if !d.sendForward(f) {
		p := f.refusal
		if f.here != nil {
			if p = d.runHere(f); p == nil {
				return
			}
		}
		f.refused = p
		d.finishForward(f, Answer{Outcome: p.Outcome, Reason: p.Reason, Detail: p.Detail, RetryAfter: p.retryAfter})
	}
}

// forwardBroken ends a forward whose call failed after it was sent. The receiver may have
// started the job if it was confirmed; then it has cancelled the job, at the latest, when
// its confirmation lapses.
func (d *dispatcher) forwardBroken(f *outgoingForward, cause string) {
	d.countForwardFailed(cause)
	d.log.Info().Str("job", f.request.Job).Str("receiver", f.peer.ID).Str("cause", cause).Msg("forward failed")
	f.Revoke()
	f.cancelCall(nil) // the connection may be broken as well
	if f.NeverConfirmed() {
		d.forwardElsewhere(f)
		return
	}
	f.unknownAt = f.Lapses(d.timing.Lapse.AsDuration())
	d.checkForward(f)
}

func (d *dispatcher) endAttempt(f *outgoingForward) {
	f.Revoke()
	f.cancelCall(errNotAwaited)
	delete(d.forwards.byNumber, f.number)
}

// finishForward answers the callers of a forward.
func (d *dispatcher) finishForward(f *outgoingForward, a Answer) {
	if d.forwards.byJob[f.request.Job] != f {
		return // answered
	}
	d.endAttempt(f)
	delete(d.forwards.byJob, f.request.Job)
	f.answer, f.callers = a, nil
	d.jobClosed()
	close(f.done)
}

// tickForwards gives up the forwards that can no longer be answered by their receivers.
func (d *dispatcher) tickForwards() {
	for _, f := range d.forwards.byJob {
		d.checkForward(f)
	}
	for id, at := range d.forwards.refusedAt {
		if d.now.Sub(at) >= forward.RefusedPause {
			delete(d.forwards.refusedAt, id)
		}
	}
	d.metrics.forwardsOpen.Update(float64(len(d.forwards.byNumber)))
}

// checkForward applies the limits in time of a forward.
func (d *dispatcher) checkForward(f *outgoingForward) {
	switch lapses := f.Lapses(d.timing.Lapse.AsDuration()); {
	case allLeft(f.callers):
		d.abandonForward(f)
	case !f.unknownAt.IsZero() && !d.now.Before(f.unknownAt):
		d.finishForward(f, Answer{Outcome: OutcomeUnknown, Reason: reasonForwardLost, Detail: "the entry to which the job was forwarded did not answer"})
	case !d.now.Before(f.deadline):
		d.countForwardFailed("deadline")
		d.giveUpForward(f, wire.ReasonDeadline, "the deadline has passed")
	case f.unknownAt.IsZero() && !d.now.Before(lapses):
		d.forwardBroken(f, "silent") // the receiver has cancelled the job
	}
}

// giveUpForward answers a forward whose outcome is not awaited any longer.
func (d *dispatcher) giveUpForward(f *outgoingForward, reason wire.Reason, detail string) {
	f.Revoke()
	if f.NeverConfirmed() {
		d.finishForward(f, Answer{Outcome: OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: refusalRetryAfter})
		return
	}
	d.finishForward(f, Answer{Outcome: OutcomeUnknown, Reason: reason, Detail: detail})
}

// giveUpForwards gives up the forwards that arrived before the given time.
func (d *dispatcher) giveUpForwards(before time.Time, reason wire.Reason, detail string) {
	for _, f := range d.forwards.byJob {
		if f.arrived.Before(before) {
			d.giveUpForward(f, reason, detail)
		}
	}
}

// abandonForward ends a forward whose callers have left.
func (d *dispatcher) abandonForward(f *outgoingForward) {
	d.finishForward(f, Answer{Outcome: OutcomeFailed, Reason: wire.ReasonCancelled, Detail: "the caller disconnected"})
}

// cancelForward ends the forward of a job that is cancelled on request. The cancellation
// also reaches the receiver as it reaches all entries.
func (d *dispatcher) cancelForward(f *outgoingForward) {
	d.finishForward(f, Answer{Outcome: OutcomeFailed, Reason: wire.ReasonCancelled, Detail: "the job was cancelled"})
}

// joinForward joins a submission to the open forward under its identifier. One that
// another entry forwarded would make a second hop. Its outcome is unknown, because "not
// run" would let its sender ask a further entry while the job runs.
func (d *dispatcher) joinForward(s *submission, f *outgoingForward) error {
	if s.received {
		return unknownOutcome(reasonForwardOpen, "the job is open as a forward of this entry to another one")
	}
	if f.workload != s.workload {
		return notRun(http.StatusUnprocessableEntity, reasonJobReused, "the job's identifier is in use for other work; this submission was not run")
	}
	if s.caller != nil {
		f.callers = append(f.callers, s.caller)
	}
	d.metrics.submissionsJoined.Inc(1)
	s.forward = f
	return nil
}

// awaitForward waits for the answer to a forwarded submission.
func (e *Entry) awaitForward(ctx context.Context, s *submission) error {
	f := s.forward
	select {
	case <-f.done:
		s.takeRunHere(f)
		return nil
	case <-ctx.Done():
	}
	e.dispatcher.postAndWait(func(d *dispatcher) {
		f.callers = slices.DeleteFunc(f.callers, func(c *caller) bool { return c == s.caller })
		if len(f.callers) == 0 {
			d.abandonForward(f)
		}
	})
	select {
	case <-f.done:
		s.takeRunHere(f)
		return nil
	default:
		return unknownOutcome(wire.ReasonCancelled, "the caller disconnected; other callers still wait for the job")
	}
}

// allLeft reports whether there are callers and all have left.
func allLeft(callers []*caller) bool {
	return len(callers) > 0 && !slices.ContainsFunc(callers, func(c *caller) bool { return !c.left() })
}

// rpcConfirmForwards serves Entry.ConfirmForwards. It does not answer within the settling
// time after a pause, in which the ends of callers' connections are handled first.
func (e *Entry) rpcConfirmForwards(_ context.Context, req *wire.ConfirmForwardsRequest, reply *wire.ConfirmForwardsReply) error {
	settled := false
	if !e.dispatcher.postAndWait(func(d *dispatcher) {
		if settled = d.mayStartNow(); settled && req.Sender == d.self.Incarnation {
			reply.Wanted = d.confirmForwards(req.Numbers)
		}
	}) {
		return ErrStopped
	}
	if !settled {
		return errors.New("entry: settling after a pause")
	}
	return nil
}

// confirmForwards returns those of the forwards that are still wanted.
func (d *dispatcher) confirmForwards(numbers []uint64) (wanted []uint64) {
	for _, n := range numbers {
		f := d.forwards.byNumber[n]
		if f == nil {
			continue
		}
		d.checkForward(f)
		if d.forwards.byNumber[n] == f && f.Confirm(d.now) {
			wanted = append(wanted, n)
		}
	}
	return wanted
}

// forwardedAnswer returns the HTTP response of a forwarded job.
func forwardedAnswer(f *outgoingForward) *answer {
	switch {
	case f.refused != nil:
		return problemAnswer(f.refused)
	case f.answer.Outcome == OutcomeDone:
		return leasedAnswer(f.job, f.request.Job, f.request.Count)
	}
	status := httpStatus(f.answer.Outcome)
	return problemAnswer(&problem{
		Status: status, Title: http.StatusText(status), Detail: f.answer.Detail, Outcome: f.answer.Outcome,
		Reason: f.answer.Reason, Job: f.job, retryAfter: f.answer.RetryAfter,
	})
}

func (d *dispatcher) countForwardFailed(reason string) {
	d.metrics.scope.Tagged(map[string]string{"reason": reason}).Counter("forwards_failed").Inc(1)
}
