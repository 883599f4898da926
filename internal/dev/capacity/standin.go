package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	callTimeout       = time.Second
	slotsPerAgent     = 8
	agentsPerRack     = 3
)

// agentStandin answers calls like an agent, each task after taskDuration, and
// sends an agent's heartbeats. It keeps no record of tasks, so that a thousand
// stand-ins fit into one process.
type agentStandin struct {
	ref              wire.AgentRef
	entry            string // peer address of the measured entry
	taskDuration     time.Duration
	loadSequence     atomic.Uint64
	configGeneration atomic.Uint64 // that the entry last reported
	dialer           rpcconn.Dialer
	options          rpcconn.Options

	// State of the connection to the entry, which a real agent keeps as well:
	// whether the entry has the full reference of the agent, and the
	// incarnation of the entry whose reference the agent has.
	fullRefSent bool
	knownEntry  wire.Incarnation
}

// runAgents runs n agent stand-ins until ctx ends.
func runAgents(ctx context.Context, entry string, n int, dataCentres []string, took time.Duration) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("capacity: agent stand-in %d: %w", i, err)
		}
		a := &agentStandin{entry: entry, taskDuration: took, options: rpcconn.Options{Logger: zerolog.Nop()}}
		a.dialer = rpcconn.Dialer{Options: a.options}
		a.ref = wire.AgentRef{
			ID: fmt.Sprintf("agent-%d", i), Incarnation: wire.NewIncarnation(), Address: l.Addr().String(),
			DataCentre: dataCentres[i%len(dataCentres)], Rack: fmt.Sprintf("rack-%d", i/agentsPerRack),
			Worker: fmt.Sprintf("worker-%d", i), Slots: slotsPerAgent, QueueLimit: 2,
		}
		wg.Go(func() { _ = a.server().Serve(ctx, l) })
		wg.Go(func() { a.sendHeartbeats(ctx) })
	}
	return nil
}

func (a *agentStandin) server() *rpcconn.Server {
	s := rpcconn.NewServer(a.options)
	rpcconn.Handle(s, "Agent.OpenSession", func(_ context.Context, _ *wire.OpenSessionRequest, r *wire.OpenSessionReply) error {
		r.Agent, r.Load = a.ref, a.nextLoad()
		return nil
	})
	rpcconn.Handle(s, "Agent.Run", func(ctx context.Context, _ *wire.RunRequest, r *wire.RunReply) error {
		if a.taskDuration > 0 {
			select {
			case <-time.After(a.taskDuration):
			case <-ctx.Done():
			}
		}
		r.Agent, r.Load = a.ref.Incarnation, a.nextLoad()
		r.Result = wire.Result{Outcome: wire.OutcomeDone, Took: a.taskDuration, Response: wire.Response{Status: http.StatusOK, Body: []byte("{}")}}
		return nil
	})
	rpcconn.Handle(s, "Agent.Announce", func(_ context.Context, _ *wire.AnnounceRequest, r *wire.AnnounceReply) error {
		r.Load = a.nextLoad()
		return nil
	})
	rpcconn.Handle(s, "Agent.Cancel", func(_ context.Context, _ *wire.CancelRequest, r *wire.CancelReply) error {
		r.Load = a.nextLoad()
		return nil
	})
	rpcconn.Handle(s, "Agent.Ping", func(context.Context, *wire.Empty, *wire.Empty) error { return nil })
	return s
}

func (a *agentStandin) nextLoad() wire.Load { return wire.Load{Sequence: a.loadSequence.Add(1)} }

// sendHeartbeats sends the agent's heartbeats until ctx ends. It starts after a
// random delay, so that the heartbeats of all stand-ins spread over the interval.
func (a *agentStandin) sendHeartbeats(ctx context.Context) {
	pause(ctx, rand.N(heartbeatInterval))
	var conn *rpcconn.Client
	for ctx.Err() == nil {
		if conn == nil {
			a.fullRefSent, a.knownEntry = false, 0
			dialCtx, cancel := context.WithTimeout(ctx, callTimeout)
			c, err := a.dialer.Connect(dialCtx, a.entry)
			cancel()
			if err != nil {
				pause(ctx, rand.N(heartbeatInterval))
				continue
			}
			conn = c
		}
		if err := a.heartbeat(ctx, conn); err != nil {
			_ = conn.Close()
			conn = nil
			continue
		}
		pause(ctx, heartbeatInterval)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (a *agentStandin) heartbeat(ctx context.Context, conn *rpcconn.Client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := wire.HeartbeatRequest{
		Agent: a.ref, KnownEntry: a.knownEntry, Load: a.nextLoad(), Healthy: true, Generation: a.configGeneration.Load(), ReadAge: time.Second,
	}
	if a.fullRefSent {
		req.Agent = a.ref.IdentityOnly()
	}
	var reply wire.HeartbeatReply
	if err := conn.Call(ctx, "Entry.Heartbeat", &req, &reply); err != nil {
		return err
	}
	a.fullRefSent, a.knownEntry = !reply.Describe, reply.Entry.Incarnation
	a.configGeneration.Store(reply.Generation)
	return nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
