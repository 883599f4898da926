package systemtest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/agent"
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/ctl"
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/settings"
)

const (
	callerHost   = "10.0.9.1"
	operatorHost = "10.0.9.2"
	token        = "secret"
	// enforcedWithin is the time within which an accepted change is in force, by
	// guarantees 3 and 9. Guarantee 7 has the same bound.
	enforcedWithin = 3 * time.Second
	// startupTime is the time within which a new system becomes ready.
	startupTime = 2 * time.Second
	// loadInterval is the time between submissions of a load.
	loadInterval = 100 * time.Millisecond
)

// Data centres of the test systems.
const (
	recife    = "ne-br-rec"
	fortaleza = "ne-br-for"
	salvador  = "ne-br-ssa"
)

// layout describes a system to start. The zero value means 2 entries and 4 agents
// with 2 slots each in 3 data centres.
type layout struct {
	entries, agents []string // data centre of each; nil means the default
	slots           int
	entry           func(*settings.Entry) // changes the settings of each entry
	agent           func(*settings.Agent) // changes the settings of each agent
}

type entryProcess struct {
	process
	*entry.Entry
	id int
}

type agentProcess struct {
	process
	*agent.Agent
	id             int
	upstream       *upstreamstub.Stub
	upstreamSilent *atomic.Bool // the upstream does not answer its health path
}

// silenceUpstream makes an upstream leave all requests unanswered, those of its
// health path included.
func (s *system) silenceUpstream(i int) {
	s.agents[i].upstreamSilent.Store(true)
	s.agents[i].upstream.SetFaults(upstreamstub.Faults{Hang: true})
}

// system is a whole system of entries, agents, upstreams, store and callers on a
// simulated network.
type system struct {
	*qt.C
	layout     layout
	net        *faultnet.Network
	store      *storestub.Stub
	record     *upstreamstub.Record
	entries    []*entryProcess
	agents     []*agentProcess
	wg         sync.WaitGroup // goroutines that end with the system
	background sync.WaitGroup // loads and operators, which end before the checks
	servers    []*http.Server

	mu               sync.Mutex
	submissions      []*submission
	document         *config.Document
	changes          []change
	originalDocument []byte // the encoded document at the start
	storeDown        bool
}

// change is a change of the store that took a data centre out of service or brought
// it back.
type change struct {
	dataCentre string
	in         bool
	at         time.Time
}

// withSystem starts a system in virtual time, runs the test with it, and ends it
// with the checks of finishAndCheck.
func withSystem(t *testing.T, l layout, test func(s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(qt.New(t), l)
		test(s)
		s.finishAndCheck()
	})
}

// startSystem starts a system and waits until it is ready.
func startSystem(c *qt.C, l layout) *system {
	if l.entries == nil {
		l.entries = []string{recife, fortaleza}
	}
	if l.agents == nil {
		l.agents = []string{recife, recife, fortaleza, salvador}
	}
	if l.slots == 0 {
		l.slots = 2
	}
	s := &system{C: c, layout: l, net: faultnet.New(), store: storestub.New(), record: upstreamstub.NewRecord(), document: initialDocument()}
	s.storeDocument()
	kv, _ := s.store.Peek(config.Key)
	s.originalDocument = kv.Value
	for i := range l.entries {
		s.entries = append(s.entries, s.startEntry(i))
	}
	for i := range l.agents {
		s.agents = append(s.agents, s.startAgent(i))
	}
	time.Sleep(startupTime)
	return s
}

// finishAndCheck waits until all loads, operators, jobs and late messages are over,
// checks the guarantees and ends the system.
func (s *system) finishAndCheck() {
	s.background.Wait()
	for _, sub := range s.submissions {
		<-sub.done
	}
	time.Sleep(10 * time.Second) // longer than any reconciliation or late message takes
	s.checkGuarantees()
	s.killAll()
}

// killAll ends the system: it kills all processes and closes all servers.
func (s *system) killAll() {
	for _, p := range s.processes() {
		p.kill()
	}
	for _, w := range s.servers {
		_ = w.Close()
	}
	time.Sleep(10 * time.Second) // the store still executes writes whose callers were killed
	s.wg.Wait()
}

func (s *system) processes() []*process {
	var out []*process
	for _, e := range s.entries {
		out = append(out, &e.process)
	}
	for _, a := range s.agents {
		out = append(out, &a.process)
	}
	return out
}

