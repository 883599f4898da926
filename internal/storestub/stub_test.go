package storestub_test

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store/storetest"
)

// Guards against a stand-in that breaks the contract of the service.
func TestContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Fixture {
		s := storestub.New()
		return storetest.Fixture{Store: s, Stub: s}
	})
}

// Guards against fault injection without an effect. Tests of callers would pass
// without meeting the fault.
func TestStaleReadsAndRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		s := storestub.New()
		first := s.Put("a", []byte("1"))
		backup := s.Snapshot()

		s.SetStale(true)
		second, err := s.CompareAndSwap(ctx, "a", first.Revision, []byte("2"), 0)
		c.Assert(err, qt.IsNil)
		kv, err := s.Get(ctx, "a")
		c.Assert(err, qt.IsNil)
		c.Check(kv, qt.DeepEquals, first)
		s.SetStale(false)
		kv, err = s.Get(ctx, "a")
		c.Assert(err, qt.IsNil)
		c.Check(kv, qt.DeepEquals, second)

		s.Restore(backup)
		kv, err = s.Get(ctx, "a")
		c.Assert(err, qt.IsNil)
		c.Check(kv, qt.DeepEquals, first)
		c.Check(s.Calls()[storestub.Get], qt.Equals, 3)
		c.Check(s.TotalCalls(), qt.Equals, 4)
	})
}
