package agent

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

const (
	agentHost    = "10.0.1.1"
	upstreamHost = "10.0.2.1"
	dataCentre   = "anping"
)

// rig is one agent with stand-ins for its upstream, its entries and the store, in
// virtual time on a network that can inject faults.
type rig struct {
	*qt.C
	net     *faultnet.Network
	store   *storestub.Stub
	stub    *upstreamstub.Stub
	agent   *Agent
	ctx     context.Context
	wg      sync.WaitGroup
	ended   chan error // result of Run
	metrics tally.TestScope
	entries []*entryStub
	// suspended is the time in nanoseconds for which the agent's steady clock stood
	// still.
	suspended atomic.Int64
}

// suspend lets the agent's steady clock stand still for the duration d, as on a
// machine that is suspended. The agent's timers go on.
func (r *rig) suspend(d time.Duration) {
	for range int(d / time.Millisecond) {
		r.suspended.Add(int64(time.Millisecond))
		time.Sleep(time.Millisecond)
	}
}

// clock returns the agent's clock.
func (r *rig) clock() *clock.Clock {
	suspended := func() time.Duration { return time.Duration(r.suspended.Load()) }
	return clock.New(func() time.Time { return time.Now().Add(-suspended()) }, suspended)
}

// setup has the options of a rig; zero values mean 2 slots, a queue of 2 and one
// entry.
type setup struct {
	slots, queue, entries int
	unregistered          bool // the store lists no entries
	change                func(*settings.Agent)
}

func withRig(t *testing.T, s setup, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &rig{C: qt.New(t), net: faultnet.New(), store: storestub.New(), ctx: ctx, ended: make(chan error, 1),
			metrics: tally.NewTestScope("", nil)}
		if s.slots == 0 {
			s.slots, s.queue = 2, 2
		}
		r.stub = upstreamstub.New(upstreamstub.Options{Name: "u1", Slots: s.slots})
		web := r.serve(upstreamHost+":8100", r.stub)
		for i := range max(s.entries, 1) {
			r.addEntry(i, !s.unregistered)
		}
		r.start(s)
		time.Sleep(200 * time.Millisecond) // until the first heartbeats were sent
		test(r)
		cancel()
		<-r.ended
		_ = web.Close()
		for _, e := range r.entries {
			e.close()
		}
		r.wg.Wait()
	})
}

func (r *rig) serve(address string, h http.Handler) *http.Server {
	l, err := r.net.Listen(address)
	r.Assert(err, qt.IsNil)
	web := &http.Server{Handler: h}
	r.wg.Go(func() { _ = web.Serve(l) })
	return web
}

func (r *rig) start(s setup) {
	conf := settings.DefaultAgent()
	conf.ID, conf.DataCentre, conf.Rack, conf.Worker = "a1", dataCentre, "r1", "w1"
	conf.PeerAddress, conf.AdminAddress, conf.Upstream = agentHost+":7100", agentHost+":9100", upstreamHost+":8100"
	conf.Store.URL = "http://10.0.3.1:7500"
	conf.Slots, conf.QueueLimit = s.slots, s.queue
	if s.change != nil {
		s.change(&conf)
	}
	peers, err := r.net.Listen(conf.PeerAddress)
	r.Assert(err, qt.IsNil)
	admin, err := r.net.Listen(conf.AdminAddress)
	r.Assert(err, qt.IsNil)
	r.agent, err = New(Options{
		Settings: conf, Store: r.store, Dial: r.net.Dialer(agentHost), DialUpstream: r.net.Dialer(agentHost),
		Peers: peers, Admin: admin, Metrics: r.metrics,
	})
	r.Assert(err, qt.IsNil)
	go func() { r.ended <- r.agent.Run(r.ctx) }()
}

// starts returns how often the upstream received the job's only task.
func (r *rig) starts(job string) int { return r.stub.Record().Count()[job+"/0"] }

// counter returns the value of one of the agent's counters.
func (r *rig) counter(name string) int64 {
	for _, c := range r.metrics.Snapshot().Counters() {
		if c.Name() == name {
			return c.Value()
		}
	}
	r.Fatalf("no counter %s", name)
	return 0
}

// entryStub is a stand-in for an entry. It answers heartbeats and sends tasks.
type entryStub struct {
	*rig
	host string
	ref  wire.EntryRef
	stop context.CancelFunc

	mu           sync.Mutex
	config       wire.AgentConfig
	confirmAge   time.Duration // ConfirmAge of its heartbeat replies
	backlog      wire.Backlog
	acked        []wire.TaskKey
	knownEntries []wire.EntryRef
	heartbeats   []wire.HeartbeatRequest
	offers       int
	useOffers    bool
	renews       uint64 // Renews of its heartbeat replies
	// Settled and Voided of the next heartbeat reply.
	settled, voided []wire.EndedRun
	amendReply      func(*wire.HeartbeatRequest, *wire.HeartbeatReply) // changes each heartbeat reply; may be nil

	conn     *rpcconn.Client
	session  wire.Session
	sequence uint64
}

