package leasedtest

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/agent"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/lease"
)

var errKilled = errors.New("leasedtest: the process was killed")

// process is the simulated process of an entry or agent, which tests pause and
// kill.
type process struct {
	host   string
	net    *faultnet.Network
	cancel context.CancelFunc
	ended  chan struct{} // closed when Run has returned
	killed chan struct{} // closed when the process is killed

	mu                        sync.Mutex
	changed                   *sync.Cond
	pauseWanted, paused, dead bool
	pausedAt                  time.Time // when the last pause began
	// suspending means that the steady clock of the process stands still during the
	// pause; suspended is the time for which it stood still in earlier pauses.
	suspending    bool
	suspended     time.Duration
	lastSuspended time.Duration // length of the last pause if it was a suspension, otherwise 0
	// endsNoticedLate is how late reads of the process return the end of a connection.
	endsNoticedLate time.Duration
}

func newProcess(host string, n *faultnet.Network) *process {
	p := &process{host: host, net: n, ended: make(chan struct{}), killed: make(chan struct{})}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// startRun starts the main function of the process.
func (p *process) startRun(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.ended)
		_ = run(ctx)
	}()
}

// kill ends the process at once, without any message to others. It returns false if
// the process was killed before.
func (p *process) kill() bool {
	p.mu.Lock()
	if p.dead {
		p.mu.Unlock()
		return false
	}
	p.dead = true
	close(p.killed)
	p.changed.Broadcast()
	p.mu.Unlock()
	p.net.Reset(p.host)
	p.cancel()
	<-p.ended
	return true
}

// setPaused begins a pause at the next pausePoint of an entry, or ends the pause.
func (p *process) setPaused(yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauseWanted = yes
	if !yes {
		p.endPause()
	}
}

// setSuspended is setPaused, or setIOPaused for an agent, with a steady clock that
// stands still during the pause, as on a machine that is suspended.
func (p *process) setSuspended(yes, ioOnly bool) {
	if yes {
		p.mu.Lock()
		p.suspending = true
		p.mu.Unlock()
	}
	if ioOnly {
		p.setIOPaused(yes)
	} else {
		p.setPaused(yes)
	}
}

// endPause resumes the process; the caller holds mu.
func (p *process) endPause() {
	p.lastSuspended = 0
	if p.paused && p.suspending {
		p.lastSuspended = time.Since(p.pausedAt)
		p.suspended += p.lastSuspended
	}
	p.paused, p.suspending = false, false
	p.changed.Broadcast()
}

// newClock returns the clock of the process. Its steady clock stands still while the
// process is suspended.
func (p *process) newClock() *clock.Clock {
	suspended := func() time.Duration {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.paused && p.suspending {
			return p.suspended + time.Since(p.pausedAt)
		}
		return p.suspended
	}
	return clock.New(func() time.Time { return time.Now().Add(-suspended()) }, suspended)
}

// setIOPaused pauses at once what the process receives and sends, or ends that. Its
// timers continue.
func (p *process) setIOPaused(yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !yes {
		p.endPause()
	} else if !p.paused {
		p.paused, p.pausedAt = true, time.Now()
	}
}

// pausingWorker delays the orders to an agent's worker, and their answers, while
// the agent is paused.
type pausingWorker struct {
	agent.Worker
	process *process
}

// callUnlessPaused gives an order once the process is not paused, and returns its
// answer once the process is not paused. It fails if the process was killed.
func callUnlessPaused[A, B any](ctx context.Context, p *process, do func(context.Context, A) (B, error), order A) (out B, err error) {
	if _, err := p.waitWhilePaused(); err != nil {
		return out, err
	}
	out, err = do(ctx, order)
	if _, dead := p.waitWhilePaused(); dead != nil {
		return out, dead
	}
	return out, err
}

func (w pausingWorker) Start(ctx context.Context, o lease.StartOrder) (lease.Answer, error) {
	return callUnlessPaused(ctx, w.process, w.Worker.Start, o)
}

func (w pausingWorker) Stop(ctx context.Context, o lease.StopOrder) (lease.Answer, error) {
	return callUnlessPaused(ctx, w.process, w.Worker.Stop, o)
}

