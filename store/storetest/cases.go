package storetest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing/synctest"
	"time"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
)

func matchesError(err, want error) bool {
	return errors.Is(err, want) || err == nil && want == nil
}

// plainCase is a case without faults of the service.
type plainCase struct {
	name string
	run  func(c *checker)
}

var cases = []plainCase{
	{"revisions grow and values read back", readsBack},
	{"unusual keys and values", unusualKeys},
	{"a write at a wrong revision conflicts", conflicts},
	{"delete", deletes},
	{"list by prefix in order", lists},
	{"list of many keys", listsMany},
	{"a verification checks the revision and changes nothing", verifies},
	{"value size", valueSize},
	{"returned values are copies", copies},
	{"a lease that expires takes its keys", leaseExpires},
	{"a lease that is kept alive stays", leaseKeptAlive},
	{"revoke", revokes},
	{"a key written without the lease outlives it", leaseDetached},
	{"a watch returns the current state if it differs", watchDiffers},
	{"a watch waits and counts as one call", watchWaits},
	{"a watch sees removal", watchRemoval},
	{"a watch ends with its context", watchEnds},
	{"a call with an ended context is not carried out", endedContext},
}

func readsBack(c *checker) {
	first := c.put("a", 0, "1", 0)
	c.wantValue("a", "1")
	second := c.put("a", first.Revision, "2", 0)
	if first.Revision == 0 || second.Revision <= first.Revision {
		c.Errorf("revisions %d, then %d", first.Revision, second.Revision)
	}
	if kv := c.get("a"); kv.Revision != second.Revision || second.Key != "a" || string(second.Value) != "2" {
		c.Errorf("write returned %+v, read %+v", second, kv)
	}
	other := c.put("b", 0, "3", 0)
	if other.Revision <= second.Revision {
		c.Errorf("revision %d of another key is not above %d", other.Revision, second.Revision)
	}
	c.wantMissing("c")
}

func unusualKeys(c *checker) {
	for _, key := range []string{"a b/c?d=é%2F&e#f", "entries/ab", "claims//0", "+"} {
		kv := c.put(key, 0, "\x00\xff\"", 0)
		c.wantValue(key, "\x00\xff\"")
		c.wantError("delete", c.Store.Delete(c.ctx(), key, kv.Revision), nil)
		c.wantMissing(key)
	}
	c.put("empty", 0, "", 0)
	c.wantValue("empty", "")
}

func conflicts(c *checker) {
	kv := c.put("a", 0, "1", 0)
	for _, expect := range []uint64{0, kv.Revision + 1} {
		_, err := c.Store.CompareAndSwap(c.ctx(), "a", expect, []byte("2"), 0)
		c.wantError("write", err, store.ErrConflict)
	}
	_, err := c.Store.CompareAndSwap(c.ctx(), "b", kv.Revision, []byte("2"), 0)
	c.wantError("write of a missing key", err, store.ErrConflict)
	c.wantValue("a", "1")
	c.wantMissing("b")
}

func deletes(c *checker) {
	kv := c.put("a", 0, "1", 0)
	c.wantError("wrong revision", c.Store.Delete(c.ctx(), "a", kv.Revision+1), store.ErrConflict)
	c.wantValue("a", "1")
	c.wantError("delete", c.Store.Delete(c.ctx(), "a", kv.Revision), nil)
	c.wantMissing("a")
	c.wantError("missing key", c.Store.Delete(c.ctx(), "a", kv.Revision), store.ErrNotFound)
	if again := c.put("a", 0, "2", 0); again.Revision <= kv.Revision {
		c.Errorf("revision %d after a removal is not above %d", again.Revision, kv.Revision)
	}
}

