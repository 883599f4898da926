package httpstore

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"
)

// sealableConn counts writes and can refuse further ones. net/http writes
// requests from a goroutine of its own, possibly after the call has failed;
// only a sealed connection proves that the request will never be sent.
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

// sealIfUnused prevents further writes if none was made since the count was writes,
// and reports whether it did.
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

// sendTracker follows one request to decide whether it was sent.
type sendTracker struct {
	mu           sync.Mutex
	conn         *sealableConn
	writesBefore uint64 // writes on conn before the request
	unobservable bool   // the connection's writes are not observed
}

// gotConn is called before the request is written to the connection.
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

// preventSend reports whether no byte of the request was written, and ensures
// that none will be.
func (p *sendTracker) preventSend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unobservable {
		return false
	}
	return p.conn == nil || p.conn.sealIfUnused(p.writesBefore)
}
