package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"chicorytray.example/chicorytray/rpcconn"
)

// Sizes expected in about two years, from section 1.7 of docs/design.md.
const (
	targetAgents          = 1000
	targetDataCentres     = 11
	targetAccounts        = 110
	targetTasksPerSecond  = 27_000
	targetConfigBytes     = 1 << 20
	targetTasksPerJob     = 1500
	targetEntries         = 40
	targetEntriesPerAgent = 16
)

// Options configure a run.
type Options struct {
	// Interval is the length of each measurement.
	Interval time.Duration
	// ChildVerb is the verb of this program that calls RunChild.
	ChildVerb string
	// Progress receives a line for each measurement.
	Progress io.Writer
	// Role limits the measurement to RoleEntry or RoleAgent; empty means both.
	Role string
	// Quick measures only two small sizes, to try the tool.
	Quick bool
}

// Run runs all experiments, one after the other.
func Run(ctx context.Context, o Options) (Report, error) {
	r := Report{Seconds: o.Interval.Seconds()}
	type experiment = func(context.Context, Options) ([]Series, error)
	roles := []struct {
		name        string
		experiments []experiment
	}{
		{RoleEntry, []experiment{entryByAgents, entryByPeers, entryByAccounts, entryByConfig, entryByTasks, entryByOpenTasks}},
		{RoleAgent, []experiment{agentByEntries, agentByTasks}},
	}
	for _, role := range roles {
		if o.Role != "" && o.Role != role.name {
			continue
		}
		for _, measure := range role.experiments {
			series, err := measure(ctx, o)
			if err != nil {
				return r, err
			}
			r.Series = append(r.Series, series...)
		}
	}
	return r, nil
}

// Roles that can be measured.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// sizes returns the sizes to measure, with Quick only the first two.
func (o Options) sizes(all ...float64) []float64 {
	if o.Quick {
		return all[:2]
	}
	return all
}

// sweepEntry measures an entry at each size and writes a line of progress for
// each.
func sweepEntry(ctx context.Context, o Options, name string, sizes []float64, c func(size float64) entryScenario) ([]entryUsage, error) {
	out := make([]entryUsage, 0, len(sizes))
	for _, size := range sizes {
		u, err := measureEntry(ctx, o, c(size))
		if err != nil {
			return nil, fmt.Errorf("%s at %g: %w", name, size, err)
		}
		messages, bytes := u.controlPerSecond()
		_, _ = fmt.Fprintf(o.Progress, "%s=%g cores=%.4f heap_mb=%.1f rss_mb=%.1f control_messages=%.1f control_bytes=%.0f store_calls=%.2f tasks=%.1f open_tasks=%d\n",
			name, size, u.cores, u.heapBytes/bytesPerMB, u.rssBytes/bytesPerMB, messages, bytes, u.storeCallsPerSecond, u.tasksPerSecond, u.openTasks)
		out = append(out, u)
	}
	return out, nil
}

const bytesPerMB = 1e6

func points[U any](sizes []float64, of []U, value func(U) float64) []Point {
	out := make([]Point, len(sizes))
	for i := range sizes {
		out[i] = Point{sizes[i], value(of[i])}
	}
	return out
}

func cores(u entryUsage) float64           { return u.cores }
func heapMB(u entryUsage) float64          { return u.heapBytes / bytesPerMB }
func controlBytes(u entryUsage) float64    { _, b := u.controlPerSecond(); return b }
func controlMessages(u entryUsage) float64 { m, _ := u.controlPerSecond(); return m }
func storeCalls(u entryUsage) float64      { return u.storeCallsPerSecond }
func residentMB(u entryUsage) float64      { return u.rssBytes / bytesPerMB }
func heartbeatBytes(u entryUsage) float64  { return bytesPerMessage(u.traffic["Entry.PeerHeartbeat"]) }
func microCores(u entryUsage) float64      { return u.cores * 1e6 }
func bytesPerMessage(c rpcconn.Count) float64 {
	return float64(c.BytesReceived) / float64(max(c.MessagesReceived, 1))
}

