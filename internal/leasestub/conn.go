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
	// Late orders are executed after this time, by the life with the same
	// identifier that is up then, and the caller gets no answer. 0 means at once.
	Late time.Duration
	// SameLife ends late orders with the life that was up when they were sent, whose
	// process has their connection. Workers do not promise that in so many words.
	SameLife bool
	// AnswerLate is a further delay of answers.
	AnswerLate time.Duration
	// Lost orders are neither executed nor answered.
	Lost bool
}

// Faults are the faults of a machine. The zero value means none.
type Faults struct {
	Start, Stop, Renew Fault
	// Refuse makes every call that arrives fail with lease.ErrWorkerDown, although
	// the process lives, as a proxy or a full queue of connections may.
	Refuse bool
	// Reset resets the open connections and those that follow: orders are executed
	// and fail with lease.ErrConnectionBroken, although the process lives, as a
	// disruption between agent and worker may. With Refuse, only calls that wait.
	Reset bool
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

// Conn stands for the connections of one agent to a machine. Its orders name the
// identifier of a life. One that states a birth is sent over a connection to the life
// with that birth, or not at all; any other reaches whatever life with the identifier
// is up. Without Fault.SameLife, late ones are executed by a later life nevertheless. It
// is safe for concurrent use.
type Conn struct {
	machine *Machine
	id      string
}

// Connect returns a connection for orders to the announced identifier. A life with
// another identifier refuses them with lease.RefusedOtherLife.
func (m *Machine) Connect(n lease.Announcement) *Conn { return &Conn{m, n.Life.ID} }

// Close does nothing; agents close the connections of real workers.
func (c *Conn) Close() {}

// call executes an order under the machine's lock, with the fault that is in force
// for its kind, which it returns. If the fault suppresses the answer, it returns when
// ctx ends. If another life is up than that with the given birth, it returns
// lease.ErrNotSent; a birth of 0 is that of any life.
func (c *Conn) call(ctx context.Context, kind string, born int64, fault func(Faults) Fault, do func(l *life)) (Fault, error) {
	m := c.machine
	if !wait.For(ctx, m.options.Delay, nil) {
		return Fault{}, ctx.Err()
	}
	m.mu.Lock()
	f := fault(m.faults)
	f.Lost = f.Lost || m.faults.Paused
	m.orders[kind]++
	if m.life == nil || m.faults.Refuse {
		m.mu.Unlock()
		return f, lease.ErrWorkerDown
	}
	l := m.life
	if born != 0 && born != l.id.Born && !f.Lost {
		m.mu.Unlock()
		return f, lease.ErrNotSent
	}
	switch {
	case f.Lost:
	case f.Late > 0:
		time.AfterFunc(f.Late, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.life != nil && (m.life == l || !f.SameLife) {
				do(m.life)
			}
		})
	default:
		do(l)
	}
	m.mu.Unlock()
	if f.Lost || f.Late > 0 || f.Unanswered {
		<-ctx.Done()
		return f, ctx.Err()
	}
	return f, nil
}

// deliver waits until an answer has arrived, which the worker sends now.
func (c *Conn) deliver(ctx context.Context, f Fault) error {
	if !wait.For(ctx, c.machine.options.Delay+f.AnswerLate, nil) {
		return ctx.Err()
	}
	c.machine.mu.Lock()
	defer c.machine.mu.Unlock()
	if c.machine.faults.Reset {
		return lease.ErrConnectionBroken
	}
	return nil
}

// order executes a start or stop order and returns its answer.
func (c *Conn) order(ctx context.Context, kind string, born int64, fault func(Faults) Fault, do func(l *life) lease.Refusal) (lease.Answer, error) {
	var a lease.Answer
	f, err := c.call(ctx, kind, born, fault, func(l *life) { a = lease.Answer{Refusal: c.refusal(l, do), Clock: l.clock()} })
	if err == nil {
		err = c.deliver(ctx, f)
	}
	if err != nil {
		return lease.Answer{}, err
	}
	return a, nil
}

// refusal executes an order if the life has the identifier that the order names. It
// returns the reason of a refusal, or "".
func (c *Conn) refusal(l *life, do func(l *life) lease.Refusal) lease.Refusal {
	if l.id.ID != c.id {
		return lease.RefusedOtherLife
	}
	return do(l)
}

// Start orders the start of a run. The returned error means that there was no
// answer; refusals are in the answer.
func (c *Conn) Start(ctx context.Context, o lease.StartOrder) (lease.Answer, error) {
	return c.order(ctx, "start", o.Born, func(f Faults) Fault { return f.Start }, func(l *life) lease.Refusal { return l.start(o) })
}

// Stop orders the stop of a run. The returned error means that there was no
// answer; refusals are in the answer.
func (c *Conn) Stop(ctx context.Context, o lease.StopOrder) (lease.Answer, error) {
	return c.order(ctx, "stop", 0, func(f Faults) Fault { return f.Stop }, func(l *life) lease.Refusal { return l.stop(o) })
}

// Renew extends the lease. It waits up to o.Wait for the end of a run and then
// returns the list of active and ended runs. The returned error means that there
// was no answer. If another life is up than that with the birth in o, the list is that
// of this life, which extends no lease.
func (c *Conn) Renew(ctx context.Context, o lease.RenewOrder) (lease.RenewReply, error) {
	var reply lease.RenewReply
	var at *life
	f, err := c.call(ctx, "renew", o.Born, func(f Faults) Fault { return f.Renew }, func(l *life) {
		at, reply = l, lease.RenewReply{Refusal: c.refusal(l, func(l *life) lease.Refusal { return l.renew(o) }), Clock: l.clock()}
	})
	if errors.Is(err, lease.ErrNotSent) {
		return c.Renew(ctx, lease.RenewOrder{Token: o.Token})
	}
	if err == nil && reply.Refusal == "" {
		reply, err = c.waitAndList(ctx, at, o.Wait)
	}
	if err == nil {
		err = c.deliver(ctx, f)
	}
	if err != nil {
		return lease.RenewReply{}, err
	}
	return reply, nil
}

// waitAndList waits up to limit for the end of a run, and for the end of a pause,
// and returns the list. It returns lease.ErrConnectionBroken if the life ended or the
// connection was reset.
func (c *Conn) waitAndList(ctx context.Context, l *life, limit time.Duration) (lease.RenewReply, error) {
	m := c.machine
	m.mu.Lock()
	changed, ready, resets := l.runEnded, len(l.unacked) > 0 || l.terminated, m.resets
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
	if l.terminated || m.resets != resets {
		return lease.RenewReply{}, lease.ErrConnectionBroken
	}
	return l.list(), nil
}
