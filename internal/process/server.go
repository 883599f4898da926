package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/clientlimit"
)

const (
	// readHeaderTimeout limits the time that a client takes to send the header of a
	// request, readTimeout that for a whole request.
	readHeaderTimeout = 3 * time.Second
	readTimeout       = 15 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the header of a request. The processes that send
	// requests here set few fields.
	maxHeaderBytes = 16 << 10
)

// guarded is implemented by daemons that limit the connections of their HTTP servers.
type guarded interface{ AdminGuard() *clientlimit.Guard }

// daemonWithServer is a daemon with an HTTP server on one more address.
type daemonWithServer struct {
	Daemon
	address string
	handler http.Handler
	listen  func(network, address string) (net.Listener, error)
}

// WithServer returns a daemon that also serves HTTP requests at the address
// (IP:port) while it runs. It ends when d or the server ends, with the error of
// the first.
func WithServer(d Daemon, address string, handler http.Handler) Daemon {
	return &daemonWithServer{d, address, handler, net.Listen}
}

// Run runs the daemon and the server until either ends, ends the other one, and
// returns the error of the first.
func (d *daemonWithServer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := d.listen("tcp", d.address)
	if err != nil {
		return err
	}
	var guard *clientlimit.Guard
	if g, ok := d.Daemon.(guarded); ok {
		guard = g.AdminGuard()
	}
	server := &http.Server{
		Handler: d.handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	guard.Limit(server)
	failed := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := server.Serve(guard.Listener(l, nil)); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	ended := make(chan error, 1)
	wg.Go(func() { ended <- d.Daemon.Run(ctx) })
	select {
	case err = <-ended:
	case err = <-failed:
	}
	cancel()
	_ = server.Close()
	wg.Wait()
	return err
}
