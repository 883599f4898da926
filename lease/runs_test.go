package lease

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	ms         = time.Millisecond
	startClock = 10 * time.Second // the worker's clock when it is adopted
	stopTime   = 50 * ms
	leaseTime  = 500 * ms
	validity   = 300 * ms
)

var (
	startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	task1     = Task{Job: "j"}
	run1      = Run{task1, 1}
)

// rig is a RunTable with a clock, the runs that were removed so far, and those to
// be stopped.
type rig struct {
	*RunTable
	now     time.Time
	removed []RemovedRun
	toStop  []Run
	start   StartOrder // of run1
}

// adopted returns the empty table of a worker that was adopted 2 s ago, so that no
// lease of an earlier process lasts.
func adopted() *rig {
	t := &rig{RunTable: NewRunTable(Options{ID: "w", Token: 7, Lease: leaseTime, Validity: validity, StopTime: stopTime}), now: startTime.Add(-2 * time.Second)}
	t.poll(nil)
	t.pass(2 * time.Second)
	t.poll(nil)
	return t
}

// ordered returns the table of an adopted worker after the start of run1 was
// ordered.
func ordered() *rig {
	t := adopted()
	t.start, _ = t.Start(t.now, task1, "")
	return t
}

// apply applies the reply to a renewal, and records the runs that it removes and
// those to be stopped.
func (t *rig) apply(n Renewal, l RenewReply) {
	removed, stop := t.RenewalAnswered(t.now, n, l)
	t.removed, t.toStop = append(t.removed, removed...), append(t.toStop, stop...)
}

// poll sends a renewal and applies its reply at once.
func (t *rig) poll(active []ActiveRun, ended ...RunEnd) {
	t.apply(t.Renew(t.now, 0), RenewReply{Born: 1, Clock: t.clockNow(), Active: active, Ended: ended})
}

// clockNow returns the worker's clock.
func (t *rig) clockNow() WorkerTime { return startClock + t.now.Sub(startTime) }

func (t *rig) pass(d time.Duration) { t.now = t.now.Add(d) }

func (t *rig) answerStart(r Refusal) {
	t.removed = append(t.removed, t.StartAnswered(t.now, t.start, Answer{Refusal: r, Clock: t.clockNow()})...)
}

func (t *rig) answerStop(r Refusal) {
	t.Stop(run1)
	o, _ := t.PendingStop(run1)
	t.StopAnswered(t.now, o, Answer{Refusal: r})
}

// meanwhile sends a renewal, calls happens, and applies the reply, which lists
// nothing, after the given time.
func (t *rig) meanwhile(happens func(), age time.Duration) {
	n := t.Renew(t.now, 0)
	happens()
	t.pass(age)
	t.apply(n, RenewReply{Born: 1, Clock: t.clockNow()})
}

func (t *rig) expire(d time.Duration) {
	t.pass(d)
	t.removed = append(t.removed, t.ExpireLease(t.now)...)
}

var shown = []ActiveRun{{Run: run1}}