func lists(c *checker) {
	for _, key := range []string{"p/b", "q", "p/a", "p", "p/a/c"} {
		c.put(key, 0, key, 0)
	}
	list, err := c.Store.List(c.ctx(), "p/")
	c.wantError("list", err, nil)
	var keys []string
	for _, kv := range list {
		keys = append(keys, kv.Key)
		if string(kv.Value) != kv.Key || kv.Revision == 0 {
			c.Errorf("list returned %+v", kv)
		}
	}
	if len(keys) != 3 || keys[0] != "p/a" || keys[1] != "p/a/c" || keys[2] != "p/b" {
		c.Errorf("listed %q", keys)
	}
	list, err = c.Store.List(c.ctx(), "none/")
	if err != nil || len(list) != 0 {
		c.Errorf("empty prefix: %v, %v", list, err)
	}
}

// listsMany guards against a list that ends after the first page, or that repeats
// a page.
func listsMany(c *checker) {
	const keys, large = 2500, 4
	value := bytes.Repeat([]byte{1}, store.MaxValueBytes)
	for i := range keys {
		key := fmt.Sprintf("many/%04d", i)
		c.Stub.Put(key, value[:1])
		if i < large {
			c.Stub.Put(key, value)
		}
	}
	c.Stub.Put("many0", nil)
	list, err := c.Store.List(c.ctx(), "many/")
	c.wantError("list", err, nil)
	if len(list) != keys {
		c.Fatalf("listed %d keys, want %d", len(list), keys)
	}
	for i, kv := range list {
		if want := fmt.Sprintf("many/%04d", i); kv.Key != want || kv.Revision == 0 || (len(kv.Value) == len(value)) != (i < large) {
			c.Fatalf("place %d of the list: key %q at revision %d with %d bytes", i, kv.Key, kv.Revision, len(kv.Value))
		}
	}
}

func verifies(c *checker) {
	verify := func(what, key string, revision uint64, want error) {
		c.Helper()
		c.wantError("verify "+what, c.Store.Verify(c.ctx(), key, revision), want)
	}
	verify("a missing key", "a", 0, nil)
	verify("a revision of a missing key", "a", 1, store.ErrConflict)
	first := c.put("a", 0, "1", 0)
	verify("absence of a key", "a", 0, store.ErrConflict)
	c.put("b", 0, "1", 0)
	verify("after a write of another key", "a", first.Revision, nil)
	second := c.put("a", first.Revision, "2", 0)
	verify("an earlier revision", "a", first.Revision, store.ErrConflict)
	verify("a later revision", "a", second.Revision+1, store.ErrConflict)
	verify("the revision", "a", second.Revision, nil)
	if kv := c.get("a"); kv.Revision != second.Revision || string(kv.Value) != "2" {
		c.Errorf("after verifications the key holds %+v, want %+v", kv, second)
	}
	c.wantError("delete", c.Store.Delete(c.ctx(), "a", second.Revision), nil)
	verify("a removed key", "a", second.Revision, store.ErrConflict)
	verify("absence of a removed key", "a", 0, nil)
	key := "a b/c?d=é%2F&e#f"
	verify("an unusual key", key, c.put(key, 0, "1", 0).Revision, nil)
	if n := c.Stub.Calls()[storestub.Verify]; n != 10 {
		c.Errorf("10 verifications were counted as %d calls", n)
	}
}

func valueSize(c *checker) {
	largest := bytes.Repeat([]byte{0xfe}, store.MaxValueBytes)
	kv := c.put("a", 0, string(largest), 0)
	c.wantValue("a", string(largest))
	_, err := c.Store.CompareAndSwap(c.ctx(), "a", kv.Revision, append(largest, 0), 0)
	c.wantError("value over the limit", err, store.ErrTooLarge)
	c.wantValue("a", string(largest))
}

func copies(c *checker) {
	value := []byte("1")
	if _, err := c.Store.CompareAndSwap(c.ctx(), "a", 0, value, 0); err != nil {
		c.Fatal(err)
	}
	value[0] = '2'
	c.get("a").Value[0] = '3'
	c.wantValue("a", "1")
}

