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

// AdminOptions say what the operators' address serves. A nil function or
// handler leaves its path out, except that /healthz always answers.
type AdminOptions struct {
	// Ready returns nil when the process takes work, and otherwise the reason
	// why not; it must not block.
	Ready func() error
	// State returns the process's state, encoded as JSON for /debug/state.
	State func() any
	// Metrics serves /metrics.
	Metrics http.Handler
}

// AdminHandler returns the operators' HTTP interface: /healthz, /readyz,
// /metrics and /debug/state. The caller may add routes of its own before it
// serves.
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

// DumpStateOnSignal writes the state to w as JSON at each SIGUSR1 until the
// returned function is called.
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

// WriteState writes one state dump to w, in the form that /debug/state serves.
func WriteState(w io.Writer, state any) error {
	data, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		return err
	}
	_, err = w.Write(append(data, '\n'))
	return err
}
