package lease

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	ms      = time.Millisecond
	boot    = 10 * time.Second // the worker's clock when it is adopted
	margin  = 50 * ms
	leaseOf = 500 * ms
	valid   = 300 * ms
)

var (
	began = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	task1 = Task{Job: "j"}
	run1  = Run{task1, 1}
)

// table is a Runs with the time and what left it so far.
type table struct {
	*RunTable
	now  time.Time
	left []RemovedRun
	stop []Run
	o    StartOrder // of run1
}

// adopted returns the table of an adopted worker.
func adopted() *table {
	t := &table{RunTable: NewRunTable(Options{Token: 7, Lease: leaseOf, Validity: valid, StopTime: margin}), now: began}
	t.list(t.Renew(t.now, 0), RenewReply{Clock: boot})
	return t
}

// ordered returns a table whose first run was ordered.
func ordered() *table {
	t := adopted()
	t.o, _ = t.Start(t.now, task1, "")
	return t
}

func (t *table) list(n Renewal, l RenewReply) {
	left, stop := t.RenewalAnswered(t.now, n, l)
	t.left, t.stop = append(t.left, left...), append(t.stop, stop...)
}

// fresh requests and takes a list of the moment.
func (t *table) fresh(active []ActiveRun, ended ...RunEnd) {
	t.list(t.Renew(t.now, 0), RenewReply{Clock: boot + t.now.Sub(began), Active: active, Ended: ended})
}

func (t *table) pass(d time.Duration) { t.now = t.now.Add(d) }

func (t *table) answer(r Refusal) {
	t.left = append(t.left, t.StartAnswered(t.now, t.o, Answer{Refusal: r})...)
}

func (t *table) stopped(r Refusal) {
	t.Stop(run1)
	o, _ := t.PendingStop(run1)
	t.StopAnswered(t.now, o, Answer{Refusal: r})
}

// meanwhile requests a list, lets something happen, and then takes the list of
// the given age, in which nothing is shown.
func (t *table) meanwhile(happens func(), age time.Duration) {
	n := t.Renew(t.now, 0)
	happens()
	t.pass(age)
	t.list(n, RenewReply{Clock: boot + t.now.Sub(began)})
}

func (t *table) lapse(d time.Duration) {
	t.pass(d)
	t.left = append(t.left, t.ExpireLease(t.now)...)
}

var shown = []ActiveRun{{Run: run1}}

