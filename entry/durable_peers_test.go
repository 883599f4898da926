package entry

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// Guards against pending jobs of an ended process that are no longer counted
// after the first heartbeat of the next process, and against counting them
// longer than lostPeerRetention.
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
