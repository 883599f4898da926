package untrustedtest

import (
	"crypto/tls"
	"net"
	"time"

	"chicorytray.example/chicorytray/internal/crowdtest"
	"chicorytray.example/chicorytray/internal/processtest"
)

// crowd opens n connections to the address; see crowdtest.Open.
func (s *system) crowd(address string, n int, send func(i int) crowdtest.Conn) {
	crowdtest.Open(s.c, n, !s.silent, func() (net.Conn, error) { return s.dial(address) }, send)
}

// dial opens a connection as the clients of the crowd do: with TLS if the callers'
// address has it, and with a small buffer if they do not read.
func (s *system) dial(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, processtest.ConditionTimeout)
	if err != nil {
		return nil, err
	}
	if s.silent {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
	}
	if s.tls == nil || address != s.callers {
		return c, nil
	}
	t := tls.Client(c, s.tls)
	_ = t.SetDeadline(time.Now().Add(processtest.ConditionTimeout))
	if err := t.HandshakeContext(s.c.Context()); err != nil {
		_ = c.Close()
		return nil, err
	}
	return t, nil
}
