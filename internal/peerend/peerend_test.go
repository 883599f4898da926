package peerend

import (
	"crypto/tls"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// pair returns both ends of a TCP connection.
func pair(c *qt.C) (near *net.TCPConn, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	dialled, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _, _ = dialled.Close(), accepted.Close() })
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

// untilEnded waits without a bound: a test that misses the end times out.
func untilEnded(ch Checker) {
	for !ch.Ended() {
	}
}

// Guards against an end that is seen only after the data before it was read, and
// against one that is seen of a connection that goes on.
func TestEndIsSeenBeforeTheData(t *testing.T) {
	for name, end := range map[string]func(far *net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half closed": (*net.TCPConn).CloseWrite,
		"reset": func(far *net.TCPConn) error {
			if err := far.SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			near, far := pair(c)
			ch, belowTLS := Of(near), Of(tls.Server(near, nil))
			_, err := far.Write([]byte("request"))
			c.Assert(err, qt.IsNil)
			c.Check(ch.Ended() || belowTLS.Ended(), qt.IsFalse)
			c.Assert(end(far), qt.IsNil)
			untilEnded(ch)
			c.Check(belowTLS.Ended(), qt.IsTrue)
		})
	}
}

// Guards against a connection that is taken to go on after this process has closed it,
// and against one that cannot be asked and counts as ended.
func TestClosedAndUnknownConnections(t *testing.T) {
	c := qt.New(t)
	near, _ := pair(c)
	ch := Of(near)
	c.Assert(near.Close(), qt.IsNil)
	c.Check(ch.Ended(), qt.IsTrue)
	pipe, other := net.Pipe()
	c.Assert(other.Close(), qt.IsNil)
	c.Check(Of(pipe).Ended(), qt.IsFalse)
	c.Check(Of(pipe).Known(), qt.IsFalse)
	c.Check(Checker{}.Ended(), qt.IsFalse)
}
