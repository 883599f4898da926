package leasestub

import (
	"context"
	"errors"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/lease"
)

// Fault is a fault of one kind of order. The zero value means none.
type Fault struct {
	// Unanswered orders are executed, but the caller gets no answer.
	Unanswered bool
	// Late orders are executed after this time, and the caller gets no answer.
	// 0 means at once.
	Late time.Duration
	// Lost orders are neither executed nor answered.
	Lost bool
}

// Faults are the faults of a machine. The zero value means none.
type Faults struct {
	Start, Stop, Renew Fault
	// Refuse makes every call fail with lease.ErrWorkerDown.
	Refuse bool
	// FailAll makes every run that starts end as failed after its duration.
	FailAll bool
	// Unhealthy makes the machine refuse every start with
	// lease.RefusedUnhealthy.
	Unhealthy bool
	// Stall stops the progress of all runs, without ending them.
	Stall bool
	// Slowdown is the factor by which all runs are slower; 0 means 1.
	Slowdown float64
	// Paused stops everything at the machine except the expiry of leases:
	// orders are lost, runs make no progress, and replies to renewals that are
	// due are sent after the pause.
	Paused bool
}

// speed returns the speed of runs as a share of the normal one.
func (f Faults) speed() float64 {
	switch {
	case f.Stall || f.Paused:
		return 0
	case f.Slowdown > 0:
		return 1 / f.Slowdown
	}
	return 1
}

// Silent returns the faults of a machine that receives no orders.
func Silent() Faults {
	lost := Fault{Lost: true}
	return Faults{Start: lost, Stop: lost, Renew: lost}
}

// Conn is the connection of one agent to one life of a machine. It is safe for
// concurrent use.
type Conn struct {
	machine *Machine
	life    lease.Life
}

// Connect returns a connection for orders to the announced life. Orders to a life
// that was replaced are refused with lease.RefusedOtherLife.
func (m *Machine) Connect(n lease.Announcement) *Conn { return &Conn{m, n.Life} }

// Close does nothing; agents close the connections of real workers.
func (c *Conn) Close() {}

// errConnectionBroke is returned by a renewal that waits when the life ends.
var errConnectionBroke = errors.New("leasestub: connection broke because the worker's life ended")

// call executes an order under the machine's lock, with the fault that is in
// force for its kind. It returns when the answer arrives, or when ctx ends if the
// fault suppresses the answer.
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

// Start orders the start of a run. The returned error means that there was no
// answer; refusals are in the answer.
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

// Stop orders the stop of a run. The returned error means that there was no
// answer; refusals are in the answer.
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

// Renew extends the lease. It waits up to o.Wait for the end of a run and then
// returns the list of active and ended runs. The returned error means that there
// was no answer.
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

// waitAndList waits up to limit for the end of a run, and for the end of a pause,
// and returns the list. It returns errConnectionBroke if the life ended.
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