func (w pausingWorker) Renew(ctx context.Context, o lease.RenewOrder) (lease.RenewReply, error) {
	return callUnlessPaused(ctx, w.process, w.Worker.Renew, o)
}

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// pausePoint blocks the dispatcher during a pause, so that it notices a gap in time
// as the dispatcher of a really stopped process does.
func (p *process) pausePoint() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.pauseWanted && !p.dead {
		if !p.paused {
			p.paused, p.pausedAt = true, time.Now()
		}
		p.changed.Wait()
	}
}

// waitWhilePaused waits while the process is paused and reports whether it waited.
// It returns errKilled if the process was killed.
func (p *process) waitWhilePaused() (waited bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.paused && !p.dead {
		waited = true
		p.changed.Wait()
	}
	if p.dead {
		return waited, errKilled
	}
	return waited, nil
}

const (
	// longestUnnoticedPause is the longest pause that an entry need not notice.
	longestUnnoticedPause = 150 * time.Millisecond
	// After a pause the entry notices within these times that a caller
	// disconnected during it. Section 13.3 requires 100 ms without starts after
	// a pause that the entry notices, and has a reserve of 166 ms for shorter
	// pauses.
	noticeAfterLongPause  = 80 * time.Millisecond
	noticeAfterShortPause = 10 * time.Millisecond
)

// noticeDisconnect makes the entry notice that its caller disconnected, by calling
// cancel. If the entry is paused, that happens some time after the pause. A machine
// that is suspended does not receive the end of a connection: the caller's machine
// repeats it at intervals that double, so it may arrive as long after the suspension
// as that lasted. That is not so for a request that arrived after it as well.
func (p *process) noticeDisconnect(cancel context.CancelFunc, requestArrived bool) {
	if waited, _ := p.waitWhilePaused(); waited {
		p.mu.Lock()
		lasted, suspended := time.Since(p.pausedAt), p.lastSuspended
		p.mu.Unlock()
		switch {
		case suspended > 0 && requestArrived:
			time.Sleep(suspended)
		case lasted > longestUnnoticedPause:
			time.Sleep(noticeAfterLongPause)
		default:
			time.Sleep(noticeAfterShortPause)
		}
	}
	cancel()
}

func (p *process) dial(ctx context.Context, address string) (net.Conn, error) {
	if _, err := p.waitWhilePaused(); err != nil {
		return nil, err
	}
	c, err := p.net.Dialer(p.host)(ctx, address)
	if err != nil {
		return nil, err
	}
	return &pausingConn{c, p}, nil
}

type pausingListener struct {
	net.Listener
	process *process
}

func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{c, l.process}, nil
}

// pausingConn delays what it carries while its process is paused.
type pausingConn struct {
	net.Conn
	process *process
}

// setEndsNoticedLate delays the errors of reads, as in a process whose goroutines wait
// for the processor.
func (p *process) setEndsNoticedLate(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endsNoticedLate = d
}

// CloseWrite passes on the end of the process's data; see faultnet.
func (c *pausingConn) CloseWrite() error {
	return c.Conn.(interface{ CloseWrite() error }).CloseWrite()
}

// PeerEnded passes on what the connection says; see faultnet.
func (c *pausingConn) PeerEnded() bool {
	p, ok := c.Conn.(interface{ PeerEnded() bool })
	return ok && p.PeerEnded()
}

func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.process.mu.Lock()
		late := c.process.endsNoticedLate
		c.process.mu.Unlock()
		wait.For(context.Background(), late, c.process.killed) // a killed process ends at once
	}
	if _, dead := c.process.waitWhilePaused(); dead != nil {
		return 0, dead
	}
	return n, err
}

func (c *pausingConn) Write(b []byte) (int, error) {
	if _, err := c.process.waitWhilePaused(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// pausingScope makes each update of a gauge a pausePoint. The entry's dispatcher
// updates its gauges every 50 ms.
type pausingScope struct {
	tally.Scope
	process *process
}

func (s pausingScope) Gauge(string) tally.Gauge { return pausingGauge(s) }

type pausingGauge struct {
	tally.Scope
	process *process
}

func (g pausingGauge) Update(float64) { g.process.pausePoint() }
