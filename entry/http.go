package entry

import (
	"bytes"
	"errors"
	"fmt"
	"log"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/config"
)

// answerTimeout bounds the time in which a caller reads the response.
const answerTimeout = 60 * time.Second

// callerHandler returns the handler of the entry's HTTP API.
func (e *Entry) callerHandler() http.Handler {
	r := echo.New()
	r.HideBanner, r.HidePort = true, true
	r.HTTPErrorHandler = e.httpError
	r.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) (err error) {
			c.Response().Header().Set(headerRequestID, requestID(c.Request()))
			defer func() { err = errors.Join(err, e.panicError(recover())) }()
			return next(c)
		}
	})
	r.POST("/v1/jobs", func(c echo.Context) error { return e.serveSubmission(c, config.KindJob) })
	r.GET("/v1/jobs/:id", e.getJob)
	r.DELETE("/v1/jobs/:id", e.deleteJob)
	forward := func(c echo.Context) error { return e.serveSubmission(c, config.KindRequest) }
	r.Any("/v1/requests/:template", forward)
	r.Any("/v1/requests/:template/*", forward)
	return r
}

// panicError logs the recovered panic of a handler and returns an error for it, so
// that the caller learns that the outcome is unknown. It returns nil for nil.
func (e *Entry) panicError(v any) error {
	if v == nil {
		return nil
	}
	e.log.Error().Str("panic", fmt.Sprint(v)).Bytes("stack", debug.Stack()).Msg("HTTP handler panicked")
	return errPanic
}

// errPanic is the error that callers receive after a panic; the log has the cause.
var errPanic = errors.New("entry: internal error")

// httpErrorWriter writes the error messages of net/http to the log.
type httpErrorWriter struct{ zerolog.Logger }

// Write logs p as one message. It never fails.
func (l httpErrorWriter) Write(p []byte) (int, error) {
	l.Warn().Str("detail", string(bytes.TrimSpace(p))).Msg("error of the HTTP server")
	return len(p), nil
}

func (e *Entry) httpErrorLog() *log.Logger { return log.New(httpErrorWriter{e.log}, "", 0) }

// httpError responds to requests for which no handler wrote a response: unknown
// paths and methods, and panics of handlers. If a response has been started, it
// only logs the error.
func (e *Entry) httpError(err error, c echo.Context) {
	if c.Response().Committed {
		e.log.Info().Err(err).Msg("response not sent completely")
		return
	}
	p := asProblem(err)
	var h *echo.HTTPError
	if errors.As(err, &h) {
		p = notRun(h.Code, reasonInvalid, "%v", h.Message)
	}
	if werr := problemAnswer(p).write(c); werr != nil {
		e.log.Info().Err(werr).Msg("response not sent completely")
	}
}

// callerServer returns the HTTP server of the callers' address. Its write timeout
// starts when the request header has been read, so it covers the time for the
// body, the job and the response.
func (e *Entry) callerServer() *http.Server {
	handler := e.options.CallerHandler
	if handler == nil {
		handler = e.callerHandler()
	}
	if e.settings.Timing.StopAccept {
		handler = closingHandler{handler, &e.closing}
	}
	l := e.settings.Limits
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: l.HeaderTimeout.AsDuration(),
		ReadTimeout:       l.BodyTimeout.AsDuration(),
		WriteTimeout:      l.BodyTimeout.AsDuration() + l.MaxDeadline.AsDuration() + e.settings.Timing.CallTimeout.AsDuration() + answerTimeout,
		IdleTimeout:       l.IdleTimeout.AsDuration(),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		TLSConfig:         e.callerTLS,
		ErrorLog:          e.httpErrorLog(),
		ConnContext:       e.withCallerConn,
		ConnState:         e.connections.track,
	}
	e.guards.callers.Limit(s)
	return s
}

// adminServer returns the HTTP server of the operators' address.
func (e *Entry) adminServer() *http.Server {
	l := e.settings.Limits
	s := &http.Server{
		Handler:           e.adminHandler(),
		ReadHeaderTimeout: l.HeaderTimeout.AsDuration(),
		ReadTimeout:       l.BodyTimeout.AsDuration(),
		IdleTimeout:       l.IdleTimeout.AsDuration(),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          e.httpErrorLog(),
	}
	e.guards.admin.Limit(s)
	return s
}

// sinceArrival returns the time since the submission arrived.
func (e *Entry) sinceArrival(s *submission) time.Duration { return e.clock.Since(s.arrived) }
