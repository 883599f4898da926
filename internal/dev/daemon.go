package dev

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/agent"
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
)

// runner is the part of the API that entries and agents share.
type runner interface {
	Run(ctx context.Context) error
	Stop(ctx context.Context) error
}

// daemon is a running entry or agent, with the Process that holds its listeners
// and connections.
type daemon struct {
	endpoint      Endpoint
	process       *Process
	runner        runner
	entry         *entry.Entry                    // nil for an agent
	messageCounts func() map[string]rpcconn.Count // messages by method
	scope         tally.TestScope
	cancel        context.CancelFunc
	done          chan struct{} // closed when Run returned

	mu     sync.Mutex
	killed bool
}

// start runs the daemon in the background.
func (x *daemon) start() {
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel, x.done = cancel, make(chan struct{})
	go func() {
		defer close(x.done)
		_ = x.runner.Run(ctx) // an early end shows as failed calls
	}()
}

// kill ends the daemon without a planned stop. It closes the connections first,
// so that nothing that the daemon sends while it ends reaches another process.
func (x *daemon) kill() {
	x.mu.Lock()
	x.killed = true
	x.mu.Unlock()
	x.process.Kill()
	x.cancel()
	<-x.done
}

// stop runs the daemon's planned stop until it is done or ctx ends, and then
// kills the daemon. It does nothing when the daemon was killed before.
func (x *daemon) stop(ctx context.Context) error {
	x.mu.Lock()
	killed := x.killed
	x.mu.Unlock()
	if killed {
		return nil
	}
	err := x.runner.Stop(ctx)
	x.kill()
	return err
}

func stopAll(ctx context.Context, daemons []*daemon) []error {
	errs := make([]error, len(daemons))
	var wg sync.WaitGroup
	for i, x := range daemons {
		wg.Go(func() {
			if err := x.stop(ctx); err != nil {
				errs[i] = fmt.Errorf("%s: %w", x.endpoint.ID, err)
			}
		})
	}
	wg.Wait()
	return errs
}

// listenOnFreePorts opens n listeners on free ports. If one cannot be opened, it
// kills the process, which closes the others.
func (p *Process) listenOnFreePorts(n int) ([]net.Listener, error) {
	out := make([]net.Listener, n)
	for i := range out {
		l, err := p.Listen()
		if err != nil {
			p.Kill()
			return nil, err
		}
		out[i] = l
	}
	return out, nil
}

func (d *Deployment) startEntry(id, dc string) error {
	p := d.network.Process(dc)
	l, err := p.listenOnFreePorts(3)
	if err != nil {
		return err
	}
	s := settings.DefaultEntry()
	s.ID, s.DataCentre, s.Placement = id, dc, d.layout.Placement
	s.CallerAddress, s.PeerAddress, s.AdminAddress = l[0].Addr().String(), l[1].Addr().String(), l[2].Addr().String()
	s.Store.URL, s.Timing.StopNotice = d.StoreURL(), settings.Duration(stopNotice)
	if err := s.Validate(); err != nil {
		return err
	}
	client, err := d.newStoreClient(p, s.Store, s.Timing)
	if err != nil {
		return err
	}
	scope := tally.NewTestScope("", nil)
	e, err := entry.New(entry.Options{
		Settings: s, Store: client, Logger: d.log, Metrics: scope, MetricsHandler: metricsHandler(scope),
		Dial: p.Dial, Callers: l[0], Peers: l[1], Admin: l[2],
	})
	if err != nil {
		return err
	}
	x := &daemon{process: p, runner: e, entry: e, scope: scope}
	x.messageCounts = func() map[string]rpcconn.Count { return e.State().Messages }
	x.endpoint = Endpoint{ID: id, Callers: s.CallerAddress, Peers: s.PeerAddress, Admin: s.AdminAddress}
	x.start()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, x)
	return nil
}

func (d *Deployment) startAgent(w Worker, upstream string) error {
	p := d.network.Process(w.DataCentre)
	l, err := p.listenOnFreePorts(2)
	if err != nil {
		return err
	}
	s := settings.DefaultAgent()
	s.ID, s.DataCentre, s.Rack, s.Worker = "agent-"+w.ID, w.DataCentre, w.Rack, w.ID
	s.PeerAddress, s.AdminAddress, s.Upstream = l[0].Addr().String(), l[1].Addr().String(), upstream
	s.HealthPath, s.Slots, s.Connections = upstreamstub.HealthPath, d.layout.Slots, d.layout.Connections
	s.Capacity.MemoryMB, s.Capacity.MilliCPU = d.layout.MemoryMB, d.layout.MilliCPU
	s.Store.URL = d.StoreURL()
	if err := s.Validate(); err != nil {
		return err
	}
	client, err := d.newStoreClient(p, s.Store, s.Timing)
	if err != nil {
		return err
	}
	scope := tally.NewTestScope("", nil)
	a, err := agent.New(agent.Options{
		Settings: s, Store: client, Logger: d.log, Metrics: scope, MetricsHandler: metricsHandler(scope),
		Dial: p.Dial, DialUpstream: p.Dial, Peers: l[0], Admin: l[1],
	})
	if err != nil {
		return err
	}
	x := &daemon{process: p, runner: a, scope: scope}
	x.messageCounts = func() map[string]rpcconn.Count { return a.State().Messages }
	x.endpoint = Endpoint{ID: s.ID, Peers: s.PeerAddress, Admin: s.AdminAddress}
	x.start()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents[w.ID] = x
	return nil
}
