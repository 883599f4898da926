package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// Guards against pending jobs of a process that ended that nobody counts after
// the first heartbeat of the next process, and that count for ever.
func TestPendingOfAReplacedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pendingByPeer
		first := wire.EntryRef{ID: "e1", Incarnation: wire.NewIncarnation()}
		next := wire.EntryRef{ID: "e1", Incarnation: wire.NewIncarnation()}
		p.update(first, map[string]int{"step": 3})
		time.Sleep(time.Second)
		p.update(next, nil)
		qt.Check(t, p.count("step"), qt.Equals, 3)
		p.recordTakeover("step", 750*time.Millisecond)
		qt.Check(t, p.count("step"), qt.Equals, 2)
		time.Sleep(lostPeerRetention)
		qt.Check(t, p.count("step"), qt.Equals, 0)
	})
}
