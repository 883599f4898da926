package agent

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// Guards against a life of the worker that is ended, or a run that is given up or
// stopped, by an announcement or a refused connection that proves nothing.
func TestNoProofThatTheLifeEnded(t *testing.T) {
	for _, tc := range []struct {
		name   string
		happen func(r *leasedRig)
	}{
		{"announcement of an earlier identifier", func(r *leasedRig) {
			n := r.machine.Announcement()
			n.Life = lease.Life{ID: "m0", Born: 1}
			r.agent.WorkerAnnounced(n)
		}},
		{"announcement of a later birth", func(r *leasedRig) {
			n := r.machine.Announcement()
			n.Life.Born++
			r.agent.WorkerAnnounced(n)
		}},
		{"announcement of another birth and address", func(r *leasedRig) {
			n := r.machine.Announcement()
			n.Life.Born++
			n.Address = "10.0.2.1:8201"
			r.agent.WorkerAnnounced(n)
		}},
		{"announcement without a birth", func(r *leasedRig) {
			n := r.machine.Announcement()
			n.Life.Born, n.Draining = 0, true
			r.agent.WorkerAnnounced(n)
		}},
		{"connections refused", func(r *leasedRig) {
			r.machine.SetFaults(leasestub.Faults{Refuse: true})
			time.Sleep(150 * time.Millisecond)
			r.machine.SetFaults(leasestub.Faults{})
		}},
		{"connections reset and refused", func(r *leasedRig) {
			r.machine.SetFaults(leasestub.Faults{Refuse: true, Reset: true})
			time.Sleep(300 * time.Millisecond) // less than what is left of the lease
			r.machine.SetFaults(leasestub.Faults{})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
				time.Sleep(5 * time.Second)
				done := e.runLeased("j", 4, time.Second)
				time.Sleep(100 * time.Millisecond)
				tc.happen(r)
				r.expect(<-done, wire.OutcomeDone, "")
				r.Check(r.agent.State().Leaving, qt.HasLen, 0)
				r.expect(<-e.runLeased("k", 4, 10*time.Millisecond), wire.OutcomeDone, "")
				r.Check(r.started("j"), qt.Equals, 1)
			})
		})
	}
}

// Guards against runs that are given up before the lease has certainly expired or the
// next life has answered, because a connection broke and the next one was refused; and
// against runs that wait longer, or whose entry learns of the probable crash so late.
func TestBrokenAndRefusedConnectionsProveNothing(t *testing.T) {
	const (
		lease = 450 * time.Millisecond
		look  = downRetryDelay + time.Millisecond
	)
	for _, tc := range []struct {
		name        string
		boots       time.Duration
		least, most time.Duration // from the crash to the end of the run at the agent
	}{
		{"stays down", time.Hour, lease - 160*time.Millisecond, (lease+50*time.Millisecond)*102/100 + look},
		{"starts again", 100 * time.Millisecond, 100 * time.Millisecond, 100*time.Millisecond + look},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
				time.Sleep(5 * time.Second)
				lost := e.runLeased("j", 4, 10*time.Second)
				time.Sleep(10 * time.Millisecond)
				r.machine.Crash()
				crashed := time.Now()
				boot := time.AfterFunc(tc.boots, r.machine.Boot)
				defer boot.Stop()
				time.Sleep(r.agent.timing.Heartbeat.AsDuration() / maxHeartbeatsPerInterval)
				r.Check(e.lastHeartbeat().Suspects, qt.HasLen, 1)
				r.expect(<-lost, wire.OutcomeInterrupted, wire.ReasonWorkerLost)
				r.Check(time.Since(crashed) >= tc.least, qt.IsTrue, qt.Commentf("%v", time.Since(crashed)))
				r.Check(time.Since(crashed) <= tc.most, qt.IsTrue, qt.Commentf("%v", time.Since(crashed)))
			})
		})
	}
}

// Guards against a crash that stays reported although the worker's process has answered
// since, also after its lease has ended; and against one that is taken back because the next
// process has answered.
func TestCrashIsTakenBackIfTheWorkerAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		refused time.Duration // 0: the worker crashes and starts again
		want    wire.CrashRole
	}{
		"connections refused for a while":          {30 * time.Millisecond, wire.CrashNone},
		"connections refused until the lease ends": {800 * time.Millisecond, wire.CrashNone},
		"crash": {0, wire.CrashSuspect},
	} {
		t.Run(name, func(t *testing.T) {
			withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
				time.Sleep(5 * time.Second)
				e.runLeased("j", 4, 10*time.Second)
				time.Sleep(10 * time.Millisecond)
				if tc.refused > 0 {
					r.machine.SetFaults(leasestub.Faults{Reset: true, Refuse: true})
					time.Sleep(tc.refused)
					r.machine.SetFaults(leasestub.Faults{})
				} else {
					r.machine.Crash()
					time.Sleep(100 * time.Millisecond)
					r.machine.Boot()
					r.agent.WorkerAnnounced(r.machine.Announcement())
				}
				time.Sleep(time.Second)
				suspects := e.lastHeartbeat().Suspects
				r.Assert(suspects, qt.HasLen, 1)
				r.Check(suspects[0].Role, qt.Equals, tc.want)
			})
		})
	}
}

