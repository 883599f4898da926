package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/internal/clientlimit"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// Options are the options of an Entry. Settings and Store are required.
type Options struct {
	Settings settings.Entry
	Store    store.Store
	Logger   zerolog.Logger
	Metrics  tally.Scope // nil means no metrics
	// MetricsHandler serves /metrics on the admin address; nil means that the
	// path is not served.
	MetricsHandler http.Handler
	// Dial opens connections to agents and other entries; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// CallerHandler serves the callers' address; nil means the routes of the
	// entry's own HTTP API. A program that sets it submits jobs by Entry.Submit, and
	// decodes a body in at most clientlimit.DecodedFactor times its size.
	CallerHandler http.Handler
	// Callers, Peers and Admin are the listeners for callers, for agents and other
	// entries, and for operators. A nil listener means one on the address in the
	// settings.
	Callers, Peers, Admin net.Listener
	// Clock measures pauses, leases, sessions and ages; nil means the clock of this
	// machine.
	Clock *clock.Clock

	// newRecordManager replaces durable.Manager in tests; nil in production.
	newRecordManager func(durable.Options) recordManager
}

// Entry is one entry process. It is created by New, and Run may be called once.
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
	guards     guards
	clock      *clock.Clock
	createdAt  time.Time // start of the uptime

	confirmation  *confirmation
	config        *configuration
	registration  *registration
	peers         *peers
	dispatcher    *dispatcher
	recordManager recordManager
	inbox         *inbox
	peerPending   pendingByPeer
	claims        claimer
	pendingClaims pendingClaims
	lastJobNumber atomic.Uint64 // number in the last job identifier

	connections   connections // of callers
	received      receivedForwards
	running       atomic.Bool   // Run was called
	stopping      atomic.Bool   // a planned stop has begun
	closing       atomic.Bool   // connections of callers are closed after their next response
	stopRequested chan struct{} // closed by Stop
	stopOnce      sync.Once
	unknownConn   sync.Once     // logs that connections cannot be asked for their end
	stopped       chan struct{} // closed when Run has ended
}

// New checks the options and returns an entry that is not running yet. The error
// is ErrOptions.
func New(o Options) (*Entry, error) {
	if o.Store == nil {
		return nil, fmt.Errorf("%w: Store is nil", ErrOptions)
	}
	if o.Settings.ID == "" || o.Settings.DataCentre == "" {
		return nil, fmt.Errorf("%w: the settings lack the entry's id or its data centre", ErrOptions)
	}
	counters, limits := rpcconn.NewCounters(), newGuards(o.Settings.Limits, newMetrics(o.Metrics).scope)
	rpcOpts, err := rpcOptions(o, counters, limits.peers)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOptions, err)
	}
	callers, err := callerTLS(o.Settings.CallerTLS)
	if err != nil {
		return nil, fmt.Errorf("%w: caller_tls: %w", ErrOptions, err)
	}
	o.Store = instrumentedStore{o.Store, newMetrics(o.Metrics)}
	e := &Entry{
		settings: o.Settings, options: o, metrics: newMetrics(o.Metrics), rpcOptions: rpcOpts, counters: counters, guards: limits,
		callerTLS: callers, dial: newDialer(rpcOpts, o.Dial), clock: o.Clock,
		log:           o.Logger.With().Str("entry", o.Settings.ID).Logger(),
		stopRequested: make(chan struct{}), stopped: make(chan struct{}),
		self: wire.EntryRef{
			ID: o.Settings.ID, Incarnation: wire.NewIncarnation(), Address: o.Settings.PeerAddress,
			Admin: o.Settings.AdminAddress, DataCentre: o.Settings.DataCentre,
		},
	}
	if e.clock == nil {
		e.clock = clock.System()
	}
	e.createdAt = e.clock.Now()
	if err := e.assemble(); err != nil {
		return nil, err
	}
	return e, nil
}

