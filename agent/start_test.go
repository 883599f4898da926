package agent

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// Guards against losing a task's result, or keeping its record, when no fault
// occurs.
func TestTaskRunsAndIsAcknowledged(t *testing.T) {
	withRig(t, setup{}, func(r *rig) {
		e := r.entries[0]
		r.Check(e.open().Agent.ID, qt.Equals, "a1")
		a := <-e.run("j", 300*time.Millisecond)
		r.expect(a, wire.OutcomeDone, "")
		r.Check(a.Result.Took, qt.Equals, 300*time.Millisecond)
		r.Check(a.Result.Response.Status, qt.Equals, 200)
		r.Check(r.starts("j"), qt.Equals, 1)
		r.Check(r.agent.State().Ledger.Finished, qt.Equals, 1)
		e.update(func(e *entryStub) { e.acked = []wire.TaskKey{{Session: 1, Sequence: 1}} })
		time.Sleep(time.Second)
		r.Check(r.agent.State().Ledger.Finished, qt.Equals, 0)
	})
}

// Guards against starting a task whose message was sent before a newer session
// was opened and arrives after that.
func TestLateStartIsFenced(t *testing.T) {
	withRig(t, setup{}, func(r *rig) {
		e := r.entries[0]
		e.open()
		r.net.Delay(e.host, agentHost, time.Second)
		late := e.run("late", 100*time.Millisecond)
		r.net.Delay(e.host, agentHost, 0)
		r.Check(e.open().Started, qt.HasLen, 0)
		r.expect(<-late, wire.OutcomeNotRun, wire.ReasonSessionFenced)
		r.expect(<-e.run("new", 100*time.Millisecond), wire.OutcomeDone, "")
		r.Check(r.starts("late"), qt.Equals, 0)
		r.Check(r.starts("new"), qt.Equals, 1)
	})
}

// Guards against a duplicate message that starts its task again, or whose reply
// says that the task did not run.
func TestRepeatedMessageStartsOnce(t *testing.T) {
	withRig(t, setup{}, func(r *rig) {
		e := r.entries[0]
		e.open()
		m := e.httpRequest("j", time.Second)
		first, second := e.send(m), e.send(m)
		r.expect(<-second, wire.OutcomeUnknown, wire.ReasonDuplicate)
		r.expect(<-first, wire.OutcomeDone, "")
		r.expect(<-e.send(m), wire.OutcomeUnknown, wire.ReasonDuplicate)
		r.Check(r.starts("j"), qt.Equals, 1)
	})
}

// Guards against more tasks at the upstream than slots, and against starting a
// refused task.
func TestSlotsAndQueueAreBounded(t *testing.T) {
	withRig(t, setup{slots: 2, queue: 1}, func(r *rig) {
		e := r.entries[0]
		e.open()
		var waiting []<-chan answer
		for _, job := range []string{"a", "b", "c"} {
			waiting = append(waiting, e.run(job, time.Second))
		}
		refused := <-e.run("d", time.Second)
		r.expect(refused, wire.OutcomeNotRun, wire.ReasonAgentBusy)
		r.Check(refused.Load.Running, qt.Equals, 2)
		r.Check(refused.Load.Queued, qt.Equals, 1)
		for _, w := range waiting {
			r.expect(<-w, wire.OutcomeDone, "")
		}
		r.Check(r.starts("d"), qt.Equals, 0)
		r.Check(r.stub.MaxInSystem(), qt.Equals, 2)
	})
}

// Guards against allocating resources twice, and against queueing a task that
// needs more than the capacity.
func TestResourcesAreKept(t *testing.T) {
	change := func(s *settings.Agent) { s.Capacity = wire.Resources{Accelerators: 1} }
	withRig(t, setup{slots: 2, queue: 2, change: change}, func(r *rig) {
		e := r.entries[0]
		e.open()
		needing := func(job string, n int) <-chan answer {
			m := e.httpRequest(job, time.Second)
			m.Task.Needs.Accelerators = n
			return e.send(m)
		}
		first, second := needing("a", 1), needing("b", 1)
		r.Check(r.stub.MaxInSystem(), qt.Equals, 1)
		r.expect(<-needing("c", 2), wire.OutcomeNotRun, wire.ReasonResourcesDoNotFit)
		r.expect(<-first, wire.OutcomeDone, "")
		r.expect(<-second, wire.OutcomeDone, "")
		r.Check(r.stub.MaxInSystem(), qt.Equals, 1)
	})
}

