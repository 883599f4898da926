// Package storestub stands in for the platform's key-value service in tests
// and in development deployments. It keeps everything in memory, counts calls
// by kind and injects the service's known faults. All waits use the time
// package, so that a stub created inside a testing/synctest bubble runs in
// virtual time.
package storestub

import (
	"bytes"
	"context"
	"maps"
	"sync"
	"time"

	"chicorytray.example/chicorytray/store"
)

// Kind is the kind of a call.
type Kind string

// Kinds of calls. A watch counts as one call, however long it waits.
const (
	Get            Kind = "get"
	List           Kind = "list"
	Verify         Kind = "verify"
	CompareAndSwap Kind = "compare_and_swap"
	Delete         Kind = "delete"
	Transact       Kind = "transact"
	Grant          Kind = "grant"
	KeepAlive      Kind = "keep_alive"
	Revoke         Kind = "revoke"
	Watch          Kind = "watch"
)

// Write reports whether calls of the kind change the service's state.
func (k Kind) Write() bool {
	return k != Get && k != List && k != Verify && k != Watch
}

type record struct {
	value    []byte
	revision uint64
	lease    store.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

// Stub is the stand-in of the service. It implements store.Store, and Handler
// serves the same state over HTTP.
type Stub struct {
	mu               sync.Mutex
	keys             map[string]record
	leases           map[store.LeaseID]*lease
	revision         uint64
	lastGrantedLease store.LeaseID
	changed          chan struct{} // closed and replaced with every change
	calls            map[Kind]int
	faults           faults
}

var _ store.Store = (*Stub)(nil)

// New returns an empty service without faults.
func New() *Stub {
	return &Stub{
		keys:    map[string]record{},
		leases:  map[store.LeaseID]*lease{},
		changed: make(chan struct{}),
		calls:   map[Kind]int{},
	}
}

// Calls returns the number of calls by kind since the stub was created.
// Calls that failed are included.
func (s *Stub) Calls() map[Kind]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// TotalCalls returns the number of calls of all kinds.
func (s *Stub) TotalCalls() int {
	total := 0
	for _, n := range s.Calls() {
		total += n
	}
	return total
}

// Linearizable implements store.Store. It is false because SetStale can make
// reads return an older state.
func (s *Stub) Linearizable() bool { return false }

// Verify implements store.Store. It checks the current state even while reads
// are stale.
func (s *Stub) Verify(ctx context.Context, key string, revision uint64) error {
	return runCallWithoutResult(ctx, s, Verify, func() error {
		if s.keys[key].revision != revision {
			return store.ErrConflict
		}
		return nil
	})
}

// Get implements store.Store.
func (s *Stub) Get(ctx context.Context, key string) (store.KV, error) {
	return runCall(ctx, s, Get, func() (store.KV, error) { return s.readKey(key) })
}

// CompareAndSwap implements store.Store.
func (s *Stub) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, id store.LeaseID) (store.KV, error) {
	if len(value) > store.MaxValueBytes {
		return store.KV{}, store.ErrTooLarge
	}
	value = bytes.Clone(value)
	return runCall(ctx, s, CompareAndSwap, func() (store.KV, error) {
		if id != 0 && s.leases[id] == nil {
			return store.KV{}, store.ErrLeaseExpired
		}
		if s.keys[key].revision != expect {
			return store.KV{}, store.ErrConflict
		}
		s.revision++
		s.keys[key] = record{value, s.revision, id}
		s.notifyWatches()
		return s.keys[key].kv(key), nil
	})
}

// Delete implements store.Store.
func (s *Stub) Delete(ctx context.Context, key string, expect uint64) error {
	return runCallWithoutResult(ctx, s, Delete, func() error {
		r, ok := s.keys[key]
		switch {
		case !ok:
			return store.ErrNotFound
		case r.revision != expect:
			return store.ErrConflict
		}
		s.removeKey(key)
		return nil
	})
}

// Grant implements store.Store.
func (s *Stub) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return runCall(ctx, s, Grant, func() (store.LeaseID, error) {
		s.lastGrantedLease++
		s.addLease(s.lastGrantedLease, ttl)
		return s.lastGrantedLease, nil
	})
}

// KeepAlive implements store.Store.
func (s *Stub) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return runCallWithoutResult(ctx, s, KeepAlive, func() error {
		l := s.leases[id]
		if l == nil {
			return store.ErrLeaseExpired
		}
		l.expires = time.Now().Add(l.ttl)
		l.timer.Reset(l.ttl)
		return nil
	})
}

// Revoke implements store.Store.
func (s *Stub) Revoke(ctx context.Context, id store.LeaseID) error {
	return runCallWithoutResult(ctx, s, Revoke, func() error {
		if s.leases[id] == nil {
			return store.ErrLeaseExpired
		}
		s.endLease(id)
		return nil
	})
}

// Watch implements store.Store.
func (s *Stub) Watch(ctx context.Context, key string, after uint64) (store.KV, error) {
	if err := s.beginCall(ctx, Watch); err != nil {
		return store.KV{}, err
	}
	for {
		s.mu.Lock()
		changed, silent, err := s.changed, s.faults.silentWatch, s.errIfDown()
		kv, readErr := s.readKey(key)
		s.mu.Unlock()
		switch {
		case err != nil:
			return store.KV{}, err
		case !silent && kv.Revision != after:
			return kv, readErr
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.KV{}, wrapCause(store.ErrUnavailable, ctx.Err())
		}
	}
}

func (r record) kv(key string) store.KV {
	return store.KV{Key: key, Value: bytes.Clone(r.value), Revision: r.revision}
}

// readKey returns one key as a reader sees it; the caller holds the lock.
func (s *Stub) readKey(key string) (store.KV, error) {
	r, ok := s.readableKeys()[key]
	if !ok {
		return store.KV{}, store.ErrNotFound
	}
	return r.kv(key), nil
}

// notifyWatches wakes all watches; the caller holds the lock.
func (s *Stub) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeKey deletes a key; the caller holds the lock.
func (s *Stub) removeKey(key string) {
	delete(s.keys, key)
	s.revision++
	s.notifyWatches()
}

// addLease stores a lease that ends after ttl; the caller holds the lock.
func (s *Stub) addLease(id store.LeaseID, ttl time.Duration) {
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		// The lease can be renewed between the firing of the timer and the lock.
		if s.leases[id] == l && !time.Now().Before(l.expires) {
			s.endLease(id)
		}
	})
	s.leases[id] = l
}

// endLease removes a lease with its keys; the caller holds the lock.
func (s *Stub) endLease(id store.LeaseID) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	for key, r := range s.keys {
		if r.lease == id {
			s.removeKey(key)
		}
	}
}
