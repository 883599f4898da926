package rpcconn

import (
	"errors"
	"io"
	"net"
	"time"

	"chicorytray.example/chicorytray/ingest"
	"chicorytray.example/chicorytray/internal/clientlimit"
)

// DefaultMessageTimeout is the default of Options.MessageTimeout. A message of 16 MiB
// takes 7 s at 19 Mbit/s, the slowest link planned for.
const DefaultMessageTimeout = 15 * time.Second

// freeMessage is the size up to which a message is read without a reservation, and
// the capacity above which a limited connection does not keep its buffer. Control
// messages are smaller.
const freeMessage = 8 << 10

// reservation is the part of an accepted connection in the budget of Options.Group. A
// nil reservation limits nothing.
type reservation struct {
	budget *ingest.Budget
	slot   *ingest.Conn
}

// reserveConn adds an accepted connection to the group of the options. ok is false if
// the connection is to be closed.
func (o Options) reserveConn(c net.Conn) (r *reservation, ok bool) {
	if o.Group == nil {
		return nil, true
	}
	slot, victims := o.Group.Open(time.Now(), clientlimit.AddressOf(c), func() { _ = c.Close() })
	evict(victims)
	return &reservation{o.Group.Budget(), slot}, slot != nil
}

func evict(victims []*ingest.Conn) {
	for _, v := range victims {
		v.Evict()
	}
}

// reserve reserves n bytes for the message that is being read.
func (r *reservation) reserve(n int) error {
	if r == nil {
		return nil
	}
	victims, err := r.budget.Reserve(time.Now(), r.slot, int64(n))
	evict(victims)
	return err
}

// progress records that a substantial part of a message has arrived.
func (r *reservation) progress() {
	if r != nil {
		r.budget.Progress(time.Now(), r.slot)
	}
}

// received records that a message was read whole, so that the connection is not closed
// for others before done.
func (r *reservation) received() error {
	if r == nil {
		return nil
	}
	_, err := r.budget.Complete(time.Now(), r.slot, 0)
	return err
}

// done releases the bytes of a message that was decoded.
func (r *reservation) done() {
	if r != nil {
		r.budget.Done(time.Now(), r.slot)
	}
}

// callOpen records that a call which was read is not answered yet, so that the
// connection is not idle.
func (r *reservation) callOpen() {
	if r != nil {
		_, _ = r.budget.Complete(time.Now(), r.slot, 0) // fails if the connection is being closed
	}
}

// callsAnswered records that no call is open.
func (r *reservation) callsAnswered() {
	if r != nil {
		r.budget.Answered(time.Now(), r.slot)
	}
}

// close removes the connection.
func (r *reservation) close() {
	if r != nil {
		r.budget.Close(r.slot)
	}
}

// readLimited reads a message of the given size into the read buffer. It reserves the
// memory before it allocates it, which it does as data arrives, so that a peer cannot
// make it allocate memory by a large length prefix alone.
func (f *frameConn) readLimited(size int) ([]byte, error) {
	if size > f.reader.Buffered() {
		_ = f.conn.SetReadDeadline(time.Now().Add(f.opts.MessageTimeout))
		defer func() { _ = f.conn.SetReadDeadline(time.Time{}) }()
	}
	buffer, reserved := f.limited[:0], freeMessage
	for len(buffer) < size {
		next := min(size, max(freeMessage, 2*len(buffer)))
		if next > reserved {
			f.reservation.progress()
			if err := f.reservation.reserve(next - reserved); err != nil {
				return nil, withCause(ErrClosed, err)
			}
			reserved = next
		}
		if next > cap(buffer) {
			buffer = append(make([]byte, 0, next), buffer...)
		}
		n, err := io.ReadFull(f.reader, buffer[len(buffer):next])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			return nil, toConnError(err)
		}
	}
	f.limited = buffer
	if size > freeMessage {
		if err := f.reservation.received(); err != nil {
			return nil, withCause(ErrClosed, errors.Join(errEvicted, err))
		}
	}
	return buffer, nil
}

// errEvicted means that the connection is closed to make room for others.
var errEvicted = errors.New("rpcconn: connection closed to make room for others")
