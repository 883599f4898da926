package storetest

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing/synctest"
	"time"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
)

var transactions = []plainCase{
	{"a transaction changes all its keys at one revision", transacts},
	{"a transaction that is refused changes nothing", transactsNothing},
	{"an expectation of a key that is not written", expectsOnly},
	{"an invalid transaction is refused", transactsInvalid},
	{"a transaction of the largest size", transactsLargest},
	{"a transaction under leases", transactsUnderLeases},
	{"transactions race", transactionsRace},
	{"a transaction keeps no reference to its values", transactsCopies},
	{"a transaction wakes watches", transactionWakesWatch},
	{"a transaction that is held up checks its expectations when it takes effect", transactionHeldUp},
}

func (c *checker) transact(t store.Transaction) uint64 {
	c.Helper()
	revision, err := c.Store.Transact(c.ctx(), t)
	c.wantError("transaction", err, nil)
	return revision
}

func (c *checker) wantRefused(what string, t store.Transaction, want error) {
	c.Helper()
	_, err := c.Store.Transact(c.ctx(), t)
	c.wantError(what, err, want)
}

// writes returns a write of the value to each key, without a lease.
func writes(value string, keys ...string) (list []store.Write) {
	for _, key := range keys {
		list = append(list, store.Write{Key: key, Value: []byte(value)})
	}
	return list
}

func expect(key string, revision uint64) []store.Expectation {
	return []store.Expectation{{Key: key, Revision: revision}}
}

func transacts(c *checker) {
	a, b := c.put("a", 0, "1", 0), c.put("b", 0, "1", 0)
	odd := "c d/e?f=é%2F&g#h"
	revision := c.transact(store.Transaction{
		Expect: []store.Expectation{{Key: "a", Revision: a.Revision}, {Key: "b", Revision: b.Revision}, {Key: odd}},
		Write:  []store.Write{{Key: "a", Value: []byte("2")}, {Key: odd, Value: []byte("\x00\xff\"")}, {Key: "empty"}},
		Remove: []string{"b", "none"},
	})
	c.wantMissing("b")
	c.wantMissing("none")
	for key, value := range map[string]string{"a": "2", odd: "\x00\xff\"", "empty": ""} {
		c.wantValue(key, value)
		if got := c.get(key).Revision; got != revision || revision <= b.Revision {
			c.Errorf("%q is at revision %d; the transaction returned %d, after %d", key, got, revision, b.Revision)
		}
	}
	c.transact(store.Transaction{Expect: expect("a", revision), Write: writes("3", "a")})
	c.transact(store.Transaction{Expect: expect("b", 0), Remove: []string{"a"}})
	c.wantMissing("a")
	if again := c.put("a", 0, "4", 0); again.Revision <= revision {
		c.Errorf("revision %d after a removal is not above %d", again.Revision, revision)
	}
	if n := c.Stub.Calls()[storestub.Transact]; n != 3 {
		c.Errorf("3 transactions were counted as %d calls", n)
	}
}

func transactsNothing(c *checker) {
	a, b := c.put("a", 0, "1", 0), c.put("b", 0, "1", 0)
	good := store.Expectation{Key: "a", Revision: a.Revision}
	for _, bad := range []store.Expectation{
		{Key: "b"}, {Key: "b", Revision: b.Revision - 1}, {Key: "b", Revision: b.Revision + 1}, {Key: "none", Revision: a.Revision},
	} {
		for _, expectations := range [][]store.Expectation{{good, bad}, {bad, good}} {
			c.wantRefused("conflict", store.Transaction{
				Expect: expectations, Write: writes("2", "a", "new"), Remove: []string{"b"},
			}, store.ErrConflict)
		}
	}
	c.wantValue("a", "1")
	c.wantValue("b", "1")
	c.wantMissing("new")
	if kv := c.get("a"); kv.Revision != a.Revision {
		c.Errorf("revision %d, want %d", kv.Revision, a.Revision)
	}
}

func expectsOnly(c *checker) {
	other := c.put("other", 0, "1", 0)
	c.transact(store.Transaction{Expect: expect("other", other.Revision), Write: writes("1", "a")})
	c.transact(store.Transaction{Expect: append(expect("other", other.Revision), store.Expectation{Key: "none"})})
	c.wantRefused("expectation alone", store.Transaction{Expect: expect("none", 1)}, store.ErrConflict)
	if kv := c.get("other"); kv.Revision != other.Revision {
		c.Errorf("an expectation changed revision %d to %d", other.Revision, kv.Revision)
	}
	c.wantMissing("none")
	c.put("other", other.Revision, "2", 0)
	c.wantRefused("changed key", store.Transaction{Expect: expect("other", other.Revision), Write: writes("2", "a")}, store.ErrConflict)
	c.wantValue("a", "1")
}