// Guards against a run that is removed from the table without proof that it does
// not run, so that its capacity is allocated twice or its task runs twice;
// against one that is not removed in spite of the proof; and against stops that
// are not needed or are missing.
func TestRunsLeaveOnlyOnProof(t *testing.T) {
	for _, tc := range []struct {
		name  string
		do    func(t *rig)
		want  Outcome // empty: it stays; "stop": it stays and is to be stopped
		proof Proof
	}{
		{"done", func(t *rig) { t.answerStart(""); t.poll(nil, RunEnd{1, run1, Done}) }, OutcomeDone, ProofListed},
		{"done before the answer to the start", func(t *rig) { t.poll(nil, RunEnd{1, run1, Done}) }, OutcomeDone, ProofListed},
		{"failed", func(t *rig) { t.answerStart(""); t.poll(nil, RunEnd{1, run1, Failed}) }, OutcomeFailed, ProofListed},
		{"stopped", func(t *rig) { t.answerStart(""); t.poll(nil, RunEnd{1, run1, Stopped}) }, OutcomeStopped, ProofListed},
		{"lapsed", func(t *rig) { t.answerStart(""); t.poll(nil, RunEnd{1, run1, LeaseExpired}) }, OutcomeLeaseExpired, ProofListed},
		{"an end of another kind", func(t *rig) { t.answerStart(""); t.poll(nil, RunEnd{1, run1, "evicted"}) }, OutcomeLost, ProofListed},
		{"the end of an earlier run", func(t *rig) { t.answerStart(""); t.poll(nil, RunEnd{1, Run{task1, 0}, Done}) }, "", ""},

		{"refused", func(t *rig) { t.answerStart(RefusedNoRoom) }, OutcomeRefused, ProofRefused},
		{"never sent", func(t *rig) { t.removed = t.StartUnsent(run1) }, OutcomeNeverStarted, ProofUnsent},
		{"accepted", func(t *rig) { t.answerStart("") }, "", ""},

		{"absent after its validity", func(t *rig) { t.StartUnanswered(run1); t.pass(validity + 1); t.poll(nil) }, OutcomeNeverStarted, ProofAbsentAfterValid},
		{"unanswered", func(t *rig) { t.StartUnanswered(run1); t.pass(validity + 1) }, "", ""},
		{"absent at the end of its validity", func(t *rig) { t.StartUnanswered(run1); t.pass(validity); t.poll(nil) }, "stop", ""},
		{"absent twice", func(t *rig) { t.StartUnanswered(run1); t.poll(nil); t.poll(nil) }, "stop", ""},
		{"absent while the start is out, in time", func(t *rig) { t.poll(nil) }, "", ""},
		{"listed, then absent", func(t *rig) { t.StartUnanswered(run1); t.poll(shown); t.poll(nil) }, "", ""},
		{"absent after its validity, then listed", func(t *rig) { t.StartUnanswered(run1); t.pass(validity + 1); t.poll(shown) }, "", ""},
		{"absent from a list without a clock", func(t *rig) { t.StartUnanswered(run1); t.pass(validity + 1); t.apply(t.Renew(t.now, 0), RenewReply{}) }, "stop", ""},
		{"absent while the start is out", func(t *rig) { t.pass(validity + 1); t.poll(nil) }, "", ""},
		{"list requested before the start was given up", func(t *rig) { t.meanwhile(func() { t.StartUnanswered(run1) }, validity+1) }, "", ""},
		{"list requested before the start was answered", func(t *rig) { t.meanwhile(func() { t.answerStart("") }, validity+1) }, "", ""},
		{"accepted, then absent after its validity", func(t *rig) { t.answerStart(""); t.pass(validity + 1); t.poll(nil) }, OutcomeLost, ProofAbsentAfterValid},
		{"listed, then absent after its validity", func(t *rig) { t.StartUnanswered(run1); t.poll(shown); t.pass(validity + 1); t.poll(nil) }, OutcomeLost, ProofAbsentAfterValid},

		{"stop answered, then absent", func(t *rig) { t.StartUnanswered(run1); t.answerStop(""); t.poll(nil) }, OutcomeNeverStarted, ProofAbsentAfterStop},
		{"accepted, stop answered, then absent", func(t *rig) { t.answerStart(""); t.answerStop(""); t.poll(nil) }, OutcomeStopped, ProofAbsentAfterStop},
		{"stop refused as too old, then absent", func(t *rig) { t.StartUnanswered(run1); t.answerStop(RefusedRunTooOld); t.poll(nil) }, OutcomeNeverStarted, ProofAbsentAfterStop},
		{"accepted when it was to be stopped", func(t *rig) { t.Stop(run1); t.answerStart("") }, "stop", ""},
		{"stop answered", func(t *rig) { t.answerStart(""); t.answerStop("") }, "", ""},
		{"stop answered, still listed", func(t *rig) { t.answerStart(""); t.answerStop(""); t.poll(shown) }, "", ""},
		{"stop refused, then absent", func(t *rig) { t.StartUnanswered(run1); t.answerStop(RefusedTokenTooLow); t.poll(nil) }, "stop", ""},
		{"stop refused as unhealthy, then absent", func(t *rig) { t.StartUnanswered(run1); t.answerStop(RefusedUnhealthy); t.poll(nil) }, "stop", ""},
		{"stop not answered, then absent", func(t *rig) { t.StartUnanswered(run1); t.Stop(run1); t.poll(nil) }, "stop", ""},
		{"stop answered while the start is out, then absent", func(t *rig) { t.answerStop(""); t.poll(nil) }, "", ""},
		{"list requested before the stop was answered", func(t *rig) { t.StartUnanswered(run1); t.meanwhile(func() { t.answerStop("") }, 0) }, "", ""},

		{"the life ended", func(t *rig) { t.removed = t.LifeEnded(false) }, OutcomeLost, ProofOtherIdentifier},

		// The start order extends the lease to 300 ms, the renewal to 500 ms. The
		// worker has 50 ms more to stop its runs, on a clock that is 2 % slow.
		{"the lease may last", func(t *rig) { t.answerStart(""); t.Renew(t.now, 0); t.expire(561 * ms) }, "", ""},
		{"the lease has ended", func(t *rig) { t.answerStart(""); t.Renew(t.now, 0); t.expire(562 * ms) }, OutcomeLeaseExpired, ProofLeaseExpired},
		{"a later renewal counts", func(t *rig) { t.Renew(t.now, 0); t.pass(250 * ms); t.Renew(t.now, 0); t.expire(500 * ms) }, "", ""},
		{"the lease of the order counts", func(t *rig) {
			t.pass(400 * ms)
			t.poll(nil)
			t.Renew(t.now, 0)
			t.pass(300 * ms)
			t.start, _ = t.Start(t.now, Task{Job: "later"}, "")
			t.StartUnsent(run1)
			t.expire(262 * ms) // past the end of the renewal
		}, "", ""},
		{"the worker answers", func(t *rig) { t.answerStart(""); t.pass(2 * time.Second); t.poll(shown); t.expire(562 * ms) }, "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, table := qt.New(t), ordered()
			tc.do(table)
			_, needed := table.PendingStop(run1)
			c.Check(needed, qt.Equals, tc.want == "stop")
			c.Check(len(table.toStop) <= 1, qt.IsTrue, qt.Commentf("the run has to be stopped only once"))
			if tc.want == "" || tc.want == "stop" {
				c.Check(table.removed, qt.HasLen, 0)
				c.Check(table.Runs(), qt.HasLen, 1)
				return
			}
			c.Assert(table.removed, qt.HasLen, 1)
			table.removed[0].Refusal = ""
			c.Check(table.removed[0], qt.Equals, RemovedRun{Run: run1, Outcome: tc.want, Proof: tc.proof})
			c.Check(table.Empty(), qt.IsTrue)
		})
	}
}

