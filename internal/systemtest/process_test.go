package systemtest

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/store"
)

// errKilled is the error of all network operations of a killed process.
var errKilled = errors.New("systemtest: the process was killed")

// pauser delays the input and output of a process while the process is paused. The
// timers of the process continue, because goroutines cannot be suspended in virtual
// time.
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

// update changes the pauser and wakes all waiters.
func (p *pauser) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.changed.Broadcast()
}

// waitWhilePaused waits while the process is paused. It returns errKilled if the
// process was killed.
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

// process is the simulated process of an entry or agent, which tests pause and
// kill.
type process struct {
	host, dataCentre string
	net              *faultnet.Network
	pauser           *pauser
	store            *processStore
	cancel           context.CancelFunc
	ended            chan struct{} // closed when Run has returned
}

// kill ends the process at once, without any message to others.
func (p *process) kill() {
	p.pauser.update(func() { p.pauser.dead = true })
	p.net.Reset(p.host)
	p.cancel()
	<-p.ended
}

// dead reports whether the process has ended, by kill or by itself.
func (p *process) dead() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// pause delays everything that the process receives and sends until resume.
func (p *process) pause() { p.pauser.update(func() { p.pauser.paused = true }) }

// resume ends a pause: the process receives what arrived during it.
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

// dialUpstream returns a connection of which a pause delays only the reads. An
// agent writes a request at the same virtual time at which it checked that the task
// may start. A write delayed until after the pause would separate the start from
// that check; the design gives no guarantee for this case.
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

// CloseWrite passes on the end of the process's data; see faultnet.
func (c *pausedConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

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

// storeAccess says what happens to a process's calls to the store.
type storeAccess int

const (
	storeReachable storeAccess = iota
	storeRefuses               // every call fails at once and is not executed
	storeSilent                // every call is left unanswered until its context ends
)

// processStore gives one process access to the store, subject to pauses and to
// faults of its connection.
type processStore struct {
	inner  store.Store
	pauser *pauser
	mu     sync.Mutex
	access storeAccess
	reads  int // calls of Get for the configuration
}

func (s *processStore) setAccess(r storeAccess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.access = r
}

// storeCall makes one call to the store, or fails as the access prescribes.
func storeCall[T any](ctx context.Context, s *processStore, f func() (T, error)) (T, error) {
	var zero T
	if err := s.waitForAccess(ctx); err != nil {
		return zero, err
	}
	out, err := f()
	// An answer that is under way when the process is cut off is lost as well,
	// above all that of a watch.
	if held := s.waitForAccess(ctx); held != nil {
		return zero, held
	}
	return out, err
}

// waitForAccess waits while the process is paused, and returns
// store.ErrUnavailable if the store is not reachable.
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

// withoutValue adapts a call without a result to storeCall.
func withoutValue(f func() error) func() (struct{}, error) {
	return func() (struct{}, error) { return struct{}{}, f() }
}

func (s *processStore) Linearizable() bool { return s.inner.Linearizable() }

func (s *processStore) Verify(ctx context.Context, key string, revision uint64) error {
	_, err := storeCall(ctx, s, withoutValue(func() error { return s.inner.Verify(ctx, key, revision) }))
	return err
}

func (s *processStore) Get(ctx context.Context, key string) (store.KV, error) {
	if key == config.Key {
		s.mu.Lock()
		s.reads++
		s.mu.Unlock()
	}
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