func transactsInvalid(c *checker) {
	a := c.put("a", 0, "1", 0)
	var many store.Transaction
	for i := range store.MaxTransactionEntries/3 + 1 {
		n := strconv.Itoa(i)
		many.Expect = append(many.Expect, store.Expectation{Key: n})
		many.Write = append(many.Write, writes("2", n)...)
		many.Remove = append(many.Remove, "r"+n)
	}
	many.Remove[0] = "a" // 33 entries
	for what, t := range map[string]store.Transaction{
		"no entries":              {},
		"too many entries":        many,
		"key expected twice":      {Expect: append(expect("a", a.Revision), expect("a", a.Revision)...), Remove: []string{"a"}},
		"key written twice":       {Write: writes("2", "a", "b", "a")},
		"key removed twice":       {Remove: []string{"a", "a"}},
		"key written and removed": {Write: writes("2", "b", "a"), Remove: []string{"a"}},
	} {
		c.wantRefused(what, t, store.ErrInvalidTransaction)
	}
	large := make([]byte, store.MaxValueBytes+1)
	c.wantRefused("value over the limit", store.Transaction{
		Write: append(writes("2", "a"), store.Write{Key: "b", Value: large}),
	}, store.ErrTooLarge)
	c.wantValue("a", "1")
	c.wantMissing("b")
	if n := c.Stub.Calls()[storestub.Transact]; n != 0 {
		c.Errorf("invalid transactions cost %d calls", n)
	}
}

func transactsLargest(c *checker) {
	large := make([]byte, store.MaxValueBytes)
	t := store.Transaction{Expect: expect("0", 0)}
	for i := range store.MaxTransactionEntries - 2 {
		w := store.Write{Key: strconv.Itoa(i), Value: large[:i]}
		if i < 3 { // together larger than the largest request with one value
			w.Value = large
		}
		t.Write = append(t.Write, w)
	}
	t.Remove = []string{"gone"}
	c.transact(t)
	for _, w := range t.Write {
		c.wantValue(w.Key, string(w.Value))
	}
}

func transactsUnderLeases(c *checker) {
	short, long := c.grant(10*time.Second), c.grant(30*time.Second)
	c.put("kept", 0, "1", short)
	c.transact(store.Transaction{Write: []store.Write{
		{Key: "short", Value: []byte("1"), Lease: short}, {Key: "long", Value: []byte("1"), Lease: long}, {Key: "kept", Value: []byte("2")},
	}})
	time.Sleep(9 * time.Second)
	c.wantValue("short", "1")
	time.Sleep(2 * time.Second)
	c.wantMissing("short")
	c.wantValue("long", "1")
	c.wantValue("kept", "2")
	c.wantRefused("write under an expired lease", store.Transaction{
		Write: []store.Write{{Key: "long", Value: []byte("2"), Lease: long}, {Key: "short", Value: []byte("2"), Lease: short}}, Remove: []string{"kept"},
	}, store.ErrLeaseExpired)
	c.wantValue("long", "1")
	c.wantValue("kept", "2")
	c.wantError("revoke", c.Store.Revoke(c.ctx(), long), nil)
	c.wantMissing("long")
}

// transactionsRace makes concurrent transactions that expect the same revisions of
// the same keys. Exactly one of them may succeed.
func transactionsRace(c *checker) {
	const rivals, rounds = 4, 20
	a, b := c.put("a", 0, "start", 0), c.put("b", 0, "start", 0)
	for round := range rounds {
		var group sync.WaitGroup
		var outcomes [rivals]error
		for i := range rivals {
			group.Go(func() {
				_, outcomes[i] = c.Store.Transact(c.ctx(), store.Transaction{
					Expect: append(expect("a", a.Revision), expect("b", b.Revision)...),
					Write:  writes(fmt.Sprint(round, i), "a", "b"),
				})
			})
		}
		group.Wait()
		a, b = c.get("a"), c.get("b")
		won := 0
		for i, err := range outcomes {
			if err != nil {
				c.wantError("rival", err, store.ErrConflict)
				continue
			}
			won++
			if want := fmt.Sprint(round, i); string(a.Value) != want || string(b.Value) != want {
				c.Errorf("rival %q won; the keys hold %q and %q", want, a.Value, b.Value)
			}
		}
		if won != 1 {
			c.Fatalf("%d transactions of the same expectations succeeded", won)
		}
	}
}

