package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"chicorytray.example/chicorytray/internal/clientlimit"
	"chicorytray.example/chicorytray/observe"
)

const (
	// adminHeaderTimeout limits how long a client of the admin address may take to
	// send a request's header, adminBodyTimeout to send a whole request.
	adminHeaderTimeout = 5 * time.Second
	adminBodyTimeout   = 15 * time.Second
	// adminIdleTimeout is the time after which an idle connection is closed.
	adminIdleTimeout = 2 * time.Minute
	// adminHeaderBytes is the largest header of a request. Operators send none of
	// note.
	adminHeaderBytes = 16 << 10
)

// AdminGuard returns the limits of the admin address, which also apply to other HTTP
// addresses of the process; nil without limits.
func (a *Agent) AdminGuard() *clientlimit.Guard { return a.adminGuard }

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
	s := &http.Server{
		Handler: e, ReadHeaderTimeout: adminHeaderTimeout, ReadTimeout: adminBodyTimeout,
		IdleTimeout: adminIdleTimeout, MaxHeaderBytes: adminHeaderBytes,
	}
	a.adminGuard.Limit(s)
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
