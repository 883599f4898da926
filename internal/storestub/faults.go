package storestub

import (
	"bytes"
	"context"
	"maps"
	"math"
	"time"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/store"
)

// faults are the faults that are in effect.
type faults struct {
	latency      time.Duration
	down         bool
	writesToLose int // number of further writes whose answers are lost
	writesToHold int // number of further writes that are carried out late
	holdDuration time.Duration
	silentWatch  bool
	staleKeys    map[string]record               // nil: reads see the current state
	pausedLeases map[store.LeaseID]time.Duration // time to live that is left; nil: leases run

	// The following apply to calls over HTTP only.
	refusedHosts map[string]int // status for all calls of a host
	readsToLose  int            // number of further reads that get no answer
	silentLosses bool           // a connection whose answer was lost stays open
	pageKeys     int            // largest number of keys in a page of a list; 0: maxPageKeys
}

// SetLatency sets the time that each call takes before it is carried out. A
// write whose caller stops waiting is still carried out.
func (s *Stub) SetLatency(d time.Duration) { s.setFaults(func(f *faults) { f.latency = d }) }

// SetDown makes all calls fail as unavailable without being carried out, and
// ends waiting watches.
func (s *Stub) SetDown(down bool) { s.setFaults(func(f *faults) { f.down = down }) }

// LoseAnswers makes the next n writes take effect and return
// store.ErrUnknownOutcome, as when the answer is lost.
func (s *Stub) LoseAnswers(n int) { s.setFaults(func(f *faults) { f.writesToLose = n }) }

// HoldWrites makes the next n writes return store.ErrUnknownOutcome at once and
// take effect after d, as when a request is delayed in the network. A write has
// no effect if its condition does not hold at that time.
func (s *Stub) HoldWrites(n int, d time.Duration) {
	s.setFaults(func(f *faults) { f.writesToHold, f.holdDuration = n, d })
}

// SetSilentWatch makes watches wait without reporting changes.
func (s *Stub) SetSilentWatch(silent bool) { s.setFaults(func(f *faults) { f.silentWatch = silent }) }

// SetStale with true makes reads and watches return the state at the time of
// this call, until SetStale is called with false. Writes and verifications still
// use the current state.
func (s *Stub) SetStale(stale bool) {
	s.setFaults(func(f *faults) {
		f.staleKeys = nil
		if stale {
			f.staleKeys = maps.Clone(s.keys)
		}
	})
}

func (s *Stub) setFaults(change func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	s.notifyWatches()
}

// Snapshot is a backup of the service's state.
type Snapshot struct {
	keys     map[string]record
	leases   map[store.LeaseID]time.Duration
	revision uint64
}

// Snapshot returns a backup of the current state.
func (s *Stub) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Snapshot{maps.Clone(s.keys), map[store.LeaseID]time.Duration{}, s.revision}
	for id, l := range s.leases {
		b.leases[id] = l.ttl
	}
	return b
}

// Restore replaces the state by a backup. Revisions continue from that of the
// backup, so that a revision can be used twice. Leases start again with their
// full time to live.
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
	s.notifyWatches()
}

// ExpireLeases ends all leases at once, as if their holders had been paused.
func (s *Stub) ExpireLeases() { s.ExpireLeasesUpTo(math.MaxInt64) }

// ExpireLeasesUpTo is ExpireLeases for the leases with at most this time to live.
func (s *Stub) ExpireLeasesUpTo(ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if l.ttl <= ttl {
			s.endLease(id)
		}
	}
}

// Put writes a key. It is not counted as a call and not subject to faults.
func (s *Stub) Put(key string, value []byte) store.KV {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keys[key] = record{value: bytes.Clone(value), revision: s.revision}
	s.notifyWatches()
	return s.keys[key].kv(key)
}

// Peek returns a key and whether it exists. It is not counted as a call and not
// subject to faults.
func (s *Stub) Peek(key string) (store.KV, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.keys[key]
	return r.kv(key), ok
}

// readableKeys returns the keys that reads see, which are stale if SetStale is in
// effect; the caller holds the lock.
func (s *Stub) readableKeys() map[string]record {
	if s.faults.staleKeys != nil {
		return s.faults.staleKeys
	}
	return s.keys
}

// errIfDown returns an error while the service is down; the caller holds the
// lock.
func (s *Stub) errIfDown() error {
	if s.faults.down {
		return wrapCause(store.ErrUnavailable, nil)
	}
	return nil
}

// beginCall counts a call and waits for the latency. It returns an error if ctx
// ends first.
func (s *Stub) beginCall(ctx context.Context, kind Kind) error {
	if ctx.Err() != nil {
		return wrapCause(store.ErrUnavailable, ctx.Err())
	}
	if latency := s.countCall(kind); latency > 0 && !wait.For(ctx, latency, nil) {
		return wrapCause(store.ErrUnavailable, ctx.Err())
	}
	return nil
}

// countCall counts a call and returns its latency.
func (s *Stub) countCall(kind Kind) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	return s.faults.latency
}

// runCall calls apply under the lock, subject to the faults.
func runCall[T any](ctx context.Context, s *Stub, kind Kind, apply func() (T, error)) (T, error) {
	if kind.Write() {
		return runWrite(ctx, s, kind, apply)
	}
	var none T
	if err := s.beginCall(ctx, kind); err != nil {
		return none, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.errIfDown(); err != nil {
		return none, err
	}
	return apply()
}

// runWrite carries out a write even if ctx ends during the latency, which is read once:
// set between two readings, it would be waited for without the time-out.
func runWrite[T any](ctx context.Context, s *Stub, kind Kind, apply func() (T, error)) (T, error) {
	var none T
	if ctx.Err() != nil {
		return none, wrapCause(store.ErrUnavailable, ctx.Err())
	}
	type answer struct {
		result T
		err    error
	}
	done := make(chan answer, 1)
	latency := s.countCall(kind)
	carryOut := func() {
		if latency > 0 {
			time.Sleep(latency)
		}
		result, err := applyWrite(s, apply)
		done <- answer{result, err}
	}
	if latency > 0 {
		go carryOut()
	} else {
		carryOut()
	}
	select {
	case a := <-done:
		return a.result, a.err
	case <-ctx.Done():
		return none, wrapCause(store.ErrUnknownOutcome, ctx.Err())
	}
}

func applyWrite[T any](s *Stub, apply func() (T, error)) (T, error) {
	var none T
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.errIfDown(); err != nil {
		return none, err
	}
	if s.faults.writesToHold > 0 {
		s.faults.writesToHold--
		time.AfterFunc(s.faults.holdDuration, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = apply()
		})
		return none, store.ErrUnknownOutcome
	}
	result, err := apply()
	if s.faults.writesToLose > 0 {
		s.faults.writesToLose--
		return none, store.ErrUnknownOutcome
	}
	return result, err
}

func runCallWithoutResult(ctx context.Context, s *Stub, kind Kind, apply func() error) error {
	_, err := runCall(ctx, s, kind, func() (struct{}, error) { return struct{}{}, apply() })
	return err
}

// wrapCause returns an error that matches sentinel and, if it is not nil, cause.
func wrapCause(sentinel, cause error) error {
	if cause == nil {
		return sentinel
	}
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}
