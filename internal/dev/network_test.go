package dev

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against delays that are missing in one direction or reorder data.
func TestDelayedConnDelaysBothDirections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		near, far := net.Pipe()
		conn := newDelayedConn(near, 3*time.Millisecond)
		defer conn.Close()
		go func() { // echo
			buf := make([]byte, 16)
			for {
				n, err := far.Read(buf)
				if err != nil {
					return
				}
				_, _ = far.Write(buf[:n])
			}
		}()
		begin := time.Now()
		for _, part := range []string{"ab", "cd", "ef"} {
			_, err := conn.Write([]byte(part))
			c.Assert(err, qt.IsNil)
		}
		got := make([]byte, 6)
		_, err := io.ReadFull(conn, got)
		c.Assert(err, qt.IsNil)
		c.Check(string(got), qt.Equals, "abcdef")
		c.Check(time.Since(begin), qt.Equals, 6*time.Millisecond)
	})
}

// Guards against a close that loses what was written before it.
func TestDelayedConnDeliversBeforeClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		near, far := net.Pipe()
		conn := newDelayedConn(near, time.Millisecond)
		_, err := conn.Write([]byte("last"))
		c.Assert(err, qt.IsNil)
		c.Assert(conn.Close(), qt.IsNil)
		_, err = conn.Write([]byte("more"))
		c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
		got, err := io.ReadAll(far)
		c.Assert(err, qt.IsNil)
		c.Check(string(got), qt.Equals, "last")
	})
}

// Guards against callers that wait for ever because the wrapper ignores
// deadlines, and against a deadline that stays in force after it was cleared.
func TestDelayedConnHonoursDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		near, far := net.Pipe()
		conn := newDelayedConn(near, time.Millisecond)
		defer conn.Close()
		for range 2 {
			c.Assert(conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
			_, err := conn.Read(make([]byte, 1))
			c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
		}
		c.Assert(conn.SetDeadline(time.Time{}), qt.IsNil)
		go func() { _, _ = far.Write([]byte("x")) }()
		_, err := conn.Read(make([]byte, 1))
		c.Check(err, qt.IsNil)
	})
}

// Guards against a killed process that goes on exchanging data.
func TestKillClosesEverything(t *testing.T) {
	c := qt.New(t)
	n := NewNetwork(0, 0)
	server, client := n.Process("dc1"), n.Process("dc2")
	l, err := server.Listen()
	c.Assert(err, qt.IsNil)
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	conn, err := client.Dial(t.Context(), l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	<-accepted
	server.Kill()
	_, err = conn.Read(make([]byte, 1))
	c.Check(err, qt.Not(qt.IsNil))
	_, err = client.Dial(t.Context(), l.Addr().String())
	c.Check(err, qt.Not(qt.IsNil))
	_, err = server.Dial(t.Context(), l.Addr().String())
	c.Check(err, qt.Not(qt.IsNil))
}

// Guards against wrong delays between data centres and between callers and data
// centres.
func TestDelayByLocation(t *testing.T) {
	c := qt.New(t)
	n := NewNetwork(1500*time.Microsecond, 3*time.Millisecond)
	n.SetLocation("127.0.0.1:1", "dc1")
	c.Check(n.Delay("dc1", "127.0.0.1:1"), qt.Equals, time.Duration(0))
	c.Check(n.Delay("dc2", "127.0.0.1:1"), qt.Equals, 1500*time.Microsecond)
	c.Check(n.Delay(ClientLocation, "127.0.0.1:1"), qt.Equals, 3*time.Millisecond)
}
