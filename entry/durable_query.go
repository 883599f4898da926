package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

// Errors about jobs. Match them with errors.Is.
var (
	// ErrJobNotFound means that no durable job has the identifier.
	ErrJobNotFound = errors.New("entry: no such job")
	// ErrUnavailable means that the entry has not started, that a durable job could
	// not be looked up in the store, or that the entry that owns the job, or may
	// have it, did not confirm its cancellation.
	ErrUnavailable = errors.New("entry: job cannot be queried or cancelled now")
)

// DurableJobState returns the state of a durable job, whichever entry owns it.
// If the job has not ended, it waits for the end, at most for the shorter of
// wait and half the call timeout, because callers often ask while the last end
// is being stored. The error is ErrJobNotFound or ErrUnavailable.
func (e *Entry) DurableJobState(ctx context.Context, identifier string, wait time.Duration) (durable.State, error) {
	wait = min(wait, e.settings.Timing.CallTimeout.AsDuration()/2) // another entry may have to be asked
	reply, err := e.queryDurable(ctx, wire.DurableRequest{Verb: wire.DurableState, Identifier: identifier, Wait: wait})
	return durable.State(reply.State), err
}

// CancelDurableJob cancels a durable job, whichever entry owns it. If it returns
// true and no error, the job has ended and none of its tasks starts later. The
// error is ErrUnavailable.
func (e *Entry) CancelDurableJob(ctx context.Context, identifier string) (found bool, err error) {
	_, err = e.queryDurable(ctx, wire.DurableRequest{Verb: wire.DurableCancel, Identifier: identifier})
	if errors.Is(err, ErrJobNotFound) {
		return false, nil
	}
	return err == nil, err
}

// queryDurable answers a request for the state or the cancellation of a job:
// from this entry's memory, else from the preferred entry of the job, else by
// its stored record.
func (e *Entry) queryDurable(ctx context.Context, req wire.DurableRequest) (wire.DurableReply, error) {
	switch {
	case !e.started():
		return wire.DurableReply{}, ErrUnavailable
	case e.durableDisabled():
		return wire.DurableReply{}, ErrJobNotFound
	}
	reply := e.queryOwnDurable(ctx, req)
	if reply.Known {
		return reply, replyError(reply)
	}
	alreadyAsked, least := "", durable.State(reply.State)
	if preferred, other := e.preferredEntry(req.Identifier); other {
		alreadyAsked = preferred.ID
		if reply, _, err := e.callDurable(ctx, preferred, req); err == nil {
			if reply.Known {
				return reply, replyError(reply)
			}
			least = laterState(least, durable.State(reply.State))
		}
	}
	lookupCtx, cancel := context.WithTimeout(ctx, 2*e.settings.Timing.StoreTimeout.AsDuration()) // two reads
	found, err := e.recordManager.Lookup(lookupCtx, req.Identifier)
	cancel()
	switch {
	case err != nil:
		e.log.Info().Str("identifier", req.Identifier).Err(err).Msg("lookup of a durable job in the store failed")
		return wire.DurableReply{}, ErrUnavailable
	case found.Open != nil && (req.Account == "" || found.Open.Account == req.Account):
		return e.queryRecordOwner(ctx, req, found.Open, alreadyAsked, least)
	case found.Open == nil && found.End != nil && (req.Account == "" || found.End.Account == req.Account):
		return wire.DurableReply{Known: true, State: string(found.End.State)}, nil
	}
	return wire.DurableReply{}, ErrJobNotFound
}

// replyError returns the error that a reply with Known set expresses; nil if the
// request succeeded.
func replyError(r wire.DurableReply) error {
	if r.Outcome == "" || Outcome(r.Outcome) == OutcomeAccepted {
		return nil
	}
	return ErrUnavailable
}

// queryRecordOwner asks the owner that an open record names, unless that is the
// entry alreadyAsked. If the owner does not know, the record tells the state,
// which is not before least, but the job cannot be cancelled.
func (e *Entry) queryRecordOwner(
	ctx context.Context, req wire.DurableRequest, r *durable.Record, alreadyAsked string, least durable.State,
) (wire.DurableReply, error) {
	owner, incarnation, ok := parseJobID(string(r.Owner)) // an epoch has the form of a job's identifier
	if ref, known := e.peers.findEntry(owner); ok && known && owner != alreadyAsked && ref.Incarnation == incarnation {
		if reply, _, err := e.callDurable(ctx, ref, req); err == nil {
			if reply.Known {
				return reply, replyError(reply)
			}
			least = laterState(least, durable.State(reply.State))
		}
	}
	if req.Verb == wire.DurableCancel {
		return wire.DurableReply{}, ErrUnavailable
	}
	state := durable.Queued
	if r.Started {
		state = durable.InProgress
	}
	return wire.DurableReply{Known: true, State: string(laterState(state, least))}, nil
}

// laterState returns the later of two states of a job that has not ended. An empty
// state means that nothing is known.
func laterState(a, b durable.State) durable.State {
	if a == durable.InProgress || b == "" {
		return a
	}
	return b
}

