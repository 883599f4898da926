package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/observe"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store/httpstore"
)

const (
	// readyPollInterval is the interval at which Ready checks the entries.
	readyPollInterval = 20 * time.Millisecond
	// stopNotice is the time for which a stopping entry goes on accepting jobs.
	// It is shorter than the default, because no load balancer has to notice.
	stopNotice = 200 * time.Millisecond
)

// Options configure a Deployment.
type Options struct {
	Layout Layout
	// Log receives the daemons' log lines; nil discards them.
	Log   io.Writer
	Level string // debug, info, warn or error; empty means warn
}

// Deployment is a running deployment. Its methods are safe for concurrent use.
type Deployment struct {
	layout        Layout
	network       *Network
	callerProcess *Process
	log           zerolog.Logger
	record        *upstreamstub.Record
	store         *storestub.Stub
	storeAddress  string // IP:port
	storeServer   *http.Server

	mu           sync.Mutex
	entries      []*daemon
	agents       map[string]*daemon              // by worker ID
	upstreams    map[string]*upstreamstub.Server // by worker ID
	storeClients []*httpstore.Client
}

// Start brings a deployment up on free loopback ports. Close ends it.
func Start(o Options) (*Deployment, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Level == "" {
		o.Level = "warn"
	}
	network := NewNetwork(o.Layout.InterDataCentreDelay, o.Layout.ClientDelay)
	d := &Deployment{
		layout: o.Layout, network: network, callerProcess: network.Process(ClientLocation),
		log: observe.NewLogger(o.Log, o.Level), record: upstreamstub.NewRecord(), store: storestub.New(),
		agents: map[string]*daemon{}, upstreams: map[string]*upstreamstub.Server{},
	}
	if err := d.start(); err != nil {
		return nil, errors.Join(err, d.Close(context.Background()))
	}
	return d, nil
}

func (d *Deployment) start() error {
	if err := d.startStore(); err != nil {
		return fmt.Errorf("store stand-in: %w", err)
	}
	for i := range d.layout.Entries {
		id, dc := d.layout.EntryID(i)
		if err := d.startEntry(id, dc); err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
	}
	for _, w := range d.layout.WorkerList() {
		if err := d.startWorker(w); err != nil {
			return fmt.Errorf("worker %s: %w", w.ID, err)
		}
	}
	return nil
}

func (d *Deployment) startStore() error {
	data, err := d.layout.Document().Encode()
	if err != nil {
		return err
	}
	d.store.Put(config.Key, data)
	l, err := d.network.Process(d.layout.DataCentres[0]).Listen()
	if err != nil {
		return err
	}
	d.storeAddress = l.Addr().String()
	d.storeServer = &http.Server{Handler: d.store.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = d.storeServer.Serve(l) }()
	return nil
}

// newStoreClient returns a store client that dials from the process. Close
// closes it.
func (d *Deployment) newStoreClient(p *Process, s settings.Store, t settings.Timing) (*httpstore.Client, error) {
	c, err := httpstore.New(httpstore.Options{
		URL: s.URL, CallTimeout: t.StoreTimeout.AsDuration(), MaxCallsPerSecond: s.MaxCallsPerSecond,
		LinearizableReads: s.LinearizableReads, Dial: p.Dial,
	})
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeClients = append(d.storeClients, c)
	return c, nil
}

func (d *Deployment) startWorker(w Worker) error {
	stub, err := upstreamstub.Listen("127.0.0.1:0", upstreamstub.Options{
		Name: w.ID, DataCentre: w.DataCentre, Slots: d.layout.Slots, Record: d.record,
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.upstreams[w.ID] = stub
	d.mu.Unlock()
	return d.startAgent(w, stub.Address())
}

// Layout returns the shape of the deployment.
func (d *Deployment) Layout() Layout { return d.layout }

// Record returns the record of starts that all stand-in upstreams share.
func (d *Deployment) Record() *upstreamstub.Record { return d.record }

// StoreCalls returns the calls that the store stand-in has counted.
func (d *Deployment) StoreCalls() int { return d.store.TotalCalls() }

// StoreURL returns the URL of the store stand-in.
func (d *Deployment) StoreURL() string { return "http://" + d.storeAddress }

// DialAsCaller connects to an address with the network delay of callers.
func (d *Deployment) DialAsCaller(ctx context.Context, address string) (net.Conn, error) {
	return d.callerProcess.Dial(ctx, address)
}

// Endpoints returns the addresses of the entries, including those killed.
func (d *Deployment) Endpoints() []Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Endpoint
	for _, e := range d.entries {
		out = append(out, e.endpoint)
	}
	return out
}

// Messages returns the messages of all processes by method, including those of
// killed ones.
func (d *Deployment) Messages() map[string]Traffic {
	d.mu.Lock()
	defer d.mu.Unlock()
	traffic := map[string]Traffic{}
	for _, e := range d.entries {
		e.addMessages(traffic)
	}
	for _, a := range d.agents {
		a.addMessages(traffic)
	}
	return traffic
}

// Ready waits until every entry can use every agent. If ctx ends first, the error
// says which entry cannot.
func (d *Deployment) Ready(ctx context.Context) error {
	for {
		reason := d.notReadyReason()
		if reason == "" {
			return nil
		}
		timer := time.NewTimer(readyPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("deployment is not ready: %s: %w", reason, ctx.Err())
		}
	}
}

// notReadyReason says which entry cannot use all agents yet. It is empty when
// all entries can.
func (d *Deployment) notReadyReason() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		usable := 0
		for _, a := range e.entry.State().Agents {
			if a.Usable {
				usable++
			}
		}
		if usable < len(d.agents) {
			return fmt.Sprintf("%s can use %d of %d agents", e.endpoint.ID, usable, len(d.agents))
		}
	}
	return ""
}

// Close stops the daemons as planned and then the stand-ins. Agents come first,
// because a stopping agent waits until entries have acknowledged its results.
// Daemons that have not stopped when ctx ends are killed.
func (d *Deployment) Close(ctx context.Context) error {
	d.mu.Lock()
	entries, agents := d.entries, d.agents
	d.mu.Unlock()
	var list []*daemon
	for _, a := range agents {
		list = append(list, a)
	}
	errs := append(stopAll(ctx, list), stopAll(ctx, entries)...)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.upstreams {
		errs = append(errs, s.Close())
	}
	for _, c := range d.storeClients {
		c.Close()
	}
	if d.storeServer != nil {
		errs = append(errs, d.storeServer.Close())
	}
	d.callerProcess.Kill()
	return errors.Join(errs...)
}
