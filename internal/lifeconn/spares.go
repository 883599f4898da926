package lifeconn

import (
	"context"
	"net"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/peerend"
)

// maxSpares bounds the spare connections. They are opened ahead, so that an order that
// needs a new connection does not wait for a list over it. An order that is given up
// costs its connection.
const maxSpares = 8

// spares are connections to one life that carry no order yet, oldest first. The zero
// value is bound to no life.
type spares struct {
	mu      sync.Mutex
	born    int64
	conns   []spare
	opening bool // a goroutine opens connections
	closed  bool // close was called
}

type spare struct {
	net.Conn
	openedAt time.Time
	proved   bool // the life accepted the connection
}

// bind closes all connections and binds those opened from now on to the life with the
// given birth, or none are opened if that is 0.
func (s *spares) bind(born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeAll()
	if s.born = born; s.closed {
		s.born = 0
	}
}

// close closes all connections for good.
func (s *spares) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeAll()
	s.born, s.closed = 0, true
}

// drop closes all connections.
func (s *spares) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeAll()
}

// closeAll closes all connections; the caller holds mu.
func (s *spares) closeAll() {
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
}

// prove records that a life has listed its runs in answer to a renewal that was sent at
// the given time. The connections opened before are connections to that life, since it
// had listed its runs before they were opened as well.
func (s *spares) prove(born int64, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.conns {
		if c := &s.conns[i]; s.born == born && c.openedAt.Before(sent) {
			c.proved = true
		}
	}
}

// take removes and returns a proved connection whose other end is open, or nil.
func (s *spares) take(born int64) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 && s.born == born && s.conns[0].proved {
		c := s.conns[0].Conn
		s.conns = s.conns[1:]
		if !peerend.Of(c).Ended() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// refill opens connections until there are maxSpares, without waiting for them. It
// gives up at the first that cannot be opened.
func (s *spares) refill(born int64, open func(context.Context) (net.Conn, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if born == 0 || s.born != born || s.opening || len(s.conns) >= maxSpares {
		return
	}
	s.opening = true
	go func() {
		for {
			conn, err := open(context.Background())
			if !s.add(born, conn, err) {
				return
			}
		}
	}()
}

// add adds a connection that was opened, and reports whether another one is needed.
func (s *spares) add(born int64, conn net.Conn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.born == born {
		s.conns = append(s.conns, spare{Conn: conn, openedAt: time.Now()})
		if len(s.conns) < maxSpares {
			return true
		}
	} else if err == nil {
		_ = conn.Close()
	}
	s.opening = false
	return false
}
