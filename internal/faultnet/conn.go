package faultnet

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferBytes is the amount of data that one direction of a connection holds
// before writes block. Socket buffers have a similar size.
const bufferBytes = 256 << 10

// chunk is written data with the time from which it can be read.
type chunk struct {
	readableAt time.Time
	data       []byte
}

// stream is one direction of a connection.
type stream struct {
	from, to      string
	dialler       string // host that opened the connection
	changed       *sync.Cond
	chunks        []chunk
	bufferedBytes int
	writerClosed  bool      // the reader gets io.EOF after the chunks, from endsAt on
	endsAt        time.Time // arrival of the end
	resetAt       time.Time // arrival of a reset, which takes the chunks that were not read; zero: none
	readerClosed  bool      // writes fail
	reset         bool      // reads and writes fail
	frozen        bool      // no data passes any more
	heldUntil     time.Time // no data passes before
}

// conn is one end of a connection.
type conn struct {
	net                         *Network
	from, to                    string // hosts of this end and of the other end
	local, remote               addr
	in, out                     *stream
	closed                      bool
	powerless                   bool // this end's host lost its power: its reads and writes fail
	readDeadline, writeDeadline time.Time
	readTimer, writeTimer       *time.Timer
}

// connect creates both ends of a connection; the caller holds the lock.
func (n *Network) connect(from, to, address string) (client, server *conn) {
	n.nextPort++
	local := addr(fmt.Sprintf("%s:%d", from, n.nextPort))
	toServer := &stream{from: from, to: to, dialler: from, changed: sync.NewCond(&n.mu)}
	toClient := &stream{from: to, to: from, dialler: from, changed: sync.NewCond(&n.mu)}
	client = &conn{net: n, from: from, to: to, local: local, remote: addr(address), in: toClient, out: toServer}
	server = &conn{net: n, from: to, to: from, local: addr(address), remote: local, in: toServer, out: toClient}
	n.conns[client], n.conns[server] = struct{}{}, struct{}{}
	return client, server
}

func (c *conn) between(a, b string) bool {
	return c.from == a && c.to == b || c.from == b && c.to == a
}

func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "faultnet", Source: c.local, Addr: c.remote, Err: err}
}

// carries reports whether the reader of the stream gets data at present.
func (n *Network) carries(s *stream) bool {
	return !s.frozen && !time.Now().Before(s.heldUntil) && !n.drops(pair{s.from, s.to}, s.dialler)
}

// Read waits for data, the end of the connection or the deadline.
func (c *conn) Read(p []byte) (int, error) {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case c.in.reset || c.powerless || n.carries(c.in) && c.in.resetArrived(now):
			return 0, c.opError("read", errReset)
		case deadlinePassed(c.readDeadline, now):
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case n.carries(c.in) && len(c.in.chunks) > 0 && !c.in.chunks[0].readableAt.After(now):
			return c.in.read(p), nil
		case n.carries(c.in) && len(c.in.chunks) == 0 && c.in.endArrived(now):
			return 0, io.EOF
		}
		c.in.changed.Wait()
	}
}

// endArrived reports whether the writer has closed the connection and this has arrived.
func (s *stream) endArrived(now time.Time) bool { return s.writerClosed && !s.endsAt.After(now) }

func (s *stream) resetArrived(now time.Time) bool {
	return !s.resetAt.IsZero() && !s.resetAt.After(now)
}

func (s *stream) read(p []byte) int {
	got := copy(p, s.chunks[0].data)
	if s.chunks[0].data = s.chunks[0].data[got:]; len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.bufferedBytes -= got
	s.changed.Broadcast()
	return got
}

// Write queues the data, and waits while the buffer is full.
func (c *conn) Write(p []byte) (int, error) {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	done := 0
	for {
		switch {
		case c.closed || c.out.writerClosed:
			return done, c.opError("write", net.ErrClosed)
		case c.out.reset || c.powerless || c.out.readerClosed && n.carries(c.out):
			return done, c.opError("write", errReset)
		case deadlinePassed(c.writeDeadline, time.Now()):
			return done, c.opError("write", os.ErrDeadlineExceeded)
		case done == len(p):
			return done, nil
		case c.out.bufferedBytes < bufferBytes:
			part := p[done:min(len(p), done+bufferBytes-c.out.bufferedBytes)]
			c.out.enqueue(part, n.delay(pair{c.out.from, c.out.to}))
			done += len(part)
			continue
		}
		c.out.changed.Wait()
	}
}

