package storestub

import (
	"bytes"
	"context"
	"maps"
	"time"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/store"
)

// faults are the faults in effect.
type faults struct {
	latency     time.Duration
	down        bool
	lose        int // number of further writes whose answers are lost
	hold        int // number of further writes that are carried out late
	holdFor     time.Duration
	silentWatch bool
	stale       map[string]record // nil: reads see the current state
}

// SetLatency sets the time that each call takes before it is carried out. A
// write whose caller stops waiting is still carried out.
func (s *Stub) SetLatency(d time.Duration) { s.set(func(f *faults) { f.latency = d }) }

// SetDown makes all calls fail as unavailable without being carried out, and
// ends waiting watches.
func (s *Stub) SetDown(down bool) { s.set(func(f *faults) { f.down = down }) }

// LoseAnswers lets the next n writes take effect and loses their answers.
func (s *Stub) LoseAnswers(n int) { s.set(func(f *faults) { f.lose = n }) }

// HoldWrites loses the answers of the next n writes at once and carries the
// writes out after d, as when a request is held up on its way. A write has no
// effect if its condition no longer holds by then.
func (s *Stub) HoldWrites(n int, d time.Duration) {
	s.set(func(f *faults) { f.hold, f.holdFor = n, d })
}

// SetSilentWatch lets watches wait without ever reporting a change.
func (s *Stub) SetSilentWatch(silent bool) { s.set(func(f *faults) { f.silentWatch = silent }) }

// SetStale makes reads and watches show the state as it is now, until it is
// set to false. Writes and verifications still see the current state.
func (s *Stub) SetStale(stale bool) {
	s.set(func(f *faults) {
		f.stale = nil
		if stale {
			f.stale = maps.Clone(s.keys)
		}
	})
}

func (s *Stub) set(change func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.notify()
}

// Snapshot is a backup of the service's state.
type Snapshot struct {
	keys     map[string]record
	leases   map[store.LeaseID]time.Duration
	revision uint64
}

// Snapshot makes a backup.
func (s *Stub) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Snapshot{maps.Clone(s.keys), map[store.LeaseID]time.Duration{}, s.revision}
	for id, l := range s.leases {
		b.leases[id] = l.ttl
	}
	return b
}

// Restore brings the state back to a backup. Revisions continue from the
// backup's, so that a revision may be used twice; leases begin anew.
func (s *Stub) Restore(b Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.timer.Stop()
		delete(s.leases, id)
	}
	s.keys, s.revision = maps.Clone(b.keys), b.revision
	for id, ttl := range b.leases {
		s.addLease(id, ttl)
	}
	s.notify()
}

// ExpireLeases ends all leases at once, as if their holders had been paused.
func (s *Stub) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Put writes a key without a call being counted and without faults.
func (s *Stub) Put(key string, value []byte) store.KV {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keys[key] = record{value: bytes.Clone(value), revision: s.revision}
	s.notify()
	return s.keys[key].kv(key)
}

// Peek returns a key without a call being counted and without faults.
func (s *Stub) Peek(key string) (store.KV, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.keys[key]
	return r.kv(key), ok
}

// readable returns the state that reads see; the caller holds the lock.
func (s *Stub) readable() map[string]record {
	if s.faults.stale != nil {
		return s.faults.stale
	}
	return s.keys
}

// unavailable returns an error while the service is down; the caller holds the lock.
func (s *Stub) unavailable() error {
	if s.faults.down {
		return failed(store.ErrUnavailable, nil)
	}
	return nil
}

// enter counts a call and waits for the latency. It fails when ctx ends first.
func (s *Stub) enter(ctx context.Context, kind Kind) error {
	if ctx.Err() != nil {
		return failed(store.ErrUnavailable, ctx.Err())
	}
	s.mu.Lock()
	s.calls[kind]++
	latency := s.faults.latency
	s.mu.Unlock()
	if latency <= 0 {
		return nil
	}
	if !wait.For(ctx, latency, nil) {
		return failed(store.ErrUnavailable, ctx.Err())
	}
	return nil
}

// call carries out apply under the lock, subject to the faults.
func call[T any](ctx context.Context, s *Stub, kind Kind, apply func() (T, error)) (T, error) {
	if kind.Write() {
		return write(ctx, s, kind, apply)
	}
	var none T
	if err := s.enter(ctx, kind); err != nil {
		return none, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable(); err != nil {
		return none, err
	}
	return apply()
}

// write carries out a write even if ctx ends while it is on its way.
func write[T any](ctx context.Context, s *Stub, kind Kind, apply func() (T, error)) (T, error) {
	var none T
	if ctx.Err() != nil {
		return none, failed(store.ErrUnavailable, ctx.Err())
	}
	type answer struct {
		result T
		err    error
	}
	done := make(chan answer, 1)
	carryOut := func() {
		_ = s.enter(context.WithoutCancel(ctx), kind)
		result, err := applyWrite(s, apply)
		done <- answer{result, err}
	}
	if s.slow() {
		go carryOut()
	} else {
		carryOut()
	}
	select {
	case a := <-done:
		return a.result, a.err
	case <-ctx.Done():
		return none, failed(store.ErrUnknownOutcome, ctx.Err())
	}
}

func (s *Stub) slow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.latency > 0
}

func applyWrite[T any](s *Stub, apply func() (T, error)) (T, error) {
	var none T
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable(); err != nil {
		return none, err
	}
	if s.faults.hold > 0 {
		s.faults.hold--
		time.AfterFunc(s.faults.holdFor, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = apply()
		})
		return none, store.ErrUnknownOutcome
	}
	result, err := apply()
	if s.faults.lose > 0 {
		s.faults.lose--
		return none, store.ErrUnknownOutcome
	}
	return result, err
}

func callErr(ctx context.Context, s *Stub, kind Kind, apply func() error) error {
	_, err := call(ctx, s, kind, func() (struct{}, error) { return struct{}{}, apply() })
	return err
}

// failed returns an error that matches sentinel and, if given, cause.
func failed(sentinel, cause error) error {
	if cause == nil {
		return sentinel
	}
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}
