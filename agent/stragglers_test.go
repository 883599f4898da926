package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/wire"
)

// stragglers returns the stragglers in the newest heartbeat to the entry.
func (e *entryStub) stragglers() []wire.Straggler { return e.lastHeartbeat().Behind }

// Guards against a stalled run that is reported late or to another entry, or that
// is still reported after it has made progress or was stopped.
func TestStalledRunIsReported(t *testing.T) {
	withLeasedRig(t, leasedSetup{entries: 2}, func(r *leasedRig, e *entryStub) {
		e.runLeased("long", 4, time.Second)
		key := wire.TaskKey{Session: e.session.Number, Sequence: e.sequence}
		time.Sleep(500 * time.Millisecond)
		r.Check(e.stragglers(), qt.HasLen, 0)
		r.machine.SetFaults(leasestub.Faults{Stall: true})
		begin := time.Now()
		for len(e.stragglers()) == 0 && time.Since(begin) < time.Second {
			time.Sleep(time.Millisecond)
		}
		// Two renewals of 150 ms, after the one during which the run stalled, and
		// the minimum time between two heartbeats, 30 ms.
		r.Check(time.Since(begin) <= 481*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
		r.Assert(e.stragglers(), qt.HasLen, 1)
		b := e.stragglers()[0]
		r.Check(b.Elapsed >= 750*time.Millisecond && b.Elapsed <= time.Second, qt.IsTrue, qt.Commentf("%v", b.Elapsed))
		b.Elapsed = 0
		r.Check(b, qt.Equals, wire.Straggler{Key: key, Percent: 50, Stalled: true})
		r.Check(r.agent.State().Leased.Runs[0].Stalled, qt.IsTrue)
		r.Check(r.metrics.Snapshot().Counters()["runs_stalled+"].Value(), qt.Equals, int64(1))
		r.machine.SetFaults(leasestub.Faults{})
		time.Sleep(310 * time.Millisecond) // time for a renewal that shows progress, and a heartbeat
		r.Check(e.stragglers(), qt.HasLen, 0)
		r.machine.SetFaults(leasestub.Faults{Stall: true})
		time.Sleep(time.Second)
		r.Check(e.stragglers(), qt.HasLen, 1)
		e.cancelTask()
		time.Sleep(1200 * time.Millisecond) // until the next heartbeat of an idle agent
		r.Check(e.stragglers(), qt.HasLen, 0)
		r.entries[1].update(func(e *entryStub) {
			for _, h := range e.heartbeats {
				r.Check(h.Behind, qt.HasLen, 0)
			}
		})
	})
}

// Guards against a slow run that is not reported or is reported as stalled, and
// against reporting a run that takes as long as expected.
func TestSlowRunIsReported(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		r.machine.SetFaults(leasestub.Faults{Slowdown: 4})
		var slow wire.TaskKey
		for _, expected := range []time.Duration{0, 2 * time.Second, 500 * time.Millisecond} {
			o := e.leasedRequest(expected.String(), cores(2), leasestub.Spec{MS: 500})
			o.Task.Expected = expected
			slow = wire.TaskKey{Session: o.Session.Number, Sequence: o.Sequence}
			e.send(o)
		}
		time.Sleep(time.Second)
		r.Assert(e.stragglers(), qt.HasLen, 1)
		b := e.stragglers()[0]
		r.Check(b.Key, qt.Equals, slow)
		r.Check(b.Stalled, qt.IsFalse)
		projected := b.Elapsed * 100 / time.Duration(b.Percent)
		r.Check(projected > 1600*time.Millisecond && projected < 2100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", projected))
	})
}

// Guards against reporting runs as stalled because of a short pause of the
// worker.
func TestPauseOfTheWorkerIsNoStall(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		done := e.runLeased("j", 4, 5*time.Second)
		for offset := range 10 {
			// 200 ms is the longest pause that a lease of 450 ms survives, with
			// renewals that wait 150 ms and retries 100 ms apart. The 7 µs keep
			// the start and end of the pause from coinciding with renewals, in
			// which case their order would be random.
			time.Sleep(time.Duration(300+15*offset)*time.Millisecond + 7*time.Microsecond)
			r.machine.SetFaults(leasestub.Faults{Paused: true})
			time.Sleep(200 * time.Millisecond)
			r.machine.SetFaults(leasestub.Faults{})
		}
		r.expect(<-done, wire.OutcomeDone, "")
		e.update(func(e *entryStub) {
			for _, h := range e.heartbeats {
				r.Check(h.Behind, qt.HasLen, 0)
			}
		})
	})
}