// Guards against a run that leaves the table without proof, so that its
// capacity is given away twice or its task runs twice, against one that stays in
// spite of a proof, and against stops that are needless or missing.
func TestRunsLeaveOnlyOnProof(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(t *table)
		want Outcome // empty: it stays; "stop": it stays and is to be stopped
	}{
		{"done", func(t *table) { t.answer(""); t.fresh(nil, RunEnd{1, run1, Done}) }, OutcomeDone},
		{"done before the answer to the start", func(t *table) { t.fresh(nil, RunEnd{1, run1, Done}) }, OutcomeDone},
		{"failed", func(t *table) { t.answer(""); t.fresh(nil, RunEnd{1, run1, Failed}) }, OutcomeFailed},
		{"stopped", func(t *table) { t.answer(""); t.fresh(nil, RunEnd{1, run1, Stopped}) }, OutcomeStopped},
		{"lapsed", func(t *table) { t.answer(""); t.fresh(nil, RunEnd{1, run1, LeaseExpired}) }, OutcomeLeaseExpired},
		{"an end of another kind", func(t *table) { t.answer(""); t.fresh(nil, RunEnd{1, run1, "evicted"}) }, OutcomeLost},
		{"the end of an earlier run", func(t *table) { t.answer(""); t.fresh(nil, RunEnd{1, Run{task1, 0}, Done}) }, ""},

		{"refused", func(t *table) { t.answer(RefusedNoRoom) }, OutcomeRefused},
		{"never sent", func(t *table) { t.left = t.StartUnsent(run1) }, OutcomeNeverStarted},
		{"accepted", func(t *table) { t.answer("") }, ""},

		{"absent after its validity", func(t *table) { t.StartUnanswered(run1); t.pass(valid + 1); t.fresh(nil) }, OutcomeNeverStarted},
		{"unanswered", func(t *table) { t.StartUnanswered(run1); t.pass(valid + 1) }, ""},
		{"absent at the end of its validity", func(t *table) { t.StartUnanswered(run1); t.pass(valid); t.fresh(nil) }, "stop"},
		{"absent twice", func(t *table) { t.StartUnanswered(run1); t.fresh(nil); t.fresh(nil) }, "stop"},
		{"absent while the start is out, in time", func(t *table) { t.fresh(nil) }, ""},
		{"listed, then absent", func(t *table) { t.StartUnanswered(run1); t.fresh(shown); t.fresh(nil) }, ""},
		{"absent after its validity, then listed", func(t *table) { t.StartUnanswered(run1); t.pass(valid + 1); t.fresh(shown) }, ""},
		{"absent from a list without a clock", func(t *table) { t.StartUnanswered(run1); t.pass(valid + 1); t.list(t.Renew(t.now, 0), RenewReply{}) }, "stop"},
		{"absent while the start is out", func(t *table) { t.pass(valid + 1); t.fresh(nil) }, ""},
		{"list requested before the start was given up", func(t *table) { t.meanwhile(func() { t.StartUnanswered(run1) }, valid+1) }, ""},
		{"list requested before the start was answered", func(t *table) { t.meanwhile(func() { t.answer("") }, valid+1) }, ""},
		{"accepted, then absent after its validity", func(t *table) { t.answer(""); t.pass(valid + 1); t.fresh(nil) }, OutcomeLost},
		{"listed, then absent after its validity", func(t *table) { t.StartUnanswered(run1); t.fresh(shown); t.pass(valid + 1); t.fresh(nil) }, OutcomeLost},

		{"stop answered, then absent", func(t *table) { t.StartUnanswered(run1); t.stopped(""); t.fresh(nil) }, OutcomeNeverStarted},
		{"accepted, stop answered, then absent", func(t *table) { t.answer(""); t.stopped(""); t.fresh(nil) }, OutcomeStopped},
		{"stop refused as too old, then absent", func(t *table) { t.StartUnanswered(run1); t.stopped(RefusedRunTooOld); t.fresh(nil) }, OutcomeNeverStarted},
		{"accepted when it was to be stopped", func(t *table) { t.Stop(run1); t.answer("") }, "stop"},
		{"stop answered", func(t *table) { t.answer(""); t.stopped("") }, ""},
		{"stop answered, still listed", func(t *table) { t.answer(""); t.stopped(""); t.fresh(shown) }, ""},
		{"stop refused, then absent", func(t *table) { t.StartUnanswered(run1); t.stopped(RefusedTokenTooLow); t.fresh(nil) }, "stop"},
		{"stop refused as unhealthy, then absent", func(t *table) { t.StartUnanswered(run1); t.stopped(RefusedUnhealthy); t.fresh(nil) }, "stop"},
		{"stop not answered, then absent", func(t *table) { t.StartUnanswered(run1); t.Stop(run1); t.fresh(nil) }, "stop"},
		{"stop answered while the start is out, then absent", func(t *table) { t.stopped(""); t.fresh(nil) }, ""},
		{"list requested before the stop was answered", func(t *table) { t.StartUnanswered(run1); t.meanwhile(func() { t.stopped("") }, 0) }, ""},

		{"the life ended", func(t *table) { t.left = t.LifeEnded() }, OutcomeLost},

		// The order extends the lease to 300 ms, the renewal to 500 ms. The
		// worker has 50 ms more to stop, on a clock that is 2 % slow.
		{"the lease may last", func(t *table) { t.answer(""); t.Renew(t.now, 0); t.lapse(561 * ms) }, ""},
		{"the lease has ended", func(t *table) { t.answer(""); t.Renew(t.now, 0); t.lapse(562 * ms) }, OutcomeLeaseExpired},
		{"a later renewal counts", func(t *table) { t.Renew(t.now, 0); t.pass(250 * ms); t.Renew(t.now, 0); t.lapse(500 * ms) }, ""},
		{"the lease of the order counts", func(t *table) {
			t.pass(400 * ms)
			t.fresh(nil)
			t.Renew(t.now, 0)
			t.pass(300 * ms)
			t.o, _ = t.Start(t.now, Task{Job: "later"}, "")
			t.StartUnsent(run1)
			t.lapse(262 * ms) // past the end of the renewal
		}, ""},
		{"the worker answers", func(t *table) { t.answer(""); t.pass(2 * time.Second); t.fresh(shown); t.lapse(562 * ms) }, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, table := qt.New(t), ordered()
			tc.do(table)
			_, needed := table.PendingStop(run1)
			c.Check(needed, qt.Equals, tc.want == "stop")
			c.Check(len(table.stop) <= 1, qt.IsTrue, qt.Commentf("reported once"))
			if tc.want == "" || tc.want == "stop" {
				c.Check(table.left, qt.HasLen, 0)
				c.Check(table.Runs(), qt.HasLen, 1)
				return
			}
			c.Assert(table.left, qt.HasLen, 1)
			table.left[0].Refusal = ""
			c.Check(table.left[0], qt.Equals, RemovedRun{Run: run1, Outcome: tc.want})
			c.Check(table.Empty(), qt.IsTrue)
		})
	}
}

