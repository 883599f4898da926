package systemtest

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/store"
)

// errKilled is what a killed process gets from the network.
var errKilled = errors.New("systemtest: the process was killed")

// pauser holds a process's input and output while it is paused. Its timers go
// on, because goroutines cannot be stopped in virtual time.
type pauser struct {
	mu      sync.Mutex
	changed *sync.Cond
	paused  bool
	dead    bool
}

func newPauser() *pauser {
	p := &pauser{}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *pauser) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.changed.Broadcast()
}

// waitWhilePaused waits while the process is paused.
func (p *pauser) waitWhilePaused() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.paused && !p.dead {
		p.changed.Wait()
	}
	if p.dead {
		return errKilled
	}
	return nil
}

// process is what entries and agents have in common.
type process struct {
	host, dataCentre string
	net              *faultnet.Network
	pauser           *pauser
	store            *processStore
	cancel           context.CancelFunc
	ended            chan struct{} // closed when Run has returned
}

// kill ends the process at once, without a word to anybody.
func (p *process) kill() {
	p.pauser.update(func() { p.pauser.dead = true })
	p.net.Reset(p.host)
	p.cancel()
	<-p.ended
}

// dead reports whether the process has ended.
func (p *process) dead() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// pause holds everything that the process receives and sends.
func (p *process) pause() { p.pauser.update(func() { p.pauser.paused = true }) }

// resume lets the process read what arrived during the pause.
func (p *process) resume() { p.pauser.update(func() { p.pauser.paused = false }) }

func (p *process) dial(ctx context.Context, address string) (net.Conn, error) {
	if err := p.pauser.waitWhilePaused(); err != nil {
		return nil, err
	}
	c, err := p.net.Dialer(p.host)(ctx, address)
	if err != nil {
		return nil, err
	}
	return &pausedConn{Conn: c, pauser: p.pauser}, nil
}

// dialUpstream holds only reads: a request that passed the gate is written at
// the same moment of virtual time, and a write held until after the pause
// would be a start between check and start, which the design leaves unproved.
func (p *process) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	c, err := p.net.Dialer(p.host)(ctx, address)
	if err != nil {
		return nil, err
	}
	return &pausedConn{Conn: c, pauser: p.pauser, readsOnly: true}, nil
}

func (p *process) listen(port string) (net.Listener, error) {
	l, err := p.net.Listen(p.host + port)
	return pausedListener{l, p.pauser}, err
}

type pausedListener struct {
	net.Listener
	pauser *pauser
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{Conn: c, pauser: l.pauser}, nil
}

type pausedConn struct {
	net.Conn
	pauser    *pauser
	readsOnly bool
}

func (c *pausedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if held := c.pauser.waitWhilePaused(); held != nil {
		return 0, held
	}
	return n, err
}

func (c *pausedConn) Write(b []byte) (int, error) {
	if !c.readsOnly {
		if err := c.pauser.waitWhilePaused(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// storeAccess is how a process reaches the store.
type storeAccess int

const (
	storeReachable storeAccess = iota
	storeRefuses               // every call fails at once and is not carried out
	storeSilent                // every call waits until its caller gives up
)

// processStore is one process's way to the store.
type processStore struct {
	inner  store.Store
	pauser *pauser
	mu     sync.Mutex
	access storeAccess
}

func (s *processStore) setAccess(r storeAccess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.access = r
}

// storeCall makes one storeCall of the store, or fails as the reach says.
func storeCall[T any](ctx context.Context, s *processStore, f func() (T, error)) (T, error) {
	var zero T
	if err := s.waitForAccess(ctx); err != nil {
		return zero, err
	}
	out, err := f()
	// An answer that is under way when the process is cut off, above all that
	// of a watch, does not arrive either.
	if held := s.waitForAccess(ctx); held != nil {
		return zero, held
	}
	return out, err
}

func (s *processStore) waitForAccess(ctx context.Context) error {
	s.mu.Lock()
	r := s.access
	s.mu.Unlock()
	if s.pauser.waitWhilePaused() != nil || r == storeRefuses {
		return store.ErrUnavailable
	}
	if r == storeSilent {
		<-ctx.Done()
		return store.ErrUnavailable
	}
	return nil
}

func withoutValue(f func() error) func() (struct{}, error) {
	return func() (struct{}, error) { return struct{}{}, f() }
}

func (s *processStore) Linearizable() bool { return s.inner.Linearizable() }

func (s *processStore) Verify(ctx context.Context, key string, revision uint64) error {
	_, err := storeCall(ctx, s, withoutValue(func() error { return s.inner.Verify(ctx, key, revision) }))
	return err
}

func (s *processStore) Get(ctx context.Context, key string) (store.KV, error) {
	return storeCall(ctx, s, func() (store.KV, error) { return s.inner.Get(ctx, key) })
}

func (s *processStore) List(ctx context.Context, prefix string) ([]store.KV, error) {
	return storeCall(ctx, s, func() ([]store.KV, error) { return s.inner.List(ctx, prefix) })
}

func (s *processStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease store.LeaseID) (store.KV, error) {
	return storeCall(ctx, s, func() (store.KV, error) { return s.inner.CompareAndSwap(ctx, key, expect, value, lease) })
}

func (s *processStore) Delete(ctx context.Context, key string, expect uint64) error {
	_, err := storeCall(ctx, s, withoutValue(func() error { return s.inner.Delete(ctx, key, expect) }))
	return err
}

func (s *processStore) Transact(ctx context.Context, t store.Transaction) (uint64, error) {
	return storeCall(ctx, s, func() (uint64, error) { return s.inner.Transact(ctx, t) })
}

func (s *processStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return storeCall(ctx, s, func() (store.LeaseID, error) { return s.inner.Grant(ctx, ttl) })
}

func (s *processStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	_, err := storeCall(ctx, s, withoutValue(func() error { return s.inner.KeepAlive(ctx, id) }))
	return err
}

func (s *processStore) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := storeCall(ctx, s, withoutValue(func() error { return s.inner.Revoke(ctx, id) }))
	return err
}

func (s *processStore) Watch(ctx context.Context, key string, after uint64) (store.KV, error) {
	return storeCall(ctx, s, func() (store.KV, error) { return s.inner.Watch(ctx, key, after) })
}
