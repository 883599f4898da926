package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// cores returns the resources of a task that needs n cores.
func cores(n int64) wire.Resources { return wire.Resources{MilliCPU: 1000 * n, MemoryMB: 64 * n} }

// leasedRig is a rig whose agent runs beside a worker of leased tasks.
type leasedRig struct {
	*rig
	machine *leasestub.Machine
	kill    context.CancelFunc // ends the agent's process at once
}

// leasedSetup has the options of a leasedRig; zero values mean 8 cores, one entry
// and a worker that has announced itself.
type leasedSetup struct {
	entries     int
	unannounced bool
	machine     leasestub.Options
}

// withLeasedRig runs the test in virtual time, with the first entry, after all
// entries have opened sessions. Afterwards it checks the worker's record of what
// it ran.
func withLeasedRig(t *testing.T, s leasedSetup, test func(r *leasedRig, e *entryStub)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &leasedRig{rig: &rig{C: qt.New(t), net: faultnet.New(), store: storestub.New(), ctx: ctx,
			ended: make(chan error, 1), metrics: tally.NewTestScope("", nil)}}
		o := s.machine
		o.ID, o.Pool, o.Address, o.Rack = "m1", "p1", "10.0.2.1:8200", "r7"
		if o.Capacity == (wire.Resources{}) {
			o.Capacity = cores(8)
		}
		r.machine = leasestub.New(o)
		for i := range max(s.entries, 1) {
			r.addEntry(i, true)
		}
		r.startLeased()
		if !s.unannounced {
			r.agent.WorkerAnnounced(r.machine.Announcement())
		}
		time.Sleep(400 * time.Millisecond) // until the worker is adopted and the first heartbeats were sent
		for _, e := range r.entries {
			e.open()
		}
		test(r, r.entries[0])
		r.Check(r.machine.Evidence().Violations(), qt.HasLen, 0)
		cancel()
		<-r.ended
		r.machine.Crash()
		for _, e := range r.entries {
			e.close()
		}
		r.wg.Wait()
	})
}

// platformTiming returns the intervals of section 13.3 of docs/design.md.
func platformTiming() settings.Timing {
	t := settings.DefaultTiming()
	t.Heartbeat, t.PeerHeartbeat = settings.Duration(150*time.Millisecond), settings.Duration(350*time.Millisecond)
	t.IdleHeartbeat = settings.Duration(time.Second)
	t.Suspect, t.Lapse = settings.Duration(400*time.Millisecond), settings.Duration(500*time.Millisecond)
	t.Reconcile, t.Gate = settings.Duration(1150*time.Millisecond), settings.Duration(3*time.Second)
	t.PingAfter, t.PingTimeout = settings.Duration(250*time.Millisecond), settings.Duration(150*time.Millisecond)
	return t
}

// startLeased starts an agent process for leased tasks.
func (r *leasedRig) startLeased() {
	conf, leased := settings.DefaultAgent(), settings.DefaultLeased()
	conf.ID, conf.DataCentre, conf.Worker, conf.Connections, conf.Leased = "a1", dataCentre, "w1", 0, &leased
	conf.PeerAddress, conf.AdminAddress = agentHost+":7100", agentHost+":9100"
	conf.Store.URL, conf.Timing = "http://10.0.3.1:7500", platformTiming()
	peers, err := r.net.Listen(conf.PeerAddress)
	r.Assert(err, qt.IsNil)
	admin, err := r.net.Listen(conf.AdminAddress)
	r.Assert(err, qt.IsNil)
	r.agent, err = New(Options{
		Settings: conf, Store: r.store, Dial: r.net.Dialer(agentHost), Peers: peers, Admin: admin, Metrics: r.metrics, Clock: r.clock(),
		Connect: func(n lease.Announcement) Worker { return r.machine.Connect(n) },
	})
	r.Assert(err, qt.IsNil)
	ctx, kill := context.WithCancel(r.ctx)
	r.kill = kill
	a := r.agent
	go func() { r.ended <- a.Run(ctx) }()
}

// leasedRequest returns the Run request of a leased task.
func (e *entryStub) leasedRequest(job string, needs wire.Resources, spec leasestub.Spec) wire.RunRequest {
	e.sequence++
	spec.Needs = needs
	return wire.RunRequest{Session: e.session, Sequence: e.sequence, Task: wire.Task{
		Job: job + "@" + e.ref.ID, Needs: needs, Remaining: 20 * time.Second,
		Leased: &wire.LeasedTask{Job: job, Spec: spec.Encode()},
	}}
}

// runLeased sends a leased task that needs n cores and takes the given time.
func (e *entryStub) runLeased(job string, n int64, took time.Duration) <-chan answer {
	return e.send(e.leasedRequest(job, cores(n), leasestub.Spec{MS: float64(took) / float64(time.Millisecond)}))
}

// cancelTask cancels the task that this entry sent last.
func (e *entryStub) cancelTask() wire.CancelReply {
	in := wire.CancelRequest{Session: e.session, Keys: []wire.TaskKey{{Session: e.session.Number, Sequence: e.sequence}}}
	var out wire.CancelReply
	e.Assert(e.conn.Call(e.ctx, "Agent.Cancel", &in, &out), qt.IsNil)
	return out
}

// started returns how often the worker started the job's task.
func (r *leasedRig) started(job string) int {
	return r.machine.Evidence().Count()[lease.Task{Job: job}]
}

// free returns the agent's free resources.
func (r *leasedRig) free() wire.Resources { return r.agent.State().Load.Free }
