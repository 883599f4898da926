package agent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

// Guards against extending a session of leased tasks by messages, which may have
// been delayed, or by heartbeat replies that do not renew the session.
func TestOnlyRenewalsKeepRunsAlive(t *testing.T) {
	for name, delayed := range map[string]func(e *entryStub){
		"message": func(e *entryStub) { e.announce(wire.Backlog{}) },
		"next session": func(e *entryStub) {
			e.open()
			e.update(func(e *entryStub) { e.renews = 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
				running := e.runLeased("j", 8, 10*time.Second)
				time.Sleep(2 * time.Second)
				begin := time.Now()
				e.update(func(e *entryStub) { e.renews = 0 }) // the entry stops renewing the session
				time.Sleep(450 * time.Millisecond)
				delayed(e)
				r.expect(<-running, wire.OutcomeInterrupted, wire.ReasonLeaseExpired)
				r.Check(time.Since(begin) <= 625*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(begin)))
				r.expect(<-e.runLeased("j", 8, time.Second), wire.OutcomeNotRun, wire.ReasonSessionFenced)
			})
		})
	}
}

// Guards against stopping runs although their entry opened its next session in
// time, and against results that are lost to that session.
func TestNextSessionKeepsRuns(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		e.runLeased("j", 8, 2*time.Second)
		key := wire.TaskKey{Session: e.session.Number, Sequence: e.sequence}
		time.Sleep(time.Second)
		e.update(func(e *entryStub) { e.renews = 0 })
		time.Sleep(300 * time.Millisecond)
		started := e.open().Started
		r.Assert(started, qt.HasLen, 1)
		r.Check(started[0].Key, qt.Equals, key)
		var a answer
		a.err = e.conn.Call(e.ctx, "Agent.Await", &wire.AwaitRequest{Session: e.session, Key: key}, &a.RunReply)
		r.expect(a, wire.OutcomeDone, "")
	})
}

// Guards against entries that keep an outdated reference of an agent after its
// worker was adopted or has changed.
func TestEntriesLearnOfTheWorker(t *testing.T) {
	withLeasedRig(t, leasedSetup{entries: 2, unannounced: true}, func(r *leasedRig, _ *entryStub) {
		// described returns the last full reference that the entry received.
		described := func(e *entryStub) (last wire.AgentRef) {
			e.mu.Lock()
			defer e.mu.Unlock()
			for _, h := range e.heartbeats {
				if !h.Agent.IsIdentityOnly() {
					last = h.Agent
				}
			}
			return last
		}
		r.Check(described(r.entries[0]).Capacity, qt.Equals, wire.Resources{})
		r.Check(r.entries[0].lastHeartbeat().Leaving, qt.IsTrue)
		n := r.machine.Announcement()
		n.Capacity = cores(4).Plus(wire.Resources{MilliCPU: 900})
		r.agent.WorkerAnnounced(n)
		time.Sleep(200 * time.Millisecond)
		for _, e := range r.entries {
			ref := described(e)
			ref.ID, ref.Incarnation, ref.Address, ref.Admin = "", 0, "", ""
			r.Check(ref, qt.Equals, wire.AgentRef{
				DataCentre: dataCentre, Rack: "r7", Worker: "m1", Upstream: "10.0.2.1:8200", Pool: "p1",
				Slots: 4, QueueLimit: 2, Capacity: n.Capacity,
			})
			r.Check(e.lastHeartbeat().Leaving, qt.IsFalse)
			r.Check(e.lastHeartbeat().Load.Free, qt.Equals, n.Capacity)
		}
		r.agent.WorkerAnnounced(r.machine.Announcement())
		time.Sleep(200 * time.Millisecond)
		for _, e := range r.entries {
			r.Check(described(e).Slots, qt.Equals, 8)
			r.Check(e.lastHeartbeat().Load.Free, qt.Equals, cores(8))
		}
		time.Sleep(time.Second) // until the next heartbeat of an idle agent
		for _, e := range r.entries {
			r.Check(e.lastHeartbeat().Agent.IsIdentityOnly(), qt.IsTrue)
		}
	})
}