// Guards against a cancelled task that starts or continues to use its slot.
func TestCancel(t *testing.T) {
	withRig(t, setup{slots: 1, queue: 1}, func(r *rig) {
		e := r.entries[0]
		e.open()
		running, queued := e.run("running", 10*time.Second), e.run("queued", time.Second)
		keys := []wire.TaskKey{{Session: 1, Sequence: 1}, {Session: 1, Sequence: 2}, {Session: 1, Sequence: 3}}
		var out wire.CancelReply
		r.Assert(e.conn.Call(e.ctx, "Agent.Cancel", &wire.CancelRequest{Session: e.session, Keys: keys}, &out), qt.IsNil)
		r.Check(out.Withdrawn, qt.DeepEquals, keys[1:])
		r.expect(<-queued, wire.OutcomeNotRun, wire.ReasonCancelled)
		r.expect(<-running, wire.OutcomeUnknown, wire.ReasonCancelled)
		a := <-e.run("overtaken", time.Second) // sequence 3 was cancelled before it arrived
		r.Check(a.Result.Reason, qt.Equals, wire.ReasonDuplicate)
		r.Check(r.starts("queued")+r.starts("overtaken"), qt.Equals, 0)
		r.expect(<-e.run("next", time.Second), wire.OutcomeDone, "")
	})
}

// Guards against losing the results of tasks that run while the entry's
// connection breaks.
func TestResultIsAwaitedInTheNextSession(t *testing.T) {
	withRig(t, setup{slots: 2, queue: 0}, func(r *rig) {
		e := r.entries[0]
		e.open()
		short, long := e.run("short", time.Second), e.run("long", 3*time.Second)
		r.net.Freeze(e.host, agentHost)
		time.Sleep(2 * time.Second)
		opened := e.open()
		r.Assert(opened.Started, qt.HasLen, 2)
		r.Check(opened.Truncated, qt.IsFalse)
		r.Check(opened.Started[0].Finished, qt.IsTrue)
		r.Check(opened.Started[0].Result.Outcome, qt.Equals, wire.OutcomeDone)
		r.Check(opened.Started[1].Finished, qt.IsFalse)
		await := func(key wire.TaskKey) answer {
			var a answer
			a.err = e.conn.Call(e.ctx, "Agent.Await", &wire.AwaitRequest{Session: e.session, Key: key}, &a.RunReply)
			return a
		}
		r.expect(await(opened.Started[1].Key), wire.OutcomeDone, "")
		r.expect(await(opened.Started[0].Key), wire.OutcomeDone, "")
		r.expect(await(wire.TaskKey{Session: 1, Sequence: 9}), wire.OutcomeUnknown, wire.ReasonStartRecordLost)
		r.Check(r.starts("short")+r.starts("long"), qt.Equals, 2)
		r.Check(len(short)+len(long), qt.Equals, 0) // the frozen connection carried no answer
	})
}

// Guards against starting queued tasks of an entry whose session has expired, and
// against accepting later messages in that session.
func TestLapseDropsQueuedTasks(t *testing.T) {
	withRig(t, setup{slots: 1, queue: 1, entries: 2}, func(r *rig) {
		e := r.entries[0] // the other entry keeps the gate open
		e.open()
		running, queued := e.run("running", 5*time.Second), e.run("queued", time.Second)
		r.net.Partition(e.host, agentHost)
		time.Sleep(4 * time.Second)
		state := r.agent.State()
		r.Check(state.Ledger.Lapsed, qt.Equals, uint64(1))
		r.Check(state.GateOpen, qt.IsTrue)
		r.Check(state.Load.Queued, qt.Equals, 0)
		r.net.Heal(e.host, agentHost)
		r.expect(<-queued, wire.OutcomeNotRun, wire.ReasonSessionFenced)
		r.expect(<-e.run("after", time.Second), wire.OutcomeNotRun, wire.ReasonSessionFenced)
		r.expect(<-running, wire.OutcomeDone, "")
		time.Sleep(5 * time.Second)
		r.Check(r.starts("queued")+r.starts("after"), qt.Equals, 0)
		r.Check(e.open().Started, qt.HasLen, 1)
		r.expect(<-e.run("again", time.Second), wire.OutcomeDone, "")
	})
}

