package lifeconn

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a spare connection that is used although the list that should prove
// whose it is may be older than the connection, or that of another life.
func TestSparesAreProvedByLaterLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var s spares
		open := func(context.Context) (net.Conn, error) {
			near, far := net.Pipe()
			c.Cleanup(func() { _, _ = near.Close(), far.Close() })
			return near, nil
		}
		s.bind(5)
		s.refill(6, open)
		synctest.Wait()
		c.Check(s.conns, qt.HasLen, 0)
		s.refill(5, open)
		synctest.Wait()
		c.Check(s.conns, qt.HasLen, maxSpares)
		s.prove(5, time.Now())
		c.Check(s.take(5), qt.IsNil)
		time.Sleep(time.Millisecond)
		s.prove(6, time.Now())
		c.Check(s.take(5), qt.IsNil)
		s.prove(5, time.Now())
		c.Check(s.take(6), qt.IsNil)
		c.Check(s.take(5), qt.IsNotNil)
		left := s.conns[0]
		s.bind(6)
		c.Check(s.take(5), qt.IsNil)
		_, err := left.Write([]byte{1})
		c.Check(err, qt.IsNotNil)
	})
}

// Guards against an order over a spare connection whose process has ended: it would
// count as possibly carried out, where a new connection is refused.
func TestEndedSparesAreNotUsed(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var s spares
	s.bind(5)
	var near, far [2]net.Conn
	for i := range near {
		near[i], err = net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		far[i], err = l.Accept()
		c.Assert(err, qt.IsNil)
		s.add(5, near[i], nil)
	}
	c.Assert(l.Close(), qt.IsNil)
	s.prove(5, time.Now().Add(time.Hour))
	c.Assert(far[0].Close(), qt.IsNil)
	_, err = near[0].Read(make([]byte, 1)) // the end has arrived
	c.Assert(err, qt.IsNotNil)
	c.Check(s.take(5), qt.Equals, near[1])
	c.Check(s.take(5), qt.IsNil)
	_, _ = near[1].Close(), far[1].Close()
}

// Guards against connections that an order opens after Close, which nobody closes.
func TestClosedSparesStayClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s spares
		s.bind(5)
		s.close()
		s.bind(5)
		s.refill(5, func(context.Context) (net.Conn, error) { panic("opened a connection") })
		synctest.Wait()
		qt.Check(t, s.conns, qt.HasLen, 0)
	})
}
