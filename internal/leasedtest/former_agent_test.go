package leasedtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

// deliverFormerHeartbeat delivers a heartbeat to an entry that a former process of an
// agent sent over a connection of its own.
func (s *system) deliverFormerHeartbeat(entry, agent int) {
	w := s.workers[agent].Announcement()
	d := rpcconn.Dialer{Dial: s.net.Dialer(agentHost(agent))}
	c, err := d.Connect(context.Background(), entryHost(entry)+":7000")
	s.Assert(err, qt.IsNil)
	former := wire.AgentRef{ID: fmt.Sprint("a", agent), Incarnation: 1, Address: agentHost(agent) + ":7100", DataCentre: s.dataCentres[agent], Worker: w.Life.ID, Slots: 16, Capacity: w.Capacity, Pool: w.Pool}
	s.Assert(c.Call(context.Background(), "Entry.Heartbeat", &wire.HeartbeatRequest{Agent: former, Healthy: true, ReadAge: -1}, &wire.HeartbeatReply{}), qt.IsNil)
	s.Check(c.Close(), qt.IsNil)
}

// Guards against two runs of a task after the heartbeat of a former process of its agent
// has overtaken those of the present one: the entry gives the runs of the present one up
// and renews the session in which they go on.
func TestLateHeartbeatOfAFormerAgent(t *testing.T) {
	for name, fault := range map[string]leasestub.Faults{"": {}, "stops lost": {Stop: leasestub.Fault{Lost: true}}} {
		t.Run(name, func(t *testing.T) {
			withSystem(t, func(s *system) {
				s.submit(0, job{tasks: 6, duration: 2500 * ms, deadline: 10 * time.Second})
				time.Sleep(200 * ms)
				s.Assert(s.evidence.Running(), qt.Equals, 6)
				s.injectFor(3*time.Second, func() { s.workers[0].SetFaults(fault) }, func() { s.workers[0].SetFaults(leasestub.Faults{}) })
				s.deliverFormerHeartbeat(0, 0)
				s.checkAllDone()
			})
		})
	}
}
