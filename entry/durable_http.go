package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// serveDurable serves POST /v1/jobs for a durable job. It answers with 202 once
// the job is stored.
func (e *Entry) serveDurable(ctx context.Context, s *submission) error {
	if err := e.acceptDurable(ctx, s); err != nil {
		return err
	}
	s.answer = durableStatus(http.StatusAccepted, s.request.Job, "accepted")
	return nil
}

// durableStatus returns the HTTP answer that gives the state of a durable job.
func durableStatus(status int, identifier, state string) *answer {
	body, err := json.Marshal(jobStatus{Job: identifier, State: state})
	if err != nil { // jobStatus holds only strings
		panic(err)
	}
	return &answer{status: status, contentType: echo.MIMEApplicationJSON, body: body}
}

// serveDurableJob serves GET and DELETE of a durable job. It reports false if the
// identifier has the form that entries issue and so belongs to a job that is not
// durable.
func (e *Entry) serveDurableJob(c echo.Context, id string, verb wire.DurableVerb) (bool, error) {
	if _, _, other := parseJobID(id); other {
		return false, nil
	}
	token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	_, account, err := e.accountByToken(token)
	if err != nil {
		return true, problemAnswer(asProblem(err)).write(c)
	}
	reply, err := e.queryDurable(c.Request().Context(), wire.DurableRequest{Verb: verb, Identifier: id, Account: account.Name})
	if err != nil {
		return true, problemAnswer(durableProblem(err, id)).write(c)
	}
	status := http.StatusOK
	if s := durable.State(reply.State); verb == wire.DurableState && (s == durable.Queued || s == durable.InProgress) {
		status = http.StatusAccepted
	}
	return true, durableStatus(status, id, reply.State).write(c)
}