func entryByAgents(ctx context.Context, o Options) ([]Series, error) {
	sizes := o.sizes(10, 50, 200, 1000)
	us, err := sweepEntry(ctx, o, "entry agents", sizes, func(n float64) entryScenario { return entryScenario{agents: int(n)} })
	if err != nil {
		return nil, err
	}
	const by = "idle agents"
	return []Series{
		newSeries("entry: processor, cores", by, targetAgents, points(sizes, us, cores)),
		newSeries("entry: live heap, MB", by, targetAgents, points(sizes, us, heapMB)),
		newSeries("entry: resident memory, MB", by, targetAgents, points(sizes, us, residentMB)),
		newSeries("entry: control messages, per second", by, targetAgents, points(sizes, us, controlMessages)),
		newSeries("entry: control traffic, bytes per second", by, targetAgents, points(sizes, us, controlBytes)),
		newSeries("entry: store calls, per second", by, targetAgents, points(sizes, us, storeCalls)),
	}, nil
}

func entryByPeers(ctx context.Context, o Options) ([]Series, error) {
	sizes := o.sizes(2, 8, 20, 40)
	us, err := sweepEntry(ctx, o, "entry peers", sizes, func(n float64) entryScenario {
		return entryScenario{agents: 10, peers: int(n), accounts: targetAccounts}
	})
	if err != nil {
		return nil, err
	}
	const by = "other entries, each reporting 110 accounts"
	return []Series{
		newSeries("entry: processor, cores", by, targetEntries, points(sizes, us, cores)),
		newSeries("entry: control traffic, bytes per second", by, targetEntries, points(sizes, us, controlBytes)),
	}, nil
}

func entryByAccounts(ctx context.Context, o Options) ([]Series, error) {
	sizes := o.sizes(1, 20, 50, 110)
	us, err := sweepEntry(ctx, o, "entry accounts", sizes, func(n float64) entryScenario {
		return entryScenario{agents: 10, peers: 4, accounts: int(n)}
	})
	if err != nil {
		return nil, err
	}
	const by = "client accounts with demand, 4 other entries"
	return []Series{
		newSeries("entry: bytes of one peer heartbeat received", by, targetAccounts, points(sizes, us, heartbeatBytes)),
		newSeries("entry: live heap, MB", by, targetAccounts, points(sizes, us, heapMB)),
	}, nil
}

func entryByConfig(ctx context.Context, o Options) ([]Series, error) {
	sizes := o.sizes(1<<10, 64<<10, 256<<10, 700<<10)
	us, err := sweepEntry(ctx, o, "entry config_bytes", sizes, func(n float64) entryScenario {
		return entryScenario{agents: 10, minConfigBytes: int(n)}
	})
	if err != nil {
		return nil, err
	}
	for i, u := range us {
		sizes[i] = float64(u.configBytes)
	}
	const by = "bytes of the configuration"
	return []Series{
		newSeries("entry: processor, millionths of a core", by, targetConfigBytes, points(sizes, us, microCores)),
		newSeries("entry: live heap, MB", by, targetConfigBytes, points(sizes, us, heapMB)),
	}, nil
}

func entryByTasks(ctx context.Context, o Options) ([]Series, error) {
	var out []Series
	for _, perJob := range []int{1, 20, 300} {
		offered := o.sizes(300, 600, 1200, 2400)
		us, err := sweepEntry(ctx, o, fmt.Sprintf("entry tasks_per_job=%d tasks_per_second", perJob), offered, func(n float64) entryScenario {
			return entryScenario{agents: 200, tasksPerJob: perJob, tasksPerSecond: n}
		})
		if err != nil {
			return nil, err
		}
		answered := make([]float64, len(us))
		for i, u := range us {
			answered[i] = u.tasksPerSecond
		}
		out = append(out, newSeries("entry: processor, millionths of a core",
			fmt.Sprintf("tasks answered per second, jobs of %d", perJob), targetTasksPerSecond, points(answered, us, microCores)))
	}
	return out, nil
}

func entryByOpenTasks(ctx context.Context, o Options) ([]Series, error) {
	sizes := o.sizes(100, 400, 800, targetTasksPerJob)
	us, err := sweepEntry(ctx, o, "entry open tasks_per_job", sizes, func(n float64) entryScenario {
		// One job per second, whose tasks take 30 s.
		return entryScenario{agents: 1000, taskDuration: 30 * time.Second, tasksPerJob: int(n), tasksPerSecond: n}
	})
	if err != nil {
		return nil, err
	}
	open := make([]float64, len(us))
	for i, u := range us {
		open[i] = float64(u.openTasks)
	}
	return []Series{
		newSeries("entry: live heap, MB", "tasks at agents, 1,000 agents", targetAgents*slotsPerAgent, points(open, us, heapMB)),
	}, nil
}
