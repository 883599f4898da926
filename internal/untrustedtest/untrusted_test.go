package untrustedtest

import (
	"testing"

	"chicorytray.example/chicorytray/internal/crowdtest"
	"chicorytray.example/chicorytray/internal/dev"
	"chicorytray.example/chicorytray/internal/processtest"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// The bounds are far below the smallest machine (144 MB, 3,000 descriptors), as the
// crowds are far below the clients of a real one. A quiet process has a peak of
// about 25 MiB.
var (
	requestBounds = processtest.Bounds{PeakMiB: 64, Descriptors: 320}
	// frameBounds leave room for a message of 16 MiB, which may hold a
	// configuration.
	frameBounds = processtest.Bounds{PeakMiB: 128, Descriptors: 320}
)

const (
	headClients = 400
	bodyClients = 600
	// frameClients send 15 MiB each, adminBodyClients a configuration.
	frameClients     = 24
	adminBodyClients = 200
)

// Guards against an entry that runs out of memory or descriptors because of heads
// of legal size, whose decoded form is many times larger.
func TestHeadsOfManyLines(t *testing.T) {
	s := startSystem(t)
	s.crowd(s.callers, headClients, func(i int) crowdtest.Conn { return crowdtest.HeldHead("/v1/jobs", i) })
	s.entry.Settle()
	s.entry.CheckBounds(s.c, requestBounds)
	s.checkCallersServed()
}

// Guards against an entry that keeps what is sent beyond the limit of a head. It
// passes on the code before the limits: net/http answers 431 after the limit plus
// 4 KiB and closes the connection.
func TestEndlessHeads(t *testing.T) {
	s := startSystem(t)
	s.crowd(s.callers, headClients, func(i int) crowdtest.Conn { return crowdtest.EndlessHead("/v1/jobs", i) })
	s.entry.Settle()
	s.entry.CheckBounds(s.c, requestBounds)
	s.checkCallersServed()
}

// Guards against an entry that reads empty lines without end while it waits for a
// request. It passes on the code before the limits: net/http answers 400 to an
// empty first line and closes the connection.
func TestEmptyLines(t *testing.T) {
	s := startSystem(t)
	s.crowd(s.callers, headClients, crowdtest.EmptyLines)
	s.entry.Settle()
	s.entry.CheckBounds(s.c, requestBounds)
	s.checkCallersServed()
}

// Guards against an entry that runs out of memory because many callers send bodies
// of legal size at once, whole or without their end.
func TestLargeBodies(t *testing.T) {
	s := startSystem(t)
	token := dev.Token(s.layout.Names.OfficeAccount)
	s.crowd(s.callers, bodyClients, func(i int) crowdtest.Conn { return crowdtest.LargeBody("POST", "/v1/jobs", token, 262_144, i) })
	s.entry.Settle()
	s.entry.CheckBounds(s.c, requestBounds)
	s.checkCallersServed()
}

// helloOf returns the hello of a process that dials with the default codec.
func helloOf() []byte {
	return []byte{'C', 'T', 'R', 'Y', wire.ProtocolVersion >> 8, wire.ProtocolVersion & 0xff, 1, 0}
}

// checkPeersServed requires that a peer address answers one call.
func (s *system) checkPeersServed(address string) {
	s.c.Helper()
	processtest.Eventually(s.c, "a call is answered", func() bool {
		d := rpcconn.Dialer{}
		conn, err := d.Connect(s.c.Context(), address)
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		return conn.Call(s.c.Context(), rpcconn.PingMethod, &wire.Empty{}, &wire.Empty{}) == nil
	})
}

// Guards against an entry that holds the unfinished messages of many connections to
// its peer address.
func TestUnfinishedMessagesAtEntry(t *testing.T) {
	s := startSystem(t)
	s.crowd(s.entryPeers, frameClients, func(i int) crowdtest.Conn { return crowdtest.HeldFrame(helloOf(), 15<<20, i) })
	s.entry.Settle()
	s.entry.CheckBounds(s.c, frameBounds)
	s.checkPeersServed(s.entryPeers)
	s.checkCallersServed()
}

// Guards against an agent that holds the unfinished messages of many connections to
// its peer address.
func TestUnfinishedMessagesAtAgent(t *testing.T) {
	s := startSystem(t)
	s.crowd(s.agentPeers, frameClients, func(i int) crowdtest.Conn { return crowdtest.HeldFrame(helloOf(), 15<<20, i) })
	s.agent.Settle()
	s.agent.CheckBounds(s.c, frameBounds)
	s.checkPeersServed(s.agentPeers)
	s.checkCallersServed()
}

// Guards against connections to the peer address that never say hello and keep
// their descriptors.
func TestSilentConnectionsAtAgent(t *testing.T) {
	s := startSystem(t)
	s.crowd(s.agentPeers, bodyClients, func(i int) crowdtest.Conn { return crowdtest.Conn{Data: helloOf()[:i%9%8]} })
	s.agent.Settle()
	s.agent.CheckBounds(s.c, frameBounds)
	s.checkPeersServed(s.agentPeers)
	s.checkCallersServed()
}

// Guards against an entry that runs out of memory because of heads at its admin
// address.
func TestHeadsAtEntryAdmin(t *testing.T) {
	s := startSystem(t)
	s.crowd(s.entryAdmin, headClients, func(i int) crowdtest.Conn { return crowdtest.HeldHead("/v1/config", i) })
	s.entry.Settle()
	s.entry.CheckBounds(s.c, requestBounds)
	s.checkAdminServed(s.entryAdmin)
	s.checkCallersServed()
}

// Guards against an entry that runs out of memory because of configurations without
// their end at its admin address.
func TestLargeBodiesAtEntryAdmin(t *testing.T) {
	s := startSystem(t)
	s.crowd(s.entryAdmin, adminBodyClients, func(i int) crowdtest.Conn {
		return crowdtest.LargeBody("PUT", "/v1/config", "", store.MaxValueBytes, i)
	})
	s.entry.Settle()
	s.entry.CheckBounds(s.c, requestBounds)
	s.checkAdminServed(s.entryAdmin)
	s.checkCallersServed()
}

// Guards against an agent that runs out of memory or descriptors because of heads at
// its admin address.
func TestHeadsAtAgentAdmin(t *testing.T) {
	s := startSystem(t)
	s.crowd(s.agentAdmin, headClients, func(i int) crowdtest.Conn { return crowdtest.HeldHead("/healthz", i) })
	s.agent.Settle()
	s.agent.CheckBounds(s.c, requestBounds)
	s.checkAdminServed(s.agentAdmin)
	s.checkCallersServed()
}