// Guards against expiring an idle session while the entry answers heartbeats.
func TestIdleSessionStaysOpen(t *testing.T) {
	withRig(t, setup{}, func(r *rig) {
		e := r.entries[0]
		e.open()
		time.Sleep(time.Minute)
		r.expect(<-e.run("j", time.Second), wire.OutcomeDone, "")
	})
}

// Guards against tasks that stay queued after their deadline.
func TestQueuedTaskExpires(t *testing.T) {
	withRig(t, setup{slots: 1, queue: 1}, func(r *rig) {
		e := r.entries[0]
		e.open()
		running := e.run("running", 3*time.Second)
		m := e.httpRequest("queued", time.Second)
		m.Task.Remaining = time.Second
		begin := time.Now()
		r.expect(<-e.send(m), wire.OutcomeNotRun, wire.ReasonDeadline)
		r.Check(time.Since(begin), qt.Equals, time.Second)
		<-running
		synctest.Wait()
		r.Check(r.starts("queued"), qt.Equals, 0)
	})
}

// Guards against invalid messages that reach the upstream.
func TestInvalidMessagesAreRefused(t *testing.T) {
	withRig(t, setup{}, func(r *rig) {
		e := r.entries[0]
		e.open()
		for _, change := range []func(m *wire.RunRequest){
			func(m *wire.RunRequest) { m.Session.Number = 0 },
			func(m *wire.RunRequest) { m.Sequence = 0 },
			func(m *wire.RunRequest) { m.Task.Job = "" },
			func(m *wire.RunRequest) { m.Task.Request.Path = "http://elsewhere/" },
			func(m *wire.RunRequest) { m.Task.Request.Path = "/a\x00b" },
			func(m *wire.RunRequest) { m.Task.Request.Method = "GET / HTTP/1.1\r\n" },
			func(m *wire.RunRequest) { m.Task.Request.Header = []wire.Header{{Name: "A", Value: "b\r\nC: d"}} },
		} {
			m := e.httpRequest("bad", time.Second)
			change(&m)
			a := <-e.send(m)
			r.Check(a.Result.Outcome, qt.Equals, wire.OutcomeFailed, qt.Commentf("%+v", m.Task.Request))
			r.Check(a.Result.Reason, qt.Equals, wire.ReasonInvalid)
		}
		r.Check(r.stub.Record().Starts(), qt.HasLen, 0)
		r.expect(<-e.run("good", time.Second), wire.OutcomeDone, "")
	})
}

// Guards against a heartbeat that reports a slot as free although it is reserved
// for another entry: a task sent for it would wait until the reservation expires.
func TestHeartbeatCountsReservedSlots(t *testing.T) {
	withRig(t, setup{slots: 1, entries: 2}, func(r *rig) {
		owner := func(e *entryStub) ledger.Owner { return ledger.OwnerOf(e.session) }
		one, other := r.entries[0], r.entries[1]
		one.open()
		other.open()
		now := time.Now()
		r.agent.mu.Lock()
		r.agent.reservations = append(r.agent.reservations, reservation{owner(one), now.Add(reservationTTL)})
		r.agent.mu.Unlock()
		r.Check(r.agent.newHeartbeat(now, owner(one)).Load.Running, qt.Equals, 0)
		r.Check(r.agent.newHeartbeat(now, owner(other)).Load.Running, qt.Equals, 1)
	})
}
