// Package tlstest tests an entry and an agent that use TLS on the callers' and on
// the peers' connections.
package tlstest

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/agent"
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/settings"
)

const (
	dataCentre = "anping"
	token      = "token"
	// maxAttempts limits the submissions of a job until the entry knows the
	// agent. With the pauses they take a minute, far longer than a start.
	maxAttempts = 1200
	retryPause  = 50 * time.Millisecond
)

// Guards against TLS settings or a codec that work in rpcconn but not in the
// daemons. A job has to pass from the caller to the upstream and back, with
// client certificates between the entry and the agent.
func TestJobOverTLS(t *testing.T) {
	for _, codec := range []string{settings.CodecGob, settings.CodecMsgpack} {
		t.Run(codec, func(t *testing.T) {
			c := qt.New(t)
			files, pool := writeCertificates(c)
			upstream, err := upstreamstub.Listen("127.0.0.1:0", upstreamstub.Options{Name: "u", Slots: 4, Service: time.Millisecond})
			c.Assert(err, qt.IsNil)
			defer func() { c.Check(upstream.Close(), qt.IsNil) }()
			callers := startDaemons(c, codec, files, upstream.Address())

			client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
			defer client.CloseIdleConnections()
			status, body := 0, ""
			for n := 0; n < maxAttempts && status != http.StatusOK; n++ {
				if n > 0 {
					<-time.After(retryPause)
				}
				status, body = submitJob(c, client, "https://"+callers)
			}
			c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
			c.Check(len(upstream.Record().Starts()), qt.Equals, 1)

			plain, err := http.Get("http://" + callers + "/v1/jobs/x")
			if err == nil {
				c.Check(plain.StatusCode, qt.Equals, http.StatusBadRequest) // net/http's answer to plain text
				c.Check(plain.Body.Close(), qt.IsNil)
			}
		})
	}
}

func submitJob(c *qt.C, client *http.Client, base string) (status int, body string) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/jobs", strings.NewReader(`{"template":"proof"}`))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, string(raw)
}

// startDaemons runs an entry and an agent until the test ends, and returns the
// address for callers.
func startDaemons(c *qt.C, codec string, files settings.TLS, upstream string) (callers string) {
	store := storestub.New()
	raw, err := testDocument().Encode()
	c.Assert(err, qt.IsNil)
	_, err = store.CompareAndSwap(context.Background(), config.Key, 0, raw, 0)
	c.Assert(err, qt.IsNil)
	var l [5]net.Listener
	for i := range l {
		l[i], err = net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
	}
	address := func(i int) string { return l[i].Addr().String() }

	es := settings.DefaultEntry()
	es.ID, es.DataCentre, es.Codec, es.Store.URL = "e1", dataCentre, codec, "http://127.0.0.1:1"
	es.CallerAddress, es.PeerAddress, es.AdminAddress = address(0), address(1), address(2)
	es.PeerTLS, es.CallerTLS = files, settings.TLS{CertFile: files.CertFile, KeyFile: files.KeyFile}
	e, err := entry.New(entry.Options{Settings: es, Store: store, Logger: zerolog.Nop(), Callers: l[0], Peers: l[1], Admin: l[2]})
	c.Assert(err, qt.IsNil)

	as := settings.DefaultAgent()
	as.ID, as.DataCentre, as.Rack, as.Worker, as.Codec, as.Store.URL = "a1", dataCentre, "r1", "w1", codec, "http://127.0.0.1:1"
	as.PeerAddress, as.AdminAddress, as.Upstream, as.Slots = address(3), address(4), upstream, 4
	as.PeerTLS, as.Seeds = files, []string{address(1)}
	a, err := agent.New(agent.Options{Settings: as, Store: store, Logger: zerolog.Nop(), Peers: l[3], Admin: l[4]})
	c.Assert(err, qt.IsNil)

	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = e.Run(ctx) })
	running.Go(func() { _ = a.Run(ctx) })
	c.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return address(0)
}

func testDocument() *config.Document {
	return &config.Document{
		Generation:  1,
		DataCentres: []config.DataCentre{{Name: dataCentre, Region: "tainan", InService: true}},
		Accounts:    []config.Account{{Name: "portal", TokenSHA256: []string{config.HashToken(token)}}},
		Templates: []config.Template{{Name: "proof", Account: "portal", Kind: config.KindJob, DeadlineMS: 30_000, ExpectedMS: 1,
			Tasks: []config.Task{{Name: "render", Method: http.MethodPost, Path: "/render"}}}},
	}
}

// writeCertificates writes the files of a CA and of a certificate for servers and
// clients at 127.0.0.1. The pool contains the CA.
func writeCertificates(c *qt.C) (settings.TLS, *x509.CertPool) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	c.Assert(err, qt.IsNil)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "chicorytray"},
		NotBefore: ca.NotBefore, NotAfter: ca.NotAfter, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)

	dir := c.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
		return path
	}
	pool := x509.NewCertPool()
	parsed, err := x509.ParseCertificate(caDER)
	c.Assert(err, qt.IsNil)
	pool.AddCert(parsed)
	return settings.TLS{
		CertFile: write("cert.pem", "CERTIFICATE", der), KeyFile: write("key.pem", "PRIVATE KEY", keyDER),
		CAFile: write("ca.pem", "CERTIFICATE", caDER),
	}, pool
}
