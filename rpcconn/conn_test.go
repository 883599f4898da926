package rpcconn

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/wire"
)

const (
	clientHost = "10.0.0.1"
	serverHost = "10.0.0.2"
	address    = serverHost + ":7000"
)

// fixture is a server with a few methods on a network that can inject faults.
type fixture struct {
	*qt.C
	net      *faultnet.Network
	server   *Server
	counters *Counters // of the client side
	runs     atomic.Int32
	release  chan struct{} // Agent.Wait returns when it is closed
	stop     context.CancelFunc
}

// inVirtualTime runs the test once for each codec, in virtual time and with a new
// server.
func inVirtualTime(t *testing.T, o Options, test func(f *fixture)) {
	for _, codec := range []Codec{CodecGob, CodecMsgpack} {
		t.Run(string(codec), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := o
				o.Codec = codec
				f := &fixture{C: qt.New(t), net: faultnet.New(), counters: NewCounters(), release: make(chan struct{})}
				f.server = NewServer(o)
				f.handlers()
				l, err := f.net.Listen(address)
				f.Assert(err, qt.IsNil)
				ctx, cancel := context.WithCancel(context.Background())
				f.stop = cancel
				done := make(chan error, 1)
				go func() { done <- f.server.Serve(ctx, l) }()
				test(f)
				cancel()
				f.Check(<-done, qt.IsNil)
			})
		})
	}
}

func (f *fixture) handlers() {
	Handle(f.server, "Agent.Run", func(_ context.Context, in *wire.RunRequest, out *wire.RunReply) error {
		f.runs.Add(1)
		out.Result = wire.Result{Outcome: wire.OutcomeDone, Detail: in.Task.Job, Took: in.Task.Remaining,
			Response: wire.Response{Header: in.Task.Request.Header, Body: in.Task.Request.Body}}
		return nil
	})
	Handle(f.server, "Agent.Fail", func(context.Context, *wire.Empty, *wire.Empty) error { return errors.New("no such thing") })
	Handle(f.server, "Agent.Panic", func(context.Context, *wire.Empty, *wire.Empty) error { panic("fault") })
	Handle(f.server, "Agent.Wait", func(ctx context.Context, _ *wire.Empty, out *wire.Response) error {
		select {
		case <-f.release:
		case <-ctx.Done():
		}
		out.Status = 1
		return nil
	})
	Handle(f.server, "Agent.Large", func(_ context.Context, _ *wire.Empty, out *wire.Response) error {
		out.Body = make([]byte, 2<<20)
		return nil
	})
}

func (f *fixture) connect(o Options) *Client {
	o.Codec, o.Counters = f.server.opts.Codec, f.counters
	d := Dialer{Options: o, Dial: f.net.Dialer(clientHost)}
	cl, err := d.Connect(context.Background(), address)
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = cl.Close() })
	return cl
}

func (f *fixture) run(cl *Client, body []byte) (wire.RunReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var out wire.RunReply
	in := wire.RunRequest{Task: wire.Task{Job: "j", Remaining: time.Second, Request: wire.Request{
		Header: []wire.Header{{Name: "A", Value: "1"}, {Name: "A", Value: "2"}}, Body: body}}}
	err := cl.Call(ctx, "Agent.Run", &in, &out)
	return out, err
}

// Guards against fields that a codec drops or changes.
func TestCallCarriesValuesUnchanged(t *testing.T) {
	inVirtualTime(t, Options{}, func(f *fixture) {
		cl := f.connect(Options{})
		for range 3 { // gob sends type definitions only in the first message
			out, err := f.run(cl, []byte("body"))
			f.Assert(err, qt.IsNil)
			f.Check(out.Result, qt.DeepEquals, wire.Result{Outcome: wire.OutcomeDone, Detail: "j", Took: time.Second,
				Response: wire.Response{Header: []wire.Header{{Name: "A", Value: "1"}, {Name: "A", Value: "2"}}, Body: []byte("body")}})
		}
		f.Check(cl.Ping(context.Background()), qt.IsNil)
	})
}

