package entry

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// slowList is a store whose lists take as long as values of 1 MB on a slow link, of
// which parts keep arriving.
type slowList struct {
	store.Store
	parts int
	pause time.Duration
}

func (s *slowList) List(ctx context.Context, prefix string) ([]store.KV, error) {
	for range s.parts {
		select {
		case <-ctx.Done():
			return nil, store.ErrUnavailable
		case <-time.After(s.pause):
			store.ReportProgress(ctx)
		}
	}
	return s.Store.List(ctx, prefix)
}

// Guards against an entry that does not see the others because another writer left
// unusable keys, or so much that the list takes longer than the timeout of a call, and
// against a log line for each key or each list.
func TestListingWithKeysOfAnotherWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stub, timing := storestub.New(), settings.DefaultTiming()
		kv := &slowList{stub, 10, timing.StoreTimeout.AsDuration() * 3 / 4}
		for i := range 5000 {
			stub.Put(fmt.Sprint(store.EntriesPrefix, "foreign", i), []byte(`{"id":1e999}`))
		}
		value, err := store.EncodeEntry(wire.EntryRef{ID: "e2", Incarnation: 1, Address: "10.0.0.2:7000"})
		c.Assert(err, qt.IsNil)
		stub.Put(store.EntriesPrefix+"e2", value)
		var log bytes.Buffer
		scope := tally.NewTestScope("", nil)
		var listed []wire.EntryRef
		r, err := newRegistration(kv, timing, wire.EntryRef{ID: "e1", Incarnation: 1, Address: "10.0.0.1:7000"},
			zerolog.New(zerolog.SyncWriter(&log)), newMetrics(scope), func(refs []wire.EntryRef) { listed = refs })
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		go r.run(ctx)
		time.Sleep(10 * listInterval)
		cancel()
		<-r.done
		c.Check(listed, qt.HasLen, 2)
		c.Check(strings.Count(log.String(), "keys that register no entry"), qt.Equals, 1)
		c.Check(scope.Snapshot().Gauges()["registrations_unusable+"].Value(), qt.Equals, 5000.0)
	})
}