// assemble creates the components of the entry, which refer to each other.
func (e *Entry) assemble() error {
	t := e.settings.Timing
	e.confirmation = newConfirmation(t, e.self.DataCentre, e.log)
	e.config = &configuration{
		store: e.options.Store, timing: t, clock: e.clock, log: e.log, metrics: e.metrics, confirmation: e.confirmation, onChange: e.onConfigChange,
		transfer: make(chan struct{}, 1),
	}
	e.config.relay = &relay{config: e.config, dial: e.dial, agents: e.confirmation.relayAgents}
	e.peers = &peers{
		self: e.self, timing: t, longestJob: e.settings.Limits.MaxDeadline.AsDuration(), clock: e.clock, seeds: e.settings.Seeds, log: e.log, dial: e.dial, confirmation: e.confirmation, config: e.config,
		onHeartbeat: e.handlePeerHeartbeat, report: e.crashReport, wantsPending: e.peerPending.lacksScan, onPeerLost: e.handlePeerLost, learnCancelled: e.learnCancelled, cancelledFetches: make(chan struct{}, maxCancelledFetches), createdAt: e.createdAt, known: map[string]*peer{}, wake: make(chan struct{}, 1),
	}
	e.config.overtakenWait = func() time.Duration {
		return t.ConfigRead.AsDuration() + 2*t.PeerInterval(e.peers.count())
	}
	e.peerPending.clock, e.peerPending.self = e.clock, entryProcess{e.self.ID, e.self.Incarnation}
	e.peerPending.peerTimeout = func() time.Duration { return t.PeerHeartbeat.AsDuration() + t.PeerSuspect(e.peers.count()) }
	var err error
	e.registration, err = newRegistration(e.options.Store, t, e.self, e.log, e.metrics, e.peers.updateRegistrations)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOptions, err)
	}
	e.confirmation.onStoreBack = e.registration.listSoon
	e.pendingClaims.byJob = map[string]*pendingClaim{}
	e.claims = newClaimer(e.options.Store, e.settings)
	e.inbox = newInbox(func(ev event) bool { return e.dispatcher.post(ev) })
	switch newManager := e.options.newRecordManager; {
	case e.durableDisabled():
		e.recordManager = nopManager{}
	case newManager != nil:
		e.recordManager = newManager(e.recordManagerOptions())
	default:
		e.recordManager = storeManager{durable.NewManager(e.recordManagerOptions())}
	}
	e.dispatcher = newDispatcher(e)
	return nil
}

// Run serves until a planned stop by Stop has finished or ctx ends. When ctx ends,
// Run returns without waiting for open jobs, which are lost except for durable
// ones.
func (e *Entry) Run(ctx context.Context) error {
	if !e.running.CompareAndSwap(false, true) {
		return fmt.Errorf("%w: Run was called more than once", ErrOptions)
	}
	defer close(e.stopped)
	if limit := e.settings.Limits.SoftMemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
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
	wg.Go(func() { clientlimit.Report(ctx, e.guards.budget, e.metrics.scope) })
	serveErr := e.serveAll(ctx, l)
	cancel()
	close(dispatcherStop)
	wg.Wait()
	e.received.loops.Wait()
	e.dispatcher.forwards.conns.closeAll()
	e.claims.Close()
	e.log.Info().Msg("entry ended")
	return serveErr
}

// listeners are the listeners of the entry's three addresses.
type listeners struct{ callers, peers, admin net.Listener }

// listen returns the listeners given by the options and opens the others. On an
// error it closes all of them.
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
		l.callers, l.admin = e.guards.callers.Listener(l.callers, e.callerTLS), e.guards.admin.Listener(l.admin, nil)
		return l, nil
	}
	for _, opened := range []net.Listener{l.callers, l.peers, l.admin} {
		if opened != nil {
			_ = opened.Close()
		}
	}
	return l, errors.Join(errs...)
}

// started reports whether Run was called, so that the dispatcher handles events or
// has ended.
func (e *Entry) started() bool { return e.running.Load() }

// newJobID returns a new identifier that is unique among all entries.
func (e *Entry) newJobID() string { return newJobID(e.self, e.lastJobNumber.Add(1)) }

// Ready returns nil if the entry accepts jobs, and otherwise an error with the
// reason. A new process becomes ready when the first agent is usable, because it
// would refuse all jobs before, or after Timing.Lapse if none is usable. It also waits
// for the cancellations that its peers remember.
func (e *Entry) Ready() error {
	switch {
	case e.stopping.Load():
		return errors.New("stopping")
	case !e.started():
		return errors.New("not started")
	case e.config.view() == nil:
		return errors.New("no configuration")
	case !e.dispatcher.hadUsableAgent.Load() && e.clock.Since(e.createdAt) < e.settings.Timing.Lapse.AsDuration():
		return errors.New("no usable agent yet")
	case !e.peers.knowsCancelled(e.clock.Now()):
		return errors.New("cancellations not fetched yet")
	}
	return nil
}
