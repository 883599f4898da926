package httpstore_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/store/httpstore"
	"chicorytray.example/chicorytray/store/storetest"
)

const address = "http://127.0.0.1:7000"

// pipeListener is a listener whose connections are in-memory pipes, with which
// HTTP works in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{make(chan net.Conn), make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serveHTTP serves the handler and returns a client of it. The functions wrap are
// applied to each connection of the client.
func serveHTTP(t *testing.T, h http.Handler, o httpstore.Options, wrap ...func(net.Conn) net.Conn) *httpstore.Client {
	t.Helper()
	l := newPipeListener()
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(l) }()
	o.URL, o.Dial = address, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := l.dial(ctx, address)
		for _, w := range wrap {
			conn = w(conn)
		}
		return conn, err
	}
	client, err := httpstore.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
		<-done
	})
	return client
}

// Guards against a client that breaks the contract of store.Store, above all by
// errors that do not say what happened to a call.
func TestContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Fixture {
		stub := storestub.New()
		client := serveHTTP(t, stub.Handler(), httpstore.Options{CallTimeout: time.Minute})
		return storetest.Fixture{Store: client, Stub: stub}
	})
}

// Guards against reporting a write as done or as not done when its answer is
// truncated, malformed or may be that of a proxy.
func TestDoubtfulAnswers(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"key\":\"a\""},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"no answer", ""},
		{"not JSON", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"gateway error", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"},
		{"unavailable from a gateway", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"},
		{"conflict from a gateway", "HTTP/1.1 409 Conflict\r\nContent-Length: 18\r\n\r\n{\"message\":\"busy\"}"},
		{"code and status differ", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"error\":\"conflict\"}"},
		{"empty success", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
		{"success of another call", "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"key\":\"b\"}  "},
		{"redirect", "HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/key?key=b\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var requests atomic.Int32
				client := rawClient(t, func(conn net.Conn) {
					requests.Add(1)
					_, _ = conn.Write([]byte(test.answer))
				})
				_, err := client.CompareAndSwap(context.Background(), "a", 0, []byte("1"), 0)
				c.Check(err, qt.ErrorIs, store.ErrUnknownOutcome)
				c.Check(errors.Is(err, store.ErrUnavailable), qt.IsFalse)
				c.Check(requests.Load(), qt.Equals, int32(1))
				_, err = client.Get(context.Background(), "a")
				c.Check(err, qt.ErrorIs, store.ErrUnavailable)
				err = client.Verify(context.Background(), "a", 0)
				c.Check(err, qt.ErrorIs, store.ErrUnavailable)
			})
		})
	}
}

// rawClient returns a client of a server that reads one request on each connection,
// answers it and closes the connection.
func rawClient(t *testing.T, answer func(net.Conn)) *httpstore.Client {
	t.Helper()
	client, err := httpstore.New(httpstore.Options{URL: address, Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if request, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = request.Body.Read(make([]byte, 4096))
				answer(far)
			}
		}()
		return near, nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// Guards against net/http sending a write twice, or the client reporting it as
// not sent, when a kept-alive connection breaks during the write.
func TestWriteOnBrokenKeptAliveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var writes atomic.Int32
		stub := storestub.New()
		inner := stub.Handler()
		client := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				inner.ServeHTTP(w, r)
				return
			}
			writes.Add(1)
			panic(http.ErrAbortHandler)
		}), httpstore.Options{})
		for i, write := range []func() error{
			func() error {
				_, err := client.CompareAndSwap(context.Background(), "a", 0, nil, 0)
				return err
			},
			func() error { return client.Delete(context.Background(), "a", 1) },
			func() error { return client.KeepAlive(context.Background(), 1) },
		} {
			_, err := client.Get(context.Background(), "a")
			c.Assert(err, qt.ErrorIs, store.ErrNotFound)
			c.Check(write(), qt.ErrorIs, store.ErrUnknownOutcome)
			c.Check(writes.Load(), qt.Equals, int32(i+1))
		}
		c.Check(client.Stats().Unknown, qt.Equals, uint64(3))
	})
}