// Guards against runs that wait for the end of the lease although the next life of
// the worker, which has another identifier, has answered.
func TestAnswerOfTheNextLifeEndsTheFormerOne(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		lost := e.runLeased("j", 4, 10*time.Second)
		time.Sleep(160 * time.Millisecond) // the lease has just been renewed
		r.machine.Crash()
		r.machine.BootAs(leasestub.NextLife{NewID: true})
		crashed := time.Now()
		r.agent.WorkerAnnounced(r.machine.Announcement())
		r.expect(<-lost, wire.OutcomeInterrupted, wire.ReasonWorkerLost)
		r.Check(time.Since(crashed) < 50*time.Millisecond, qt.IsTrue)
		time.Sleep(50 * time.Millisecond)
		r.expect(<-e.runLeased("k", 4, 10*time.Millisecond), wire.OutcomeDone, "")
	})
}

// Guards against a worker that starts again under another identifier at another address
// and stays unused, or whose former runs are over before the lease.
func TestNextLifeAtAnotherAddress(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		lost := e.runLeased("j", 4, 10*time.Second)
		time.Sleep(160 * time.Millisecond)
		r.machine.Crash()
		r.machine.BootAs(leasestub.NextLife{NewID: true})
		for range 4 {
			n := r.machine.Announcement()
			n.Address = "10.0.2.1:8201"
			r.agent.WorkerAnnounced(n)
			time.Sleep(250 * time.Millisecond)
		}
		r.expect(<-lost, wire.OutcomeInterrupted, wire.ReasonWorkerLost)
		r.expect(<-e.runLeased("k", 4, 10*time.Millisecond), wire.OutcomeDone, "")
	})
}

// Guards against an agent that asks lives of its worker in turns, without a pause,
// while the life that answers them as another one has not announced itself.
func TestLivesThatHaveEndedAreNotAskedAgain(t *testing.T) {
	withLeasedRig(t, leasedSetup{machine: leasestub.Options{Delay: time.Millisecond}}, func(r *leasedRig, e *entryStub) {
		for range 2 {
			r.machine.Crash()
			r.machine.BootAs(leasestub.NextLife{NewID: true})
			r.agent.WorkerAnnounced(r.machine.Announcement())
			time.Sleep(time.Second)
		}
		r.machine.Crash()
		r.machine.BootAs(leasestub.NextLife{NewID: true})
		before := r.machine.Orders("renew")
		time.Sleep(time.Second)
		r.Check(r.machine.Orders("renew")-before < 10, qt.IsTrue, qt.Commentf("%d renewals", r.machine.Orders("renew")-before))
		r.agent.WorkerAnnounced(r.machine.Announcement())
		time.Sleep(500 * time.Millisecond)
		r.expect(<-e.runLeased("k", 4, 10*time.Millisecond), wire.OutcomeDone, "")
	})
}

// Guards against the crash of a life that is taken for a planned end because the next
// life, which has the same identifier at another address, drains already.
func TestNextLifeThatDrainsHidesNoCrash(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		lost := e.runLeased("j", 4, 10*time.Second)
		time.Sleep(160 * time.Millisecond)
		r.machine.SetFaults(leasestub.Faults{Refuse: true})
		r.machine.Crash()
		time.Sleep(20 * time.Millisecond) // the renewal in progress has broken
		r.machine.Boot()
		r.machine.Drain()
		n := r.machine.Announcement()
		n.Address = "10.0.2.1:8201"
		r.agent.WorkerAnnounced(n)
		r.machine.SetFaults(leasestub.Faults{})
		a := <-lost
		r.expect(a, wire.OutcomeInterrupted, wire.ReasonWorkerLost)
		r.Check(a.Result.Crash, qt.Equals, wire.CrashBystander)
	})
}

