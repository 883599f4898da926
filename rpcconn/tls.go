package rpcconn

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
)

// LoadTLS returns a configuration for both sides of mutual TLS: each side
// presents the certificate and accepts peers whose certificate the authority
// signed. Certificates name IP addresses, because processes dial those.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("rpcconn: load certificate: %w", err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("rpcconn: load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("rpcconn: " + caFile + " holds no PEM certificate")
	}
	return MutualTLS(cert, pool), nil
}

// MutualTLS returns the configuration that LoadTLS would, from memory.
func MutualTLS(cert tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// clientTLS sets the name that the peer's certificate must carry.
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