// Guards against a failed call that closes the connection or crashes the
// process, and against one that matches ErrNotSent although it was sent.
func TestFailedCalls(t *testing.T) {
	small := Options{MaxMessageBytes: 1 << 20}
	inVirtualTime(t, small, func(f *fixture) {
		for _, tc := range []struct {
			name    string
			call    func(cl *Client) error
			is      []error
			notSent bool
			message string
		}{
			{name: "handler error", call: func(cl *Client) error {
				return cl.Call(context.Background(), "Agent.Fail", &wire.Empty{}, &wire.Empty{})
			}, message: "Agent.Fail: no such thing"},
			{name: "handler panic", call: func(cl *Client) error {
				return cl.Call(context.Background(), "Agent.Panic", &wire.Empty{}, &wire.Empty{})
			}, message: "handler panic"},
			{name: "unknown method", call: func(cl *Client) error {
				return cl.Call(context.Background(), "Agent.None", &wire.Empty{}, &wire.Empty{})
			}, message: "unknown method"},
			{name: "request too large", call: func(cl *Client) error {
				_, err := f.run(cl, make([]byte, 2<<20))
				return err
			}, is: []error{ErrTooLarge}, notSent: true},
			{name: "reply too large", call: func(cl *Client) error {
				return cl.Call(context.Background(), "Agent.Large", &wire.Empty{}, &wire.Response{})
			}, is: []error{ErrTooLarge}},
			{name: "cannot be encoded", call: func(cl *Client) error {
				return cl.Call(context.Background(), "Agent.Run", func() {}, &wire.Empty{})
			}, is: []error{ErrEncoding}, notSent: true},
			{name: "deadline", call: func(cl *Client) error {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				return cl.Call(ctx, "Agent.Wait", &wire.Empty{}, &wire.Response{})
			}, is: []error{ErrTimeout, context.DeadlineExceeded}},
			{name: "cancelled", call: func(cl *Client) error {
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(time.Second, cancel)
				return cl.Call(ctx, "Agent.Wait", &wire.Empty{}, &wire.Response{})
			}, is: []error{context.Canceled}},
		} {
			if tc.name == "cannot be encoded" && f.server.opts.Codec == CodecMsgpack {
				continue // msgpack encodes a function as nil
			}
			cl := f.connect(small)
			err := tc.call(cl)
			f.Assert(err, qt.IsNotNil, qt.Commentf(tc.name))
			for _, want := range tc.is {
				f.Check(err, qt.ErrorIs, want, qt.Commentf(tc.name))
			}
			f.Check(errors.Is(err, ErrNotSent), qt.Equals, tc.notSent, qt.Commentf(tc.name))
			f.Check(strings.Contains(err.Error(), tc.message), qt.IsTrue, qt.Commentf("%s: %v", tc.name, err))
			_, err = f.run(cl, nil)
			f.Check(err, qt.IsNil, qt.Commentf("call after %s", tc.name))
		}
	})
}

// Guards against calls that never return when their connection breaks, or that
// match ErrNotSent although they were sent.
func TestBrokenConnections(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(f *fixture, cl *Client)
		is    error
	}{
		{"cut", func(f *fixture, _ *Client) { f.net.Cut(clientHost, serverHost) }, ErrClosed},
		{"frozen", func(f *fixture, _ *Client) { f.net.Freeze(clientHost, serverHost) }, ErrTimeout},
		{"closed here", func(_ *fixture, cl *Client) { _ = cl.Close() }, ErrClosed},
		{"closed there", func(f *fixture, _ *Client) { f.stop() }, ErrClosed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inVirtualTime(t, Options{}, func(f *fixture) {
				cl := f.connect(Options{})
				time.AfterFunc(time.Second, func() { tc.fault(f, cl) })
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				err := cl.Call(ctx, "Agent.Wait", &wire.Empty{}, &wire.Response{})
				f.Check(err, qt.ErrorIs, tc.is)
				f.Check(errors.Is(err, ErrNotSent), qt.IsFalse)
				if errors.Is(tc.is, ErrClosed) {
					<-cl.Done()
					_, err = f.run(cl, nil)
					f.Check(err, qt.ErrorIs, ErrNotSent)
					f.Check(err, qt.ErrorIs, ErrClosed)
				}
			})
		})
	}
}

