package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// Guards against an entry that accepts a heartbeat with only the agent's
// identity although it does not know the agent's address and slots, for example
// after its own restart.
func TestBriefHeartbeatOfUnknownAgent(t *testing.T) {
	c := qt.New(t)
	e := newUnstartedEntry(c)
	e.dispatcher.dial = func(context.Context, string) (agentConn, error) { return nil, ErrStopped }
	stop := make(chan struct{})
	defer func() { close(stop); <-e.dispatcher.ended }()
	go e.dispatcher.run(stop)
	full := wire.AgentRef{ID: "a1", Incarnation: 7, Address: "10.0.0.1:1", DataCentre: "anping", Slots: 8}
	heartbeat := func(ref wire.AgentRef, known wire.Incarnation) (r wire.HeartbeatReply) {
		req := wire.HeartbeatRequest{Agent: ref, KnownEntry: known, Healthy: true, ReadAge: -1}
		c.Assert(e.rpcHeartbeat(context.Background(), &req, &r), qt.IsNil)
		return r
	}

	r := heartbeat(full.IdentityOnly(), 0)
	c.Check(r.Describe, qt.IsTrue)
	c.Check(r.ConfirmAge < 0, qt.IsTrue)
	r = heartbeat(full, 0)
	c.Check(r.Describe, qt.IsFalse)
	c.Check(r.Entry, qt.Equals, e.self)
	r = heartbeat(full.IdentityOnly(), r.Entry.Incarnation)
	c.Check(r.Describe, qt.IsFalse)
	c.Check(r.Entry, qt.Equals, e.self.IdentityOnly())
	restarted := wire.AgentRef{ID: "a1", Incarnation: 8}
	c.Check(heartbeat(restarted, e.self.Incarnation).Describe, qt.IsTrue)
}

// Guards against an agent that restarts during a store outage and is not used
// until the outage ends: it cannot read the registrations of entries, so an
// entry that knows its address must introduce itself instead of only waiting
// for heartbeats.
func TestSilentAgentIsToldOfTheEntry(t *testing.T) {
	inBubble(t, func(h *harness) {
		e := h.entry(1, "anping", nil)
		a := h.agent(1, "anping")
		waitForDiscovery()
		h.Check(a.introduced, qt.Equals, wire.EntryRef{})
		a.die()
		addresses := a.entries
		a.entries = nil
		a.start()
		time.Sleep(4 * time.Second)
		a.mu.Lock()
		h.Check(a.introduced, qt.Equals, e.self)
		a.mu.Unlock()
		a.entries = addresses
	})
}
