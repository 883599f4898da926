package store_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// validPercent is the percentage of the TTL for which a registration is valid.
const validPercent = 98

func expectedValidity(sent time.Time) time.Time { return sent.Add(ttl * validPercent / 100) }

// fastClockStore is a service whose clock is 2 % fast.
type fastClockStore struct{ store.Store }

func (f fastClockStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return f.Store.Grant(ctx, ttl*100/102)
}

// Guards against a validity that is counted from the answer to a renewal instead
// of its request, or that is extended by a failed renewal.
func TestValidityCountsFromTheRequest(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
		const latency = 400 * time.Millisecond
		s.SetLatency(latency)
		began := time.Now()
		r := startRegistrar(c, s, 1)
		c.Check(r.ValidUntil().IsZero(), qt.IsTrue, qt.Commentf("not registered yet"))
		time.Sleep(3 * latency) // grant, read, write
		synctest.Wait()
		c.Check(r.ValidUntil(), qt.Equals, expectedValidity(began))

		renewed := time.Now().Add(ttl/3 - ttl/3/20) // the interval less half of the largest jitter
		time.Sleep(time.Until(renewed) + latency)
		synctest.Wait()
		c.Check(r.ValidUntil(), qt.Equals, expectedValidity(began), qt.Commentf("the key is not checked yet"))
		time.Sleep(latency)
		synctest.Wait()
		c.Check(r.ValidUntil().Sub(expectedValidity(renewed)).Abs() < time.Millisecond, qt.IsTrue, qt.Commentf("%v", r.ValidUntil().Sub(expectedValidity(renewed))))

		last := r.ValidUntil()
		s.SetDown(true)
		time.Sleep(ttl / 2)
		c.Check(r.ValidUntil(), qt.Equals, last)
		s.SetDown(false)
		time.Sleep(ttl / 2)
		c.Check(r.ValidUntil().After(last), qt.IsTrue)
		r.stop()
	})
}

// Guards against reporting a registration as valid after it was lost or replaced,
// or while it is being removed.
func TestNoValidityWithoutARegistration(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
		older := startRegistrar(c, s, 1)
		c.Check(older.ValidUntil().IsZero(), qt.IsFalse)
		newer := startRegistrar(c, s, 2)
		time.Sleep(ttl / 2)
		c.Check(older.ValidUntil().IsZero(), qt.IsTrue, qt.Commentf("replaced"))
		older.stop()

		kv, _ := s.Peek(store.EntriesPrefix + "entry-1")
		c.Assert(s.Delete(context.Background(), kv.Key, kv.Revision), qt.IsNil)
		time.Sleep(ttl / 2)
		c.Check(newer.ValidUntil().After(time.Now()), qt.IsTrue, qt.Commentf("registered again"))
		s.SetDown(true)
		time.Sleep(2 * ttl)
		c.Check(newer.ValidUntil().Before(time.Now()), qt.IsTrue, qt.Commentf("lease ended unnoticed"))
		newer.stop()
		s.SetDown(false)
	})
	inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
		r := startRegistrar(c, s, 1)
		r.stop()
		s.LoseAnswers(1)
		c.Check(r.Deregister(context.Background()), qt.ErrorIs, store.ErrUnknownOutcome)
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(0))
		c.Check(r.ValidUntil().IsZero(), qt.IsTrue)
	})
}

// Guards against reporting a registration as valid when its key is gone, and
// against reporting it as not valid when there is no fault.
func TestKeyLastsAsLongAsItIsValid(t *testing.T) {
	faults := map[string]func(s *storestub.Stub){
		"none":         func(*storestub.Stub) {},
		"down":         func(s *storestub.Stub) { s.SetDown(true) },
		"slow":         func(s *storestub.Stub) { s.SetLatency(30 * time.Second) },
		"latency":      func(s *storestub.Stub) { s.SetLatency(900 * time.Millisecond) },
		"answers lost": func(s *storestub.Stub) { s.LoseAnswers(6) },
		"held up":      func(s *storestub.Stub) { s.HoldWrites(4, ttl/2) },
		"stale reads":  func(s *storestub.Stub) { s.SetStale(true) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
				r := startRegistrar(c, fastClockStore{s}, 1)
				value, ok := s.Peek(store.EntriesPrefix + "entry-1")
				c.Assert(ok, qt.IsTrue)
				const step, steps = 50 * time.Millisecond, 1600
				for i := range steps {
					switch i {
					case 100:
						inject(s)
					case 900:
						s.SetDown(false)
						s.SetLatency(0)
						s.SetStale(false)
					}
					time.Sleep(step)
					synctest.Wait()
					if !time.Now().Before(r.ValidUntil()) {
						c.Check(name != "none" && i > 100 && i < 1200, qt.IsTrue, qt.Commentf("not valid at step %d", i))
						continue
					}
					kv, held := s.Peek(value.Key)
					if !held || !bytes.Equal(kv.Value, value.Value) {
						c.Fatalf("valid for %v at step %d, but the key is gone", time.Until(r.ValidUntil()), i)
					}
				}
				r.stop()
			})
		})
	}
}

// failsFirstWrite fails its first write without carrying it out.
type failsFirstWrite struct {
	store.Store
	failed bool
}

func (f *failsFirstWrite) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease store.LeaseID) (store.KV, error) {
	if !f.failed {
		f.failed = true
		return store.KV{}, store.ErrUnknownOutcome
	}
	return f.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// Guards against a restarted process that takes the registration of its
// predecessor for a newer one because its own first write failed. It would not
// be registered until the old lease expires.
func TestFirstWriteFailsOverAnOlderRegistration(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
		older := startRegistrar(c, s, 1)
		older.stop()
		newer := startRegistrar(c, &failsFirstWrite{Store: s}, 2)
		time.Sleep(ttl / 3)
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(2))
		c.Check(newer.ValidUntil().After(time.Now()), qt.IsTrue)
		newer.stop()
		for _, err := range newer.events {
			c.Check(err, qt.Not(qt.ErrorIs), store.ErrReplaced)
		}
	})
}

// failingReads fails all calls of Get while failing is true.
type failingReads struct {
	store.Store
	failing atomic.Bool
}

func (n *failingReads) Get(ctx context.Context, key string) (store.KV, error) {
	if n.failing.Load() {
		return store.KV{}, store.ErrUnavailable
	}
	return n.Store.Get(ctx, key)
}

// Guards against a validity that is extended with the lease although the key
// could not be read.
func TestValidityNeedsTheKeyToBeRead(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
		n := &failingReads{Store: s}
		r := startRegistrar(c, n, 1)
		last := r.ValidUntil()
		n.failing.Store(true)
		time.Sleep(ttl / 2)
		c.Check(s.Calls()[storestub.KeepAlive] > 0, qt.IsTrue)
		c.Check(r.ValidUntil(), qt.Equals, last)
		r.stop()
	})
}
