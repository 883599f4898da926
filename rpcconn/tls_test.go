package rpcconn

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// issueCertificate creates a certificate authority and a certificate for the IP
// address that the authority signs. It writes them to PEM files and returns the
// files' names.
func issueCertificate(c *qt.C, ip string) (cert, key, ca string) {
	dir := c.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
		return path
	}
	template := x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	caDER, err := x509.CreateCertificate(rand.Reader, &template, &template, &caKey.PublicKey, caKey)
	c.Assert(err, qt.IsNil)
	leaf := template
	leaf.IsCA, leaf.KeyUsage, leaf.IPAddresses = false, x509.KeyUsageDigitalSignature, []net.IP{net.ParseIP(ip)}
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	der, err := x509.CreateCertificate(rand.Reader, &leaf, &template, &leafKey.PublicKey, caKey)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(leafKey)
	c.Assert(err, qt.IsNil)
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", keyDER), write("ca.pem", "CERTIFICATE", caDER)
}

// Guards against serving a peer that has no certificate signed by the authority.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	ours, err := LoadTLS(issueCertificate(c, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	strangers, err := LoadTLS(issueCertificate(c, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	anonymous := &tls.Config{RootCAs: ours.RootCAs, MinVersion: tls.VersionTLS13}
	cert, key, _ := issueCertificate(c, "127.0.0.1")
	_, err = LoadTLS(cert, key, key)
	c.Check(err, qt.ErrorMatches, ".*holds no PEM certificate")

	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s := NewServer(Options{TLS: ours})
	go func() { done <- s.Serve(ctx, l) }()
	for _, tc := range []struct {
		name string
		conf *tls.Config
		ok   bool
	}{{"ours", ours, true}, {"another authority", strangers, false}, {"no certificate", anonymous, false}, {"plain", nil, false}} {
		d := Dialer{Options: Options{TLS: tc.conf}}
		cl, err := d.Connect(ctx, l.Addr().String())
		c.Check(err == nil, qt.Equals, tc.ok, qt.Commentf("%s: %v", tc.name, err))
		if err == nil {
			c.Check(cl.Call(ctx, PingMethod, &wire.Empty{}, &wire.Empty{}), qt.IsNil)
			_ = cl.Close()
		}
	}
	cancel()
	c.Check(<-done, qt.IsNil)
}
