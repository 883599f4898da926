package untrustedtest

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/dev"
	"chicorytray.example/chicorytray/internal/processtest"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/settings"
)

const (
	slots = 4
	// machineMB is the memory that the processes are told their machine has: that
	// of requestBounds. connections is lower than on a machine, as the crowds are.
	machineMB, connections = 67, 200
)

func TestMain(m *testing.M) { processtest.Main(m) }

// system is a store, an entry, an agent and an upstream.
type system struct {
	c            *qt.C
	dir          string
	layout       dev.Layout
	entry, agent *processtest.Process
	// Addresses of the entry and the agent.
	callers, entryPeers, entryAdmin, agentPeers, agentAdmin string

	tls    *tls.Config // of the callers' address; nil for plain HTTP
	silent bool        // the clients of a crowd do not read
}

// startSystem starts a system and waits until the entry answers an ordinary
// request.
func startSystem(t *testing.T) *system { return startSystemWith(t, func(*settings.Entry) {}) }

// startSystemWith is startSystem with changed settings of the entry.
func startSystemWith(t *testing.T, change func(*settings.Entry)) *system {
	c := qt.New(t)
	layout, err := dev.LayoutNamed("recife")
	c.Assert(err, qt.IsNil)
	a := processtest.FreeAddresses(c, 6)
	s := &system{c: c, dir: t.TempDir(), layout: layout, callers: a[1], entryPeers: a[2], entryAdmin: a[3], agentPeers: a[4], agentAdmin: a[5]}
	processtest.StartStore(c, layout, s.dir, a[0])
	stub, err := upstreamstub.Listen("127.0.0.1:0", upstreamstub.Options{Name: "w01", DataCentre: layout.DataCentres[0], Slots: slots, Record: upstreamstub.NewRecord()})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = stub.Close() })
	e := s.entrySettings(a[0])
	change(&e)
	if e.CallerTLS.Enabled() {
		s.tls = &tls.Config{InsecureSkipVerify: true} //nolint:gosec // the test's own certificate
	}
	s.entry = processtest.Start(c, "entry", nil, "chicorytray-entry", "run", "-settings", processtest.WriteJSON(c, s.dir, "entry", e))
	s.agent = processtest.Start(c, "agent", nil, "chicorytray-agent", "run", "-settings", processtest.WriteJSON(c, s.dir, "agent", s.agentSettings(a[0], stub.Address())))
	s.checkCallersServed()
	return s
}

// entrySettings returns the settings of the entry with the limits that the platform
// publishes for its clients.
func (s *system) entrySettings(store string) settings.Entry {
	e := settings.DefaultEntry()
	e.ID, e.DataCentre = "entry-1", s.layout.DataCentres[0]
	e.CallerAddress, e.PeerAddress, e.AdminAddress = s.callers, s.entryPeers, s.entryAdmin
	e.Store.URL = "http://" + store
	l := &e.Limits
	l.MaxBodyBytes, l.MaxHeaderBytes = 262_144, 16_384
	l.MemoryMB, l.FileDescriptors, l.MaxConnections = machineMB, 3000, connections
	l.HeaderTimeout, l.BodyTimeout, l.IdleTimeout = settings.Duration(3*time.Second), settings.Duration(15*time.Second), settings.Duration(15*time.Second)
	return e
}

func (s *system) agentSettings(store, upstream string) settings.Agent {
	a := settings.DefaultAgent()
	a.ID, a.DataCentre, a.Rack, a.Worker = "agent-1", s.layout.DataCentres[0], "r1", "w01"
	a.PeerAddress, a.AdminAddress, a.Upstream = s.agentPeers, s.agentAdmin, upstream
	a.HealthPath, a.Slots, a.Store.URL = upstreamstub.HealthPath, slots, "http://"+store
	a.Limits = settings.AgentLimits{MemoryMB: machineMB, FileDescriptors: 3000, MaxConnections: connections}
	return a
}

// checkCallersServed requires that one ordinary job is completed; refusals and
// broken connections before that are allowed.
func (s *system) checkCallersServed() {
	s.c.Helper()
	type task struct {
		Name string `json:"name"`
		Body string `json:"body"`
	}
	r := upstreamstub.Request{Key: strconv.Itoa(rand.Int()), ServiceMS: 1}
	body, err := json.Marshal(struct {
		Template string `json:"template"`
		Tasks    []task `json:"tasks"`
	}{s.layout.Names.Bulk, []task{{s.layout.Names.Tasks[0], r.Encode()}}})
	s.c.Assert(err, qt.IsNil)
	processtest.Eventually(s.c, "an ordinary job is completed", func() bool {
		scheme := "http://"
		if s.tls != nil {
			scheme = "https://"
		}
		req, err := http.NewRequest(http.MethodPost, scheme+s.callers+"/v1/jobs", bytes.NewReader(body))
		s.c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+dev.Token(s.layout.Names.OfficeAccount))
		return statusOf(req) == http.StatusOK
	})
}

// checkAdminServed requires that an admin address answers one request.
func (s *system) checkAdminServed(address string) {
	s.c.Helper()
	processtest.Eventually(s.c, "an admin request is answered", func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/healthz", http.NoBody)
		s.c.Assert(err, qt.IsNil)
		return statusOf(req) == http.StatusOK
	})
}

// statusOf sends a request on a new connection; 0 means that no response came.
func statusOf(req *http.Request) int {
	//nolint:gosec // the test's own certificate
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}, Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
