package rpcconn

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	lengthBytes = 4
	// flagReset starts a new stream of the codec: the receiver discards the
	// types that earlier frames defined. The sender sets it in the first frame
	// of a connection, after a large message, and after a message that was encoded
	// but not sent, whose type definitions the receiver lacks.
	flagReset = 1
	// maxKeptBuffer is the capacity in bytes above which a buffer is not kept
	// for the next message, so that one large message does not hold memory for
	// the rest of the connection.
	maxKeptBuffer = 64 << 10
)

// header precedes the body in each frame. Method is set in requests. Error is
// set in replies to failed calls, which have no body.
type header struct {
	Seq    uint64
	Method string
	Error  string
}

// meteredConn counts the bytes written to a connection, below TLS, and records
// when a byte was last received.
type meteredConn struct {
	net.Conn
	written      atomic.Uint64
	lastReceived atomic.Int64 // nanoseconds since openedAt; 0 before the first byte
	openedAt     time.Time
}

func newMeteredConn(c net.Conn) *meteredConn { return &meteredConn{Conn: c, openedAt: time.Now()} }

func (m *meteredConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	if n > 0 {
		m.written.Add(uint64(n))
	}
	return n, err
}

func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.lastReceived.Store(int64(time.Since(m.openedAt)))
	}
	return n, err
}

// received returns when a byte was last received; before the first one, when the
// connection was opened.
func (m *meteredConn) received() time.Time {
	return m.openedAt.Add(time.Duration(m.lastReceived.Load()))
}

// frameConn reads and writes messages. One goroutine may read while another
// writes; the caller serialises writes.
type frameConn struct {
	conn  net.Conn     // with TLS if enabled
	meter *meteredConn // below TLS
	opts  Options

	writeBuffer   bytes.Buffer
	enc           encoder
	codecResetDue bool // the next frame must have flagReset

	reader      *bufio.Reader
	readBuffer  bytes.Buffer
	limited     []byte       // takes the place of readBuffer if reservation is set
	reservation *reservation // of an accepted connection; nil without limits
	dec         decoder
}

func newFrameConn(conn net.Conn, meter *meteredConn, opts Options) *frameConn {
	return &frameConn{conn: conn, meter: meter, opts: opts, reader: bufio.NewReader(conn), codecResetDue: true}
}

// write sends one message and returns its size in bytes. The connection stays
// usable after an error that matches ErrNotSent and neither ErrClosed nor
// ErrTimeout; after any other error it is closed.
func (f *frameConn) write(h header, body any) (int, error) {
	frame, err := f.encode(h, body)
	if err != nil {
		f.codecResetDue = true
		return 0, withCause(ErrNotSent, err)
	}
	defer f.dropWriteBuffer()
	before := f.meter.written.Load()
	_ = f.conn.SetWriteDeadline(time.Now().Add(f.opts.WriteTimeout))
	if _, err = f.conn.Write(frame); err != nil {
		_ = f.conn.Close()
		err = toConnError(err)
		if f.meter.written.Load() == before {
			err = withCause(ErrNotSent, err)
		}
		return 0, err
	}
	f.codecResetDue = false
	return len(frame), nil
}

// dropWriteBuffer releases the buffer of a large message, and the encoder, which keeps
// a copy.
func (f *frameConn) dropWriteBuffer() {
	if f.writeBuffer.Cap() > maxKeptBuffer {
		f.writeBuffer, f.enc, f.codecResetDue = bytes.Buffer{}, nil, true
	}
}

func (f *frameConn) encode(h header, body any) ([]byte, error) {
	f.dropWriteBuffer() // of a message that was encoded but not sent
	f.writeBuffer.Reset()
	flags := byte(0)
	if f.codecResetDue {
		flags = flagReset
		f.enc = newEncoder(f.opts.Codec, &f.writeBuffer)
	}
	f.writeBuffer.Write([]byte{0, 0, 0, 0, flags})
	if err := f.enc.Encode(h); err != nil {
		return nil, withCause(ErrEncoding, err)
	}
	if body != nil {
		if err := f.enc.Encode(body); err != nil {
			return nil, withCause(ErrEncoding, err)
		}
	}
	frame := f.writeBuffer.Bytes()
	size := len(frame) - lengthBytes
	if int64(size) > f.opts.MaxMessageBytes {
		return nil, ErrTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// read receives one frame, decodes its header and returns the frame's size in
// bytes. The caller then decodes the body with readBody. After an error the
// connection cannot be used any more.
func (f *frameConn) read() (header, int, error) {
	var h header
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(f.reader, prefix[:]); err != nil {
		return h, 0, toConnError(err)
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > f.opts.MaxMessageBytes {
		return h, 0, ErrTooLarge
	}
	if size < 1 {
		return h, 0, ErrProtocol
	}
	frame, err := f.readFrame(size)
	if err != nil {
		return h, 0, err
	}
	if frame[0]&flagReset != 0 || f.dec == nil {
		f.dec = newDecoder(f.opts.Codec)
	}
	f.dec.reset(frame[1:])
	err = f.dec.decode(&h)
	return h, int(size) + lengthBytes, err
}

func (f *frameConn) readFrame(size int64) ([]byte, error) {
	if f.reservation != nil {
		return f.readLimited(int(size))
	}
	f.readBuffer.Reset()
	// CopyN grows the buffer as data arrives, so a peer cannot make it allocate
	// memory by a large length prefix alone.
	if _, err := io.CopyN(&f.readBuffer, f.reader, size); err != nil {
		return nil, toConnError(err)
	}
	return f.readBuffer.Bytes(), nil
}

// readBody decodes the body into v, or skips it when v is nil. It ends the use of the
// frame.
func (f *frameConn) readBody(v any) error {
	defer f.reservation.done()
	defer f.dropReadBuffer()
	if v == nil {
		return f.dec.skip()
	}
	if err := f.dec.decode(v); err != nil {
		return err
	}
	if f.dec.unread() > 0 {
		return withCause(ErrProtocol, errors.New("bytes after the body"))
	}
	return nil
}

// dropReadBuffer releases the buffer of a large message, so that an idle connection
// does not hold it, before its reservation ends.
func (f *frameConn) dropReadBuffer() {
	if f.readBuffer.Cap() > maxKeptBuffer || cap(f.limited) > freeMessage {
		f.readBuffer, f.limited = bytes.Buffer{}, nil
		f.dec.release()
	}
}

// toConnError converts an error of a net.Conn to ErrClosed, and also to
// ErrTimeout if a deadline of the connection has passed.
func toConnError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return withCause(ErrTimeout, withCause(ErrClosed, err))
	default:
		return withCause(ErrClosed, err)
	}
}
