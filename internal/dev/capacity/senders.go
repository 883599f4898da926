package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

// runSenders runs stand-ins of entries that answer an agent's heartbeats and
// together send it tasks at a fixed rate, until ctx ends. It returns the number
// of tasks done.
func runSenders(ctx context.Context, s Spec) (done int, err error) {
	var senders []func(context.Context) (int, error)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, address := range s.Entries {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return 0, fmt.Errorf("capacity: entry stand-in %d: %w", i, err)
		}
		e := &entryStandin{ref: entryRef(i, address)}
		wg.Go(func() { _ = e.server().Serve(ctx, l) })
		if s.TasksPerSecond > 0 {
			senders = append(senders, func(ctx context.Context) (int, error) {
				return e.sendTasks(ctx, s.Agent, s.TasksPerSecond/float64(len(s.Entries)))
			})
		}
	}
	return sumDone(ctx, senders)
}

// sumDone runs the senders at the same time. It returns the number of tasks that
// they did together, and one of the errors that occurred before ctx ended.
func sumDone(ctx context.Context, senders []func(context.Context) (int, error)) (done int, err error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, send := range senders {
		wg.Go(func() {
			n, sendErr := send(ctx)
			mu.Lock()
			defer mu.Unlock()
			done += n
			if sendErr != nil && ctx.Err() == nil {
				err = sendErr
			}
		})
	}
	wg.Wait()
	return done, err
}

// entryRef returns the reference of an entry stand-in. Both processes compute
// the same one: the parent registers it, and the child uses it in its messages.
func entryRef(i int, address string) wire.EntryRef {
	return wire.EntryRef{
		ID: fmt.Sprintf("entry-%02d", i), Incarnation: wire.Incarnation(i + 1), Address: address, DataCentre: dataCentreNames()[0],
	}
}

// entryStandin answers heartbeats like an entry.
type entryStandin struct {
	ref wire.EntryRef
}

func (e *entryStandin) server() *rpcconn.Server {
	s := rpcconn.NewServer(rpcconn.Options{Logger: zerolog.Nop()})
	rpcconn.Handle(s, "Entry.Heartbeat", func(_ context.Context, req *wire.HeartbeatRequest, r *wire.HeartbeatReply) error {
		r.Entry, r.Generation, r.ConfirmAge, r.ReadAge = e.ref, 1, 500*time.Millisecond, 500*time.Millisecond
		if req.KnownEntry == e.ref.Incarnation {
			r.Entry = e.ref.IdentityOnly()
		}
		if req.Generation < 1 {
			r.Config = &wire.AgentConfig{Generation: 1, InService: dataCentreNames()}
		}
		return nil
	})
	return s
}

// sendTasks opens a session and sends tasks at a fixed rate until ctx ends.
func (e *entryStandin) sendTasks(ctx context.Context, agent string, rate float64) (done int, err error) {
	pause(ctx, time.Second) // until the agent has its configuration
	dialer := rpcconn.Dialer{Options: rpcconn.Options{Logger: zerolog.Nop()}}
	conn, err := dialer.Connect(ctx, agent)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	session := wire.Session{Entry: e.ref.ID, Incarnation: e.ref.Incarnation, Number: 1}
	if err := conn.Call(ctx, "Agent.OpenSession", &wire.OpenSessionRequest{Session: session}, &wire.OpenSessionReply{}); err != nil {
		return 0, err
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	var acked []wire.TaskKey
	for sequence := uint64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return done, nil
		case <-tick.C:
		}
		req := wire.RunRequest{Session: session, Sequence: sequence, Acked: acked, Task: wire.Task{
			Job: "entry-00-0123456789abcdef-1", Index: int(sequence), Template: templateName, Account: accountName(0),
			Remaining: callTimeout, MaxResponse: 1 << 20,
			Request: wire.Request{Method: http.MethodPost, Path: "/check", Body: []byte("{}")},
		}}
		var reply wire.RunReply
		if err := conn.Call(ctx, "Agent.Run", &req, &reply); err != nil {
			return done, err
		}
		if reply.Result.Outcome != wire.OutcomeDone {
			return done, fmt.Errorf("capacity: task was not done: reason %s, detail %s", reply.Result.Reason, reply.Result.Detail)
		}
		done++
		acked = []wire.TaskKey{{Session: session.Number, Sequence: sequence}}
	}
}
