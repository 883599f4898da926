package entry

import (
	"context"
	"crypto/tls"
	"net"

	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
)

// rpcOptions are the options of connections between processes.
func rpcOptions(o Options, counters *rpcconn.Counters) (rpcconn.Options, error) {
	s := o.Settings
	opts := rpcconn.Options{
		Codec: rpcconn.Codec(s.Codec), MaxMessageBytes: s.Limits.MaxMessageBytes,
		HelloTimeout: s.Timing.CallTimeout.AsDuration(), Counters: counters, Logger: o.Logger,
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

// newDialer returns a dialer of connections to agents and peers.
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

// callerTLS is the configuration of the callers' address; nil without TLS.
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

// Traffic returns the messages and bytes exchanged with other processes so
// far, by method.
func (e *Entry) Traffic() map[string]rpcconn.Count { return e.counters.ByMethod() }

// ControlBytes returns the bytes of control traffic sent and received so far.
func (e *Entry) ControlBytes() uint64 {
	t := e.counters.Total(rpcconn.KindControl)
	return t.BytesSent + t.BytesReceived
}
