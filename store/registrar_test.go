package store_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

const ttl = 10 * time.Second

// pausableStore delays calls of KeepAlive until resume is closed, as if the
// process that makes them were not scheduled meanwhile.
type pausableStore struct {
	store.Store
	resume chan struct{}
}

func (p *pausableStore) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	<-p.resume
	return p.Store.KeepAlive(context.WithoutCancel(ctx), lease)
}

// registrar is a running Registrar of entry-1 and the calls of its OnChange.
type registrar struct {
	*store.Registrar
	events []error
	cancel context.CancelFunc
	done   chan struct{}
}

func startRegistrar(c *qt.C, s store.Store, incarnation wire.Incarnation) *registrar {
	r := &registrar{done: make(chan struct{})}
	var err error
	r.Registrar, err = store.NewEntryRegistrar(
		wire.EntryRef{ID: "entry-1", Incarnation: incarnation, Address: "127.0.0.1:1"},
		store.RegistrarOptions{
			Store: s, TTL: ttl,
			Jitter:   func(d time.Duration) time.Duration { return d / 2 },
			OnChange: func(err error) { r.events = append(r.events, err) },
		})
	c.Assert(err, qt.IsNil)
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	go func() { defer close(r.done); r.Run(ctx) }()
	synctest.Wait()
	return r
}

func (r *registrar) stop() {
	r.cancel()
	<-r.done
}

// registeredIncarnation returns the incarnation of the registered entry; 0 if
// none is registered.
func registeredIncarnation(c *qt.C, s store.Store) wire.Incarnation {
	refs, unusable, err := store.Entries(context.Background(), s)
	c.Assert(err, qt.IsNil)
	c.Check(unusable.Count, qt.Equals, 0)
	if len(refs) == 0 {
		return 0
	}
	return refs[0].Incarnation
}

func inVirtualTime(t *testing.T, test func(c *qt.C, s *storestub.Stub)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t), storestub.New()) })
}

// Guards against a registration that expires while its process runs, one that
// remains after it was removed, and renewals that make too many calls.
func TestRegistrationLastsUntilItIsRemoved(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
		r := startRegistrar(c, s, 1)
		c.Check(r.Registered(), qt.IsTrue)
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(1))
		time.Sleep(time.Minute)
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(1))
		c.Check(s.Calls()[storestub.KeepAlive] <= 20, qt.IsTrue, qt.Commentf("%v", s.Calls()))
		c.Check(s.Calls()[storestub.CompareAndSwap], qt.Equals, 1)

		r.stop()
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(1), qt.Commentf("the end of Run leaves the registration"))
		c.Assert(r.Deregister(context.Background()), qt.IsNil)
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(0))
		c.Check(r.Registered(), qt.IsFalse)
		c.Check(r.events, qt.HasLen, 2)
	})
}

// Guards against an entry that is not registered again after a pause of its
// process during which its lease expired.
func TestLeaseExpiresWhileItsHolderIsPaused(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
		p := &pausableStore{s, make(chan struct{})}
		r := startRegistrar(c, p, 1)
		time.Sleep(3 * ttl)
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(0))
		close(p.resume)
		synctest.Wait()
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(1))
		c.Check(r.Registered(), qt.IsTrue)
		c.Assert(r.events, qt.HasLen, 3)
		c.Check(r.events[1], qt.ErrorIs, store.ErrLeaseExpired)
		c.Check(r.events[2], qt.IsNil)
		r.stop()
	})
}

