// Package clientlimit applies the limits of package ingest to the connections of an
// HTTP server: a listener below the server, and a handler around the server's own.
package clientlimit

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"chicorytray.example/chicorytray/ingest"
)

const (
	// lineBytes is charged for each line of a head: an entry of the decoded map,
	// with its name, its list of values and its share of the map's free room.
	lineBytes = 160
	// freeHead is the charge of a head that is not reserved. It is part of what a
	// connection costs, so that the head of an ordinary request needs no
	// reservation.
	freeHead = 12 << 10
	// progressBytes is the number of bytes that count as progress. A client that
	// sends fewer is making none.
	progressBytes = 4 << 10
)

// errLines ends a connection whose head has too many lines.
var errLines = errors.New("clientlimit: the head of a request has too many lines")

// Guard limits the connections of one or more HTTP servers. Its methods accept nil,
// which limits nothing.
type Guard struct {
	group           *ingest.Group
	budget          *ingest.Budget
	maxHeaderLines  int
	boundedDecoding bool
	now             func() time.Time
}

// New returns a guard for connections of the group. maxHeaderLines limits the lines of
// one head; 0 means no limit.
func New(g *ingest.Group, maxHeaderLines int) *Guard {
	return &Guard{group: g, budget: g.Budget(), maxHeaderLines: maxHeaderLines, now: time.Now}
}

// WithBoundedDecoding returns a guard of the same group for a handler that takes at most
// DecodedFactor times the size of a body to decode it, whatever the body.
func (g *Guard) WithBoundedDecoding() *Guard {
	bounded := *g
	bounded.boundedDecoding = true
	return &bounded
}

// Listener returns a listener whose connections are limited. It closes those that
// are too many. It encrypts them unless secure is nil, because the limits apply to what
// the server reads: the server of a guard that is not nil serves plain HTTP. There is no
// HTTP/2, because the streams of one connection would share its limits.
func (g *Guard) Listener(l net.Listener, secure *tls.Config) net.Listener {
	if g == nil {
		return l
	}
	if secure != nil {
		secure = secure.Clone()
		secure.NextProtos = []string{"http/1.1"}
	}
	return &listener{l, g, secure}
}

type listener struct {
	net.Listener
	guard  *Guard
	secure *tls.Config
}

// Accept waits for a connection within the limits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		socket := raw
		slot, victims := l.guard.group.Open(l.guard.now(), AddressOf(raw), func() { _ = socket.Close() })
		closeAll(victims)
		if slot == nil {
			_ = raw.Close()
			continue
		}
		if l.secure != nil {
			raw = tls.Server(raw, l.secure)
		}
		return &conn{Conn: raw, guard: l.guard, slot: slot}, nil
	}
}

// AddressOf returns the address of the other end without its port; the zero value if
// it is no IP address.
func AddressOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

func closeAll(victims []*ingest.Conn) {
	for _, v := range victims {
		v.Evict()
	}
}

// reserve reserves bytes for the connection and closes others for them.
func (g *Guard) reserve(slot *ingest.Conn, n int64) error {
	victims, err := g.budget.Reserve(g.now(), slot, n)
	closeAll(victims)
	return err
}

// complete reserves bytes for decoding what the connection has read whole.
func (g *Guard) complete(slot *ingest.Conn, n int64) error {
	victims, err := g.budget.Complete(g.now(), slot, n)
	closeAll(victims)
	return err
}

// conn counts what it reads as the head of a request until the handler is called, and
// reserves what the decoded head takes before the server decodes it. The next head
// begins when the server has become idle: after a handler it discards what that has
// not read of the body. One goroutine reads at a time, but the handler may end while
// another reads ahead.
type conn struct {
	net.Conn
	guard *Guard
	slot  *ingest.Conn
	// refused is the error of every further read, because net/http ignores the error
	// of a read that ends within a line. Only the reading goroutine uses it.
	refused error

	mu       sync.Mutex
	headRead bool  // until the server is idle again
	line     int   // length of the present line of the head
	cr       bool  // the present line begins with CR
	bytes    int   // of the head so far
	lines    int   // of the head so far
	reserved int64 // for the head
	progress int   // bytes since the last progress
}

// NetConn returns the connection below, for package peerend.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads and reserves. After an error of the reservation the server closes the
// connection without a response, as after any *net.OpError of a read: the request is
// not at fault, and a caller sends it again after a broken connection but not after
// status 400.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused != nil {
		return 0, c.refused
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch lerr := c.received(p[:n]); {
	case errors.Is(lerr, ingest.ErrShort):
		c.refused = &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: lerr}
	case lerr != nil:
		c.refused = lerr
	}
	if c.refused != nil {
		return 0, c.refused
	}
	return n, err
}

func (c *conn) received(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headRead {
		return nil
	}
	if c.bytes == 0 || c.progress+len(data) >= progressBytes {
		c.progress = 0
		c.guard.budget.Progress(c.guard.now(), c.slot)
	} else {
		c.progress += len(data)
	}
	c.headBytes(data)
	if limit := c.guard.maxHeaderLines; limit > 0 && c.lines > limit {
		return errLines
	}
	charge := int64(2*c.bytes + lineBytes*c.lines)
	if charge <= freeHead+c.reserved {
		return nil
	}
	more := charge - freeHead - c.reserved
	if err := c.guard.reserve(c.slot, more); err != nil {
		return err
	}
	c.reserved += more
	return nil
}

// headBytes counts the lines and bytes of the data up to the end of the head, which is
// the first empty line. What follows belongs to the body.
func (c *conn) headBytes(data []byte) {
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		rest := data
		if end >= 0 {
			rest = data[:end]
		}
		if c.line == 0 {
			c.cr = bytes.HasPrefix(rest, []byte{'\r'})
		}
		c.line += len(rest)
		if end < 0 {
			c.bytes += len(data)
			return
		}
		c.bytes, c.lines, data = c.bytes+end+1, c.lines+1, data[end+1:]
		if c.line == 0 || c.line == 1 && c.cr {
			c.headRead = true
			return
		}
		c.line = 0
	}
}

// Close closes the connection and releases what it holds.
func (c *conn) Close() error {
	c.guard.budget.Close(c.slot)
	return c.Conn.Close()
}

func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead = true
}

func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved = 0
	c.guard.budget.Done(c.guard.now(), c.slot)
}

// awaitRequest begins the next head.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead, c.line, c.bytes, c.lines, c.progress = false, 0, 0, 0, 0
}

// connKey is the key of the connection of a request in its context.
type connKey struct{}

// Limit applies the limits to a server whose listener is one of the guard's. The
// handler and the hooks of the server are called in addition.
func (g *Guard) Limit(s *http.Server) {
	if g == nil {
		return
	}
	s.Handler = &handler{g, s.Handler}
	connContext, connState := s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if l, ok := c.(*conn); ok && state == http.StateIdle {
			l.awaitRequest()
		}
		if connState != nil {
			connState(c, state)
		}
	}
}

// Decoded releases what is reserved for the request whose context is ctx, once its
// handler keeps neither the head nor the body.
func Decoded(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		// The head stays reachable from the request.
		c.guard.budget.KeepOnly(c.slot, c.reserved)
	}
}
