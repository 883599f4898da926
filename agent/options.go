package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/ingest"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

// Options are the settings and dependencies of an Agent. Settings and Store are
// required.
type Options struct {
	Settings settings.Agent
	// Store lists the registered entries. It is read at the start and while no
	// entry is reachable, and is never written.
	Store   store.Store
	Logger  zerolog.Logger
	Metrics tally.Scope // nil disables metrics
	// MetricsHandler serves /metrics on the admin address; nil disables the path.
	MetricsHandler http.Handler
	// Dial opens connections to entries; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialUpstream opens connections to the upstream; nil means TCP.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	// Connect returns a client for the worker that sent the announcement. It
	// must not do I/O. It is required if Settings.Leased is set.
	Connect func(lease.Announcement) Worker
	// Peers and Admin are the listeners for RPC and for the admin address; nil
	// means to listen on Settings.PeerAddress or Settings.AdminAddress.
	Peers, Admin net.Listener
	// Clock measures sessions, the gate and deadlines; nil means the clock of this
	// machine. The table of runs is kept by the steady clock instead, because it
	// needs a lower bound of the worker's clock, which may stand still together
	// with the machine.
	Clock *clock.Clock
}

// check returns all problems of the options, joined into one error that wraps
// ErrOptions.
func (o Options) check() error {
	var errs []error
	if o.Store == nil {
		errs = append(errs, errors.New("option Store is not set"))
	}
	if o.Settings.Leased != nil && o.Connect == nil {
		errs = append(errs, errors.New("option Connect is not set, but Settings.Leased requires it"))
	}
	if err := o.Settings.Validate(); err != nil {
		errs = append(errs, err)
	}
	if len(errs) > 0 {
		return fmt.Errorf("%w: %w", ErrOptions, errors.Join(errs...))
	}
	return nil
}

// rpcOptions returns the RPC options that the server and the dialer share.
func (o Options) rpcOptions(counters *rpcconn.Counters, log zerolog.Logger, peers *ingest.Group) (rpcconn.Options, error) {
	s := o.Settings
	opts := rpcconn.Options{
		Codec: rpcconn.Codec(s.Codec), MaxMessageBytes: s.MaxMessageBytes,
		WriteTimeout: s.Timing.CallTimeout.AsDuration(), HelloTimeout: s.Timing.CallTimeout.AsDuration(),
		Counters: counters, Logger: log, Group: peers,
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