// initialDocument returns the configuration document at the start.
func initialDocument() *config.Document {
	template := func(name string, idempotent bool) config.Template {
		return config.Template{
			Name: name, Account: "team", Kind: config.KindJob, Idempotent: idempotent, DeadlineMS: 20_000, ExpectedMS: 100,
			Tasks: []config.Task{{Name: "run", Method: http.MethodPost, Path: "/run"}},
		}
	}
	d := &config.Document{
		Generation: 1,
		Accounts:   []config.Account{{Name: "team", TokenSHA256: []string{config.HashToken(token)}}},
		Templates: []config.Template{
			template("work", false), template("again", true),
			{Name: "long", Account: "team", Kind: config.KindJob, DeadlineMS: 20_000, ExpectedMS: 4000,
				Tasks: []config.Task{{Name: "run", Method: http.MethodPost, Path: "/run"}}},
			{Name: "request", Account: "team", Kind: config.KindRequest, DeadlineMS: 20_000, ExpectedMS: 100},
		},
	}
	for _, name := range []string{recife, fortaleza, salvador} {
		d.DataCentres = append(d.DataCentres, config.DataCentre{Name: name, Region: "ne-br", InService: true})
	}
	return d
}

// storeDocument writes the current document to the store.
func (s *system) storeDocument() {
	data, err := s.document.Encode()
	s.Assert(err, qt.IsNil)
	s.store.Put(config.Key, data)
}

// editDocument changes the document and stores it with the next generation. It
// returns false, and changes nothing, while the store is down.
func (s *system) editDocument(change func(*config.Document)) bool {
	if s.storeDown {
		return false
	}
	next := *s.document
	next.DataCentres = slices.Clone(next.DataCentres)
	next.Generation++
	change(&next)
	s.document = &next
	s.storeDocument()
	return true
}

// setInService takes a data centre out of service or brings it back. It does
// nothing while the store is down.
func (s *system) setInService(dataCentre string, in bool) {
	ok := s.editDocument(func(d *config.Document) {
		for i := range d.DataCentres {
			if d.DataCentres[i].Name == dataCentre {
				d.DataCentres[i].InService = in
			}
		}
	})
	if ok {
		s.changes = append(s.changes, change{dataCentre, in, time.Now()})
	}
}

// takeOutWithTool takes a data centre out of service with the operators' tool. The
// tool also pushes the accepted document to the entries that it can reach.
func (s *system) takeOutWithTool(dataCentre string) {
	o := ctl.New(ctl.Options{Store: s.store, Entries: s.admins(), Transport: s.client(operatorHost).Transport})
	s.changes = append(s.changes, change{dataCentre, false, time.Now()})
	s.background.Go(func() {
		_, err := o.SetInService(context.Background(), dataCentre, false)
		var unconfirmed *ctl.UnconfirmedError
		s.Check(err == nil || errors.As(err, &unconfirmed), qt.IsTrue, qt.Commentf("%v", err))
	})
	synctest.Wait()
	kv, _ := s.store.Peek(config.Key)
	d, err := config.Parse(kv.Value)
	s.Assert(err, qt.IsNil)
	s.document = d
}

func (s *system) admins() []string {
	var out []string
	for i := range s.layout.entries {
		out = append(out, entryHost(i)+":9000")
	}
	return out
}

// startLoad submits jobs to the entries in turn, every 100 ms for the duration d.
// It returns at once.
func (s *system) startLoad(d time.Duration, j job) {
	s.background.Go(func() {
		for i := 0; i < int(d/loadInterval); i++ {
			s.submit(i%len(s.layout.entries), j)
			time.Sleep(loadInterval)
		}
	})
}

// setStoreDown starts or ends an outage of the store.
func (s *system) setStoreDown(down bool) {
	s.storeDown = down
	s.store.SetDown(down)
}

func entryHost(i int) string    { return fmt.Sprintf("10.0.0.%d", i+1) }
func agentHost(i int) string    { return fmt.Sprintf("10.0.1.%d", i+1) }
func upstreamHost(i int) string { return fmt.Sprintf("10.0.2.%d", i+1) }

func (s *system) seeds() []string {
	var out []string
	for i := range s.layout.entries {
		out = append(out, entryHost(i)+":7000")
	}
	return out
}

func (s *system) newProcess(host, dataCentre string) process {
	p := newPauser()
	return process{host: host, dataCentre: dataCentre, net: s.net, pauser: p, ended: make(chan struct{}),
		store: &processStore{inner: s.store, pauser: p}}
}

// startEntry starts a process of the entry. An earlier one has ended.
func (s *system) startEntry(i int) *entryProcess {
	e := &entryProcess{process: s.newProcess(entryHost(i), s.layout.entries[i]), id: i}
	conf := settings.DefaultEntry()
	conf.ID, conf.DataCentre, conf.Seeds = fmt.Sprintf("e%d", i), e.dataCentre, s.seeds()
	conf.CallerAddress, conf.PeerAddress, conf.AdminAddress = e.host+":8000", e.host+":7000", e.host+":9000"
	conf.Store.URL = "http://10.0.3.1:7500"
	if s.layout.entry != nil {
		s.layout.entry(&conf)
	}
	s.Assert(conf.Validate(), qt.IsNil)
	callers, err := e.listen(":8000")
	s.Assert(err, qt.IsNil)
	peers, err := e.listen(":7000")
	s.Assert(err, qt.IsNil)
	admin, err := e.listen(":9000")
	s.Assert(err, qt.IsNil)
	e.Entry, err = entry.New(entry.Options{Settings: conf, Store: e.store, Dial: e.dial, Callers: callers, Peers: peers, Admin: admin})
	s.Assert(err, qt.IsNil)
	s.startRun(&e.process, e.Run)
	return e
}

