package entry

import (
	"context"
	"crypto/tls"
	"net"

	"chicorytray.example/chicorytray/ingest"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
)

// rpcOptions returns the options of the connections to agents and other entries.
func rpcOptions(o Options, counters *rpcconn.Counters, peers *ingest.Group) (rpcconn.Options, error) {
	s := o.Settings
	opts := rpcconn.Options{
		Codec: rpcconn.Codec(s.Codec), MaxMessageBytes: s.Limits.MaxMessageBytes,
		HelloTimeout: s.Timing.CallTimeout.AsDuration(), Counters: counters, Logger: o.Logger, Group: peers,
	}
	if !s.PeerTLS.Enabled() {
		return opts, nil
	}
	t, err := rpcconn.LoadTLS(s.PeerTLS.CertFile, s.PeerTLS.KeyFile, s.PeerTLS.CAFile)
	if err != nil {
		return opts, err
	}
	opts.TLS = t
	return opts, nil
}

// newDialer returns a dialer for connections to agents and other entries; a nil
// dial means TCP.
func newDialer(opts rpcconn.Options, dial func(context.Context, string) (net.Conn, error)) agentDialer {
	d := &rpcconn.Dialer{Options: opts, Dial: dial}
	return func(ctx context.Context, address string) (agentConn, error) {
		c, err := d.Connect(ctx, address)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// callerTLS returns the TLS configuration of the callers' address; nil if TLS is
// not enabled.
func callerTLS(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// Traffic returns the number of messages and bytes exchanged with other processes
// since the start, by method.
func (e *Entry) Traffic() map[string]rpcconn.Count { return e.counters.ByMethod() }

// ControlBytes returns the number of bytes of control traffic sent and received
// since the start.
func (e *Entry) ControlBytes() uint64 {
	t := e.counters.Total(rpcconn.KindControl)
	return t.BytesSent + t.BytesReceived
}