func (r *rig) addEntry(i int, registered bool) *entryStub {
	e := &entryStub{rig: r, host: fmt.Sprintf("10.0.0.%d", i+1), config: wire.AgentConfig{Generation: 1, InService: []string{dataCentre}}}
	e.ref = wire.EntryRef{ID: fmt.Sprintf("e%d", i), Incarnation: wire.Incarnation(i + 1), Address: e.host + ":7000", DataCentre: dataCentre}
	e.session = wire.Session{Entry: e.ref.ID, Incarnation: e.ref.Incarnation}
	r.entries = append(r.entries, e)
	e.listen()
	if registered {
		value, err := store.EncodeEntry(e.ref)
		r.Assert(err, qt.IsNil)
		r.store.Put(store.EntriesPrefix+e.ref.ID, value)
	}
	return e
}

func (e *entryStub) listen() {
	l, err := e.net.Listen(e.ref.Address)
	e.Assert(err, qt.IsNil)
	s := rpcconn.NewServer(rpcconn.Options{})
	rpcconn.Handle(s, "Entry.Heartbeat", e.heartbeat)
	rpcconn.Handle(s, "Entry.Offer", func(_ context.Context, _ *wire.OfferRequest, out *wire.OfferReply) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.offers++
		out.Used = e.useOffers
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.wg.Go(func() { _ = s.Serve(ctx, l) })
}

func (e *entryStub) heartbeat(_ context.Context, in *wire.HeartbeatRequest, out *wire.HeartbeatReply) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heartbeats = append(e.heartbeats, *in)
	*out = wire.HeartbeatReply{
		Entry: e.ref, Generation: e.config.Generation, ConfirmAge: e.confirmAge, ReadAge: gate.NoAge,
		Entries: e.knownEntries, Backlog: e.backlog, Acked: e.acked, Renews: e.renews,
		Settled: e.settled, Voided: e.voided,
	}
	if in.Generation < e.config.Generation {
		c := e.config
		out.Config = &c
	}
	e.acked, e.settled, e.voided = nil, nil, nil
	if e.amendReply != nil {
		e.amendReply(in, out)
	}
	return nil
}

// update changes the entry's fields under its mutex.
func (e *entryStub) update(change func(e *entryStub)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *entryStub) lastHeartbeat() wire.HeartbeatRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Assert(e.heartbeats, qt.Not(qt.HasLen), 0)
	return e.heartbeats[len(e.heartbeats)-1]
}

func (e *entryStub) close() {
	e.stop()
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

func (e *entryStub) dial() *rpcconn.Client {
	d := rpcconn.Dialer{Dial: e.net.Dialer(e.host)}
	c, err := d.Connect(e.ctx, agentHost+":7100")
	e.Assert(err, qt.IsNil)
	e.wg.Go(func() { <-e.ctx.Done(); _ = c.Close() })
	return c
}

// open opens the entry's next session on a new connection.
func (e *entryStub) open() wire.OpenSessionReply {
	e.conn = e.dial()
	e.session.Number++
	e.sequence = 0
	var out wire.OpenSessionReply
	in := wire.OpenSessionRequest{Session: e.session}
	e.Assert(e.conn.Call(e.ctx, "Agent.OpenSession", &in, &out), qt.IsNil)
	e.update(func(e *entryStub) { e.renews = e.session.Number })
	return out
}

// answer is the reply or the error of one Agent.Run or Agent.Await call.
type answer struct {
	wire.RunReply
	err error
}

// httpRequest returns the Run request of an HTTP task that takes the service
// time.
func (e *entryStub) httpRequest(job string, service time.Duration) wire.RunRequest {
	e.sequence++
	body := upstreamstub.Request{ServiceMS: float64(service) / float64(time.Millisecond)}.Encode()
	return wire.RunRequest{Session: e.session, Sequence: e.sequence, Task: wire.Task{
		Job: job, Remaining: 20 * time.Second, Request: wire.Request{Method: http.MethodPost, Path: "/task", Body: []byte(body)},
	}}
}

// send sends a Run request on the entry's present connection.
func (e *entryStub) send(in wire.RunRequest) <-chan answer {
	out := make(chan answer, 1)
	conn := e.conn
	e.wg.Go(func() {
		var a answer
		a.err = conn.Call(e.ctx, "Agent.Run", &in, &a.RunReply)
		out <- a
	})
	synctest.Wait()
	return out
}

// announce tells the agent about the entry's backlog.
func (e *entryStub) announce(b wire.Backlog) {
	e.update(func(e *entryStub) { e.backlog = b })
	in := wire.AnnounceRequest{Session: e.session, Backlog: b}
	e.Assert(e.conn.Call(e.ctx, "Agent.Announce", &in, &wire.AnnounceReply{}), qt.IsNil)
}

func (e *entryStub) run(job string, service time.Duration) <-chan answer {
	return e.send(e.httpRequest(job, service))
}

// expect checks an answer's outcome and reason.
func (r *rig) expect(a answer, o wire.Outcome, reason wire.Reason) {
	r.Helper()
	r.Check(a.err, qt.IsNil)
	r.Check(a.Result.Outcome, qt.Equals, o, qt.Commentf("%+v", a.Result))
	r.Check(a.Result.Reason, qt.Equals, reason, qt.Commentf("%+v", a.Result))
}
