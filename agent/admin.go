package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"chicorytray.example/chicorytray/observe"
)

// adminHeaderTimeout limits how long a client of the admin address may take to
// send a request's header.
const adminHeaderTimeout = 5 * time.Second

// serveAdmin serves the admin address until ctx ends. POST /leaving, which an
// upstream sends before it stops, makes the agent leave; DELETE /leaving undoes
// that.
func (a *Agent) serveAdmin(ctx context.Context, l net.Listener) error {
	e := observe.AdminHandler(observe.AdminOptions{
		Ready: a.Ready, State: func() any { return a.State() }, Metrics: a.options.MetricsHandler,
	})
	set := func(leaving bool) echo.HandlerFunc {
		return func(c echo.Context) error {
			a.setLeaving(leaveOperator, leaving)
			return c.NoContent(http.StatusNoContent)
		}
	}
	e.POST("/leaving", set(true))
	e.DELETE("/leaving", set(false))
	s := &http.Server{Handler: e, ReadHeaderTimeout: adminHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
