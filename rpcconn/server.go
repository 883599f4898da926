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

// replyTooLarge is the error of a call whose reply exceeds the size limit.
const replyTooLarge = "reply exceeds the message size limit"

// acceptPause is the pause after a failed accept, so that a process without
// free file descriptors does not spin.
const acceptPause = 50 * time.Millisecond

// Server answers calls on the connections of its listeners.
type Server struct {
	opts     Options
	handlers map[string]handler

	mu     sync.Mutex
	active int           // calls read whose reply is not yet written
	idle   chan struct{} // closed when active is 0
}

// handler decodes and runs one method.
type handler struct {
	newArgs func() any
	run     func(ctx context.Context, args any) (any, error)
}

// NewServer returns a server without methods other than PingMethod.
func NewServer(o Options) *Server {
	s := &Server{opts: o.withDefaults(), handlers: map[string]handler{}}
	s.idle = make(chan struct{})
	close(s.idle)
	Handle(s, PingMethod, func(context.Context, *wire.Empty, *wire.Empty) error { return nil })
	return s
}

// Handle registers fn for the method, named "Service.Method". The context ends
// with the connection. Handlers run concurrently; a panic fails only its call.
// Register everything before Serve.
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

// Serve accepts connections until ctx ends or the listener is closed, then
// closes all connections and waits for the handlers. It returns nil after ctx
// ended.
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
			wg.Go(func() { s.ServeConn(ctx, c) })
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

// Drain waits until every call that was read has been answered.
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

func (s *Server) callReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == 0 {
		s.idle = make(chan struct{})
	}
	s.active++
}

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
	codec := &serverCodec{
		server: s, frame: newFrameConn(conn, meter, s.opts), ctx: ctx, cancel: cancel,
		methods: map[uint64]string{}, peer: remoteAddress(raw), writeToken: make(chan struct{}, 1),
	}
	r := rpc.NewServer()
	// The name and signature suit net/rpc, so registration cannot fail.
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

// All methods go through one net/rpc service, because net/rpc offers no place
// to recover a handler's panic.
const (
	dispatchService = "rpcconn"
	dispatchMethod  = dispatchService + ".Dispatch"
)

// unknownMethod stands for all methods without a handler, so that a peer cannot
// make the counters grow.
const unknownMethod = "unknown"

// dispatcher is the only net/rpc service.
type dispatcher struct{ server *Server }

// inboundCall is one call on its way through net/rpc.
type inboundCall struct {
	codec   *serverCodec
	method  string
	handler handler
	args    any
}

// Dispatch runs a call's handler. Its parameters are the only form that
// net/rpc accepts for values of any type.
func (d dispatcher) Dispatch(args *any, reply *any) (err error) {
	call, ok := (*args).(*inboundCall)
	if !ok {
		return errors.New("no call")
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
	methods map[uint64]string // of calls without a reply, by sequence

	// writeToken holds a token from before net/rpc locks its mutex for a reply
	// until the reply is written. A goroutine that waits for a mutex stops
	// the virtual time of tests, one that waits for the token does not.
	writeToken chan struct{}
}

func (c *serverCodec) beginWrite() { c.writeToken <- struct{}{} }
func (c *serverCodec) endWrite()   { <-c.writeToken }

// ReadRequestHeader waits for a request and directs it to the dispatcher. An
// error ends net/rpc's loop.
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
		err := withCause(ErrProtocol, errors.New("sequence used twice"))
		c.abort(err)
		return err
	}
	c.server.callReceived()
	c.server.opts.Counters.countReceived(method, size)
	return nil
}

// ReadRequestBody decodes the arguments of the current request. When there is
// no handler or an error is returned, net/rpc replies next.
func (c *serverCodec) ReadRequestBody(body any) error {
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

// WriteResponse sends a reply; net/rpc serialises the calls.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.server.callAnswered()
	defer c.endWrite()
	c.mu.Lock()
	method := c.methods[r.Seq]
	delete(c.methods, r.Seq)
	c.mu.Unlock()
	if err := c.ctx.Err(); err != nil {
		// A handler that the end of its context interrupted must not seem to
		// have finished. Drain waits for replies before a planned stop.
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

// Close ends the connection.
func (c *serverCodec) Close() error {
	c.cancel()
	return c.frame.conn.Close()
}

// abort closes the connection and ends the contexts of its handlers.
func (c *serverCodec) abort(err error) {
	if c.ctx.Err() == nil {
		c.server.opts.Logger.Debug().Err(err).Str("peer", c.peer).Msg("connection_ended")
	}
	_ = c.Close()
}
