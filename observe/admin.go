package observe

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/labstack/echo/v4"
)

// AdminOptions say what the HTTP address for operators serves. The path of a nil
// function or handler is not served. /healthz is always served.
type AdminOptions struct {
	// Ready serves /readyz. It returns nil if the process accepts work, and
	// otherwise an error with the reason. It must not block.
	Ready func() error
	// State serves /debug/state. It returns the state of the process, which is
	// encoded as JSON.
	State func() any
	// Metrics serves /metrics.
	Metrics http.Handler
}

// AdminHandler returns the HTTP handler for operators, which serves /healthz,
// /readyz, /metrics and /debug/state. The caller may add further routes before it
// serves requests.
func AdminHandler(o AdminOptions) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	if o.Ready != nil {
		e.GET("/readyz", func(c echo.Context) error {
			if err := o.Ready(); err != nil {
				return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
			}
			return c.String(http.StatusOK, "ready\n")
		})
	}
	if o.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(o.Metrics))
	}
	if o.State != nil {
		e.GET("/debug/state", func(c echo.Context) error {
			return c.JSONPretty(http.StatusOK, o.State(), "  ")
		})
	}
	return e
}

// DumpStateOnSignal writes the state to w as JSON whenever the process receives
// SIGUSR1, until the returned function is called.
func DumpStateOnSignal(w io.Writer, state func() any) (stop func()) {
	signals := make(chan os.Signal, 1)
	done := make(chan struct{})
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for {
			select {
			case <-signals:
				_ = WriteState(w, state())
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// WriteState writes the state to w as indented JSON, in the form that
// /debug/state serves. It returns the error of encoding or of writing.
func WriteState(w io.Writer, state any) error {
	data, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		return err
	}
	_, err = w.Write(append(data, '\n'))
	return err
}
