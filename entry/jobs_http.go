package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"chicorytray.example/chicorytray/wire"
)

// jobStatus is the response body of GET for a running job, of DELETE, and of all
// requests about durable jobs.
type jobStatus struct {
	Job string `json:"job"`
	// State is running or answered. For a durable job it is accepted in the
	// response to the submission, and otherwise a durable.State.
	State string `json:"state"`
	// Outcome is done, not_run, failed or unknown; empty while the job runs.
	Outcome string `json:"outcome,omitempty"`
}

// getJob serves GET /v1/jobs/{id}. It returns the response that the job's caller
// received, or that the job is still running.
func (e *Entry) getJob(c echo.Context) error {
	id := c.Param("id")
	if served, err := e.serveDurableJob(c, id, wire.DurableState); served {
		return err
	}
	r, err := e.findJob(c, id, "Entry.Job", 0)
	if err != nil {
		return problemAnswer(asProblem(err)).write(c)
	}
	if !r.Finished {
		return c.JSON(http.StatusAccepted, jobStatus{Job: id, State: "running"})
	}
	return answerFromReply(id, r).write(c)
}

// deleteJob serves DELETE /v1/jobs/{id}. It cancels the job and returns the
// outcome with which the job ended.
func (e *Entry) deleteJob(c echo.Context) error {
	id := c.Param("id")
	if served, err := e.serveDurableJob(c, id, wire.DurableCancel); served {
		return err
	}
	r, err := e.findJob(c, id, "Entry.CancelJob", maxJobWait)
	if err != nil {
		return problemAnswer(asProblem(err)).write(c)
	}
	st := jobStatus{Job: id, State: "running", Outcome: r.Outcome}
	if r.Finished {
		st.State = "answered"
	}
	return c.JSON(http.StatusOK, st)
}

// answerFromReply returns the response of a job from the reply of its owner.
func answerFromReply(id string, r wire.JobReply) *answer {
	return &answer{
		status: r.Status, contentType: r.ContentType, header: r.Header, body: r.Body,
		retryAfter: r.RetryAfter, job: id,
	}
}

// findJob authenticates the caller and calls the method at the entry that owns the
// job. The error is a *problem, or ErrStopped if this entry has ended.
func (e *Entry) findJob(c echo.Context, id, method string, wait time.Duration) (wire.JobReply, error) {
	token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	_, account, err := e.accountByToken(token)
	if err != nil {
		return wire.JobReply{}, err
	}
	return e.callOwner(c.Request().Context(), method, wire.JobRequest{Job: id, Account: account.Name, Wait: wait})
}

// callOwner calls the method at the entry that owns the job, which may be this one.
// The error is a *problem, or ErrStopped if this entry has ended.
func (e *Entry) callOwner(ctx context.Context, method string, req wire.JobRequest) (wire.JobReply, error) {
	var reply wire.JobReply
	entry, incarnation, ok := parseJobID(req.Job)
	if !ok {
		return reply, notRun(http.StatusNotFound, reasonJobNotFound, "%q is not a job identifier", req.Job)
	}
	var err error
	if entry == e.self.ID && incarnation == e.self.Incarnation {
		if method == "Entry.CancelJob" {
			err = e.rpcCancelJob(ctx, &req, &reply)
		} else {
			err = e.rpcJob(ctx, &req, &reply)
		}
	} else {
		err = e.callRemoteOwner(ctx, entry, incarnation, method, req, &reply)
	}
	if err == nil && !reply.Known && (method == "Entry.CancelJob" || reply.Outcome == "") {
		p := unknownOutcome(reasonJobNotFound, "the job is not known; answers are kept only for a limited time")
		p.Status, p.Title, p.Job = http.StatusNotFound, http.StatusText(http.StatusNotFound), req.Job
		err = p
	}
	return reply, err
}

// callRemoteOwner calls the method at another entry, or returns a problem if that
// process cannot be reached. If the process was replaced by another, the job ended
// with it and its tasks may have run.
func (e *Entry) callRemoteOwner(ctx context.Context, entry string, inc wire.Incarnation, method string, req wire.JobRequest, reply *wire.JobReply) error {
	ownerEnded := unknownOutcome(reasonInterrupted, "the process of the entry that accepted the job has ended; the job's tasks may have run")
	ownerEnded.Job = req.Job
	ref, known := e.peers.findEntry(entry)
	if entry == e.self.ID || known && ref.Incarnation != inc {
		return ownerEnded
	}
	unreachable := unknownOutcome(reasonOwnerUnreachable, "the entry that accepted the job cannot be reached now; the job's tasks may have run")
	unreachable.Job, unreachable.retryAfter = req.Job, time.Second
	if !known {
		return unreachable
	}
	callCtx, cancel := context.WithTimeout(ctx, req.Wait+e.settings.Timing.CallTimeout.AsDuration())
	defer cancel()
	conn, err := e.dial(callCtx, ref.Address)
	if err == nil {
		defer func() { _ = conn.Close() }()
		err = conn.Call(callCtx, method, &req, reply)
	}
	if err != nil {
		e.log.Info().Str("entry", entry).Str("job", req.Job).Err(err).Msg("call to the entry that owns the job failed")
		return unreachable
	}
	return nil
}