// Guards against a second run of a task beside the first.
func TestOneRunOfATask(t *testing.T) {
	c, table := qt.New(t), ordered()
	_, err := table.Start(table.now, task1, "")
	c.Check(errors.Is(err, ErrTaskRunning), qt.IsTrue)
	table.answer("")
	table.fresh(nil, RunEnd{1, run1, Done})
	o, err := table.Start(table.now, task1, "")
	c.Assert(err, qt.IsNil)
	c.Check(o.Run, qt.Equals, Run{task1, 2})
}

// Guards against capacity that is announced while runs of an earlier agent
// process are there, and against such runs that are left alone.
func TestAdoption(t *testing.T) {
	c, foreign := qt.New(t), Run{task1, 4}
	r := &table{RunTable: NewRunTable(Options{Token: 7, Lease: leaseOf, Validity: valid}), now: began}
	late := r.Renew(r.now, 0)
	for _, step := range []func(){
		func() {},
		func() { r.fresh([]ActiveRun{{Run: foreign}}) },
		func() { r.list(late, RenewReply{Clock: boot}) }, // of an earlier moment
		func() { r.list(r.Renew(r.now, 0), RenewReply{Clock: boot, Refusal: RefusedTokenTooLow}) },
		func() { r.fresh([]ActiveRun{{Run: foreign}}) },
	} {
		step()
		c.Check(r.Adopted(), qt.IsFalse)
	}
	c.Check(r.stop, qt.DeepEquals, []Run{foreign})
	_, needed := r.PendingStop(foreign)
	c.Check(needed, qt.IsTrue)
	r.fresh(nil, RunEnd{9, foreign, Stopped})
	c.Check(r.Adopted(), qt.IsTrue)
	_, needed = r.PendingStop(foreign)
	c.Check(needed, qt.IsFalse)
	c.Check(r.Renew(r.now, 0).Acked, qt.Equals, uint64(9))
}

// Guards against a number below that of a run that another agent process
// ordered, which the worker would refuse.
func TestNumbersFollowForeignRuns(t *testing.T) {
	for _, list := range []RenewReply{{Active: []ActiveRun{{Run: Run{task1, 4}}}}, {Ended: []RunEnd{{1, Run{task1, 4}, Done}}}} {
		table := adopted()
		table.fresh(list.Active, list.Ended...)
		o, err := table.Start(table.now, task1, "")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, o.Run.Number, qt.Equals, uint64(5))
	}
}

// Guards against a worker that stays adopted after its runs were given up, and
// against two goroutines that stop one run.
func TestLapseEndsTheAdoption(t *testing.T) {
	c, table := qt.New(t), ordered()
	c.Check(table.Stop(run1), qt.IsTrue)
	c.Check(table.Stop(run1), qt.IsFalse)
	table.Renew(table.now, 0)
	table.lapse(time.Second)
	c.Check(table.Stop(run1), qt.IsFalse)
	c.Check(table.Adopted(), qt.IsFalse)
	table.fresh(nil)
	c.Check(table.Adopted(), qt.IsTrue)
	table.LifeEnded()
	c.Check(table.Adopted(), qt.IsFalse)
}
