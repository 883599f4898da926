package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// readHeaderTimeout limits the time that a client takes to send the header of a
// request.
const readHeaderTimeout = 3 * time.Second

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
	server := &http.Server{Handler: d.handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
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
