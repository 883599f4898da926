package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"chicorytray.example/chicorytray/rpcconn"
)

// sharedConnIdle is the time without a call after which a connection for forwards is
// closed. It exceeds the interval of confirmations.
const sharedConnIdle = 2 * time.Second

// errNotAwaited is the cause of a call's end if only its own result is no longer needed.
// The connection is used on then.
var errNotAwaited = errors.New("entry: the result of the call is no longer awaited")

// sharedConns are the connections for forwards, at most one to each entry: those of
// heartbeats must not wait behind specifications of jobs. It is safe for concurrent use.
type sharedConns struct {
	ctx     context.Context // of the dials; ends with the dispatcher
	dial    agentDialer
	timeout time.Duration // of a dial
	mu      sync.Mutex
	open    map[string]*sharedConn // by address
}

// sharedConn is one connection. The fields conn and err are set when ready is closed.
type sharedConn struct {
	ready   chan struct{}
	conn    agentConn
	err     error
	users   int
	dropped bool
	idle    *time.Timer
}

// call makes a call to the entry at the address. Its errors are those of
// rpcconn.Client.Call, and of the dialler, which match rpcconn.ErrNotSent. If the
// connection has ended since its last use, because the process there was replaced, the call
// is made on a new one.
func (c *sharedConns) call(ctx context.Context, address, method string, args, reply any) error {
	hadEnded, err := c.callOnce(ctx, address, method, args, reply)
	if hadEnded {
		_, err = c.callOnce(ctx, address, method, args, reply)
	}
	return err
}

// callOnce makes a call. hadEnded means that it was not sent, because the connection had
// ended.
func (c *sharedConns) callOnce(ctx context.Context, address, method string, args, reply any) (hadEnded bool, err error) {
	s := c.acquire(address)
	defer c.release(address, s)
	select {
	case <-s.ready:
		if err = s.err; err == nil {
			err = s.conn.Call(ctx, method, args, reply)
			hadEnded = errors.Is(err, rpcconn.ErrNotSent) && errors.Is(err, rpcconn.ErrClosed) && ctx.Err() == nil
		}
	case <-ctx.Done():
		err = errors.Join(rpcconn.ErrNotSent, ctx.Err())
	}
	var remote *rpcconn.RemoteError
	if err != nil && !errors.As(err, &remote) && !errors.Is(context.Cause(ctx), errNotAwaited) {
		c.drop(address, s) // the next call uses a new connection
	}
	return hadEnded, err
}

// acquire returns the connection to the address. It begins to open one if there is none;
// that does not end with the call, because others may wait for it.
func (c *sharedConns) acquire(address string) *sharedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.open[address]
	if s == nil {
		s = &sharedConn{ready: make(chan struct{}), users: 1}
		c.open[address] = s
		ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
		go func() {
			defer c.release(address, s)
			defer cancel()
			if s.conn, s.err = c.dial(ctx, address); s.err != nil {
				c.drop(address, s)
			}
			close(s.ready)
		}()
	}
	s.users++
	if s.idle != nil {
		s.idle.Stop()
	}
	return s
}

func (c *sharedConns) release(address string, s *sharedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.users--; s.users > 0 {
		return
	}
	if s.dropped {
		s.close()
		return
	}
	s.idle = time.AfterFunc(sharedConnIdle, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if s.users == 0 && !s.dropped {
			c.remove(address, s)
			s.close()
		}
	})
}

func (c *sharedConns) drop(address string, s *sharedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(address, s)
}

// remove makes later calls use a new connection; the caller holds mu.
func (c *sharedConns) remove(address string, s *sharedConn) {
	s.dropped = true
	if c.open[address] == s {
		delete(c.open, address)
	}
}

func (s *sharedConn) close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// closeAll closes the connections that are not in use.
func (c *sharedConns) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, s := range c.open {
		c.remove(address, s)
		if s.idle != nil {
			s.idle.Stop()
		}
		if s.users == 0 {
			s.close()
		}
	}
}