// Guards against a connection that no longer carries data and is taken for a
// working one. Also guards against a large write that delays other calls past
// their deadlines, or after which an abandoned call is still written.
func TestFrozenConnectionTimesOutWrites(t *testing.T) {
	inVirtualTime(t, Options{}, func(f *fixture) {
		cl := f.connect(Options{WriteTimeout: 3 * time.Second})
		_, err := f.run(cl, nil)
		f.Assert(err, qt.IsNil)
		f.Check(time.Since(cl.LastReceived()), qt.Equals, time.Duration(0))
		f.net.Freeze(clientHost, serverHost)
		begin := time.Now()
		large := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			in := wire.RunRequest{Task: wire.Task{Request: wire.Request{Body: make([]byte, 1<<20)}}}
			large <- cl.Call(ctx, "Agent.Run", &in, &wire.RunReply{})
		}()
		synctest.Wait()
		_, err = f.run(cl, nil)
		f.Check(err, qt.ErrorIs, ErrTimeout)
		f.Check(err, qt.ErrorIs, ErrNotSent)
		f.Check(time.Since(begin), qt.Equals, time.Second)
		f.Check(time.Since(cl.LastReceived()), qt.Equals, time.Second)

		err = <-large
		f.Check(err, qt.ErrorIs, ErrTimeout)
		f.Check(errors.Is(err, ErrNotSent), qt.IsFalse)
		f.Check(time.Since(begin), qt.Equals, 3*time.Second)
		f.Check(f.runs.Load(), qt.Equals, int32(1))
		_, err = f.run(f.connect(Options{}), nil)
		f.Check(err, qt.IsNil)
	})
}

// Guards against writing a call that its caller abandoned while it waited for
// another call's write, once the connection carries data again.
func TestAbandonedCallIsNeverWritten(t *testing.T) {
	inVirtualTime(t, Options{}, func(f *fixture) {
		cl := f.connect(Options{WriteTimeout: 10 * time.Second})
		f.net.Drop(clientHost, serverHost)
		large := make(chan error, 1)
		go func() {
			in := wire.RunRequest{Task: wire.Task{Request: wire.Request{Body: make([]byte, 1<<20)}}}
			large <- cl.Call(context.Background(), "Agent.Run", &in, &wire.RunReply{})
		}()
		synctest.Wait()
		_, err := f.run(cl, nil)
		f.Check(err, qt.ErrorIs, ErrNotSent)
		f.net.Heal(clientHost, serverHost)
		f.Check(<-large, qt.IsNil)
		time.Sleep(time.Second)
		f.Check(f.runs.Load(), qt.Equals, int32(1))
	})
}

// Guards against a late reply overwriting memory that the caller uses again.
func TestLateReplyIsDiscarded(t *testing.T) {
	inVirtualTime(t, Options{}, func(f *fixture) {
		cl := f.connect(Options{CallTimeout: time.Second})
		var out wire.Response
		err := cl.Call(context.Background(), "Agent.Wait", &wire.Empty{}, &out)
		f.Check(err, qt.ErrorIs, ErrTimeout)
		close(f.release)
		synctest.Wait()
		f.Check(out, qt.DeepEquals, wire.Response{})
		f.Check(cl.Call(context.Background(), "Agent.Wait", &wire.Empty{}, &out), qt.IsNil)
		f.Check(out.Status, qt.Equals, 1)
	})
}

