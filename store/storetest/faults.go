package storetest

import (
	"context"
	"testing/synctest"
	"time"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
)

// faultCase makes one call on the key "a", which holds "old" under a lease,
// while a fault is in effect.
type faultCase struct {
	name   string
	inject func(s *storestub.Stub)
	call   func(ctx context.Context, s store.Store, kv store.KV, lease store.LeaseID) error
	want   error
	// after is the key's value some seconds later, without faults; empty
	// when the key is gone.
	after string
}

func down(s *storestub.Stub)   { s.SetDown(true) }
func slow(s *storestub.Stub)   { s.SetLatency(4 * timeout) }
func steady(s *storestub.Stub) { s.SetLatency(timeout / 10) }
func lost(s *storestub.Stub)   { s.LoseAnswers(1) }
func held(s *storestub.Stub)   { s.HoldWrites(1, 4*timeout) }
func silent(s *storestub.Stub) { s.SetSilentWatch(true) }
func expired(s *storestub.Stub) {
	s.ExpireLeases()
}

// stale lets reads hide a change of key "a".
func stale(s *storestub.Stub) {
	kv, _ := s.Peek("a")
	s.SetStale(true)
	s.Put("a", append(kv.Value, "er"...))
}

// staleElsewhere lets reads hide a change of another key.
func staleElsewhere(s *storestub.Stub) {
	s.SetStale(true)
	s.Put("other", []byte("y"))
}

// restored brings back a backup that was made before key "a" was changed.
func restored(s *storestub.Stub) {
	kv, _ := s.Peek("a")
	backup := s.Snapshot()
	s.Put("a", append(kv.Value, "er"...))
	s.Restore(backup)
}

func get(ctx context.Context, s store.Store, _ store.KV, _ store.LeaseID) error {
	_, err := s.Get(ctx, "a")
	return err
}

func list(ctx context.Context, s store.Store, _ store.KV, _ store.LeaseID) error {
	_, err := s.List(ctx, "a")
	return err
}

func verify(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	return s.Verify(ctx, "a", kv.Revision)
}

func swap(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	_, err := s.CompareAndSwap(ctx, "a", kv.Revision, []byte("new"), 0)
	return err
}

func swapWrong(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	_, err := s.CompareAndSwap(ctx, "a", kv.Revision+1, []byte("new"), 0)
	return err
}

func remove(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	return s.Delete(ctx, "a", kv.Revision)
}

func grant(ctx context.Context, s store.Store, _ store.KV, _ store.LeaseID) error {
	_, err := s.Grant(ctx, time.Hour)
	return err
}

func keepAlive(ctx context.Context, s store.Store, _ store.KV, lease store.LeaseID) error {
	return s.KeepAlive(ctx, lease)
}

func revoke(ctx context.Context, s store.Store, _ store.KV, lease store.LeaseID) error {
	return s.Revoke(ctx, lease)
}

func watch(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	_, err := s.Watch(ctx, "a", kv.Revision)
	return err
}

func watchOlder(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	_, err := s.Watch(ctx, "a", kv.Revision-1)
	return err
}

var faultCases = []faultCase{
	{"down: get", down, get, store.ErrUnavailable, "old"},
	{"down: list", down, list, store.ErrUnavailable, "old"},
	{"down: verify", down, verify, store.ErrUnavailable, "old"},
	{"down: write", down, swap, store.ErrUnavailable, "old"},
	{"down: delete", down, remove, store.ErrUnavailable, "old"},
	{"down: grant", down, grant, store.ErrUnavailable, "old"},
	{"down: keep alive", down, keepAlive, store.ErrUnavailable, "old"},
	{"down: revoke", down, revoke, store.ErrUnavailable, "old"},
	{"down: watch", down, watch, store.ErrUnavailable, "old"},
	{"steady latency: get", steady, get, nil, "old"},
	{"steady latency: verify", steady, verify, nil, "old"},
	{"steady latency: write", steady, swap, nil, "new"},
	{"slow: get", slow, get, store.ErrUnavailable, "old"},
	{"slow: verify", slow, verify, store.ErrUnavailable, "old"},
	{"slow: write takes effect later", slow, swap, store.ErrUnknownOutcome, "new"},
	{"slow: delete takes effect later", slow, remove, store.ErrUnknownOutcome, ""},
	{"answer lost: write", lost, swap, store.ErrUnknownOutcome, "new"},
	{"answer lost: conflict", lost, swapWrong, store.ErrUnknownOutcome, "old"},
	{"answer lost: delete", lost, remove, store.ErrUnknownOutcome, ""},
	{"answer lost: grant", lost, grant, store.ErrUnknownOutcome, "old"},
	{"answer lost: keep alive", lost, keepAlive, store.ErrUnknownOutcome, "old"},
	{"answer lost: revoke", lost, revoke, store.ErrUnknownOutcome, ""},
	{"held up: write takes effect later", held, swap, store.ErrUnknownOutcome, "new"},
	{"silent watch", silent, watchOlder, store.ErrUnavailable, "old"},
	{"expired lease: keep alive", expired, keepAlive, store.ErrLeaseExpired, ""},
	{"expired lease: verify", expired, verify, store.ErrConflict, ""},
	{"expired lease: write", expired, swap, store.ErrConflict, ""},
	{"stale reads: verify sees the change", stale, verify, store.ErrConflict, "older"},
	{"stale reads: verify of an unchanged key", staleElsewhere, verify, nil, "old"},
	{"restored: verify", restored, verify, nil, "old"},
	{"restored: read", restored, get, nil, "old"},
	{"restored: keep alive", restored, keepAlive, nil, "old"},
}

func (f faultCase) check(c *checker) {
	lease := c.grant(time.Hour)
	c.put("other", 0, "x", 0)
	kv := c.put("a", 0, "old", lease)
	f.inject(c.Stub)
	c.wants("call", f.call(c.ctx(), c.Store, kv, lease), f.want)

	time.Sleep(10 * timeout)
	c.Stub.SetDown(false)
	c.Stub.SetLatency(0)
	c.Stub.SetSilentWatch(false)
	c.Stub.SetStale(false)
	synctest.Wait()
	f.checkWhole(c)
	if f.after == "" {
		c.missing("a")
		return
	}
	c.holds("a", f.after)
}

// checkWhole guards against a transaction of which a part took effect: replace
// writes keys "a" and "b" and removes "other", or does none of it.
func (f faultCase) checkWhole(c *checker) {
	a, _ := c.Stub.Peek("a")
	_, wrote := c.Stub.Peek("b")
	_, kept := c.Stub.Peek("other")
	if replaced := string(a.Value) == "replaced"; wrote != replaced || kept == replaced {
		c.Errorf("key \"a\" replaced: %v, key \"b\" written: %v, key \"other\" kept: %v", replaced, wrote, kept)
	}
}