// startAgent starts a process of the agent beside its upstream. An earlier one has
// ended; its upstream continues.
func (s *system) startAgent(i int) *agentProcess {
	a := &agentProcess{process: s.newProcess(agentHost(i), s.layout.agents[i]), id: i}
	conf := settings.DefaultAgent()
	conf.ID, conf.DataCentre, conf.Seeds = fmt.Sprintf("a%d", i), a.dataCentre, s.seeds()
	conf.Rack, conf.Worker = fmt.Sprintf("r%d", i/3), fmt.Sprintf("w%d", i)
	conf.PeerAddress, conf.AdminAddress, conf.Upstream = a.host+":7100", a.host+":9100", upstreamHost(i)+":8100"
	conf.Store.URL, conf.HealthPath = "http://10.0.3.1:7500", upstreamstub.HealthPath
	conf.Slots, conf.QueueLimit = s.layout.slots, s.layout.slots
	if s.layout.agent != nil {
		s.layout.agent(&conf)
	}
	s.Assert(conf.Validate(), qt.IsNil)
	if i < len(s.agents) {
		a.upstream, a.upstreamSilent = s.agents[i].upstream, s.agents[i].upstreamSilent
	} else {
		a.upstream = upstreamstub.New(upstreamstub.Options{Name: conf.ID, DataCentre: a.dataCentre, Slots: s.layout.slots, Record: s.record})
		a.upstreamSilent = &atomic.Bool{}
		s.serve(conf.Upstream, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if a.upstreamSilent.Load() && r.URL.Path == upstreamstub.HealthPath {
				<-r.Context().Done()
			}
			a.upstream.ServeHTTP(w, r)
		}))
	}
	peers, err := a.listen(":7100")
	s.Assert(err, qt.IsNil)
	admin, err := a.listen(":9100")
	s.Assert(err, qt.IsNil)
	a.Agent, err = agent.New(agent.Options{Settings: conf, Store: a.store, Dial: a.dial, DialUpstream: a.dialUpstream, Peers: peers, Admin: admin})
	s.Assert(err, qt.IsNil)
	s.startRun(&a.process, a.Run)
	return a
}

func (s *system) startRun(p *process, body func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	ended := p.ended
	go func() {
		defer close(ended)
		defer cancel()
		_ = body(ctx)
	}()
}

func (s *system) serve(address string, h http.Handler) {
	l, err := s.net.Listen(address)
	s.Assert(err, qt.IsNil)
	w := &http.Server{Handler: h}
	s.servers = append(s.servers, w)
	s.wg.Go(func() { _ = w.Serve(l) })
}

// restartEntry kills the entry's process, if it has not ended, and starts a new
// one.
func (s *system) restartEntry(i int) {
	if !s.entries[i].dead() {
		s.entries[i].kill()
	}
	s.entries[i] = s.startEntry(i)
}

// restartAgent kills the agent's process, if it has not ended, and starts a new
// one.
func (s *system) restartAgent(i int) {
	if !s.agents[i].dead() {
		s.agents[i].kill()
	}
	s.agents[i] = s.startAgent(i)
}

// hostsOf returns the hosts of the processes inside and outside a data centre.
func (s *system) hostsOf(dataCentre string) (inside, outside []string) {
	for _, p := range s.processes() {
		if p.dataCentre == dataCentre {
			inside = append(inside, p.host)
		} else {
			outside = append(outside, p.host)
		}
	}
	return inside, outside
}

// forEachPair applies a network rule to each pair of a host in as and one in bs.
func forEachPair(as, bs []string, rule func(a, b string)) {
	for _, a := range as {
		for _, b := range bs {
			rule(a, b)
		}
	}
}

// startsByKey returns the number of starts at upstreams, by the task's key.
func (s *system) startsByKey() map[string]int {
	out := map[string]int{}
	for _, st := range s.record.Starts() {
		out[st.Key]++
	}
	return out
}

// formatStarts formats the starts for a failure message, one on each line.
func formatStarts(starts []upstreamstub.Start) string {
	var b strings.Builder
	for _, st := range starts {
		fmt.Fprintf(&b, "%s %s attempt %s at %s in %s\n", st.At.Format("05.000"), st.Task, st.Attempt, st.Upstream, st.DataCentre)
	}
	return b.String()
}
