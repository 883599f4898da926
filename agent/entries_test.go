package agent

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// Guards against an agent that never reaches an entry because registrations that
// another writer left, and at which nothing listens, are more than it selects.
func TestRegistrationsOfAnotherWriterFillTheSubset(t *testing.T) {
	few := func(s *settings.Agent) { s.ID, s.MaxEntries = "a9", 2 }
	withRig(t, setup{unregistered: true, change: few}, func(r *rig) {
		for i := range 100 {
			id := fmt.Sprint("foreign", i)
			value, err := store.EncodeEntry(wire.EntryRef{ID: id, Incarnation: 1, Address: fmt.Sprintf("10.9.0.%d:7000", i+1), DataCentre: dataCentre})
			r.Assert(err, qt.IsNil)
			r.store.Put(store.EntriesPrefix+id, value)
		}
		e := r.entries[0]
		value, err := store.EncodeEntry(e.ref)
		r.Assert(err, qt.IsNil)
		r.store.Put(store.EntriesPrefix+e.ref.ID, value)
		heartbeats := func() (n int) {
			e.update(func(e *entryStub) { n = len(e.heartbeats) })
			return n
		}
		// 101 entries are tried 2 at a time, for 5 s each.
		time.Sleep(5 * time.Minute)
		r.Check(heartbeats() > 0, qt.IsTrue)
		begin := heartbeats()
		time.Sleep(time.Minute)
		r.Check(heartbeats()-begin > 100, qt.IsTrue, qt.Commentf("%d heartbeats in a minute", heartbeats()-begin))
	})
}
