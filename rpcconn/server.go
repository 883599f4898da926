package rpcconn

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/wire"
)

// replyTooLarge is the error text that a server sends if the reply to a call
// exceeds the size limit. Clients compare it and return ErrTooLarge.
const replyTooLarge = "reply exceeds the message size limit"

// acceptPause is the pause after a failed accept. It keeps a process that has no
// free file descriptors from using a whole processor for retries.
const acceptPause = 50 * time.Millisecond

// Server answers calls on the connections of its listeners.
type Server struct {
	opts     Options
	handlers map[string]handler

	mu     sync.Mutex
	active int           // number of calls that were read and are not answered yet
	idle   chan struct{} // closed while active is 0
}

// handler runs the calls of one method.
type handler struct {
	newArgs func() any
	run     func(ctx context.Context, args any) (any, error)
}

// NewServer returns a server that handles no method but PingMethod.
func NewServer(o Options) *Server {
	s := &Server{opts: o.withDefaults(), handlers: map[string]handler{}}
	s.idle = make(chan struct{})
	close(s.idle)
	Handle(s, PingMethod, func(context.Context, *wire.Empty, *wire.Empty) error { return nil })
	return s
}

// Handle registers fn as the handler of a method, which is named
// "Service.Method". The context of a call ends with its connection. Handlers run
// concurrently. A panic of a handler fails only its call. All handlers must be
// registered before Serve is called.
func Handle[A, R any](s *Server, method string, fn func(ctx context.Context, args *A, reply *R) error) {
	s.handlers[method] = handler{
		newArgs: func() any { return new(A) },
		run: func(ctx context.Context, args any) (any, error) {
			reply := new(R)
			err := fn(ctx, args.(*A), reply)
			return reply, err
		},
	}
}

// Serve accepts connections until ctx ends or the listener is closed. Then it
// closes all connections and waits for the handlers. It returns nil if ctx has
// ended, and otherwise an error that matches ErrClosed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			// Before the next accept, so that the descriptors stay within the limit.
			if limits, ok := s.opts.reserveConn(c); ok {
				wg.Go(func() { s.serveReserved(ctx, c, limits) })
			} else {
				_ = c.Close()
			}
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return withCause(ErrClosed, err)
		default:
			s.opts.Logger.Warn().Err(err).Msg("accept_failed")
			wait.For(ctx, acceptPause, nil)
		}
	}
}

// Drain waits until every call that was read has been answered. It returns
// ErrTimeout if ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return withCause(ErrTimeout, ctx.Err())
	}
}

// callReceived counts a call that was read, for Drain.
func (s *Server) callReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == 0 {
		s.idle = make(chan struct{})
	}
	s.active++
}

// callAnswered counts the end of a call that callReceived has counted.
func (s *Server) callAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.active == 0 {
		close(s.idle)
	}
}

// ServeConn answers calls on one connection until it or ctx ends.
func (s *Server) ServeConn(ctx context.Context, raw net.Conn) {
	limits, ok := s.opts.reserveConn(raw)
	if !ok {
		_ = raw.Close()
		return
	}
	s.serveReserved(ctx, raw, limits)
}

// serveReserved is ServeConn for a connection that is in the budget.
func (s *Server) serveReserved(ctx context.Context, raw net.Conn, limits *reservation) {
	defer limits.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	meter := newMeteredConn(raw)
	conn, err := s.startTLS(ctx, meter)
	if err == nil {
		err = exchangeHelloAsServer(conn, s.opts)
	}
	if err != nil {
		_ = raw.Close()
		s.opts.Logger.Info().Err(err).Str("peer", remoteAddress(raw)).Msg("hello_failed")
		return
	}
	limits.done()
	frame := newFrameConn(conn, meter, s.opts)
	frame.reservation = limits
	codec := &serverCodec{
		server: s, frame: frame, ctx: ctx, cancel: cancel,
		methods: map[uint64]string{}, peer: remoteAddress(raw), writeToken: make(chan struct{}, 1),
	}
	r := rpc.NewServer()
	// dispatcher meets the requirements of net/rpc, so this cannot fail.
	_ = r.RegisterName(dispatchService, dispatcher{s})
	r.ServeCodec(codec)
}

func (s *Server) startTLS(ctx context.Context, c net.Conn) (net.Conn, error) {
	if s.opts.TLS == nil {
		return c, nil
	}
	t := tls.Server(c, s.opts.TLS)
	_ = c.SetDeadline(time.Now().Add(s.opts.HelloTimeout))
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, toConnError(err)
	}
	return t, nil
}

func remoteAddress(c net.Conn) string {
	if a := c.RemoteAddr(); a != nil {
		return a.String()
	}
	return ""
}

// All methods go through one method of one net/rpc service, which recovers
// panics of handlers. net/rpc itself does not recover them.
const (
	dispatchService = "rpcconn"
	dispatchMethod  = dispatchService + ".Dispatch"
)

// unknownMethod is the name under which calls of methods without a handler are
// counted. With the name that the peer sent, a peer could make the counters grow
// without limit.
const unknownMethod = "unknown"

// dispatcher is the net/rpc service that runs the handlers of all methods.
type dispatcher struct{ server *Server }

