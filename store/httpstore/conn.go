package httpstore

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
)

// sealableConn counts writes and, once it is sealed, refuses further ones.
// net/http writes requests from a goroutine of its own, possibly after the call
// has failed. Only if the connection is sealed is it certain that a request that
// was not written yet never will be.
type sealableConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *sealableConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// sealIfUnused seals and closes the connection if its number of writes is still
// the given one. It reports whether it did.
func (c *sealableConn) sealIfUnused(writes uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writes {
		return false
	}
	c.sealed = true
	_ = c.Close()
	return true
}

func (c *sealableConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sendTracker records the connection of one request, to decide whether the
// request was sent.
type sendTracker struct {
	mu           sync.Mutex
	conn         *sealableConn
	writesBefore uint64 // number of writes to conn before the request
	unobservable bool   // the writes to the connection are not counted
}

// gotConn is called by net/http before it writes the request to the connection.
func (p *sendTracker) gotConn(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := info.Conn
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	sealable, ok := conn.(*sealableConn)
	if !ok {
		p.unobservable = true
		return
	}
	p.conn, p.writesBefore = sealable, sealable.writeCount()
}

// preventSend returns true if no byte of the request was written, and ensures then
// that none will be. It returns false if a byte was written or may have been.
func (p *sendTracker) preventSend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unobservable {
		return false
	}
	return p.conn == nil || p.conn.sealIfUnused(p.writesBefore)
}
