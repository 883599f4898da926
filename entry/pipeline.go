package entry

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"chicorytray.example/chicorytray/config"
)

// serveSubmission passes one submission through the filters. The filters place,
// start and collect run on the dispatcher for each task, between enqueue and
// the return of awaitAnswer; see (*dispatcher).placeWaitingTasks.
func (e *Entry) serveSubmission(c echo.Context, kind config.Kind) error {
	s, err := e.receive(c, kind)
	if err == nil {
		err = e.authenticate(s)
	}
	if err == nil {
		err = checkTasks(s)
	}
	if err == nil && s.request.Durable {
		return e.respond(c, s, e.serveDurable(c.Request().Context(), s))
	}
	if err == nil && s.kind == config.KindLeased {
		return e.respond(c, s, e.serveLeased(c.Request().Context(), s))
	}
	if err == nil {
		var release func()
		if release, err = e.acquireWaiting(c.Request().Context(), s); err == nil {
			defer release()
		}
	}
	if err == nil {
		err = e.deduplicate(c.Request().Context(), s) // sets s.answer for a repetition
	}
	if err == nil && s.answer == nil {
		if err = e.admit(s); err == nil {
			e.expand(s)
			err = e.enqueue(s)
		}
		e.finishClaim(s, err != nil)
	}
	if err == nil && s.answer == nil {
		e.awaitAnswer(c.Request().Context(), s) // place, start and collect, for each task
	}
	return e.respond(c, s, err)
}

// respond is the last filter. It sends the answer, or the problem that err
// describes.
func (e *Entry) respond(c echo.Context, s *submission, err error) error {
	a := s.answer
	if err != nil {
		a = problemAnswer(asProblem(err))
	}
	e.recordAnswer(s, a)
	return a.write(c)
}

// asProblem converts an error into a problem. An error that is not one becomes an
// unknown outcome with status 500.
func asProblem(err error) *problem {
	var p *problem
	if errors.As(err, &p) {
		return p
	}
	p = unknownOutcome(reasonInterrupted, "%v", err)
	p.Status, p.Title = http.StatusInternalServerError, http.StatusText(http.StatusInternalServerError)
	return p
}
