package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	qt "github.com/frankban/quicktest"

	daemon "chicorytray.example/chicorytray/agent"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/settings"
)

// realAgent is an agent daemon as in production, with the stand-in of an
// upstream that records the starts.
type realAgent struct {
	h        *harness
	host     string
	settings settings.Agent
	upstream *upstreamstub.Stub

	mu    sync.Mutex
	stop  context.CancelFunc // nil while the process is dead
	ended chan struct{}
}

// realAgent starts an agent and its upstream, which adds its starts to the
// record.
func (h *harness) realAgent(number int, dataCentre string, record *upstreamstub.Record) *realAgent {
	a := &realAgent{h: h, host: fmt.Sprintf("10.0.2.%d", number)}
	upstream := fmt.Sprintf("10.0.3.%d:8100", number)
	a.upstream = upstreamstub.New(upstreamstub.Options{Name: fmt.Sprint("u", number), DataCentre: dataCentre, Slots: 8, Record: record})
	l, err := h.net.Listen(upstream)
	h.Assert(err, qt.IsNil)
	web := &http.Server{Handler: a.upstream}
	h.wg.Go(func() { _ = web.Serve(l) })
	s := settings.DefaultAgent()
	s.ID, s.DataCentre, s.Rack, s.Worker = fmt.Sprint("a", number), dataCentre, "r1", fmt.Sprint("w", number)
	s.PeerAddress, s.AdminAddress, s.Upstream = a.host+":7100", a.host+":9100", upstream
	s.Store.URL = "http://10.0.4.1:7500"
	s.Slots = 8
	a.settings = s
	a.start()
	h.cleanups = append(h.cleanups, func() { a.kill(); _ = web.Close() })
	return a
}

// start starts a new process of the agent.
func (a *realAgent) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	peers, err := a.h.net.Listen(a.settings.PeerAddress)
	a.h.Assert(err, qt.IsNil)
	admin, err := a.h.net.Listen(a.settings.AdminAddress)
	a.h.Assert(err, qt.IsNil)
	p, err := daemon.New(daemon.Options{
		Settings: a.settings, Store: a.h.store, Dial: a.h.net.Dialer(a.host), DialUpstream: a.h.net.Dialer(a.host),
		Peers: peers, Admin: admin,
	})
	a.h.Assert(err, qt.IsNil)
	var ctx context.Context
	ctx, a.stop = context.WithCancel(context.Background())
	ended := make(chan struct{})
	a.ended = ended
	a.h.wg.Go(func() {
		defer close(ended)
		if err := p.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			a.h.Errorf("agent %s: %v", a.settings.ID, err)
		}
	})
}

// kill ends the process at once and reports whether it was alive.
func (a *realAgent) kill() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop == nil {
		return false
	}
	a.stop()
	a.stop = nil
	<-a.ended
	a.h.net.Reset(a.host)
	return true
}
