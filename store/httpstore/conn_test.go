package httpstore

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against writing a request after its call was reported as not sent, which
// is possible because net/http writes from a goroutine of its own.
func TestSealedConnectionWritesNothing(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	received := make(chan int, 1)
	go func() {
		n, _ := far.Read(make([]byte, 10))
		received <- n
	}()
	conn := &sealableConn{Conn: near}
	c.Check(conn.sealIfUnused(conn.writeCount()), qt.IsTrue)
	_, err := conn.Write([]byte("late"))
	c.Check(err, qt.ErrorIs, net.ErrClosed)
	c.Check(<-received, qt.Equals, 0)

	near, far = net.Pipe()
	go func() { _, _ = far.Read(make([]byte, 10)) }()
	conn = &sealableConn{Conn: near}
	before := conn.writeCount()
	_, err = conn.Write([]byte("sent"))
	c.Assert(err, qt.IsNil)
	c.Check(conn.sealIfUnused(before), qt.IsFalse, qt.Commentf("the request was written"))
}
