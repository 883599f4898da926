package leasestub

import (
	"context"
	"errors"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/lease"
)

// Fault is what happens to one kind of order. The zero value is none.
type Fault struct {
	// Unanswered orders are carried out, and nothing is answered.
	Unanswered bool
	// Late orders are carried out after this time, and nothing is answered.
	Late time.Duration
	// Lost orders are neither carried out nor answered.
	Lost bool
}

// Faults that a machine shows. The zero value means none.
type Faults struct {
	Start, Stop, Renew Fault
	// Refuse refuses connections.
	Refuse bool
	// FailAll makes every run that starts fail, at the end of its duration.
	FailAll bool
	// Unhealthy refuses every start.
	Unhealthy bool
	// Stall makes all runs stand still.
	Stall bool
	// Slowdown is how many times slower all runs are; 0 means not slower.
	Slowdown float64
	// Paused makes the machine do nothing but let leases end: orders are lost,
	// runs stand still, and lists that are due come when the pause is over.
	Paused bool
}

// speed of runs: 1 is normal.
func (f Faults) speed() float64 {
	switch {
	case f.Stall || f.Paused:
		return 0
	case f.Slowdown > 0:
		return 1 / f.Slowdown
	}
	return 1
}

// Silent are the faults of a machine to which no order gets through.
func Silent() Faults {
	lost := Fault{Lost: true}
	return Faults{Start: lost, Stop: lost, Renew: lost}
}

// Conn is the connection of one agent to one life of a machine.
type Conn struct {
	machine *Machine
	life    lease.Life
}

// Connect returns the calls to the life that was announced.
func (m *Machine) Connect(n lease.Announcement) *Conn { return &Conn{m, n.Life} }

// Close does nothing.
func (c *Conn) Close() {}

// errConnectionBroke is what a call returns whose connection broke.
var errConnectionBroke = errors.New("leasestub: connection broke")

// call carries out an order under the machine's lock. It returns after the
// order's answer is due.
func (c *Conn) call(ctx context.Context, kind string, fault func(Faults) Fault, do func(l *life) error) error {
	m := c.machine
	if !wait.For(ctx, m.options.Delay, nil) {
		return ctx.Err()
	}
	m.mu.Lock()
	f := fault(m.faults)
	f.Lost = f.Lost || m.faults.Paused
	m.orders[kind]++
	if m.life == nil || m.faults.Refuse {
		m.mu.Unlock()
		return lease.ErrWorkerDown
	}
	l := m.life
	var err error
	switch {
	case f.Lost:
	case f.Late > 0:
		time.AfterFunc(f.Late, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !l.terminated {
				_ = do(l)
			}
		})
	default:
		err = do(l)
	}
	m.mu.Unlock()
	if f != (Fault{}) {
		<-ctx.Done()
		return ctx.Err()
	}
	if !wait.For(ctx, m.options.Delay, nil) {
		return ctx.Err()
	}
	return err
}

// Start orders a start.
func (c *Conn) Start(ctx context.Context, o lease.StartOrder) (lease.Answer, error) {
	var a lease.Answer
	err := c.call(ctx, "start", func(f Faults) Fault { return f.Start }, func(l *life) error {
		a = lease.Answer{Refusal: lease.RefusedOtherLife, Clock: l.clock()}
		if l.id == c.life {
			a.Refusal = l.start(o)
		}
		return nil
	})
	if err != nil {
		return lease.Answer{}, err
	}
	return a, nil
}

// Stop orders a stop.
func (c *Conn) Stop(ctx context.Context, o lease.StopOrder) (lease.Answer, error) {
	var a lease.Answer
	err := c.call(ctx, "stop", func(f Faults) Fault { return f.Stop }, func(l *life) error {
		a = lease.Answer{Refusal: lease.RefusedOtherLife, Clock: l.clock()}
		if l.id == c.life {
			a.Refusal = l.stop(o)
		}
		return nil
	})
	if err != nil {
		return lease.Answer{}, err
	}
	return a, nil
}

// Renew extends the lease, and waits for an end before it lists.
func (c *Conn) Renew(ctx context.Context, o lease.RenewOrder) (lease.RenewReply, error) {
	var refusal lease.Refusal
	var at *life
	err := c.call(ctx, "renew", func(f Faults) Fault { return f.Renew }, func(l *life) error {
		refusal, at = lease.RefusedOtherLife, l
		if l.id == c.life {
			refusal = l.renew(o)
		}
		return nil
	})
	switch {
	case err != nil:
		return lease.RenewReply{}, err
	case refusal != "":
		return lease.RenewReply{Refusal: refusal}, nil
	}
	return c.waitAndList(ctx, at, o.Wait)
}

// waitAndList waits for an end and lists. A life that ended breaks its connections.
func (c *Conn) waitAndList(ctx context.Context, l *life, limit time.Duration) (lease.RenewReply, error) {
	m := c.machine
	m.mu.Lock()
	changed, ready := l.runEnded, len(l.unacked) > 0 || l.terminated
	m.mu.Unlock()
	if !ready && !wait.For(ctx, limit, changed) {
		return lease.RenewReply{}, ctx.Err()
	}
	for {
		m.mu.Lock()
		resumed := m.resumed
		if !m.faults.Paused {
			break
		}
		m.mu.Unlock()
		select {
		case <-resumed:
		case <-ctx.Done():
			return lease.RenewReply{}, ctx.Err()
		}
	}
	defer m.mu.Unlock()
	if l.terminated {
		return lease.RenewReply{}, errConnectionBroke
	}
	return l.list(), nil
}
