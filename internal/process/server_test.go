package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// daemonStub is a daemon that runs until its context ends.
type daemonStub struct{ ended chan struct{} }

func (d daemonStub) Run(ctx context.Context) error {
	<-ctx.Done()
	close(d.ended)
	return ctx.Err()
}

func (daemonStub) Stop(context.Context) error { return nil }
func (daemonStub) ControlBytes() uint64       { return 0 }

// Guards against a daemon that goes on serving without the server through which
// others reach it, when that server fails.
func TestDaemonEndsWithItsServer(t *testing.T) {
	c := qt.New(t)
	stub := daemonStub{make(chan struct{})}
	d := &daemonWithServer{Daemon: stub, address: "127.0.0.1:0", handler: http.NotFoundHandler(),
		listen: func(string, string) (net.Listener, error) { return failingListener{}, nil }}
	c.Check(d.Run(context.Background()), qt.ErrorIs, errAccept)
	<-stub.ended
}

var errAccept = errors.New("accept failed")

type failingListener struct{}

func (failingListener) Accept() (net.Conn, error) { return nil, errAccept }
func (failingListener) Close() error              { return nil }
func (failingListener) Addr() net.Addr            { return &net.TCPAddr{} }
