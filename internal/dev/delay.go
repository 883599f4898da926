package dev

import (
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxChunksInFlight bounds the data in flight in one direction, counted in
	// reads or writes. It exceeds the number of calls that are outstanding on
	// one connection.
	maxChunksInFlight = 1024
	// readBufferBytes is the most that one read of the wrapped connection returns.
	readBufferBytes = 64 << 10
)

// delayedConn wraps a connection and delivers its data in order after a fixed
// delay. The dialling side delays both directions, so that the listening side
// need not know the location of its peer.
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
	writeFailed      chan struct{} // closed when a write to the wrapped connection failed
	writeErr         error
}

// chunk is the data of one read or write with the time from which it may be
// delivered, or the error that ends the stream.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// newDelayedConn wraps c with the one-way delay in both directions. It returns
// c itself when the delay is 0.
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

// receive queues the data that arrives with the time from which Read may return
// it.
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

// send writes each chunk when it is due. After Close it writes the queued
// chunks, as the kernel does for a socket, and then closes the wrapped
// connection.
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

// writeWhenDue writes the chunk when it is due and reports whether that
// succeeded.
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

// Read waits until data is due and returns it.
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

// Close ends both directions. Data that was written before is still delivered.
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

// SetReadDeadline sets the time at which a waiting Read fails.
func (d *delayedConn) SetReadDeadline(t time.Time) error {
	d.readDeadline.set(t)
	return nil
}

// SetWriteDeadline sets the time at which a Write fails that waits because
// maxChunksInFlight chunks are queued.
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

// set replaces the deadline. The new one also applies to calls that already
// wait, so the channel is replaced only if it is closed.
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
