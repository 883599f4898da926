package rpcconn

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
)

// LoadTLS reads PEM files and returns a configuration of mutual TLS for both
// sides of a connection: each side presents the certificate and accepts only
// peers whose certificate is signed by the certificate authority in caFile.
// Certificates must name IP addresses, because processes dial IP addresses.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("rpcconn: load certificate: %w", err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("rpcconn: load CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("rpcconn: " + caFile + " holds no PEM certificate")
	}
	return MutualTLS(cert, pool), nil
}

// MutualTLS returns the same configuration as LoadTLS, from a certificate and
// a certificate authority in memory.
func MutualTLS(cert tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// clientTLS returns a copy of c that requires the peer's certificate to name the
// host of the address, unless c names another host.
func clientTLS(c *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	c = c.Clone()
	if c.ServerName == "" {
		c.ServerName = host
	}
	return c
}
