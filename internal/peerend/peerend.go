// Package peerend asks a connection whether its other end has closed or reset it.
//
// A program otherwise learns that from a read, which needs a goroutine that waits for
// it and gets the processor. In a busy process that is late by tens of milliseconds,
// while the kernel already knows.
package peerend

import (
	"net"
	"syscall"
)

// Checker asks one connection. The zero value knows nothing and reports no end. It is
// safe for concurrent use.
type Checker struct {
	raw  syscall.RawConn
	peer peer
}

// peer is implemented by connections that are no sockets, such as those of simulated
// networks, and know whether the other end has closed or reset them.
type peer interface{ PeerEnded() bool }

// Of returns a Checker of the connection, or of the one below TLS and other layers that
// have a method NetConn() net.Conn. It knows nothing of a connection that is neither a
// socket on Linux nor has a method PeerEnded() bool.
func Of(c net.Conn) Checker {
	for t, ok := c.(interface{ NetConn() net.Conn }); ok; t, ok = c.(interface{ NetConn() net.Conn }) {
		c = t.NetConn()
	}
	switch c := c.(type) {
	case peer:
		return Checker{peer: c}
	case syscall.Conn:
		if raw, err := c.SyscallConn(); err == nil && canPoll {
			return Checker{raw: raw}
		}
	}
	return Checker{}
}

// Known reports whether the connection can be asked.
func (c Checker) Known() bool { return c.raw != nil || c.peer != nil }

// Ended reports whether the other end has closed or reset the connection, or this end
// has closed it. It does not block and reads nothing.
func (c Checker) Ended() bool {
	switch {
	case c.peer != nil:
		return c.peer.PeerEnded()
	case c.raw == nil:
		return false
	}
	ended := false
	// Control fails on a connection that this process has closed.
	err := c.raw.Control(func(fd uintptr) { ended = pollEnded(fd) })
	return ended || err != nil
}