// Guards against a worker that is not used, is given tasks beyond its room, or keeps a
// pool that it has not, because another writer announced itself under its identifier
// or its address, or with a sequence at the limit of its type.
func TestAnnouncementsOfAnotherWriter(t *testing.T) {
	for _, tc := range []struct {
		name    string
		foreign func(n *lease.Announcement)
	}{
		{"highest sequence", func(n *lease.Announcement) { n.Sequence = 1<<64 - 1 }},
		{"sequence at the limit of signed numbers", func(n *lease.Announcement) { n.Sequence = 1<<63 - 1 }},
		{"another identifier", func(n *lease.Announcement) { n.Life.ID = "m9" }},
		{"another identifier and address", func(n *lease.Announcement) { n.Life.ID, n.Address = "m9", "10.0.2.9:1" }},
		{"latest birth", func(n *lease.Announcement) { n.Life.Born = 1 << 42 }},
		{"address of nobody", func(n *lease.Announcement) { n.Address = "10.0.2.9:1" }},
	} {
		for _, first := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, first %v", tc.name, first), func(t *testing.T) {
				withLeasedRig(t, leasedSetup{unannounced: first}, func(r *leasedRig, e *entryStub) {
					n := r.machine.Announcement()
					n.Capacity, n.Pool, n.Rack, n.Draining = cores(1), "foreign", "r0", true
					tc.foreign(&n)
					r.agent.WorkerAnnounced(n)
					time.Sleep(500 * time.Millisecond)
					r.agent.WorkerAnnounced(r.machine.Announcement())
					time.Sleep(2 * time.Second)
					r.Check(e.lastHeartbeat().Load.Free, qt.Equals, cores(8))
					r.expect(<-e.runLeased("j", 8, 10*time.Millisecond), wire.OutcomeDone, "")
					r.Check(r.agent.State().Leaving, qt.HasLen, 0)
				})
			})
		}
	}
}

// Guards against a log line for each of many announcements that are rejected, and
// against rejections that no metric shows.
func TestRejectedAnnouncementsAreCounted(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, _ *entryStub) {
		var log bytes.Buffer
		r.agent.rejected = r.agent.rejected.Output(&log)
		for range 1000 {
			r.agent.AnnouncementRejected("m9", errors.New("reason"))
		}
		r.Check(r.counter("announcements_rejected"), qt.Equals, int64(1000))
		r.Check(strings.Count(log.String(), "announcement_rejected"), qt.Equals, maxRejectionLines)
	})
}

// Guards against a worker that was down for long and is asked for its runs up to a
// second after the announcement of its next life, which may carry out late orders
// until then.
func TestAnnouncementEndsTheWaitForTheNextLife(t *testing.T) {
	for i := range 10 {
		withLeasedRig(t, leasedSetup{}, func(r *leasedRig, _ *entryStub) {
			r.machine.Crash()
			time.Sleep(30*time.Second + time.Duration(i)*97*time.Millisecond)
			synctest.Wait() // a look at this moment finds the worker down
			r.machine.Boot()
			before := r.machine.Orders("renew")
			r.agent.WorkerAnnounced(r.machine.Announcement())
			time.Sleep(time.Millisecond)
			synctest.Wait()
			r.Check(r.machine.Orders("renew") > before, qt.IsTrue, qt.Commentf("%d", i))
		})
	}
}

// Guards against a start order that arrives after its worker has crashed, which counts
// as a crash under its task and waits for the next life, although its connection is
// refused.
func TestStartThatArrivesAfterACrashIsNoCrash(t *testing.T) {
	withLeasedRig(t, leasedSetup{machine: leasestub.Options{Delay: 5 * time.Millisecond}}, func(r *leasedRig, e *entryStub) {
		running := e.runLeased("j", 4, 10*time.Second)
		time.Sleep(400 * time.Millisecond)
		r.machine.Crash()
		time.Sleep(2 * time.Millisecond) // the next renewal is under way
		sent := time.Now()
		late := <-e.runLeased("k", 4, 10*time.Millisecond)
		r.expect(late, wire.OutcomeNotRun, wire.ReasonWorkerRefused)
		r.Check(late.Result.Crash, qt.Equals, wire.CrashNone)
		r.Check(time.Since(sent) < 20*time.Millisecond, qt.IsTrue)
		r.expect(<-running, wire.OutcomeInterrupted, wire.ReasonWorkerLost)
	})
}

// Guards against a start order that reaches the worker's next life while the agent
// still takes it for the former one: that life knows no lease end of the agent, so the
// run would go on for the longest lease.
func TestStartReachesNoUnknownLife(t *testing.T) {
	withLeasedRig(t, leasedSetup{}, func(r *leasedRig, e *entryStub) {
		time.Sleep(2 * time.Second)
		r.machine.SetFaults(leasestub.Faults{Renew: leasestub.Fault{Lost: true}})
		r.machine.Restart()
		time.Sleep(20 * time.Millisecond)
		r.expect(<-e.runLeased("j", 4, time.Second), wire.OutcomeNotRun, wire.ReasonWorkerRefused)
		r.machine.SetFaults(leasestub.Faults{})
		time.Sleep(time.Second)
		r.Check(r.started("j"), qt.Equals, 0)
	})
}
