package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// Options of an Entry.
type Options struct {
	Settings settings.Entry
	Store    store.Store
	Logger   zerolog.Logger
	Metrics  tally.Scope // nil counts nothing
	// MetricsHandler serves /metrics on the admin address; nil leaves it out.
	MetricsHandler http.Handler
	// Dial opens connections to agents and other entries; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// CallerHandler serves the callers' address; nil serves the product's own
	// routes. An embedding program submits jobs by Entry.Submit.
	CallerHandler http.Handler
	// Listeners; nil listens on the settings' address.
	Callers, Peers, Admin net.Listener

	// newKeeper replaces the Keeper of durable jobs in tests.
	newKeeper func(durable.Options) recordKeeper
}

// Entry is one entry process.
type Entry struct {
	settings   settings.Entry
	self       wire.EntryRef
	log        zerolog.Logger
	metrics    metrics
	dial       agentDialer
	callerTLS  *tls.Config
	rpcOptions rpcconn.Options
	counters   *rpcconn.Counters
	options    Options
	createdAt  time.Time

	confirmation  *confirmation
	config        *configuration
	registration  *registration
	peers         *peers
	dispatcher    *dispatcher
	keeper        recordKeeper
	inbox         *inbox
	peerPending   pendingByPeer
	claims        claimer
	pendingClaims pendingClaims
	lastJobNumber atomic.Uint64 // number of the last job identifier

	running       atomic.Bool
	stopping      atomic.Bool   // a planned stop began
	stopRequested chan struct{} // closed by Stop
	stopOnce      sync.Once
	stopped       chan struct{} // closed when Run ended
}

// New checks the options and prepares an entry. It starts nothing.
func New(o Options) (*Entry, error) {
	if o.Store == nil {
		return nil, fmt.Errorf("%w: no store", ErrOptions)
	}
	if o.Settings.ID == "" || o.Settings.DataCentre == "" {
		return nil, fmt.Errorf("%w: the settings name no entry or no data centre", ErrOptions)
	}
	counters := rpcconn.NewCounters()
	rpcOpts, err := rpcOptions(o, counters)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOptions, err)
	}
	callers, err := callerTLS(o.Settings.CallerTLS)
	if err != nil {
		return nil, fmt.Errorf("%w: caller_tls: %w", ErrOptions, err)
	}
	o.Store = instrumentedStore{o.Store, newMetrics(o.Metrics)}
	e := &Entry{
		settings: o.Settings, options: o, metrics: newMetrics(o.Metrics), rpcOptions: rpcOpts, counters: counters,
		callerTLS: callers, dial: newDialer(rpcOpts, o.Dial), createdAt: time.Now(),
		log:           o.Logger.With().Str("entry", o.Settings.ID).Logger(),
		stopRequested: make(chan struct{}), stopped: make(chan struct{}),
		self: wire.EntryRef{
			ID: o.Settings.ID, Incarnation: wire.NewIncarnation(), Address: o.Settings.PeerAddress,
			Admin: o.Settings.AdminAddress, DataCentre: o.Settings.DataCentre,
		},
	}
	return e, e.assemble()
}

// assemble builds the parts, which refer to each other.
func (e *Entry) assemble() error {
	t := e.settings.Timing
	e.confirmation = newConfirmation(t, e.self.DataCentre, e.log)
	e.config = &configuration{
		store: e.options.Store, timing: t, log: e.log, metrics: e.metrics, confirmation: e.confirmation, onChange: e.onConfigChange,
	}
	e.peers = &peers{
		self: e.self, timing: t, seeds: e.settings.Seeds, log: e.log, dial: e.dial, confirmation: e.confirmation, config: e.config,
		newHeartbeat: e.newPeerHeartbeat, onHeartbeat: e.handlePeerHeartbeat, onPeerLost: e.handlePeerLost, known: map[string]*peer{}, wake: make(chan struct{}, 1),
	}
	var err error
	e.registration, err = newRegistration(e.options.Store, t, e.self, e.log, e.metrics, e.peers.updateRegistrations)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOptions, err)
	}
	e.pendingClaims.byJob = map[string]*pendingClaim{}
	e.claims = newClaimer(e.options.Store, e.settings)
	e.inbox = newInbox(func(ev event) bool { return e.dispatcher.post(ev) })
	switch replaced := e.options.newKeeper; {
	case e.durableDisabled():
		e.keeper = disabledKeeper{}
	case replaced != nil:
		e.keeper = replaced(e.keeperOptions())
	default:
		e.keeper = storeKeeper{durable.NewManager(e.keeperOptions())}
	}
	e.dispatcher = newDispatcher(e)
	return nil
}

// Run serves until Stop has finished or ctx ends. Ending ctx ends the entry at
// once: its jobs are lost.
func (e *Entry) Run(ctx context.Context) error {
	if !e.running.CompareAndSwap(false, true) {
		return fmt.Errorf("%w: Run was called before", ErrOptions)
	}
	defer close(e.stopped)
	l, err := e.listen()
	if err != nil {
		close(e.dispatcher.ended)
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	dispatcherStop := make(chan struct{})
	wg.Go(func() { e.dispatcher.run(dispatcherStop) })
	for _, part := range []func(context.Context){e.config.run, e.config.watch, e.registration.run, e.peers.run, e.runDurable} {
		wg.Go(func() { part(ctx) })
	}
	serveErr := e.serveAll(ctx, l)
	cancel()
	close(dispatcherStop)
	wg.Wait()
	e.claims.Close()
	e.log.Info().Msg("entry ended")
	return serveErr
}

type listeners struct{ callers, peers, admin net.Listener }

func (e *Entry) listen() (listeners, error) {
	l := listeners{e.options.Callers, e.options.Peers, e.options.Admin}
	var errs []error
	for _, x := range []struct {
		l       *net.Listener
		address string
	}{
		{&l.callers, e.settings.CallerAddress}, {&l.peers, e.settings.PeerAddress}, {&l.admin, e.settings.AdminAddress},
	} {
		if *x.l != nil {
			continue
		}
		listener, err := net.Listen("tcp", x.address)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		*x.l = listener
	}
	if len(errs) == 0 {
		return l, nil
	}
	for _, opened := range []net.Listener{l.callers, l.peers, l.admin} {
		if opened != nil {
			_ = opened.Close()
		}
	}
	return l, errors.Join(errs...)
}

// started reports whether the dispatcher handles events.
func (e *Entry) started() bool { return e.running.Load() }

// newJobID returns an identifier that no other job has.
func (e *Entry) newJobID() string { return newJobID(e.self, e.lastJobNumber.Add(1)) }

// Ready returns nil when the entry takes jobs, else the reason why not. A new
// process waits for its first usable agent, because it would refuse every job
// before; after the lapse time it is ready without one.
func (e *Entry) Ready() error {
	switch {
	case e.stopping.Load():
		return errors.New("stopping")
	case !e.started():
		return errors.New("not started")
	case e.config.view() == nil:
		return errors.New("no configuration")
	case !e.dispatcher.hadUsableAgent.Load() && time.Since(e.createdAt) < e.settings.Timing.Lapse.AsDuration():
		return errors.New("no usable agent yet")
	}
	return nil
}