// Guards against two processes of one identifier that keep replacing each other's
// registration: a new process replaces it at once, and an older one that was
// paused meanwhile does not replace it again.
func TestNewerProcessKeepsTheKey(t *testing.T) {
	inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
		p := &pausableStore{s, make(chan struct{})}
		older := startRegistrar(c, p, 1)
		time.Sleep(3 * ttl)
		newer := startRegistrar(c, s, 2)
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(2))
		close(p.resume)
		for range 30 {
			time.Sleep(time.Second)
			c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(2))
		}
		c.Check(older.Registered(), qt.IsFalse)
		synctest.Wait()
		c.Check(older.events[len(older.events)-1], qt.ErrorIs, store.ErrReplaced)

		third := startRegistrar(c, s, 3)
		c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(3), qt.Commentf("takes over before the lease expires"))
		time.Sleep(ttl)
		c.Check(newer.Registered(), qt.IsFalse)
		third.stop()
		c.Assert(third.Deregister(context.Background()), qt.IsNil)
		time.Sleep(ttl)
		c.Check(registeredIncarnation(c, s), qt.Not(qt.Equals), wire.Incarnation(0), qt.Commentf("a remaining process registers again"))
		older.stop()
		newer.stop()
	})
}

// Guards against a fault of the service after which the entry is not registered,
// or remains registered after it was removed.
func TestRegistrationSurvivesFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(s *storestub.Stub)
		fault  time.Duration
	}{
		{"down", func(s *storestub.Stub) { s.SetDown(true) }, time.Minute},
		{"slow", func(s *storestub.Stub) { s.SetLatency(30 * time.Second) }, time.Minute},
		{"answers lost", func(s *storestub.Stub) { s.LoseAnswers(4) }, 0},
		{"writes held up", func(s *storestub.Stub) { s.HoldWrites(4, 5*time.Second) }, 0},
		{"leases expired", (*storestub.Stub).ExpireLeases, 0},
		{"restored", func(s *storestub.Stub) { s.Restore(storestub.New().Snapshot()) }, 0},
		{"key removed", func(s *storestub.Stub) {
			kv, _ := s.Peek(store.EntriesPrefix + "entry-1")
			_ = s.Delete(context.Background(), kv.Key, kv.Revision)
		}, 0},
		{"stale reads", func(s *storestub.Stub) { s.ExpireLeases(); s.SetStale(true) }, 5 * time.Second},
	}
	for _, test := range cases {
		for _, when := range []time.Duration{0, 5 * time.Second} {
			t.Run(test.name+" after "+when.String(), func(t *testing.T) {
				inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
					if when == 0 {
						test.inject(s)
					}
					r := startRegistrar(c, s, 1)
					if when > 0 {
						time.Sleep(when)
						test.inject(s)
					}
					time.Sleep(test.fault)
					s.SetDown(false)
					s.SetLatency(0)
					s.SetStale(false)
					time.Sleep(3 * ttl)
					c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(1))
					c.Check(r.Registered(), qt.IsTrue)
					r.stop()
					c.Assert(r.Deregister(context.Background()), qt.IsNil)
					c.Check(registeredIncarnation(c, s), qt.Equals, wire.Incarnation(0))
				})
			})
		}
	}
}

// Guards against failing to list all entries because of one invalid value under
// the prefix.
func TestEntriesLeavesOutForeignValues(t *testing.T) {
	c := qt.New(t)
	s := storestub.New()
	ref := wire.EntryRef{ID: "b", Incarnation: 1<<63 + 1, Address: "127.0.0.1:1", Admin: "127.0.0.1:2", DataCentre: "anping"}
	value, err := store.EncodeEntry(ref)
	c.Assert(err, qt.IsNil)
	s.Put(store.EntriesPrefix+"b", value)
	s.Put(store.EntriesPrefix+"a", value)
	s.Put(store.EntriesPrefix+"c", []byte("x"))
	s.Put(store.EntriesPrefix+"d", []byte(`{"id":"d","incarnation":"0"}`))
	refs, unusable, err := store.Entries(context.Background(), s)
	c.Assert(err, qt.IsNil)
	c.Check(refs, qt.DeepEquals, []wire.EntryRef{ref})
	c.Check(unusable.Count, qt.Equals, 3)
	c.Check(unusable.Key, qt.Equals, store.EntriesPrefix+"a")
	s.SetDown(true)
	_, _, err = store.Entries(context.Background(), s)
	c.Check(errors.Is(err, store.ErrUnavailable), qt.IsTrue)
}

