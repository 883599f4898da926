package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/agent"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

// agentScenario says under which load an agent is measured.
type agentScenario struct {
	entries        int
	tasksPerSecond float64
}

// measureAgent runs one agent in this process, and its entries and upstream in a
// child process. It returns what the agent used during the interval.
func measureAgent(ctx context.Context, o Options, c agentScenario) (u usage, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses, err := freeAddresses(c.entries + 1)
	if err != nil {
		return u, err
	}
	upstream, entries := addresses[0], addresses[1:]
	a, peer, err := newAgent(upstream, entries)
	if err != nil {
		return u, err
	}
	standins, err := startChild(ctx, o.ChildVerb, Spec{Agent: peer, Upstream: upstream, Entries: entries, TasksPerSecond: c.tasksPerSecond})
	if err != nil {
		return u, err
	}
	var running sync.WaitGroup
	var runErr error
	running.Go(func() { runErr = a.Run(ctx) })
	defer func() {
		outcome, stopErr := standins.stop()
		cancel()
		running.Wait()
		if err == nil && outcome.Error != "" {
			err = errors.New(outcome.Error)
		}
		if err == nil && !errors.Is(runErr, context.Canceled) {
			err = errors.Join(runErr, stopErr)
		}
	}()
	if err := waitFor(ctx, func() bool { return heardFromAllEntries(a, c.entries) }); err != nil {
		return u, err
	}
	pause(ctx, settleTime)
	return measureUsage(o.Interval, a.Traffic), nil
}

// heardFromAllEntries reports whether the agent is linked to all entries,
// suspects none of them and has its gate open.
func heardFromAllEntries(a *agent.Agent, entries int) bool {
	heard := 0
	for _, e := range a.State().Entries {
		if e.Linked && !e.Suspect {
			heard++
		}
	}
	return heard >= entries && a.State().GateOpen
}

// freeAddresses returns n loopback addresses with free ports. It does not
// reserve them.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out[i] = l.Addr().String()
	}
	return out, nil
}

func newAgent(upstream string, entries []string) (a *agent.Agent, peer string, err error) {
	var l [2]net.Listener
	for i := range l {
		if l[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, "", err
		}
	}
	s := settings.DefaultAgent()
	s.ID, s.DataCentre, s.Rack, s.Worker = "agent-measured", dataCentreNames()[0], "rack-1", "worker-1"
	s.Upstream, s.Slots, s.MaxEntries = upstream, slotsPerAgent, len(entries)
	s.PeerAddress, s.AdminAddress = l[0].Addr().String(), l[1].Addr().String()
	s.Store.URL = "http://127.0.0.1:1" // not called: the store is a stand-in in this process
	registrations := storestub.New()
	for i, address := range entries {
		value, err := store.EncodeEntry(entryRef(i, address))
		if err != nil {
			return nil, "", err
		}
		registrations.Put(store.EntriesPrefix+entryRef(i, address).ID, value)
	}
	a, err = agent.New(agent.Options{Settings: s, Store: registrations, Logger: zerolog.Nop(), Peers: l[0], Admin: l[1]})
	return a, s.PeerAddress, err
}

// listenUpstream serves a stand-in upstream, whose tasks take 1 ms, until ctx
// ends.
func listenUpstream(ctx context.Context, address string) error {
	s, err := upstreamstub.Listen(address, upstreamstub.Options{Name: "upstream", Slots: slotsPerAgent, Service: time.Millisecond})
	if err != nil {
		return fmt.Errorf("capacity: upstream stand-in: %w", err)
	}
	<-ctx.Done()
	return s.Close()
}

// sweepAgent measures an agent at each size and writes a line of progress for
// each.
func sweepAgent(ctx context.Context, o Options, name string, sizes []float64, c func(size float64) agentScenario) ([]usage, error) {
	out := make([]usage, 0, len(sizes))
	for _, size := range sizes {
		u, err := measureAgent(ctx, o, c(size))
		if err != nil {
			return nil, fmt.Errorf("%s at %g: %w", name, size, err)
		}
		messages, bytes := u.controlPerSecond()
		_, _ = fmt.Fprintf(o.Progress, "%s=%g cores=%.4f heap_mb=%.1f rss_mb=%.1f control_messages=%.1f control_bytes=%.0f tasks=%.1f\n",
			name, size, u.cores, u.heapBytes/bytesPerMB, u.rssBytes/bytesPerMB, messages, bytes, tasksPerSecond(u))
		out = append(out, u)
	}
	return out, nil
}

func tasksPerSecond(u usage) float64 { return float64(u.traffic["Agent.Run"].MessagesSent) / u.seconds }

func taskBytesPerSecond(u usage) float64 {
	var sum uint64
	for method, c := range u.traffic {
		if rpcconn.KindOf(method) == rpcconn.KindTask {
			sum += c.BytesSent + c.BytesReceived
		}
	}
	return float64(sum) / u.seconds
}

func agentByEntries(ctx context.Context, o Options) ([]Series, error) {
	sizes := o.sizes(1, 4, 8, 16)
	us, err := sweepAgent(ctx, o, "agent entries", sizes, func(n float64) agentScenario { return agentScenario{entries: int(n)} })
	if err != nil {
		return nil, err
	}
	const by = "entries that the agent announces itself to, idle"
	return []Series{
		newSeries("agent: processor, cores", by, targetEntriesPerAgent, points(sizes, us, func(u usage) float64 { return u.cores })),
		newSeries("agent: live heap, MB", by, targetEntriesPerAgent, points(sizes, us, func(u usage) float64 { return u.heapBytes / bytesPerMB })),
		newSeries("agent: resident memory, MB", by, targetEntriesPerAgent, points(sizes, us, func(u usage) float64 { return u.rssBytes / bytesPerMB })),
		newSeries("agent: control traffic, bytes per second", by, targetEntriesPerAgent,
			points(sizes, us, func(u usage) float64 { _, b := u.controlPerSecond(); return b })),
	}, nil
}

func agentByTasks(ctx context.Context, o Options) ([]Series, error) {
	offered := o.sizes(25, 50, 100, 200)
	us, err := sweepAgent(ctx, o, "agent tasks_per_second", offered, func(n float64) agentScenario {
		return agentScenario{entries: 2, tasksPerSecond: n}
	})
	if err != nil {
		return nil, err
	}
	done := make([]float64, len(us))
	for i, u := range us {
		done[i] = tasksPerSecond(u)
	}
	const by = "tasks per second"
	const target = targetTasksPerSecond / targetAgents
	return []Series{
		newSeries("agent: processor, millionths of a core", by, target, points(done, us, func(u usage) float64 { return u.cores * 1e6 })),
		newSeries("agent: task traffic, bytes per second", by, target, points(done, us, taskBytesPerSecond)),
	}, nil
}
