package rpcconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/wire"
)

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	Options
	// Dial opens the transport; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Connect dials the address and exchanges hellos. Its errors match ErrNotSent,
// because no call has been sent yet.
func (d *Dialer) Connect(ctx context.Context, address string) (*Client, error) {
	opts := d.withDefaults()
	dial := d.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			var nd net.Dialer
			return nd.DialContext(ctx, "tcp", address)
		}
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, withCause(ErrNotSent, withContextEnd(ctx, toConnError(err)))
	}
	meter := newMeteredConn(raw)
	// HelloTimeout bounds the exchange of hellos; closing the connection when
	// ctx ends can end it earlier.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn, err := startClientTLS(ctx, meter, address, opts)
	if err == nil {
		err = exchangeHelloAsClient(conn, opts)
	}
	if !stop() && err == nil {
		err = withCause(ErrClosed, ctx.Err())
	}
	if err != nil {
		_ = raw.Close()
		return nil, withCause(ErrNotSent, withContextEnd(ctx, err))
	}
	return newClient(newFrameConn(conn, meter, opts)), nil
}

// withContextEnd adds ErrTimeout or context.Canceled to err if ctx has ended.
func withContextEnd(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return withCause(ErrTimeout, err)
	case ctx.Err() != nil:
		return withCause(context.Canceled, err)
	}
	return err
}

func startClientTLS(ctx context.Context, c net.Conn, address string, o Options) (net.Conn, error) {
	if o.TLS == nil {
		return c, nil
	}
	t := tls.Client(c, clientTLS(o.TLS, address))
	_ = c.SetDeadline(time.Now().Add(o.HelloTimeout))
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, toConnError(err)
	}
	return t, nil
}

// Client makes calls over one connection. It is safe for concurrent use.
type Client struct {
	codec *clientCodec
	rpc   *rpc.Client
	calls atomic.Int64
	// writeToken is a semaphore of capacity 1 that is held while a request is
	// written. Calls wait for it instead of net/rpc's mutex, because the end of
	// their context can interrupt this wait.
	writeToken chan struct{}
}

func newClient(f *frameConn) *Client {
	cc := &clientCodec{frame: f, methods: map[uint64]string{}, done: make(chan struct{})}
	return &Client{codec: cc, rpc: rpc.NewClientWithCodec(cc), writeToken: make(chan struct{}, 1)}
}

// Outstanding returns the number of calls that wait for a reply.
func (c *Client) Outstanding() int { return int(c.calls.Load()) }

// LastReceived returns when the connection last received a byte; before the
// first byte, when the connection was opened.
func (c *Client) LastReceived() time.Time { return c.codec.frame.meter.received() }

// Done is closed when the connection is closed or broken.
func (c *Client) Done() <-chan struct{} { return c.codec.done }

// Close closes the connection. Calls that wait for a reply return ErrClosed.
func (c *Client) Close() error {
	if err := c.rpc.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		return toConnError(err)
	}
	return nil
}

// Ping makes an empty call, to check whether the connection still carries data.
func (c *Client) Ping(ctx context.Context) error {
	return c.Call(ctx, PingMethod, &wire.Empty{}, &wire.Empty{})
}

// States of a call. Either its writer or its caller takes it out of
// stateWaiting, never both, so a call that its caller abandoned in that state is
// never written.
const (
	stateWaiting int32 = iota
	stateWriting
	stateAbandoned
)

// outgoingCall is the argument that Call passes to the codec through net/rpc.
type outgoingCall struct {
	args  any
	state atomic.Int32
}