// Guards against starts at a worker that has deregistered, and against giving up
// its runs without proof that they have ended, or not at all.
func TestWorkerLeft(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		done, lost := e.runLeased("done", 4, time.Second), e.runLeased("lost", 4, 10*time.Second)
		r.agent.WorkerLeft("another")
		r.Check(r.agent.State().Leaving, qt.HasLen, 0)
		r.agent.WorkerLeft("m1")
		r.expect(<-e.runLeased("late", 1, time.Second), wire.OutcomeNotRun, wire.ReasonAgentLeaving)
		r.expect(<-done, wire.OutcomeDone, "")
		state := r.agent.State().Leased
		r.Check(state.Deregistered, qt.IsTrue)
		r.Assert(state.Runs, qt.HasLen, 1)
		r.Check(state.Runs[0], qt.Equals, RunState{Task: "lost/0/0", Number: 1, State: string(lease.Running), Began: true, Percent: 10, ElapsedMS: 1000})
		r.machine.Crash()
		r.expect(<-lost, wire.OutcomeInterrupted, wire.ReasonWorkerLost)
		// The worker may start again under its identifier.
		state = r.agent.State().Leased
		r.Check(state.Runs, qt.HasLen, 0)
		r.Check(state.Adopted, qt.IsFalse)
		r.Check(state.Born, qt.Equals, int64(0))
	})
}

// Guards against offering slots for which no resources are free, and against
// giving the offered resources to another entry.
func TestOffersReserveResources(t *testing.T) {
	withLeasedRig(t, leasedSetup{entries: 2}, func(r *leasedRig, user *entryStub) {
		waiting := r.entries[1]
		waiting.update(func(e *entryStub) { e.useOffers = true })
		long := user.runLeased("long", 5, 2*time.Second)
		short := user.runLeased("short", 2, 100*time.Millisecond)
		waiting.announce(wire.Backlog{Tasks: 10})
		r.expect(<-short, wire.OutcomeDone, "")
		begin := time.Now()
		r.Check(r.free(), qt.Equals, cores(3))
		next := user.runLeased("next", 2, 100*time.Millisecond) // only 1 core is neither used nor reserved
		waiting.update(func(e *entryStub) { r.Check(e.offers, qt.Equals, 1) })
		r.expect(<-next, wire.OutcomeDone, "")
		r.Check(time.Since(begin), qt.Equals, reservationTTL+100*time.Millisecond)
		r.expect(<-long, wire.OutcomeDone, "")
	})
}

// Guards against an agent that, after a pause, extends the lease of a run before
// it checks whether the run's session expired during the pause.
func TestPausedAgentLooksForLapsedSessionsFirst(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		a := r.agent
		running := e.runLeased("j", 8, 10*time.Second)
		time.Sleep(time.Second)
		a.mu.Lock()
		life := a.leased.life
		// As after a pause: the session has expired, but its runs were not stopped.
		a.ledger.ExpireSessions(time.Now().Add(time.Second), a.timing.Lapse.AsDuration())
		before, _ := life.runs.LeaseEnd(time.Now())
		a.mu.Unlock()
		a.leased.renew(life, true)
		a.mu.Lock()
		after, _ := life.runs.LeaseEnd(time.Now())
		a.mu.Unlock()
		r.Check(after, qt.Equals, before)
		r.expect(<-running, wire.OutcomeInterrupted, wire.ReasonLeaseExpired)
	})
}

// Guards against an agent that runs tasks in a session that expired while its machine
// was suspended, because its steady clock stood still meanwhile.
func TestSuspendedAgentEndsItsSessions(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		running := e.runLeased("j", 4, 10*time.Second)
		time.Sleep(time.Second)
		e.update(func(e *entryStub) { e.renews = 0 })
		r.suspend(2 * time.Second)
		r.expect(<-e.runLeased("late", 4, time.Second), wire.OutcomeNotRun, wire.ReasonSessionFenced)
		r.expect(<-running, wire.OutcomeInterrupted, wire.ReasonLeaseExpired)
	})
}