// inboundCall is the argument of Dispatch: a decoded call and its handler.
type inboundCall struct {
	codec   *serverCodec
	method  string
	handler handler
	args    any
}

// Dispatch runs the handler of a call. Its parameters are pointers to
// interfaces, the only form in which net/rpc accepts values of any type.
func (d dispatcher) Dispatch(args *any, reply *any) (err error) {
	call, ok := (*args).(*inboundCall)
	if !ok {
		return errors.New("argument is not an inbound call")
	}
	defer func() {
		if r := recover(); r != nil {
			d.server.opts.Logger.Error().Str("method", call.method).Str("panic", fmt.Sprint(r)).
				Str("stack", string(debug.Stack())).Msg("handler_panic")
			err = errors.New("handler panic")
		}
	}()
	defer call.codec.beginWrite()
	*reply, err = call.handler.run(call.codec.ctx, call.args)
	return err
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	server        *Server
	frame         *frameConn
	ctx           context.Context
	cancel        context.CancelFunc
	peer          string
	currentHeader header

	mu      sync.Mutex
	methods map[uint64]string // methods of the calls that are not answered yet, by sequence

	// writeToken is a semaphore of capacity 1. It is acquired before net/rpc
	// locks its mutex for a reply, and released when the reply is written. In a
	// testing/synctest bubble a goroutine that waits for a mutex stops the
	// virtual time; one that waits for a channel does not.
	writeToken chan struct{}
}

func (c *serverCodec) beginWrite() { c.writeToken <- struct{}{} }
func (c *serverCodec) endWrite()   { <-c.writeToken }

// ReadRequestHeader waits for a request and directs it to the dispatcher. After
// an error net/rpc reads no further requests from the connection.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, size, err := c.frame.read()
	if err != nil {
		c.abort(err)
		return err
	}
	c.currentHeader = h
	r.Seq, r.ServiceMethod = h.Seq, h.Method
	method := h.Method
	if _, ok := c.server.handlers[method]; ok {
		r.ServiceMethod = dispatchMethod
	} else {
		method = unknownMethod
		r.ServiceMethod = dispatchService + ".Unknown"
	}
	c.mu.Lock()
	_, twice := c.methods[h.Seq]
	c.methods[h.Seq] = method
	c.mu.Unlock()
	if twice {
		err := withCause(ErrProtocol, errors.New("request has the sequence of a call that is not answered yet"))
		c.abort(err)
		return err
	}
	c.server.callReceived()
	c.server.opts.Counters.countReceived(method, size)
	return nil
}

// ReadRequestBody decodes the arguments of the current request. If the method
// has no handler, or if this returns an error, net/rpc writes a reply without
// calling Dispatch, so this acquires the write token instead.
func (c *serverCodec) ReadRequestBody(body any) error {
	defer c.frame.reservation.callOpen() // after the body, which ends the use of the reservation
	target, ok := body.(*any)
	if !ok {
		defer c.beginWrite()
		return c.frame.readBody(nil)
	}
	h := c.server.handlers[c.currentHeader.Method]
	args := h.newArgs()
	if err := c.frame.readBody(args); err != nil {
		c.beginWrite()
		return err
	}
	*target = &inboundCall{codec: c, method: c.currentHeader.Method, handler: h, args: args}
	return nil
}

// reportAnswered tells the limits if no call is open.
func (c *serverCodec) reportAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.methods) == 0 {
		c.frame.reservation.callsAnswered()
	}
}

// WriteResponse sends a reply. net/rpc never calls it concurrently.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.server.callAnswered()
	defer c.endWrite()
	defer c.reportAnswered()
	c.mu.Lock()
	method := c.methods[r.Seq]
	delete(c.methods, r.Seq)
	c.mu.Unlock()
	if err := c.ctx.Err(); err != nil {
		// The end of the context may have interrupted the handler, so its
		// reply must not be sent as if the handler had finished. A planned stop
		// calls Drain first, which waits for all replies.
		return withCause(ErrClosed, err)
	}
	h := header{Seq: r.Seq, Error: r.Error}
	if method == unknownMethod {
		h.Error = "unknown method"
	}
	var reply any
	if p, ok := body.(*any); ok && r.Error == "" {
		reply = *p
	}
	size, err := c.frame.write(h, reply)
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrEncoding) {
		c.server.opts.Logger.Error().Err(err).Str("method", method).Msg("reply_not_sent")
		h.Error = replyTooLarge
		if errors.Is(err, ErrEncoding) {
			h.Error = "reply cannot be encoded"
		}
		size, err = c.frame.write(h, nil)
	}
	if err != nil {
		c.abort(err)
		return err
	}
	c.server.opts.Counters.countSent(method, size)
	return nil
}

// Close closes the connection and ends the contexts of its handlers.
func (c *serverCodec) Close() error {
	c.cancel()
	return c.frame.conn.Close()
}

// abort closes the connection because of an error, which it logs unless the
// server was already closing the connection.
func (c *serverCodec) abort(err error) {
	if c.ctx.Err() == nil {
		c.server.opts.Logger.Debug().Err(err).Str("peer", c.peer).Msg("connection_ended")
	}
	_ = c.Close()
}
