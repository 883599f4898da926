package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

// Options of an Agent.
type Options struct {
	Settings settings.Agent
	// Store is read at the start and when no entry is reachable, never written.
	Store   store.Store
	Logger  zerolog.Logger
	Metrics tally.Scope // nil counts nothing
	// MetricsHandler serves /metrics on the admin address; nil leaves it out.
	MetricsHandler http.Handler
	// Dial opens connections to entries; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialUpstream opens connections to the upstream; nil means TCP.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	// Connect returns the calls to the worker that announced itself. It does
	// no I/O. It is required with Settings.Leased.
	Connect func(lease.Announcement) Worker
	// Listeners; nil listens on the settings' address.
	Peers, Admin net.Listener
}

// check reports all problems at once.
func (o Options) check() error {
	var errs []error
	if o.Store == nil {
		errs = append(errs, errors.New("no store"))
	}
	if o.Settings.Leased != nil && o.Connect == nil {
		errs = append(errs, errors.New("no Connect, which settings.Leased requires"))
	}
	if err := o.Settings.Validate(); err != nil {
		errs = append(errs, err)
	}
	if len(errs) > 0 {
		return fmt.Errorf("%w: %w", ErrOptions, errors.Join(errs...))
	}
	return nil
}

// rpcOptions are those of both the server and the dialer.
func (o Options) rpcOptions(counters *rpcconn.Counters, log zerolog.Logger) (rpcconn.Options, error) {
	s := o.Settings
	opts := rpcconn.Options{
		Codec: rpcconn.Codec(s.Codec), MaxMessageBytes: s.MaxMessageBytes,
		WriteTimeout: s.Timing.CallTimeout.AsDuration(), HelloTimeout: s.Timing.CallTimeout.AsDuration(),
		Counters: counters, Logger: log,
	}
	if !s.PeerTLS.Enabled() {
		return opts, nil
	}
	t, err := rpcconn.LoadTLS(s.PeerTLS.CertFile, s.PeerTLS.KeyFile, s.PeerTLS.CAFile)
	if err != nil {
		return opts, fmt.Errorf("%w: peer_tls: %w", ErrOptions, err)
	}
	opts.TLS = t
	return opts, nil
}
