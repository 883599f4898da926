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

const (
	// headerTimeout bounds how long a caller may take to send its header.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds how long a caller may take to send its request.
	bodyTimeout = 60 * time.Second
	// answerTimeout bounds how long a caller may take to read its answer.
	answerTimeout = 60 * time.Second
	// idleTimeout closes kept-alive connections without a request.
	idleTimeout = 120 * time.Second
)

// callerHandler serves the callers' address.
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

// panicError turns a panic of a handler into an error, so that the caller is
// told that the outcome is unknown.
func (e *Entry) panicError(v any) error {
	if v == nil {
		return nil
	}
	e.log.Error().Str("panic", fmt.Sprint(v)).Bytes("stack", debug.Stack()).Msg("handler failed")
	return errPanic
}

var errPanic = errors.New("entry: internal failure")

// httpErrorWriter passes the messages of net/http to the log.
type httpErrorWriter struct{ zerolog.Logger }

// Write logs one message.
func (l httpErrorWriter) Write(p []byte) (int, error) {
	l.Warn().Str("detail", string(bytes.TrimSpace(p))).Msg("http server")
	return len(p), nil
}

func (e *Entry) httpErrorLog() *log.Logger { return log.New(httpErrorWriter{e.log}, "", 0) }

// httpError answers what no handler answered: unknown paths and methods, and
// panics of handlers. After an answer began nothing can be added to it.
func (e *Entry) httpError(err error, c echo.Context) {
	if c.Response().Committed {
		e.log.Info().Err(err).Msg("answer not sent whole")
		return
	}
	p := asProblem(err)
	var h *echo.HTTPError
	if errors.As(err, &h) {
		p = notRun(h.Code, reasonInvalid, "%v", h.Message)
	}
	if werr := problemAnswer(p).write(c); werr != nil {
		e.log.Info().Err(werr).Msg("answer not sent whole")
	}
}

// callerServer returns the HTTP server of the callers' address. The write
// timeout counts from the request's header, so it covers the body, the job and
// the answer.
func (e *Entry) callerServer() *http.Server {
	handler := e.options.CallerHandler
	if handler == nil {
		handler = e.callerHandler()
	}
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		WriteTimeout:      bodyTimeout + e.settings.Limits.MaxDeadline.AsDuration() + e.settings.Timing.CallTimeout.AsDuration() + answerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    e.settings.Limits.MaxHeaderBytes,
		TLSConfig:         e.callerTLS,
		ErrorLog:          e.httpErrorLog(),
	}
}

func sinceArrival(s *submission) time.Duration { return time.Since(s.arrived) }
