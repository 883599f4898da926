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
	// flagReset starts a new stream of the codec: the receiver forgets the
	// types that earlier frames defined. The sender sets it after a message
	// that was encoded but not sent.
	flagReset = 1
	// maxKeptBuffer is the capacity above which a buffer is not kept for the next
	// message, so that one large message does not hold memory for good.
	maxKeptBuffer = 64 << 10
)

// header precedes the body in each frame. Method is set in requests and Error
// in replies of failed calls, which have no body.
type header struct {
	Seq    uint64
	Method string
	Error  string
}

// meteredConn counts what passes through a connection below TLS.
type meteredConn struct {
	net.Conn
	written      atomic.Uint64
	lastReceived atomic.Int64 // nanoseconds after born
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
	codecResetDue bool

	reader     *bufio.Reader
	readBuffer bytes.Buffer
	dec        decoder
}

func newFrameConn(conn net.Conn, meter *meteredConn, opts Options) *frameConn {
	return &frameConn{conn: conn, meter: meter, opts: opts, reader: bufio.NewReader(conn), codecResetDue: true}
}

// write sends one message and returns its size. An error that matches
// ErrNotSent leaves the connection usable unless it matches ErrClosed or
// ErrTimeout as well; after any other error the connection is closed.
func (f *frameConn) write(h header, body any) (int, error) {
	frame, err := f.encode(h, body)
	if err != nil {
		f.codecResetDue = true
		return 0, withCause(ErrNotSent, err)
	}
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

func (f *frameConn) encode(h header, body any) ([]byte, error) {
	if f.writeBuffer.Cap() > maxKeptBuffer {
		f.writeBuffer = bytes.Buffer{}
	}
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

// read receives one frame, decodes its header and returns the frame's size.
// The body is read by readBody. Errors leave the connection unusable.
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
	if f.readBuffer.Cap() > maxKeptBuffer {
		f.readBuffer = bytes.Buffer{}
	}
	f.readBuffer.Reset()
	// The buffer grows with what arrives, not with what the prefix announces.
	if _, err := io.CopyN(&f.readBuffer, f.reader, size); err != nil {
		return h, 0, toConnError(err)
	}
	frame := f.readBuffer.Bytes()
	if frame[0]&flagReset != 0 || f.dec == nil {
		f.dec = newDecoder(f.opts.Codec)
	}
	f.dec.reset(frame[1:])
	err := f.dec.decode(&h)
	return h, int(size) + lengthBytes, err
}

// readBody decodes the body into v, or skips it when v is nil.
func (f *frameConn) readBody(v any) error {
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

// toConnError maps errors of connections to those of this package.
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