// Guards against a start order after a pause of the agent during which the
// task's session expired unnoticed.
func TestNoStartAfterAnUnnoticedLapse(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		a, m := r.agent, e.leasedRequest("j", cores(8), leasestub.Spec{})
		ctx, cancel := context.WithCancelCause(r.ctx)
		defer cancel(nil)
		id := taskID{ledger.OwnerOf(m.Session), wire.TaskKey{Session: m.Session.Number, Sequence: m.Sequence}}
		a.mu.Lock()
		a.tasks[id] = &task{taskID: id, session: m.Session, task: m.Task, startedAt: time.Now(), cancel: cancel}
		r.Check(a.ledger.Enqueue(m.Session, m.Sequence, m.Task), qt.IsNil)
		r.Check(a.ledger.Start(m.Session, m.Sequence), qt.IsNil)
		a.ledger.ExpireSessions(time.Now().Add(time.Second), a.timing.Lapse.AsDuration())
		a.mu.Unlock()
		_, refusal := a.leased.orderStart(ctx, m.Task)
		a.mu.Lock()
		delete(a.tasks, id)
		a.mu.Unlock()
		r.Assert(refusal, qt.IsNotNil)
		r.Check(refusal.Outcome, qt.Equals, wire.OutcomeNotRun)
		r.Check(refusal.Reason, qt.Equals, wire.ReasonLeaseExpired)
		r.Check(r.started("j"), qt.Equals, 0)
	})
}

// Guards against heartbeats at the short interval to an entry without tasks, and
// against a task that waits for the long interval, that starts in a session which
// was not renewed since, or that is refused because the session was idle.
func TestTaskInAnIdleSession(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		time.Sleep(5 * time.Second)
		count := func() (n int) {
			e.update(func(e *entryStub) { n = len(e.heartbeats) })
			return n
		}
		before := count()
		time.Sleep(10 * time.Second)
		idle := count() - before
		r.Check(idle >= 9 && idle <= 14, qt.IsTrue, qt.Commentf("%d heartbeats in 10 s", idle))

		began := time.Now()
		r.expect(<-e.runLeased("renewed", 1, 100*time.Millisecond), wire.OutcomeDone, "")
		r.Check(time.Since(began) < 140*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))

		time.Sleep(5 * time.Second)
		e.update(func(e *entryStub) { e.renews = 0 }) // the entry has given the session up
		time.Sleep(time.Second)
		began = time.Now()
		r.expect(<-e.runLeased("not renewed", 1, 100*time.Millisecond), wire.OutcomeNotRun, wire.ReasonSessionFenced)
		r.Check(time.Since(began) <= 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		r.Check(r.started("not renewed"), qt.Equals, 0)
	})
}

// Guards against a run that is stopped because its session, last renewed shortly
// before the lapse, lapses before the reply to the heartbeat that the task causes.
func TestTaskJustBeforeTheLapseOfAnIdleSession(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		r.net.Delay(agentHost, e.host, time.Millisecond)
		for age := 480 * time.Millisecond; age <= 505*time.Millisecond; age += time.Millisecond {
			time.Sleep(3 * time.Second)
			var before, now int
			count := func(n *int) { e.update(func(e *entryStub) { *n = len(e.heartbeats) }) }
			count(&before)
			for count(&now); now == before; count(&now) {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(age)
			r.expect(<-e.runLeased(age.String(), 1, 200*time.Millisecond), wire.OutcomeDone, "")
		}
	})
}

// Guards against an entry that restarts and is not heard by idle agents until
// their next heartbeat at the long interval.
func TestIdleAgentFindsARestartedEntryAtOnce(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		time.Sleep(5 * time.Second)
		count := func() (n int) {
			e.update(func(e *entryStub) { n = len(e.heartbeats) })
			return n
		}
		for before := count(); count() == before; { // just after a heartbeat
			time.Sleep(time.Millisecond)
		}
		before := count()
		r.net.Reset(e.host) // as when the process ends
		e.listen()
		time.Sleep(200 * time.Millisecond)
		r.Check(count() > before, qt.IsTrue)
	})
}
