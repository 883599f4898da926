package lifeconn

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/jsonhttp"
	"chicorytray.example/chicorytray/lease"
)

// jsonOrders sends each order as JSON to a path of its own.
type jsonOrders struct{ url string }

func (j jsonOrders) call(ctx context.Context, c *http.Client, path string, order, reply any) error {
	_, data, err := jsonhttp.Exchange(ctx, c, http.MethodPost, j.url+path, nil, order)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, reply)
}

func (j jsonOrders) Start(ctx context.Context, c *http.Client, o lease.StartOrder) (a lease.Answer, err error) {
	return a, j.call(ctx, c, "/start", o, &a)
}

func (j jsonOrders) Stop(ctx context.Context, c *http.Client, o lease.StopOrder) (a lease.Answer, err error) {
	return a, j.call(ctx, c, "/stop", o, &a)
}

func (j jsonOrders) Renew(ctx context.Context, c *http.Client, o lease.RenewOrder) (r lease.RenewReply, err error) {
	err = j.call(ctx, c, "/renew", o, &r)
	return r, err
}

// process is one process of a worker. It records what it is asked.
type process struct {
	server *http.Server
	mu     sync.Mutex
	starts int
	renews []lease.RenewOrder
	reply  lease.RenewReply
	silent bool // ends connections instead of answering

	accepted     int           // number of connections so far
	silentBefore int           // requests over connections accepted before this one get no answer
	swallowed    chan struct{} // gets a value for each of these
}

// connKey is the key of a connection's number in the context of its requests.
type connKey struct{}

// number is the http.Server.ConnContext of the process.
func (p *process) number(ctx context.Context, _ net.Conn) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted++
	return context.WithValue(ctx, connKey{}, p.accepted)
}

// set changes the process between two orders.
func (p *process) set(change func(p *process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reply any = lease.Answer{}
	if r.URL.Path == "/start" {
		p.starts++
	} else {
		var o lease.RenewOrder
		_ = json.NewDecoder(r.Body).Decode(&o)
		p.renews, reply = append(p.renews, o), p.reply
	}
	if p.silent {
		panic(http.ErrAbortHandler)
	}
	if number, _ := r.Context().Value(connKey{}).(int); number < p.silentBefore {
		p.swallowed <- struct{}{}
		p.mu.Unlock()
		<-r.Context().Done()
		p.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// listen starts a process with the given birth at the address.
func listen(c *qt.C, address string, born int64) (*process, string) {
	l, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	p := &process{reply: lease.RenewReply{Born: born}, swallowed: make(chan struct{}, 100)}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute, ConnContext: p.number}
	go func() { _ = p.server.Serve(l) }()
	c.Cleanup(func() { _ = p.server.Close() })
	return p, l.Addr().String()
}

// Guards against an order that reaches the next process at the worker's address,
// which would start a run, extend a lease or forget ends that it was not asked for.
func TestOrdersReachNoOtherProcess(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	first, address := listen(c, "127.0.0.1:0", 5)
	w := New(jsonOrders{"http://" + address}, 4, time.Second)
	defer w.Close()
	for range 3 {
		_, err := w.Start(ctx, lease.StartOrder{Born: 5, Token: 7})
		c.Assert(err, qt.IsNil)
	}
	first.set(func(p *process) {
		c.Check(p.starts, qt.Equals, 3)
		c.Check(p.renews, qt.DeepEquals, []lease.RenewOrder{{Token: 7}}, qt.Commentf("one list for the connection"))
	})
	c.Assert(first.server.Close(), qt.IsNil)
	second, _ := listen(c, address, 6)
	// The end of a connection to the first process may not have arrived yet. Such a
	// renewal fails and uses up its connection.
	var reply lease.RenewReply
	var err error
	for range 2 + maxSpares {
		reply, err = w.Renew(ctx, lease.RenewOrder{Born: 5, Token: 7, LeaseEnd: time.Hour, Acked: 3, Wait: time.Second})
		if err == nil {
			break
		}
	}
	c.Assert(err, qt.IsNil)
	c.Check(reply.Born, qt.Equals, int64(6))
	_, err = w.Start(ctx, lease.StartOrder{Born: 5, Token: 7})
	c.Check(err, qt.ErrorIs, lease.ErrNotSent)
	second.set(func(p *process) {
		c.Check(p.starts, qt.Equals, 0)
		c.Check(slices.Compact(p.renews), qt.DeepEquals, []lease.RenewOrder{{Token: 7}})
	})
	_, err = w.Start(ctx, lease.StartOrder{Born: 6, Token: 8})
	c.Check(err, qt.IsNil)
	second.set(func(p *process) { c.Check(p.starts, qt.Equals, 1) })
}

// Guards against a task that waits for the validity of an order that was never sent,
// and against one that is sent again without the refusal that the worker gave.
func TestStartOverAConnectionThatIsNotVerified(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	p, address := listen(c, "127.0.0.1:0", 5)
	w := New(jsonOrders{"http://" + address}, 4, time.Second)
	defer w.Close()
	p.set(func(p *process) { p.reply.Refusal = lease.RefusedTokenTooLow })
	a, err := w.Start(ctx, lease.StartOrder{Born: 5, Token: 7})
	c.Check(err, qt.IsNil)
	c.Check(a.Refusal, qt.Equals, lease.RefusedTokenTooLow)
	p.set(func(p *process) { p.silent = true })
	_, err = w.Start(ctx, lease.StartOrder{Born: 5, Token: 8})
	c.Check(err, qt.ErrorIs, lease.ErrNotSent)
	p.set(func(p *process) { c.Check(p.starts, qt.Equals, 0) })
}

// Guards against an order that was sent and counts as one that was not.
func TestSentStartWithoutAnAnswer(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	p, address := listen(c, "127.0.0.1:0", 5)
	w := New(jsonOrders{"http://" + address}, 4, time.Second)
	defer w.Close()
	_, err := w.Renew(ctx, lease.RenewOrder{Born: 5, Token: 7})
	c.Assert(err, qt.IsNil)
	p.set(func(p *process) { p.silent = true })
	_, err = w.Start(ctx, lease.StartOrder{Born: 5, Token: 7})
	c.Assert(err, qt.IsNotNil)
	c.Check(err, qt.Not(qt.ErrorIs), lease.ErrNotSent)
	p.set(func(p *process) { c.Check(p.starts, qt.Equals, 1) })
}

// Guards against a lease that ends because all open connections to a living worker went
// silent once, while new ones work: each spare would cost a renewal its timeout.
func TestSilentConnectionsAreLeft(t *testing.T) {
	c := qt.New(t)
	p, address := listen(c, "127.0.0.1:0", 5)
	w := New(jsonOrders{"http://" + address}, 4, time.Minute)
	defer w.Close()
	renew := func() bool {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		answered := make(chan error, 1)
		go func() {
			_, err := w.Renew(ctx, lease.RenewOrder{Born: 5, Token: 7})
			answered <- err
		}()
		select {
		case err := <-answered:
			return err == nil
		case <-p.swallowed: // the agent gives the renewal up
			cancel()
			<-answered
			return false
		}
	}
	c.Assert(renew(), qt.IsTrue)
	for spares := 0; spares < maxSpares; { // opened without waiting for them
		c.Assert(renew(), qt.IsTrue)
		w.spares.mu.Lock()
		spares = len(w.spares.conns)
		w.spares.mu.Unlock()
	}
	c.Assert(renew(), qt.IsTrue) // proves them
	p.set(func(p *process) { p.silentBefore = p.accepted + 1 })
	failures := 0
	for !renew() {
		failures++
		c.Assert(failures <= maxUnanswered, qt.IsTrue)
	}
	c.Check(failures, qt.Equals, maxUnanswered)
}

// Guards against a worker that gets no order because it closes each connection after its
// response, as a server does that is shutting down.
func TestWorkerThatKeepsNoConnection(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	p, address := listen(c, "127.0.0.1:0", 5)
	p.server.SetKeepAlivesEnabled(false)
	w := New(jsonOrders{"http://" + address}, 4, time.Minute)
	defer w.Close()
	_, err := w.Renew(ctx, lease.RenewOrder{Born: 5, Token: 7, LeaseEnd: time.Second})
	c.Assert(err, qt.IsNil)
	_, err = w.Start(ctx, lease.StartOrder{Born: 5, Token: 7})
	c.Assert(err, qt.IsNil)
	p.set(func(p *process) { c.Check(p.starts, qt.Equals, 1) })
	_, err = w.Start(ctx, lease.StartOrder{Born: 4, Token: 7})
	c.Check(err, qt.ErrorIs, lease.ErrNotSent)
}

// deadlineConn records the deadline that was set last.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (d *deadlineConn) SetDeadline(t time.Time) error {
	d.deadline = t
	return d.Conn.SetDeadline(t)
}

// Guards against a verified connection that breaks when the time for its verification
// has passed.
func TestVerifiedConnectionHasNoDeadline(t *testing.T) {
	c := qt.New(t)
	_, address := listen(c, "127.0.0.1:0", 5)
	w := New(jsonOrders{"http://" + address}, 4, time.Minute)
	var conn deadlineConn
	opened, err := w.openVerified(context.Background(), 5, func(context.Context) (net.Conn, error) {
		tcp, err := net.Dial("tcp", address)
		conn.Conn = tcp
		return &conn, err
	})
	c.Assert(err, qt.IsNil)
	c.Check(conn.deadline.IsZero(), qt.IsTrue)
	c.Check(opened.Close(), qt.IsNil)
}
