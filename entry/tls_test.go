package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/settings"
)

// writeSelfSignedCertificate writes a self-signed certificate for the address
// and its key to files. It returns their paths and a pool that contains the
// certificate.
func writeSelfSignedCertificate(c *qt.C, ip string) (files settings.TLS, pool *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	now := time.Now()
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	files = settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	c.Assert(os.WriteFile(files.CertFile, certPEM, 0o600), qt.IsNil)
	c.Assert(os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600), qt.IsNil)
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return files, pool
}

// Guards against accepting callers' requests, with their tokens, without
// encryption although TLS is configured.
func TestCallerTLS(t *testing.T) {
	inBubble(t, func(h *harness) {
		files, pool := writeSelfSignedCertificate(h.C, "10.0.1.1")
		e := h.entry(1, "anping", func(o *Options) { o.Settings.CallerTLS = files })
		waitForDiscovery()
		url := "://" + e.settings.CallerAddress + "/v1/jobs"
		client := &http.Client{Transport: &http.Transport{
			DialContext: h.dialHTTP, DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool},
		}}
		resp, err := client.Get("https" + url)
		h.Assert(err, qt.IsNil)
		h.Check(resp.StatusCode, qt.Equals, http.StatusMethodNotAllowed)
		h.Check(resp.Body.Close(), qt.IsNil)
		resp, err = client.Get("http" + url)
		if err == nil { // net/http answers plain HTTP with 400 and closes
			h.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest)
			h.Check(resp.Body.Close(), qt.IsNil)
		}
	})
}

// Guards against New accepting options without a store, an identity or readable
// TLS files, and against an entry that is returned with the error.
func TestOptionsAreChecked(t *testing.T) {
	c := qt.New(t)
	valid := func() Options { return Options{Settings: entrySettings(1, "anping"), Store: storestub.New()} }
	_, err := New(valid())
	c.Check(err, qt.IsNil)
	for name, change := range map[string]func(*Options){
		"no store":       func(o *Options) { o.Store = nil },
		"no identity":    func(o *Options) { o.Settings.ID = "" },
		"no certificate": func(o *Options) { o.Settings.CallerTLS = settings.TLS{CertFile: "/none", KeyFile: "/none"} },
		"no authority": func(o *Options) {
			o.Settings.PeerTLS = settings.TLS{CertFile: "/none", KeyFile: "/none", CAFile: "/none"}
		},
	} {
		o := valid()
		change(&o)
		e, err := New(o)
		c.Check(err, qt.ErrorIs, ErrOptions, qt.Commentf("%s", name))
		c.Check(e, qt.IsNil, qt.Commentf("%s", name))
	}
}