// callDurable calls Entry.Durable at another entry. sent is false if it is
// certain that the entry did not receive the request.
func (e *Entry) callDurable(ctx context.Context, to wire.EntryRef, req wire.DurableRequest) (reply wire.DurableReply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Timing.CallTimeout.AsDuration())
	defer cancel()
	conn, err := e.dial(ctx, to.Address)
	if err == nil {
		defer func() { _ = conn.Close() }()
		err = conn.Call(ctx, "Entry.Durable", &req, &reply)
		sent = !errors.Is(err, rpcconn.ErrNotSent)
	}
	if err != nil {
		e.log.Info().Str("to", to.ID).Str("identifier", req.Identifier).Err(err).Msg("call to another entry about a durable job failed")
	}
	return reply, sent, err
}

// rpcDurable serves Entry.Durable, by which other entries submit, query and
// cancel durable jobs. It never forwards a request.
func (e *Entry) rpcDurable(ctx context.Context, req *wire.DurableRequest, reply *wire.DurableReply) error {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Timing.CallTimeout.AsDuration())
	defer cancel()
	if req.Verb == wire.DurableSubmit {
		*reply = e.acceptForwardedDurable(ctx, req)
		return nil
	}
	*reply = e.queryOwnDurable(ctx, *req)
	return nil
}

// acceptForwardedDurable accepts a job that another entry forwarded. A reply
// without Known tells that entry to accept the job itself.
func (e *Entry) acceptForwardedDurable(ctx context.Context, req *wire.DurableRequest) wire.DurableReply {
	in := req.Submission
	if in == nil {
		return wire.DurableReply{}
	}
	s, err := e.newSubmission(Submission{
		Job: req.Identifier, Template: in.Template, Count: in.Count, Needs: in.Needs, Spec: in.Spec,
		Expected: time.Duration(in.ExpectedMS) * time.Millisecond,
	})
	if err == nil {
		s.request.Durable = true
		err = checkTasks(s)
	}
	known := false
	if err == nil {
		if known, err = e.checkOwnDurable(s); !known {
			err = e.createDurable(ctx, s)
		}
	}
	if p := (*problem)(nil); errors.As(err, &p) && isLocalRefusal(p.Reason) {
		return unknownReply(p) // the forwarding entry may be able to accept it
	}
	a := durableAnswer(err)
	return wire.DurableReply{
		Known: true, Outcome: string(a.Outcome), Reason: a.Reason, Detail: a.Detail, RetryAfterMS: a.RetryAfter.Milliseconds(),
	}
}

// isLocalRefusal reports whether the reason of a refusal concerns only the entry
// that refused, so that another entry may accept the job.
func isLocalRefusal(r wire.Reason) bool {
	return r == reasonStopping || r == reasonNoConfiguration || r == reasonTemplateNotFound
}

// queryOwnDurable answers from memory. Known is not set in the reply if this
// entry does not own the job, cannot trust its memory, or is asked for a state that
// only the store knows; see ownDurableState.
func (e *Entry) queryOwnDurable(ctx context.Context, req wire.DurableRequest) (reply wire.DurableReply) {
	var j *job
	e.dispatcher.postAndWait(func(d *dispatcher) {
		own := d.leasedJobs[req.Identifier]
		u := durableOf(own)
		if u == nil || u.givenUp || req.Account != "" && own.account != req.Account || !d.memoryAuthoritative() {
			if d.mayBeStored(req.Identifier) {
				reply.Outcome = string(OutcomeUnknown)
			}
			return
		}
		reply = ownDurableState(own)
		switch {
		case req.Verb == wire.DurableCancel:
			j = own
			d.cancelLeased(j)
			reply.Known, reply.Outcome = true, string(OutcomeUnknown)
		case req.Verb == wire.DurableState && req.Wait > 0 && !own.answered:
			j = own
		}
	})
	if j == nil {
		return reply
	}
	if req.Verb == wire.DurableState {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Wait)
		defer cancel()
	}
	ended := true
	select {
	case <-j.done:
	case <-ctx.Done():
		ended = false
	}
	e.dispatcher.postAndWait(func(d *dispatcher) {
		u := j.leased.durable
		switch {
		case ended && !u.givenUp:
			reply = wire.DurableReply{Known: true, State: string(u.endState), Outcome: string(OutcomeAccepted)}
		case req.Verb == wire.DurableState && !u.givenUp && d.memoryAuthoritative():
			reply = ownDurableState(j)
		}
	})
	return reply
}

// ownDurableState returns the reply to a question for the state of a job that this
// entry owns. From the beginning of the write of the end record until its answer,
// other entries may have read the final state from the store and told it. Known is
// not set then, and State is the state that the job has at least.
func ownDurableState(j *job) wire.DurableReply {
	u := j.leased.durable
	return wire.DurableReply{Known: u.endState == "" || u.closed, State: string(j.durableState())}
}

// durableProblem converts an error about a durable job into the problem that the
// caller gets.
func durableProblem(err error, identifier string) *problem {
	if errors.Is(err, ErrJobNotFound) {
		p := notRun(http.StatusNotFound, reasonJobNotFound, "there is no job %q", identifier)
		p.Job = identifier
		return p
	}
	p := unknownOutcome(reasonStoreUnavailable, "neither the store nor the entry that owns the job answered")
	p.Status, p.Title, p.Job = http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), identifier
	p.retryAfter = refusalRetryAfter
	return p
}