// Guards against a stopping process that closes connections before it has
// answered all calls.
func TestDrainWaitsForReplies(t *testing.T) {
	inVirtualTime(t, Options{}, func(f *fixture) {
		cl := f.connect(Options{})
		f.Check(f.server.Drain(context.Background()), qt.IsNil)
		answered := make(chan error, 1)
		go func() { answered <- cl.Call(context.Background(), "Agent.Wait", &wire.Empty{}, &wire.Response{}) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		f.Check(f.server.Drain(ctx), qt.ErrorIs, ErrTimeout)
		close(f.release)
		f.Check(f.server.Drain(context.Background()), qt.IsNil)
		f.stop()
		f.Check(<-answered, qt.IsNil)
	})
}

// Guards against exchanging messages with a peer that uses another protocol
// version or codec.
func TestHelloRefusesMismatch(t *testing.T) {
	inVirtualTime(t, Options{}, func(f *fixture) {
		other := CodecMsgpack
		if f.server.opts.Codec == other {
			other = CodecGob
		}
		for _, o := range []Options{{Codec: other}, {Codec: f.server.opts.Codec, Version: 2}} {
			d := Dialer{Options: o, Dial: f.net.Dialer(clientHost)}
			_, err := d.Connect(context.Background(), address)
			f.Check(err, qt.ErrorIs, ErrVersion)
			f.Check(err, qt.ErrorIs, ErrNotSent)
		}
		d := Dialer{Options: Options{Codec: "xml"}, Dial: f.net.Dialer(clientHost)}
		_, err := d.Connect(context.Background(), address)
		f.Check(err, qt.ErrorMatches, `.*"xml" is not one of gob, msgpack.*`)
		f.net.Cut(clientHost, serverHost)
		d.Codec = f.server.opts.Codec
		_, err = d.Connect(context.Background(), address)
		f.Check(err, qt.ErrorIs, ErrNotSent)
	})
}

// Guards against waiting without limit for a peer that accepts connections but
// sends nothing.
func TestHelloTimesOut(t *testing.T) {
	inVirtualTime(t, Options{}, func(f *fixture) {
		_, err := f.net.Listen(serverHost + ":7001")
		f.Assert(err, qt.IsNil)
		d := Dialer{Options: Options{HelloTimeout: 2 * time.Second}, Dial: f.net.Dialer(clientHost)}
		begin := time.Now()
		_, err = d.Connect(context.Background(), serverHost+":7001")
		f.Check(err, qt.ErrorIs, ErrTimeout)
		f.Check(time.Since(begin), qt.Equals, 2*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = d.Connect(ctx, serverHost+":7001")
		f.Check(err, qt.ErrorIs, ErrTimeout)
		f.Check(time.Since(begin), qt.Equals, 3*time.Second)
	})
}

// Guards against counting task traffic as control traffic, and against counts
// that differ between the two sides of a connection.
func TestCountersSeparateControlFromTasks(t *testing.T) {
	counters := NewCounters()
	inVirtualTime(t, Options{Counters: counters}, func(f *fixture) {
		before := counters.ByMethod()["Agent.Run"]
		cl := f.connect(Options{})
		_, err := f.run(cl, make([]byte, 1000))
		f.Assert(err, qt.IsNil)
		f.Assert(cl.Ping(context.Background()), qt.IsNil)
		run, after := f.counters.ByMethod()["Agent.Run"], counters.ByMethod()["Agent.Run"]
		f.Check(run.MessagesSent, qt.Equals, uint64(1))
		f.Check(run.BytesSent > 1000 && run.BytesSent < 2000, qt.IsTrue, qt.Commentf("%+v", run))
		f.Check(after.BytesReceived-before.BytesReceived, qt.Equals, run.BytesSent)
		f.Check(after.BytesSent-before.BytesSent, qt.Equals, run.BytesReceived)
		f.Check(f.counters.Total(KindTask), qt.Equals, run)
		f.Check(f.counters.Total(KindControl).MessagesSent, qt.Equals, uint64(2)) // hello and ping
	})
}