// Guards against reporting ErrUnknownOutcome for a write that was certainly not
// sent. Its caller would then have to find out an outcome that is already known.
func TestNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dials := map[string]func(context.Context) (net.Conn, error){
			"refused": func(context.Context) (net.Conn, error) { return nil, errors.New("refused") },
			"no reply": func(ctx context.Context) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
			"closed before the first byte": func(context.Context) (net.Conn, error) {
				return failingWriteConn{closed: make(chan struct{})}, nil
			},
		}
		want := map[string]error{
			"refused": store.ErrUnavailable, "no reply": store.ErrUnavailable,
			// A failed Write does not prove that nothing was transmitted.
			"closed before the first byte": store.ErrUnknownOutcome,
		}
		for name, dial := range dials {
			client, err := httpstore.New(httpstore.Options{URL: address,
				Dial: func(ctx context.Context, _ string) (net.Conn, error) { return dial(ctx) }})
			c.Assert(err, qt.IsNil)
			start := time.Now()
			_, err = client.CompareAndSwap(context.Background(), "a", 0, nil, 0)
			c.Check(err, qt.ErrorIs, want[name], qt.Commentf(name))
			c.Check(time.Since(start) <= httpstore.DefaultCallTimeout, qt.IsTrue, qt.Commentf(name))
			client.Close()
		}
	})
}

// failingWriteConn is a connection that receives nothing and fails every write.
type failingWriteConn struct {
	net.Conn
	closed chan struct{}
}

func (failingWriteConn) Write([]byte) (int, error)  { return 0, errors.New("broken pipe") }
func (w failingWriteConn) Read([]byte) (int, error) { <-w.closed; return 0, net.ErrClosed }
func (w failingWriteConn) Close() error             { close(w.closed); return nil }

// Guards against a process that makes more calls per second than its budget, and
// against calls that wait for the budget beyond their deadline.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stub := storestub.New()
		stub.Put("a", nil)
		client := serveHTTP(t, stub.Handler(), httpstore.Options{MaxCallsPerSecond: 10, CallTimeout: 2 * time.Second})
		start := time.Now()
		for range 30 {
			_, err := client.Get(context.Background(), "a")
			c.Assert(err, qt.IsNil)
		}
		c.Check(time.Since(start).Round(time.Millisecond), qt.Equals, 2*time.Second)

		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := client.CompareAndSwap(ctx, "b", 0, nil, 0)
		c.Check(err, qt.ErrorIs, store.ErrUnavailable)
		c.Check(stub.TotalCalls(), qt.Equals, 30)
		c.Check(client.Stats().OverBudget, qt.Equals, uint64(1))
	})
}

// freezableConn is a connection that can stop carrying data without breaking.
type freezableConn struct {
	net.Conn
	frozen *atomic.Bool
}

func (f freezableConn) Write(b []byte) (int, error) {
	if f.frozen.Load() {
		return len(b), nil
	}
	return f.Conn.Write(b)
}

// Guards against a time-out of one call on each open connection after all of them
// have stopped carrying data. The configuration would not be confirmed for
// seconds.
func TestFrozenConnectionsCostOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stub := storestub.New()
		stub.Put("a", nil)
		stub.SetLatency(10 * time.Millisecond)
		frozen := new(atomic.Bool)
		client := serveHTTP(t, stub.Handler(), httpstore.Options{}, func(conn net.Conn) net.Conn { return freezableConn{conn, frozen} })
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() { _, _ = client.Get(context.Background(), "a") })
		}
		group.Wait()
		frozen.Store(true)
		frozen = new(atomic.Bool) // for new connections
		began := time.Now()
		_, err := client.CompareAndSwap(context.Background(), "b", 0, nil, 0)
		c.Check(err, qt.ErrorIs, store.ErrUnknownOutcome)
		c.Check(time.Since(began), qt.Equals, httpstore.DefaultCallTimeout)
		_, err = client.Get(context.Background(), "a")
		c.Check(err, qt.IsNil)
	})
}

// Guards against accepting options with which the first call would fail.
func TestNewRefusesBadURLs(t *testing.T) {
	c := qt.New(t)
	for _, u := range []string{"", "127.0.0.1:7000", "http://store.example:7000", "http://127.0.0.1", "ftp://127.0.0.1:1", "http://127.0.0.1:7000/v1"} {
		_, err := httpstore.New(httpstore.Options{URL: u})
		c.Check(err, qt.IsNotNil, qt.Commentf(u))
		c.Check(err == nil || strings.HasPrefix(err.Error(), "httpstore: URL"), qt.IsTrue)
	}
	_, err := httpstore.New(httpstore.Options{URL: "https://[::1]:7000"})
	c.Check(err, qt.IsNil)
	_, err = httpstore.New(httpstore.Options{URL: address, MaxCallsPerSecond: -1})
	c.Check(err, qt.IsNotNil)
}