// arrival returns when something arrives that is sent now: not before what was sent
// earlier, also when the delay was reduced.
func (s *stream) arrival(delay time.Duration) time.Time {
	at := time.Now().Add(delay)
	if k := len(s.chunks); k > 0 && s.chunks[k-1].readableAt.After(at) {
		at = s.chunks[k-1].readableAt
	}
	return at
}

func (s *stream) enqueue(p []byte, delay time.Duration) {
	at := s.arrival(delay)
	s.chunks = append(s.chunks, chunk{at, append([]byte(nil), p...)})
	s.bufferedBytes += len(p)
	s.wakeNowAndAt(at)
}

// wakeNowAndAt wakes both ends now, and the reader again when the data can be
// read.
func (s *stream) wakeNowAndAt(at time.Time) {
	s.changed.Broadcast()
	if d := time.Until(at); d > 0 {
		time.AfterFunc(d, s.wake)
	}
}

func (s *stream) wake() {
	s.changed.L.Lock()
	defer s.changed.L.Unlock()
	s.changed.Broadcast()
}

// CloseWrite ends the direction of this end: the peer reads the data that was written
// before, and then io.EOF. The other direction goes on. Servers of net/http call it, so
// that a Close with unread data does not take back their answer.
func (c *conn) CloseWrite() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.endWrites()
	return nil
}

// endWrites makes the peer notice the end of this end's data; the caller holds the lock.
func (c *conn) endWrites() {
	if c.out.writerClosed {
		return
	}
	c.out.writerClosed, c.out.endsAt = true, c.out.arrival(c.net.delay(pair{c.from, c.to}))
	c.out.wakeNowAndAt(c.out.endsAt)
}

// WriteLast writes data that fits into the buffer and closes the connection in one step:
// whoever reads the data finds the connection ended, as if it read some time later.
// Between a Write and a Close the peer may act on the data, in real time, however short
// the virtual time between them is.
func (c *conn) WriteLast(p []byte) error {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case c.closed || c.out.writerClosed:
		return c.opError("write", net.ErrClosed)
	case c.out.reset || c.powerless || c.out.readerClosed && n.carries(c.out):
		return c.opError("write", errReset)
	case c.out.bufferedBytes+len(p) > bufferBytes:
		return c.opError("write", errFull)
	}
	c.out.enqueue(p, n.delay(pair{c.out.from, c.out.to}))
	return c.closeLocked()
}

// Close ends both directions. The peer reads the data that was written before,
// and then io.EOF. If data was not read here, the connection is reset instead, as on TCP.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.closeLocked()
}

// closeLocked does the work of Close; the caller holds the lock.
func (c *conn) closeLocked() error {
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.closed, c.in.readerClosed = true, true
	c.endWrites()
	if len(c.in.chunks) > 0 && c.net.carries(c.in) {
		c.out.resetAt = c.out.arrival(c.net.delay(pair{c.from, c.to}))
	}
	delete(c.net.conns, c)
	for _, t := range []*time.Timer{c.readTimer, c.writeTimer} {
		if t != nil {
			t.Stop()
		}
	}
	c.in.changed.Broadcast()
	c.out.wakeNowAndAt(c.out.resetAt)
	return nil
}

// PeerEnded reports whether the other end has closed or reset the connection and this
// has arrived, also while data can still be read. The kernel's answer to poll is the
// same.
func (c *conn) PeerEnded() bool {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	return c.in.reset || n.carries(c.in) && c.in.endArrived(time.Now())
}

// LocalAddr returns this end's address.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the other end's address.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline makes reads fail from t on; the zero time means never.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(&c.readDeadline, &c.readTimer, c.in, t)
}

// SetWriteDeadline makes writes fail from t on; the zero time means never.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline(&c.writeDeadline, &c.writeTimer, c.out, t)
}

func (c *conn) setDeadline(field *time.Time, timer **time.Timer, s *stream, t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed {
		return c.opError("set deadline", net.ErrClosed)
	}
	if *timer != nil {
		(*timer).Stop()
		*timer = nil
	}
	*field = t
	if !t.IsZero() && !deadlinePassed(t, time.Now()) {
		*timer = time.AfterFunc(time.Until(t), s.wake)
	}
	s.changed.Broadcast()
	return nil
}

func deadlinePassed(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }
