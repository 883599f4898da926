package claims_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/claims"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
)

func claimOf(key, job string) claims.Claim {
	return claims.Claim{Key: key, Account: "bureau", Fingerprint: "f-" + job, Job: job}
}

// newClaimer returns a Claimer whose jitter depends only on the seed.
func newClaimer(s store.Store, seed uint64) *claims.Claimer {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(seed, 0))
	return claims.New(claims.Options{Store: s, MaxCallsPerSecond: 10_000, Jitter: func(d time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(source.Int64N(int64(d)))
	}})
}

// storedOwner returns the job that owns the key in the store; empty for none.
func storedOwner(s *storestub.Stub, key string) string {
	c := claimOf(key, "reader")
	kv, _ := s.Peek(c.ShardKey())
	shard, err := claims.DecodeShard(kv.Value)
	if err != nil {
		return err.Error()
	}
	owner, _ := shard.Owner(c)
	return owner.Job
}

// sameShardKeys returns n keys of one shard.
func sameShardKeys(n int) []string {
	first := claimOf("key", "j").ShardKey()
	keys := []string{"key"}
	for i := 0; len(keys) < n; i++ {
		if key := fmt.Sprintf("key-%d", i); claimOf(key, "j").ShardKey() == first {
			keys = append(keys, key)
		}
	}
	return keys
}

// inBubble runs a test in a synctest bubble, with a stand-in for the store and two
// Claimers, as in two entries.
func inBubble(t *testing.T, test func(c *qt.C, s *storestub.Stub, a, b *claims.Claimer)) {
	synctest.Test(t, func(t *testing.T) {
		s := storestub.New()
		a, b := newClaimer(s, 1), newClaimer(s, 2)
		defer a.Close()
		defer b.Close()
		test(qt.New(t), s, a, b)
	})
}

// Guards against two jobs that own one key, and against a repeated submission that
// does not get the job for whose result it must wait.
func TestSecondClaimLearnsTheOwner(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *storestub.Stub, a, b *claims.Claimer) {
		ctx := context.Background()
		owner, won, err := a.Claim(ctx, claimOf("k", "job-1"))
		c.Assert(err, qt.IsNil)
		c.Check(won, qt.IsTrue)
		c.Check(owner, qt.Equals, claimOf("k", "job-1"))
		for _, claimer := range []*claims.Claimer{a, b} {
			owner, won, err = claimer.Claim(ctx, claimOf("k", "job-2"))
			c.Assert(err, qt.IsNil)
			c.Check(won, qt.IsFalse)
			c.Check(owner, qt.Equals, claimOf("k", "job-1"))
		}
		other := claimOf("k", "job-3")
		other.Account = "office"
		_, won, err = b.Claim(ctx, other)
		c.Assert(err, qt.IsNil)
		c.Check(won, qt.IsTrue, qt.Commentf("keys of two accounts are separate"))
	})
}

// Guards against a key that stays claimed after its job was refused, and against a
// release by a job that does not own the key.
func TestReleaseFreesTheKeyOfItsOwnerOnly(t *testing.T) {
	inBubble(t, func(c *qt.C, s *storestub.Stub, a, b *claims.Claimer) {
		ctx := context.Background()
		_, _, err := a.Claim(ctx, claimOf("k", "job-1"))
		c.Assert(err, qt.IsNil)
		c.Assert(b.Release(ctx, claimOf("k", "job-2")), qt.IsNil)
		c.Check(storedOwner(s, "k"), qt.Equals, "job-1")
		c.Assert(a.Release(ctx, claimOf("k", "job-1")), qt.IsNil)
		c.Check(storedOwner(s, "k"), qt.Equals, "")
		_, won, err := b.Claim(ctx, claimOf("k", "job-2"))
		c.Assert(err, qt.IsNil)
		c.Check(won, qt.IsTrue)
	})
}

// Guards against a claim that is kept after its retention period, and one that is
// removed within it by an entry whose clock is ahead.
func TestRetention(t *testing.T) {
	inBubble(t, func(c *qt.C, s *storestub.Stub, a, b *claims.Claimer) {
		ctx := context.Background()
		_, _, err := a.Claim(ctx, claimOf("k", "job-1"))
		c.Assert(err, qt.IsNil)
		time.Sleep(claims.DefaultRetention + claims.MaxClockSkew)
		_, won, err := b.Claim(ctx, claimOf("k", "job-2"))
		c.Assert(err, qt.IsNil)
		c.Check(won, qt.IsFalse)
		time.Sleep(2 * time.Second)
		_, won, err = b.Claim(ctx, claimOf("k", "job-2"))
		c.Assert(err, qt.IsNil)
		c.Check(won, qt.IsTrue)
	})
}

// Guards against one write for each claim, which would exceed the several hundred
// writes per second that the store can take.
func TestClaimsInFlightShareWrites(t *testing.T) {
	inBubble(t, func(c *qt.C, s *storestub.Stub, a, _ *claims.Claimer) {
		s.SetLatency(5 * time.Millisecond)
		var group sync.WaitGroup
		for i, key := range sameShardKeys(100) {
			group.Go(func() {
				_, won, err := a.Claim(context.Background(), claimOf(key, fmt.Sprintf("job-%d", i)))
				if err != nil || !won {
					t.Errorf("claim %d: won %v, %v", i, won, err)
				}
			})
		}
		group.Wait()
		if n := s.Calls()[storestub.CompareAndSwap]; n > 2 {
			t.Errorf("100 claims took %d writes, want at most 2", n)
		}
	})
}

// Guards against claims that use all calls to the store that a process may make.
// The configuration would then no longer be read, and no task would start.
func TestClaimsKeepToTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storestub.New()
		a := claims.New(claims.Options{Store: s, MaxCallsPerSecond: 10})
		defer a.Close()
		var group sync.WaitGroup
		began := time.Now()
		for i := range 40 {
			group.Go(func() {
				// Attempts begin at multiples of 200 ms. The timeout is not a
				// multiple, because the outcome of a claim in flight would be
				// unknown.
				ctx, cancel := context.WithTimeout(context.Background(), 1900*time.Millisecond)
				defer cancel()
				_, won, err := a.Claim(ctx, claimOf(fmt.Sprint(i), fmt.Sprintf("job-%d", i)))
				if won != (err == nil) || err != nil && !errors.Is(err, claims.ErrNotClaimed) {
					t.Errorf("claim %d: won %v, %v", i, won, err)
				}
			})
		}
		group.Wait()
		// A burst of 10 calls and 19 more within 1.9 s, in pairs.
		if n := s.TotalCalls(); n != 28 || time.Since(began) > 2*time.Second {
			t.Errorf("%d calls in %v, want 28 calls within 2 s", n, time.Since(began))
		}
	})
}

// Guards against an error that does not match what happened in the store: a claim
// reported as not made that is stored, or an unknown outcome that is known.
func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*storestub.Stub)
		won    bool
		want   error
		cause  error
		stored string // the owner a minute later
	}{
		{"down", func(s *storestub.Stub) { s.SetDown(true) }, false, claims.ErrNotClaimed, store.ErrUnavailable, ""},
		{"too slow to read", func(s *storestub.Stub) { s.SetLatency(10 * time.Second) }, false, claims.ErrNotClaimed, store.ErrUnavailable, ""},
		{"answers lost", func(s *storestub.Stub) { s.LoseAnswers(3) }, true, nil, nil, "job-1"},
		{"write held up", func(s *storestub.Stub) { s.HoldWrites(3, 2*time.Second) }, true, nil, nil, "job-1"},
		{"write held up beyond the deadline", func(s *storestub.Stub) { s.HoldWrites(1000, 4*time.Second) }, false, claims.ErrOutcomeUnknown, context.DeadlineExceeded, ""},
		{"stale reads", func(s *storestub.Stub) {
			s.SetStale(true)
			s.Put(claimOf("k", "").ShardKey(), []byte(`{"v":1,"claims":{}}`))
		}, false, claims.ErrNotClaimed, claims.ErrContention, ""},
		{"unreadable shard", func(s *storestub.Stub) { s.Put(claimOf("k", "").ShardKey(), []byte("{}")) }, false, claims.ErrNotClaimed, claims.ErrUnreadable, "claims: stored shard is unreadable: format version 0"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, s *storestub.Stub, a, _ *claims.Claimer) {
				test.inject(s)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				_, won, err := a.Claim(ctx, claimOf("k", "job-1"))
				c.Check(won, qt.Equals, test.won)
				c.Check(err, qt.ErrorIs, test.want)
				c.Check(err, qt.ErrorIs, test.cause)
				s.SetDown(false)
				s.SetLatency(0)
				s.SetStale(false)
				s.HoldWrites(0, 0)
				time.Sleep(time.Minute)
				c.Check(storedOwner(s, "k"), qt.Equals, test.stored)
			})
		})
	}
}

// Guards against goroutines that outlive Close, and against a claim with unknown
// outcome being reported as not claimed because the Claimer was closed.
func TestClose(t *testing.T) {
	inBubble(t, func(c *qt.C, s *storestub.Stub, a, _ *claims.Claimer) {
		s.HoldWrites(1000, time.Minute)
		done := make(chan error)
		go func() {
			_, _, err := a.Claim(context.Background(), claimOf("k", "job-1"))
			done <- err
		}()
		time.Sleep(time.Second)
		a.Close()
		err := <-done
		c.Check(err, qt.ErrorIs, claims.ErrOutcomeUnknown)
		c.Check(err, qt.ErrorIs, claims.ErrClosed)
		_, _, err = a.Claim(context.Background(), claimOf("k", "job-2"))
		c.Check(err, qt.ErrorIs, claims.ErrNotClaimed)
		c.Check(err, qt.ErrorIs, claims.ErrClosed)
	})
}

// Guards against a result that is based on another operation in the same batch
// when the write of that batch fails: a claim that loses to a claim that was never
// stored, or a release reported as done although it was not.
func TestOperationsOfAFailedBatch(t *testing.T) {
	inBubble(t, func(c *qt.C, s *storestub.Stub, a, _ *claims.Claimer) {
		const latency = 10 * time.Millisecond
		ctx := context.Background()
		keys := sameShardKeys(2)
		_, _, err := a.Claim(ctx, claimOf(keys[1], "job-1"))
		c.Assert(err, qt.IsNil)
		s.SetLatency(latency)

		// The read for the filler takes one latency. The following batch is
		// read after two latencies and written after three, when the store is
		// down.
		var group sync.WaitGroup
		group.Go(func() { _, _, _ = a.Claim(ctx, claimOf(keys[1], "filler")) })
		time.Sleep(latency / 2)
		claimErrs, releaseErrs := make([]error, 2), make([]error, 2)
		for i := range 2 {
			group.Go(func() { _, _, claimErrs[i] = a.Claim(ctx, claimOf(keys[0], fmt.Sprintf("job-%d", i+2))) })
			group.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, 10*latency)
				defer cancel()
				releaseErrs[i] = a.Release(ctx, claimOf(keys[1], "job-1"))
			})
		}
		time.Sleep(2 * latency)
		s.SetDown(true)
		group.Wait()
		for i := range 2 {
			c.Check(claimErrs[i], qt.ErrorIs, claims.ErrNotClaimed)
			c.Check(releaseErrs[i], qt.ErrorIs, claims.ErrOutcomeUnknown)
		}
		c.Check(storedOwner(s, keys[0]), qt.Equals, "")
		c.Check(storedOwner(s, keys[1]), qt.Equals, "job-1")
		s.SetDown(false)
		time.Sleep(time.Minute)
		c.Check(storedOwner(s, keys[1]), qt.Equals, "", qt.Commentf("the release continues in the background"))
	})
}

// Guards against a Claimer that considers every read stale, and so makes no more
// claims, after the store was restored from a backup with lower revisions.
func TestRestoredStore(t *testing.T) {
	inBubble(t, func(c *qt.C, s *storestub.Stub, a, _ *claims.Claimer) {
		ctx := context.Background()
		backup := s.Snapshot()
		keys := sameShardKeys(3)
		for i, key := range keys {
			_, won, err := a.Claim(ctx, claimOf(key, fmt.Sprintf("job-%d", i)))
			c.Assert(err, qt.IsNil)
			c.Check(won, qt.IsTrue)
		}
		s.Restore(backup)
		_, won, err := a.Claim(ctx, claimOf(keys[0], "job-9"))
		c.Assert(err, qt.IsNil)
		c.Check(won, qt.IsTrue, qt.Commentf("the backup has no claims"))
		owner, won, err := a.Claim(ctx, claimOf(keys[0], "job-10"))
		c.Assert(err, qt.IsNil)
		c.Check(won, qt.IsFalse)
		c.Check(owner.Job, qt.Equals, "job-9")
	})
}
