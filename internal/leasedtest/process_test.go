package leasedtest

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/agent"
	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/lease"
)

var errDead = errors.New("leasedtest: the process was killed")

// process is what entries and agents have in common.
type process struct {
	host   string
	net    *faultnet.Network
	cancel context.CancelFunc
	ended  chan struct{} // closed when Run has returned
	gone   chan struct{} // closed when the process is killed

	mu                  sync.Mutex
	changed             *sync.Cond
	wanted, paused, end bool
	since               time.Time // when the last pause began
}

func newProcess(host string, n *faultnet.Network) *process {
	p := &process{host: host, net: n, ended: make(chan struct{}), gone: make(chan struct{})}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *process) begin(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.ended)
		_ = run(ctx)
	}()
}

// kill ends the process at once, without a word to anybody. It reports false if
// the process was killed before.
func (p *process) kill() bool {
	p.mu.Lock()
	if p.end {
		p.mu.Unlock()
		return false
	}
	p.end = true
	close(p.gone)
	p.changed.Broadcast()
	p.mu.Unlock()
	p.net.Reset(p.host)
	p.cancel()
	<-p.ended
	return true
}

// setPaused begins a pause at the next tick of the entry's dispatcher, or ends it.
func (p *process) setPaused(yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted, p.paused = yes, p.paused && yes
	p.changed.Broadcast()
}

// hold pauses what the process receives and sends at once, or ends that. Its
// timers go on.
func (p *process) hold(yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = yes
	p.changed.Broadcast()
}

// heldWorker holds the orders and the answers of an agent's worker while the
// agent is paused.
type heldWorker struct {
	agent.Worker
	process *process
}

func held[A, B any](ctx context.Context, p *process, do func(context.Context, A) (B, error), order A) (out B, err error) {
	if _, err := p.pass(); err != nil {
		return out, err
	}
	out, err = do(ctx, order)
	if _, dead := p.pass(); dead != nil {
		return out, dead
	}
	return out, err
}

func (w heldWorker) Start(ctx context.Context, o lease.StartOrder) (lease.Answer, error) {
	return held(ctx, w.process, w.Worker.Start, o)
}

func (w heldWorker) Stop(ctx context.Context, o lease.StopOrder) (lease.Answer, error) {
	return held(ctx, w.process, w.Worker.Stop, o)
}

func (w heldWorker) Renew(ctx context.Context, o lease.RenewOrder) (lease.RenewReply, error) {
	return held(ctx, w.process, w.Worker.Renew, o)
}

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// tick holds the dispatcher during a pause, so that it notices a gap in time as
// a process that was really stopped does.
func (p *process) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.wanted && !p.end {
		if !p.paused {
			p.paused, p.since = true, time.Now()
		}
		p.changed.Wait()
	}
}

// pass waits while the process is paused and reports whether it waited.
func (p *process) pass() (waited bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.paused && !p.end {
		waited = true
		p.changed.Wait()
	}
	if p.end {
		return waited, errDead
	}
	return waited, nil
}

const (
	// unnoticed is the longest pause that the entry need not notice.
	unnoticed = 150 * time.Millisecond
	// After a pause the entry notices within these times that a caller left
	// meanwhile. Section 13.3 has a settling time of 100 ms after a pause that
	// it notices, and a reserve of 166 ms for others.
	noticeSettling = 80 * time.Millisecond
	noticeOther    = 10 * time.Millisecond
)

// leave makes the entry notice that its caller has gone.
func (p *process) leave(cancel context.CancelFunc) {
	if waited, _ := p.pass(); waited {
		p.mu.Lock()
		lasted := time.Since(p.since)
		p.mu.Unlock()
		if lasted > unnoticed {
			time.Sleep(noticeSettling)
		} else {
			time.Sleep(noticeOther)
		}
	}
	cancel()
}

func (p *process) dial(ctx context.Context, address string) (net.Conn, error) {
	if _, err := p.pass(); err != nil {
		return nil, err
	}
	c, err := p.net.Dialer(p.host)(ctx, address)
	if err != nil {
		return nil, err
	}
	return &heldConn{c, p}, nil
}

type heldListener struct {
	net.Listener
	process *process
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{c, l.process}, nil
}

// heldConn holds what it carries while its process is paused.
type heldConn struct {
	net.Conn
	process *process
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if _, dead := c.process.pass(); dead != nil {
		return 0, dead
	}
	return n, err
}

func (c *heldConn) Write(b []byte) (int, error) {
	if _, err := c.process.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// pausingScope makes each update of a gauge a point at which the process can be
// paused. The entry's dispatcher updates its gauges every 50 ms.
type pausingScope struct {
	tally.Scope
	process *process
}

func (s pausingScope) Gauge(string) tally.Gauge { return pausingGauge(s) }

type pausingGauge struct {
	tally.Scope
	process *process
}

func (g pausingGauge) Update(float64) { g.process.tick() }