func transactsCopies(c *checker) {
	t := store.Transaction{Write: writes("1", "a")}
	c.transact(t)
	t.Write[0].Value[0] = '2'
	c.wantValue("a", "1")
}

func transactionWakesWatch(c *checker) {
	kv := c.put("a", 0, "1", 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	changed := c.watch(ctx, kv.Revision)
	synctest.Wait()
	revision := c.transact(store.Transaction{Write: writes("2", "b", "a")})
	if got := <-changed; got.err != nil || got.kv.Revision != revision {
		c.Errorf("watch: %+v, want revision %d", got, revision)
	}
	removed := c.watch(ctx, revision)
	synctest.Wait()
	c.transact(store.Transaction{Remove: []string{"a"}})
	c.wantError("watch of a removed key", (<-removed).err, store.ErrNotFound)
}

// transactionHeldUp guards against a delayed transaction that overwrites a change
// that was made after the transaction had timed out.
func transactionHeldUp(c *checker) {
	kv := c.put("a", 0, "1", 0)
	late := store.Transaction{Expect: expect("a", kv.Revision), Write: writes("late", "a", "b")}
	delayWrite(c.Stub)
	c.wantRefused("held up", late, store.ErrUnknownOutcome)
	late.Write[0].Value[0], late.Expect[0].Revision = 'x', 0
	c.wantValue("a", "1")
	c.transact(store.Transaction{Expect: expect("a", kv.Revision), Write: writes("2", "a")})
	time.Sleep(10 * timeout)
	c.wantValue("a", "2")
	c.wantMissing("b")
}

// replace changes key "a" at its revision, writes key "b" and removes key
// "other", in one transaction.
func replace(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	_, err := s.Transact(ctx, store.Transaction{
		Expect: expect("a", kv.Revision), Write: writes("replaced", "a", "b"), Remove: []string{"other"},
	})
	return err
}

func replaceWrongRevision(ctx context.Context, s store.Store, kv store.KV, lease store.LeaseID) error {
	kv.Revision++
	return replace(ctx, s, kv, lease)
}

func replaceUnderLease(ctx context.Context, s store.Store, _ store.KV, lease store.LeaseID) error {
	_, err := s.Transact(ctx, store.Transaction{Write: []store.Write{{Key: "a", Value: []byte("new"), Lease: lease}}})
	return err
}

// replaceTwice sends the same transaction twice, as a caller does that did not
// learn the outcome of the first.
func replaceTwice(ctx context.Context, s store.Store, kv store.KV, lease store.LeaseID) error {
	if err := replace(ctx, s, kv, lease); !matchesError(err, store.ErrUnknownOutcome) {
		return fmt.Errorf("first transaction: %w", err)
	}
	return replace(ctx, s, kv, lease)
}

func expectOnly(ctx context.Context, s store.Store, kv store.KV, _ store.LeaseID) error {
	_, err := s.Transact(ctx, store.Transaction{Expect: expect("a", kv.Revision)})
	return err
}

var transactionFaults = []faultCase{
	{"down: transaction", serviceDown, replace, store.ErrUnavailable, "old"},
	{"steady latency: transaction", latencyBelowTimeout, replace, nil, "replaced"},
	{"slow: transaction takes effect later", latencyAboveTimeout, replace, store.ErrUnknownOutcome, "replaced"},
	{"answer lost: transaction", loseAnswer, replace, store.ErrUnknownOutcome, "replaced"},
	{"answer lost: transaction that conflicts", loseAnswer, replaceWrongRevision, store.ErrUnknownOutcome, "old"},
	{"answer lost: transaction sent again", loseAnswer, replaceTwice, store.ErrConflict, "replaced"},
	{"answer lost: transaction of expectations", loseAnswer, expectOnly, store.ErrUnknownOutcome, "old"},
	{"held up: transaction takes effect later", delayWrite, replace, store.ErrUnknownOutcome, "replaced"},
	{"held up: transaction sent again", delayWrite, replaceTwice, nil, "replaced"},
	{"expired lease: transaction that expects its key", expireLeases, replace, store.ErrConflict, ""},
	{"expired lease: transaction under it", expireLeases, replaceUnderLease, store.ErrLeaseExpired, ""},
	{"stale reads: transaction sees the change", staleReads, replace, store.ErrConflict, "older"},
	{"stale reads: transaction with an unchanged key", staleReadsOfOtherKey, replace, nil, "replaced"},
	{"restored: transaction", restoreBackup, replace, nil, "replaced"},
}