// foreignValues returns values that another writer may leave under the key of the
// entry x, and none of which names an entry that can be dialled.
func foreignValues() map[string]string {
	const good = `{"id":"x","incarnation":"7","address":"10.0.0.9:7000","admin":"10.0.0.9:9000","data_centre":"anping"}`
	values := map[string]string{
		"empty": "", "not UTF-8": "\xff\xfe", "number": "7", "null": "null", "array": "[1]", "cut off": good[:40], "two values": good + good,
		"nested": strings.Repeat("[", 1<<20), "nested in a field": `{"id":"x","more":` + strings.Repeat(`{"a":`, 200_000), "largest": strings.Repeat(" ", store.MaxValueBytes),
	}
	for field, bad := range map[string][]string{
		`"x"`: {`"y"`, `""`, `7`, `null`},
		`"7"`: {`7`, `"0"`, `"-7"`, `"7.5"`, `"1x3"`, `"10000000000000000"`, `""`, `null`, `99999999999999999999999999`},
		`"10.0.0.9:7000"`: {`""`, `"10.0.0.9"`, `"10.0.0.9:0"`, `"10.0.0.9:65536"`, `"10.0.0.9:-1"`, `"10.0.0.9:99999999999999999999"`, `"host:7000"`,
			`":7000"`, `"0.0.0.0:7000"`, `"[::]:7000"`, `"224.0.0.1:7000"`, `"255.255.255.255:7000"`, `"::1:7000"`, `"[::1%` + strings.Repeat("z", 1000) + `]:7000"`, `"10.0.0.9:7000 "`,
			`"10.0.0.9:07000x"`, `7000`, `null`, `["10.0.0.9:7000"]`},
		`"10.0.0.9:9000"`: {`"10.0.0.9:65536"`, `"host:9000"`, `{}`},
		`"anping"`:        {`"` + strings.Repeat("z", 1000) + `"`, `"a b"`, `"a\nb"`, `1`},
	} {
		for _, b := range bad {
			values[field+" replaced by "+b] = strings.Replace(good, field, b, 1)
		}
	}
	return values
}

// Guards against a value of another writer that ends the list of entries, makes other
// processes dial what cannot be dialled, or is passed on in heartbeats, and against an
// entry that stays unregistered after such a value has replaced its own.
func TestForeignValueUnderAnEntrysKey(t *testing.T) {
	const key = store.EntriesPrefix + "x"
	for name, value := range foreignValues() {
		inVirtualTime(t, func(c *qt.C, s *storestub.Stub) {
			comment := qt.Commentf("%s", name)
			ref := wire.EntryRef{ID: "x", Incarnation: 7, Address: "10.0.0.9:7000", Admin: "10.0.0.9:9000", DataCentre: "anping"}
			r, err := store.NewEntryRegistrar(ref, store.RegistrarOptions{Store: s, TTL: ttl})
			c.Assert(err, qt.IsNil)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); r.Run(ctx) }()
			defer func() { cancel(); <-done }()
			synctest.Wait()
			other, err := store.EncodeEntry(wire.EntryRef{ID: "other", Incarnation: 1, Address: "10.0.0.8:7000", DataCentre: "anping"})
			c.Assert(err, qt.IsNil)
			s.Put(store.EntriesPrefix+"other", other)

			s.Put(key, []byte(value))
			refs, unusable, err := store.Entries(context.Background(), s)
			c.Assert(err, qt.IsNil, comment)
			c.Assert(refs, qt.HasLen, 1, comment)
			c.Check(refs[0].ID, qt.Equals, "other", comment)
			c.Check(unusable.Count, qt.Equals, 1, comment)
			c.Check(unusable.Key, qt.Equals, key, comment)
			c.Check(len(unusable.Reason.Error()) < 500, qt.IsTrue, qt.Commentf("%s: reason of %d bytes", name, len(unusable.Reason.Error())))

			time.Sleep(ttl)
			refs, unusable, err = store.Entries(context.Background(), s)
			c.Assert(err, qt.IsNil, comment)
			c.Check(unusable.Count, qt.Equals, 0, comment)
			c.Check(refs, qt.HasLen, 2, comment)
			c.Check(r.Registered(), qt.IsTrue, comment)
		})
	}
}
