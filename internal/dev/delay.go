package dev

import (
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxChunksInFlight bounds what is in flight in one direction, in reads or
	// writes. More than the calls outstanding on one connection.
	maxChunksInFlight = 1024
	// readBufferBytes is the size of one read from the connection below.
	readBufferBytes = 64 << 10
)

// delayedConn delivers what passes through it later, in order. Both directions
// are delayed on the dialling side, so that the listening side needs no
// knowledge of where its peer is.
type delayedConn struct {
	net.Conn
	delay time.Duration

	received, unsent chan chunk
	readMu           sync.Mutex
	current          chunk
	readDeadline     deadline
	writeDeadline    deadline
	closeOnce        sync.Once
	closed           chan struct{} // closed by Close
	writeFailedOnce  sync.Once
	writeFailed      chan struct{} // closed when a write to the connection below failed
	writeErr         error
}

// chunk is data that is due at some time, or the error that ends the stream.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// newDelayedConn wraps c; delay is one way. A delay of 0 returns c itself.
func newDelayedConn(c net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return c
	}
	d := &delayedConn{
		Conn: c, delay: delay,
		received: make(chan chunk, maxChunksInFlight), unsent: make(chan chunk, maxChunksInFlight),
		closed: make(chan struct{}), writeFailed: make(chan struct{}),
	}
	d.readDeadline.init()
	d.writeDeadline.init()
	go d.receive()
	go d.send()
	return d
}

// receive stamps what arrives with the time at which it may be read.
func (d *delayedConn) receive() {
	for {
		buf := make([]byte, readBufferBytes)
		n, err := d.Conn.Read(buf)
		c := chunk{data: buf[:n], due: time.Now().Add(d.delay), err: err}
		select {
		case d.received <- c:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// send writes each chunk when it is due. After Close it writes what is left,
// as a kernel does, and then closes the connection below.
func (d *delayedConn) send() {
	defer func() { _ = d.Conn.Close() }()
	for {
		select {
		case c := <-d.unsent:
			if !d.writeWhenDue(c) {
				return
			}
		case <-d.closed:
			for {
				select {
				case c := <-d.unsent:
					if !d.writeWhenDue(c) {
						return
					}
				default:
					return
				}
			}
		}
	}
}

func (d *delayedConn) writeWhenDue(c chunk) bool {
	time.Sleep(time.Until(c.due))
	if _, err := d.Conn.Write(c.data); err != nil {
		d.writeFailedOnce.Do(func() {
			d.writeErr = err
			close(d.writeFailed)
		})
		return false
	}
	return true
}

// Read returns data that is due.
func (d *delayedConn) Read(p []byte) (int, error) {
	d.readMu.Lock()
	defer d.readMu.Unlock()
	for len(d.current.data) == 0 && d.current.err == nil {
		select {
		case d.current = <-d.received:
		case <-d.closed:
			return 0, net.ErrClosed
		case <-d.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		}
	}
	if wait := time.Until(d.current.due); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-d.closed:
			return 0, net.ErrClosed
		case <-d.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		}
	}
	n := copy(p, d.current.data)
	d.current.data = d.current.data[n:]
	if n == 0 {
		return 0, d.current.err
	}
	return n, nil
}

// Write queues a copy of p. Like a socket, it reports a failure of the
// connection only to later writes.
func (d *delayedConn) Write(p []byte) (int, error) {
	select {
	case <-d.closed:
		return 0, net.ErrClosed
	case <-d.writeFailed:
		return 0, d.writeErr
	default:
	}
	c := chunk{data: append([]byte(nil), p...), due: time.Now().Add(d.delay)}
	select {
	case d.unsent <- c:
		return len(p), nil
	case <-d.closed:
		return 0, net.ErrClosed
	case <-d.writeFailed:
		return 0, d.writeErr
	case <-d.writeDeadline.passed():
		return 0, os.ErrDeadlineExceeded
	}
}

// Close ends both directions; what was written before is still delivered.
func (d *delayedConn) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return nil
}

// SetDeadline sets both deadlines.
func (d *delayedConn) SetDeadline(t time.Time) error {
	d.readDeadline.set(t)
	d.writeDeadline.set(t)
	return nil
}

// SetReadDeadline bounds Read.
func (d *delayedConn) SetReadDeadline(t time.Time) error {
	d.readDeadline.set(t)
	return nil
}

// SetWriteDeadline bounds Write while too much is in flight.
func (d *delayedConn) SetWriteDeadline(t time.Time) error {
	d.writeDeadline.set(t)
	return nil
}

// deadline closes a channel when a settable time has passed.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

func (d *deadline) init() { d.done = make(chan struct{}) }

func (d *deadline) passed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// set replaces the deadline. A call that waits already is subject to the new
// one, so the channel stays the same unless it is closed.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.done // the timer has fired and closes the channel
	}
	d.timer = nil
	expired := false
	select {
	case <-d.done:
		expired = true
	default:
	}
	wait := time.Until(t)
	if !t.IsZero() && wait <= 0 {
		if !expired {
			close(d.done)
		}
		return
	}
	if expired {
		d.done = make(chan struct{})
	}
	if !t.IsZero() {
		done := d.done
		d.timer = time.AfterFunc(wait, func() { close(done) })
	}
}
