// Package lifeconn sends a worker's orders over connections of one life only.
//
// An order names the identifier of a life, which the worker's next process may have
// as well. So after the life is known by the birth that its lists state, a connection
// is used only if the process that accepted it is proved to have that birth. Either that
// process has listed its runs over the connection, or lists of the life that were made
// before and after the connection was opened show that it lived then, and while it
// lives no other process accepts connections at its address. A connection stays with
// its process, so an order to an ended life fails and reaches no later one. Only a
// worker that closes each connection after its response gets orders over one without
// this proof, which is opened right after a list.
package lifeconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"chicorytray.example/chicorytray/internal/jsonhttp"
	"chicorytray.example/chicorytray/lease"
)

// Orders sends orders with the given client.
type Orders interface {
	Start(ctx context.Context, c *http.Client, o lease.StartOrder) (lease.Answer, error)
	Stop(ctx context.Context, c *http.Client, o lease.StopOrder) (lease.Answer, error)
	Renew(ctx context.Context, c *http.Client, o lease.RenewOrder) (lease.RenewReply, error)
}

// Worker is a client for one identifier of a worker at one address. It is safe for
// concurrent use.
type Worker struct {
	orders      Orders
	connections int
	dialTimeout time.Duration

	mu         sync.Mutex
	born       int64  // of the life that client's connections are bound to; 0 means any
	token      uint64 // highest fencing token of an order
	unanswered int    // renewals since the newest answer to one
	client     *http.Client
	spares     spares
}

// maxUnanswered is the number of renewals without an answer after which the open
// connections count as silent. Each spare would otherwise cost one renewal its timeout,
// which together outlasts the lease. A single one may be an order that was lost.
const maxUnanswered = 2

// New returns a client that opens at most the given number of connections. Opening
// one and listing the runs over it may take up to dialTimeout each.
func New(orders Orders, connections int, dialTimeout time.Duration) *Worker {
	w := &Worker{orders: orders, connections: connections, dialTimeout: dialTimeout}
	w.client = w.newClient(0)
	return w
}

// Start orders the start of a run. An error that matches lease.ErrNotSent means that
// no byte of the order was sent.
func (w *Worker) Start(ctx context.Context, o lease.StartOrder) (lease.Answer, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	a, err := w.orders.Start(ctx, w.clientFor(o.Born, o.Token), o)
	if err == nil || sent.Load() || errors.Is(err, lease.ErrWorkerDown) {
		return a, err
	}
	var other *otherProcessError
	if errors.As(err, &other) && other.reply.Refusal != "" {
		return lease.Answer{Refusal: other.reply.Refusal, Clock: other.reply.Clock}, nil
	}
	return lease.Answer{}, fmt.Errorf("%w: %w", lease.ErrNotSent, err)
}

// Stop orders the stop of a run.
func (w *Worker) Stop(ctx context.Context, o lease.StopOrder) (lease.Answer, error) {
	return w.orders.Stop(ctx, w.clientFor(0, o.Token), o)
}

// Renew extends the lease. If another life answers at a new connection, it returns
// that life's list, and the lease is not extended there.
func (w *Worker) Renew(ctx context.Context, o lease.RenewOrder) (lease.RenewReply, error) {
	sent := time.Now()
	reply, err := w.orders.Renew(ctx, w.clientFor(o.Born, o.Token), o)
	var other *otherProcessError
	if errors.As(err, &other) {
		reply, err = other.reply, nil
	} else if err == nil && reply.Refusal == "" {
		w.spares.prove(reply.Born, sent)
	}
	w.recordRenewal(err)
	return reply, err
}

// recordRenewal drops the connections that are open and idle after maxUnanswered
// renewals without an answer: they may have gone silent while new ones work.
func (w *Worker) recordRenewal(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.unanswered = 0
		return
	}
	if w.unanswered++; w.unanswered >= maxUnanswered {
		w.client.CloseIdleConnections()
		w.spares.drop()
	}
}

// answers reports whether the newest renewal was answered.
func (w *Worker) answers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unanswered == 0
}

// Close closes the connections that are idle.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.client.CloseIdleConnections()
	w.spares.close()
}

// clientFor returns the client whose connections are bound to the life with the given
// birth, or the present client if the birth is 0.
func (w *Worker) clientFor(born int64, token uint64) *http.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.token = max(w.token, token)
	if born != 0 && born != w.born {
		w.client.CloseIdleConnections()
		w.born, w.client = born, w.newClient(born)
		w.spares.bind(born)
	}
	return w.client
}

// newClient returns a client whose connections are bound to the life with the given
// birth, or to none if that is 0.
func (w *Worker) newClient(born int64) *http.Client {
	t := jsonhttp.NewTransport(w.connections, w.dialTimeout)
	if dial := t.DialContext; born != 0 {
		t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			open := func(ctx context.Context) (net.Conn, error) { return dial(ctx, network, address) }
			if w.answers() { // else spares would be opened and dropped over and over
				defer w.spares.refill(born, open)
			}
			if conn := w.spares.take(born); conn != nil {
				return conn, nil
			}
			return w.openVerified(ctx, born, open)
		}
	}
	return &http.Client{Transport: t}
}

// openVerified opens a connection that the life with the given birth is proved to have
// accepted. A worker that closes each connection after its response leaves no such
// connection, so the next one is used, right after the life has listed its runs.
func (w *Worker) openVerified(ctx context.Context, born int64, open func(context.Context) (net.Conn, error)) (net.Conn, error) {
	conn, err := open(ctx)
	if err != nil {
		return nil, err
	}
	kept, err := w.verify(ctx, conn, born)
	if err == nil && kept {
		return conn, nil
	}
	_ = conn.Close()
	if err != nil {
		return nil, err
	}
	return open(ctx)
}

// verify lists the runs over a new connection and returns an error unless the list is
// that of the life with the given birth. It extends no lease and acknowledges no end.
// It reports whether the worker keeps the connection.
func (w *Worker) verify(ctx context.Context, conn net.Conn, born int64) (kept bool, err error) {
	w.mu.Lock()
	token := w.token
	w.mu.Unlock()
	if err := conn.SetDeadline(time.Now().Add(w.dialTimeout)); err != nil {
		return false, err
	}
	x := &exchange{conn: conn, reader: bufio.NewReader(conn)}
	reply, err := w.orders.Renew(ctx, &http.Client{Transport: x}, lease.RenewOrder{Token: token})
	switch {
	case err != nil:
		return false, err
	case reply.Refusal != "" || reply.Born != born:
		return false, &otherProcessError{reply}
	case x.reader.Buffered() > 0:
		return false, errors.New("lifeconn: bytes follow the response of the worker")
	}
	return !x.closes, conn.SetDeadline(time.Time{})
}

// otherProcessError means that a new connection is not one to the expected life, or
// that the life refused to list its runs over it.
type otherProcessError struct{ reply lease.RenewReply }

func (e *otherProcessError) Error() string {
	return fmt.Sprintf("lifeconn: the process at the address was born at %d, refusal %q", e.reply.Born, e.reply.Refusal)
}

// exchange is an http.RoundTripper over one connection, which it leaves open.
type exchange struct {
	conn   net.Conn
	reader *bufio.Reader
	closes bool // the worker closes the connection after its response
}

// RoundTrip implements http.RoundTripper.
func (x *exchange) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Write(x.conn); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(x.reader, r)
	if err == nil {
		x.closes = resp.Close
	}
	return resp, err
}