// Guards against a second run of a task that is ordered while the first may run.
func TestOneRunOfATask(t *testing.T) {
	c, table := qt.New(t), ordered()
	_, err := table.Start(table.now, task1, "")
	c.Check(errors.Is(err, ErrTaskRunning), qt.IsTrue)
	table.answerStart("")
	table.poll(nil, RunEnd{1, run1, Done})
	o, err := table.Start(table.now, task1, "")
	c.Assert(err, qt.IsNil)
	c.Check(o.Run, qt.Equals, Run{task1, 2})
}

// Guards against a worker that is adopted while runs of an earlier agent process
// are active, and against such runs that are not stopped.
func TestAdoption(t *testing.T) {
	c, foreign := qt.New(t), Run{task1, 4}
	r := &rig{RunTable: NewRunTable(Options{Token: 7, Lease: leaseTime, Validity: validity}), now: startTime}
	late := r.Renew(r.now, 0)
	for _, step := range []func(){
		func() {},
		func() { r.poll([]ActiveRun{{Run: foreign}}) },
		func() { r.apply(late, RenewReply{Clock: startClock}) }, // answers an earlier renewal
		func() { r.apply(r.Renew(r.now, 0), RenewReply{Clock: startClock, Refusal: RefusedTokenTooLow}) },
		func() { r.poll([]ActiveRun{{Run: foreign}}) },
	} {
		step()
		c.Check(r.Adopted(), qt.IsFalse)
	}
	c.Check(r.toStop, qt.DeepEquals, []Run{foreign})
	_, needed := r.PendingStop(foreign)
	c.Check(needed, qt.IsTrue)
	r.poll(nil, RunEnd{9, foreign, Stopped})
	c.Check(r.Adopted(), qt.IsTrue)
	_, needed = r.PendingStop(foreign)
	c.Check(needed, qt.IsFalse)
	c.Check(r.Renew(r.now, 0).Acked, qt.Equals, uint64(9))
}