// Call sends a request and waits for its reply, the end of ctx or the end of
// the connection. Without a deadline in ctx, Options.CallTimeout applies. Call
// may still read args after it has returned an error, so the caller must not
// change them. Call sets reply only when it returns nil.
//
// Errors match ErrTimeout, ErrClosed, ErrTooLarge, ErrEncoding, ErrProtocol,
// context.Canceled or *RemoteError. They also match ErrNotSent if it is certain
// that the request was not sent.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	if d := c.codec.frame.opts.CallTimeout; d > 0 {
		if _, ok := ctx.Deadline(); !ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, d)
			defer cancel()
		}
	}
	c.calls.Add(1)
	defer c.calls.Add(-1)
	out := &outgoingCall{args: args}
	// The reply is decoded into a value of its own: one that arrives after the
	// call was abandoned must not overwrite memory that the caller uses again.
	target := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	select {
	case c.writeToken <- struct{}{}:
	case <-c.codec.done:
		return withCause(ErrNotSent, ErrClosed)
	case <-ctx.Done():
		return withCause(ErrNotSent, ctxError(ctx))
	}
	// net/rpc writes the request in the goroutine that calls Go. In this one, a
	// slow write would delay the end of the call by ctx.
	go func() {
		defer func() { <-c.writeToken }()
		c.rpc.Go(method, out, target.Interface(), done)
	}()
	select {
	case call := <-done:
		if call.Error != nil {
			return callError(method, call.Error, out)
		}
		reflect.ValueOf(reply).Elem().Set(target.Elem())
		return nil
	case <-ctx.Done():
		err := ctxError(ctx)
		if out.state.CompareAndSwap(stateWaiting, stateAbandoned) {
			err = withCause(ErrNotSent, err)
		}
		return err
	}
}

// ctxError returns the error of a call that ended because ctx did.
func ctxError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return withCause(ErrTimeout, ctx.Err())
	}
	return context.Canceled
}

// callError converts an error of net/rpc to the errors that Call documents.
func callError(method string, err error, out *outgoingCall) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		if string(remote) == replyTooLarge {
			return withCause(ErrTooLarge, &RemoteError{method, replyTooLarge})
		}
		return &RemoteError{Method: method, Message: string(remote)}
	}
	if errors.Is(err, rpc.ErrShutdown) {
		err = withCause(ErrClosed, err)
	}
	if !errors.Is(err, ErrClosed) && !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrTooLarge) {
		// net/rpc keeps only the text of an error of the codec that occurs while
		// a reply is read.
		err = withCause(ErrProtocol, err)
	}
	if out.state.Load() != stateWriting && !errors.Is(err, ErrNotSent) {
		err = withCause(ErrNotSent, err)
	}
	return err
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	frame         *frameConn
	currentHeader header
	currentSize   int

	mu      sync.Mutex
	methods map[uint64]string // methods of the outstanding calls, by sequence

	closeOnce sync.Once
	done      chan struct{}
}

// WriteRequest sends a request. net/rpc never calls it concurrently.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out, ok := body.(*outgoingCall)
	if !ok {
		return withCause(ErrNotSent, errors.New("request was not made by Client.Call"))
	}
	if !out.state.CompareAndSwap(stateWaiting, stateWriting) {
		return withCause(ErrNotSent, context.Canceled)
	}
	c.mu.Lock()
	c.methods[r.Seq] = r.ServiceMethod
	c.mu.Unlock()
	size, err := c.frame.write(header{Seq: r.Seq, Method: r.ServiceMethod}, out.args)
	if err != nil {
		c.takeMethod(r.Seq)
		return err
	}
	c.frame.opts.Counters.countSent(r.ServiceMethod, size)
	return nil
}

// ReadResponseHeader waits for a reply. It never returns io.EOF, because net/rpc
// would replace that by an error of its own.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, size, err := c.frame.read()
	if err != nil {
		_ = c.Close()
		return err
	}
	c.currentHeader, c.currentSize = h, size
	r.Seq, r.Error = h.Seq, h.Error
	method, known := c.takeMethod(h.Seq)
	if !known {
		_ = c.Close()
		return merry.Prependf(ErrProtocol, "reply has sequence %d, which no outstanding call has", h.Seq)
	}
	c.frame.opts.Counters.countReceived(method, size)
	return nil
}

// ReadResponseBody decodes the reply into body, or skips it when body is nil.
func (c *clientCodec) ReadResponseBody(body any) error {
	if c.currentHeader.Error != "" {
		return nil
	}
	err := c.frame.readBody(body)
	if err != nil {
		_ = c.Close()
	}
	return err
}

// Close closes the connection. Only the first call has an effect.
func (c *clientCodec) Close() error {
	var err error
	c.closeOnce.Do(func() {
		close(c.done)
		err = c.frame.conn.Close()
	})
	return err
}

// takeMethod removes a call from the outstanding ones and returns its method.
func (c *clientCodec) takeMethod(seq uint64) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.methods[seq]
	delete(c.methods, seq)
	return m, ok
}