func leaseExpires(c *checker) {
	lease := c.grant(10 * time.Second)
	c.put("a", 0, "1", lease)
	time.Sleep(9 * time.Second)
	c.wantValue("a", "1")
	time.Sleep(2 * time.Second)
	c.wantMissing("a")
	c.wantError("keep alive", c.Store.KeepAlive(c.ctx(), lease), store.ErrLeaseExpired)
	_, err := c.Store.CompareAndSwap(c.ctx(), "a", 0, []byte("2"), lease)
	c.wantError("write under an expired lease", err, store.ErrLeaseExpired)
	c.wantMissing("a")
}

func leaseKeptAlive(c *checker) {
	lease := c.grant(10 * time.Second)
	c.put("a", 0, "1", lease)
	for range 4 {
		time.Sleep(7 * time.Second)
		c.wantError("keep alive", c.Store.KeepAlive(c.ctx(), lease), nil)
	}
	c.wantValue("a", "1")
}

func revokes(c *checker) {
	lease := c.grant(10 * time.Second)
	c.put("a", 0, "1", lease)
	c.put("b", 0, "1", 0)
	c.wantError("revoke", c.Store.Revoke(c.ctx(), lease), nil)
	c.wantMissing("a")
	c.wantValue("b", "1")
	c.wantError("second revoke", c.Store.Revoke(c.ctx(), lease), store.ErrLeaseExpired)
}

func leaseDetached(c *checker) {
	lease := c.grant(10 * time.Second)
	kv := c.put("a", 0, "1", lease)
	c.put("a", kv.Revision, "2", 0)
	time.Sleep(20 * time.Second)
	c.wantValue("a", "2")
}

func watchDiffers(c *checker) {
	kv := c.put("a", 0, "1", 0)
	for _, after := range []uint64{0, kv.Revision - 1, kv.Revision + 5} {
		if after == kv.Revision {
			continue
		}
		got, err := c.Store.Watch(c.ctx(), "a", after)
		if err != nil || got.Revision != kv.Revision || string(got.Value) != "1" {
			c.Errorf("watch after %d: %+v, %v", after, got, err)
		}
	}
}

func watchWaits(c *checker) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	created := c.watch(ctx, 0)
	time.Sleep(time.Second)
	kv := c.put("a", 0, "1", 0)
	if got := <-created; got.err != nil || got.kv.Revision != kv.Revision {
		c.Errorf("watch of a missing key: %+v", got)
	}
	changed := c.watch(ctx, kv.Revision)
	c.put("b", 0, "1", 0)
	synctest.Wait()
	select {
	case got := <-changed:
		c.Fatalf("watch returned on another key's change: %+v", got)
	default:
	}
	c.put("a", kv.Revision, "2", 0)
	if got := <-changed; got.err != nil || string(got.kv.Value) != "2" {
		c.Errorf("watch: %+v", got)
	}
	if n := c.Stub.Calls()[storestub.Watch]; n != 2 {
		c.Errorf("2 watches were counted as %d calls", n)
	}
}

func watchRemoval(c *checker) {
	lease := c.grant(time.Second)
	kv := c.put("a", 0, "1", lease)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	got := <-c.watch(ctx, kv.Revision)
	c.wantError("watch", got.err, store.ErrNotFound)
}

func watchEnds(c *checker) {
	kv := c.put("a", 0, "1", 0)
	ctx, cancel := context.WithCancel(context.Background())
	done := c.watch(ctx, kv.Revision)
	synctest.Wait()
	cancel()
	got := <-done
	c.wantError("watch", got.err, store.ErrUnavailable)
	c.wantError("watch", got.err, context.Canceled)
}

func endedContext(c *checker) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.Store.CompareAndSwap(ctx, "a", 0, []byte("1"), 0)
	c.wantError("write", err, store.ErrUnavailable)
	_, err = c.Store.Get(ctx, "a")
	c.wantError("read", err, store.ErrUnavailable)
	c.wantError("verify", c.Store.Verify(ctx, "a", 0), store.ErrUnavailable)
	c.wantMissing("a")
}