// Guards against a run number that the worker would refuse because another agent
// process ordered a run of the task with a higher one.
func TestNumbersFollowForeignRuns(t *testing.T) {
	for _, list := range []RenewReply{{Active: []ActiveRun{{Run: Run{task1, 4}}}}, {Ended: []RunEnd{{1, Run{task1, 4}, Done}}}} {
		table := adopted()
		table.poll(list.Active, list.Ended...)
		o, err := table.Start(table.now, task1, "")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, o.Run.Number, qt.Equals, uint64(5))
	}
}

// Guards against a worker that stays adopted after its runs were removed because
// the lease expired, and against two goroutines that stop the same run.
func TestLapseEndsTheAdoption(t *testing.T) {
	c, table := qt.New(t), ordered()
	c.Check(table.Stop(run1), qt.IsTrue)
	c.Check(table.Stop(run1), qt.IsFalse)
	table.Renew(table.now, 0)
	table.expire(time.Second)
	c.Check(table.Stop(run1), qt.IsFalse)
	c.Check(table.Adopted(), qt.IsFalse)
	table.poll(nil)
	c.Check(table.Adopted(), qt.IsTrue)
	table.LifeEnded(false)
	c.Check(table.Adopted(), qt.IsFalse)
}

// Guards against an agent that cannot say why it does not know a run which its worker
// lists: whether it gave the run up itself, and as what.
func TestRemovedAs(t *testing.T) {
	c := qt.New(t)
	r := ordered()
	_, removed := r.RemovedAs(run1)
	c.Check(removed, qt.IsFalse)
	r.StartUnanswered(run1)
	r.pass(validity + 1)
	r.poll(nil)
	as, removed := r.RemovedAs(run1)
	c.Check(removed, qt.IsTrue)
	c.Check(as, qt.Equals, OutcomeNeverStarted)
}

// Guards against a start that extends the lease of a run whose stop is unanswered, and
// against one that is held although a renewal before the stop extended as far.
func TestUnansweredStopHoldsStarts(t *testing.T) {
	c, table := qt.New(t), ordered()
	table.answerStart("")
	table.pass(time.Second)
	table.poll([]ActiveRun{{Run: run1}}) // shows the worker's clock
	table.poll([]ActiveRun{{Run: run1}})
	end, _ := table.LeaseEnd(table.now)
	table.Stop(run1)
	table.pass(leaseTime - validity)
	o, err := table.Start(table.now, Task{Job: "k"}, "")
	c.Check(err, qt.IsNil)
	c.Check(o.ValidUntil <= end, qt.IsTrue)
	table.pass(5 * ms) // the clock may run 2 % slow
	_, err = table.Start(table.now, Task{Job: "l"}, "")
	c.Check(err, qt.Equals, ErrStopUnanswered)
	table.Permit(table.now) // permits nothing while the stop is unanswered
	c.Check(table.HoldsStarts(table.now), qt.IsTrue)
	table.answerStop("")
	_, err = table.Start(table.now, Task{Job: "l"}, "")
	c.Check(err, qt.IsNil)
}
