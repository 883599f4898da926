package untrustedtest

import (
	"bytes"
	"context"
	"crypto/x509"
	"encoding/pem"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/crowdtest"
	"chicorytray.example/chicorytray/internal/dev"
	"chicorytray.example/chicorytray/internal/processtest"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// The smallest machine, with the limits that follow from its memory, but fewer
// descriptors, so that the crowds are small.
const (
	smallestMB      = 144
	fewDescriptors  = 400
	clientsPerGroup = 300
)

// smallestBounds are that machine's memory and the descriptors.
var smallestBounds = processtest.Bounds{PeakMiB: smallestMB * 1_000_000 >> 20, Descriptors: fewDescriptors}

// smallestMachine sets the limits of the entry to the machine above.
func smallestMachine(e *settings.Entry) {
	e.Limits.MemoryMB, e.Limits.FileDescriptors, e.Limits.MaxConnections = smallestMB, fewDescriptors, 0
}

// Guards against an entry that runs out of descriptors because clients open connections
// to all of its addresses, each within the limit of one.
func TestConnectionsToAllAddresses(t *testing.T) {
	s := startSystemWith(t, smallestMachine)
	for _, address := range []string{s.callers, s.entryPeers, s.entryAdmin} {
		s.crowd(address, clientsPerGroup, func(int) crowdtest.Conn { return crowdtest.Conn{Data: []byte("GET ")} })
	}
	s.entry.Settle()
	s.entry.CheckBounds(s.c, smallestBounds)
	s.checkAdminServed(s.entryAdmin)
	s.checkPeersServed(s.entryPeers)
	s.checkCallersServed()
}

// Guards against a legal body that is refused for its memory although nothing else is
// being read. The list is longer than a job may be, so the answer is a refusal for that.
func TestLargeBodyInCalm(t *testing.T) {
	s := startSystemWith(t, smallestMachine)
	const size = 262_144
	for start, unit := range map[string]string{`{"template":"a","tasks":[`: `{"name":"a"}`, `{"template":"a","junk":[`: `1`} {
		body := start + strings.Repeat(unit+",", (size-len(start)-len(unit)-2)/(len(unit)+1)) + unit + "]}"
		req, err := http.NewRequest(http.MethodPost, "http://"+s.callers+"/v1/jobs", strings.NewReader(body))
		s.c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+dev.Token(s.layout.Names.OfficeAccount))
		status := statusOf(req)
		s.c.Check(status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusRequestEntityTooLarge, qt.IsTrue, qt.Commentf("status %d", status))
	}
	s.entry.CheckBounds(s.c, smallestBounds)
	s.checkCallersServed()
}

// Guards against many large bodies that are each served because nothing else was being
// read, and take the memory of the machine together.
func TestLargeBodiesOnTheSmallestMachine(t *testing.T) {
	s := startSystemWith(t, smallestMachine)
	token := dev.Token(s.layout.Names.OfficeAccount)
	s.crowd(s.callers, bodyClients, func(i int) crowdtest.Conn { return crowdtest.LargeBody("POST", "/v1/jobs", token, 262_144, i) })
	s.crowd(s.callers, bodyClients, func(int) crowdtest.Conn { return crowdtest.LargeBody("POST", "/v1/jobs", token, 262_144, 0) })
	s.entry.Settle()
	s.entry.CheckBounds(s.c, smallestBounds)
	s.checkCallersServed()
}

// Guards against memory that connections to the peer address keep for whole messages
// that were handled: here calls of an unknown method.
func TestWholeMessagesAtEntry(t *testing.T) {
	s := startSystem(t)
	call := s.wholeCall(15 << 20)
	s.crowd(s.entryPeers, frameClients, func(int) crowdtest.Conn { return call })
	s.entry.Settle()
	s.entry.CheckBounds(s.c, frameBounds)
	s.checkPeersServed(s.entryPeers)
	s.checkCallersServed()
}

// recorder records what is written to a connection.
type recorder struct {
	net.Conn
	written bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error) {
	r.written.Write(p)
	return r.Conn.Write(p)
}

// wholeCall returns what a process sends to the entry to make a call of an unknown
// method with an argument of the given size.
func (s *system) wholeCall(size int) crowdtest.Conn {
	var r recorder
	d := rpcconn.Dialer{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var err error
		r.Conn, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return &r, err
	}}
	conn, err := d.Connect(s.c.Context(), s.entryPeers)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(conn.Call(s.c.Context(), "No.Method", &wire.Result{Detail: strings.Repeat("x", size)}, &wire.Empty{}), qt.IsNotNil)
	_ = conn.Close()
	return crowdtest.Conn{Data: r.written.Bytes()}
}

// Guards against heads of very many lines over TLS, and against what many connections
// with TLS take. The number of connections is that of the smallest machine.
func TestHeadsOverTLS(t *testing.T) {
	const descriptors, clients = 3000, 1500
	own := httptest.NewTLSServer(nil) // has a certificate
	defer own.Close()
	dir := t.TempDir()
	key, err := x509.MarshalPKCS8PrivateKey(own.TLS.Certificates[0].PrivateKey)
	qt.Assert(t, err, qt.IsNil)
	files := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	for file, block := range map[string]*pem.Block{
		files.CertFile: {Type: "CERTIFICATE", Bytes: own.Certificate().Raw}, files.KeyFile: {Type: "PRIVATE KEY", Bytes: key},
	} {
		qt.Assert(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
	s := startSystemWith(t, func(e *settings.Entry) {
		smallestMachine(e)
		e.Limits.FileDescriptors, e.CallerTLS = descriptors, files
	})
	s.crowd(s.callers, clients, func(i int) crowdtest.Conn { return crowdtest.HeldHead("/v1/jobs", i) })
	s.entry.Settle()
	s.entry.CheckBounds(s.c, processtest.Bounds{PeakMiB: smallestBounds.PeakMiB, Descriptors: descriptors})
	s.checkCallersServed()
}

// Guards against clients that send requests and do not read the responses, to callers' and
// operators' addresses: their connections would take all descriptors.
func TestClientsThatDoNotRead(t *testing.T) {
	s := startSystemWith(t, smallestMachine)
	s.silent = true
	const requests = 3000
	token := dev.Token(s.layout.Names.OfficeAccount)
	s.crowd(s.callers, clientsPerGroup, func(int) crowdtest.Conn {
		return crowdtest.Conn{Data: bytes.Repeat([]byte("GET /v1/jobs/none HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+token+"\r\n\r\n"), requests)}
	})
	s.crowd(s.entryAdmin, clientsPerGroup, func(int) crowdtest.Conn {
		return crowdtest.Conn{Data: bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"), requests)}
	})
	s.checkAdminServed(s.entryAdmin)
	s.checkCallersServed()
	s.entry.CheckBounds(s.c, smallestBounds)
}
