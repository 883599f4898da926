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
	// after is the key's value some seconds after the fault has ended; empty
	// if the key does not exist then.
	after string
}

func serviceDown(s *storestub.Stub)         { s.SetDown(true) }
func latencyAboveTimeout(s *storestub.Stub) { s.SetLatency(4 * timeout) }
func latencyBelowTimeout(s *storestub.Stub) { s.SetLatency(timeout / 10) }
func loseAnswer(s *storestub.Stub)          { s.LoseAnswers(1) }
func delayWrite(s *storestub.Stub)          { s.HoldWrites(1, 4*timeout) }
func silenceWatches(s *storestub.Stub)      { s.SetSilentWatch(true) }
func expireLeases(s *storestub.Stub) {
	s.ExpireLeases()
}

// staleReads changes key "a" and makes reads return the state before the change.
func staleReads(s *storestub.Stub) {
	kv, _ := s.Peek("a")
	s.SetStale(true)
	s.Put("a", append(kv.Value, "er"...))
}

// staleReadsOfOtherKey changes another key and makes reads return the state before
// the change.
func staleReadsOfOtherKey(s *storestub.Stub) {
	s.SetStale(true)
	s.Put("other", []byte("y"))
}

// restoreBackup changes key "a" and then restores a backup that was made before.
func restoreBackup(s *storestub.Stub) {
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

func compareAndSwap(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	_, err := s.CompareAndSwap(ctx, "a", kv.Revision, []byte("new"), 0)
	return err
}

func compareAndSwapWrongRevision(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
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

func watchAfterEarlierRevision(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	_, err := s.Watch(ctx, "a", kv.Revision-1)
	return err
}

var faultCases = []faultCase{
	{"down: get", serviceDown, get, store.ErrUnavailable, "old"},
	{"down: list", serviceDown, list, store.ErrUnavailable, "old"},
	{"down: verify", serviceDown, verify, store.ErrUnavailable, "old"},
	{"down: write", serviceDown, compareAndSwap, store.ErrUnavailable, "old"},
	{"down: delete", serviceDown, remove, store.ErrUnavailable, "old"},
	{"down: grant", serviceDown, grant, store.ErrUnavailable, "old"},
	{"down: keep alive", serviceDown, keepAlive, store.ErrUnavailable, "old"},
	{"down: revoke", serviceDown, revoke, store.ErrUnavailable, "old"},
	{"down: watch", serviceDown, watch, store.ErrUnavailable, "old"},
	{"steady latency: get", latencyBelowTimeout, get, nil, "old"},
	{"steady latency: verify", latencyBelowTimeout, verify, nil, "old"},
	{"steady latency: write", latencyBelowTimeout, compareAndSwap, nil, "new"},
	{"slow: get", latencyAboveTimeout, get, store.ErrUnavailable, "old"},
	{"slow: verify", latencyAboveTimeout, verify, store.ErrUnavailable, "old"},
	{"slow: write takes effect later", latencyAboveTimeout, compareAndSwap, store.ErrUnknownOutcome, "new"},
	{"slow: delete takes effect later", latencyAboveTimeout, remove, store.ErrUnknownOutcome, ""},
	{"answer lost: write", loseAnswer, compareAndSwap, store.ErrUnknownOutcome, "new"},
	{"answer lost: conflict", loseAnswer, compareAndSwapWrongRevision, store.ErrUnknownOutcome, "old"},
	{"answer lost: delete", loseAnswer, remove, store.ErrUnknownOutcome, ""},
	{"answer lost: grant", loseAnswer, grant, store.ErrUnknownOutcome, "old"},
	{"answer lost: keep alive", loseAnswer, keepAlive, store.ErrUnknownOutcome, "old"},
	{"answer lost: revoke", loseAnswer, revoke, store.ErrUnknownOutcome, ""},
	{"held up: write takes effect later", delayWrite, compareAndSwap, store.ErrUnknownOutcome, "new"},
	{"silent watch", silenceWatches, watchAfterEarlierRevision, store.ErrUnavailable, "old"},
	{"expired lease: keep alive", expireLeases, keepAlive, store.ErrLeaseExpired, ""},
	{"expired lease: verify", expireLeases, verify, store.ErrConflict, ""},
	{"expired lease: write", expireLeases, compareAndSwap, store.ErrConflict, ""},
	{"stale reads: verify sees the change", staleReads, verify, store.ErrConflict, "older"},
	{"stale reads: verify of an unchanged key", staleReadsOfOtherKey, verify, nil, "old"},
	{"restored: verify", restoreBackup, verify, nil, "old"},
	{"restored: read", restoreBackup, get, nil, "old"},
	{"restored: keep alive", restoreBackup, keepAlive, nil, "old"},
}

func (f faultCase) check(c *checker) {
	lease := c.grant(time.Hour)
	c.put("other", 0, "x", 0)
	kv := c.put("a", 0, "old", lease)
	f.inject(c.Stub)
	c.wantError("call", f.call(c.ctx(), c.Store, kv, lease), f.want)

	time.Sleep(10 * timeout)
	c.Stub.SetDown(false)
	c.Stub.SetLatency(0)
	c.Stub.SetSilentWatch(false)
	c.Stub.SetStale(false)
	synctest.Wait()
	f.checkWhole(c)
	if f.after == "" {
		c.wantMissing("a")
		return
	}
	c.wantValue("a", f.after)
}

// checkWhole guards against a transaction of which only a part took effect:
// replace must write keys "a" and "b" and remove "other", or do none of it.
func (f faultCase) checkWhole(c *checker) {
	a, _ := c.Stub.Peek("a")
	_, wrote := c.Stub.Peek("b")
	_, kept := c.Stub.Peek("other")
	if replaced := string(a.Value) == "replaced"; wrote != replaced || kept == replaced {
		c.Errorf("key \"a\" replaced: %v, key \"b\" written: %v, key \"other\" kept: %v", replaced, wrote, kept)
	}
}
