package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a bound of the worker's clock that is lowered by an older
// sample, or that a slow clock has not reached yet.
func TestClockBound(t *testing.T) {
	var b clockBound
	for _, step := range []struct{ after, sample, want time.Duration }{
		{0, 0, 0},
		{0, startClock, startClock},
		{time.Second, 0, startClock + 980*ms},
		{time.Second, startClock + 100*ms, startClock + 980*ms},
		{time.Second, startClock + 990*ms, startClock + 990*ms},
		{2 * time.Second, 0, startClock + 990*ms + 980*ms},
	} {
		b.observe(startTime.Add(step.after), step.sample)
		qt.Check(t, b.min(startTime.Add(step.after)), qt.Equals, step.want)
	}
}

// Guards against a lease that is too long, and against one that is extended
// although all runs are being stopped, the stop of one run is unanswered, or the
// worker is silent.
func TestRenewalsExtendTheLease(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(t *rig)
		want WorkerTime
	}{
		{"nothing runs", func(t *rig) { t.StartUnsent(run1) }, 0},
		{"ordered", func(*rig) {}, startClock + leaseTime},
		{"running, a second after the last sample", func(t *rig) { t.answerStart(""); t.pass(time.Second) }, startClock + 980*ms + leaseTime},
		{"being stopped", func(t *rig) { t.answerStart(""); t.Stop(run1) }, 0},
		{"the stop of one of two is unanswered", func(t *rig) {
			t.Stop(run1)
			_, _ = t.Start(t.now, Task{Job: "k"}, "")
		}, 0},
		{"the stop of one of two is answered", func(t *rig) {
			t.Stop(run1)
			_, _ = t.Start(t.now, Task{Job: "k"}, "")
			o, _ := t.PendingStop(run1)
			t.StopAnswered(t.now, o, Answer{})
		}, startClock + leaseTime},
		{"an answer is due", func(t *rig) { t.Renew(t.now, 0); t.pass(leaseTime) }, startClock + 490*ms + leaseTime},
		{"silent", func(t *rig) { t.Renew(t.now, 0); t.pass(leaseTime + 1) }, 0},
		{"silent, asked again", func(t *rig) {
			t.Renew(t.now, 0)
			t.pass(leaseTime)
			t.Renew(t.now, 0)
			t.pass(1)
		}, 0},
		{"in a long wait", func(t *rig) { t.Renew(t.now, 2*time.Second); t.pass(2 * time.Second) }, startClock + 1960*ms + leaseTime},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := ordered()
			tc.do(table)
			n := table.Renew(table.now, 150*ms)
			qt.Check(t, n.LeaseEnd, qt.Equals, tc.want)
			qt.Check(t, n.Wait, qt.Equals, 150*ms)
			qt.Check(t, n.Token, qt.Equals, uint64(7))
		})
	}
}

// Guards against a start order that is valid for longer than Options.Validity.
func TestOrderValidity(t *testing.T) {
	table := adopted()
	table.pass(time.Second)
	o, err := table.Start(table.now, task1, "spec")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, o, qt.Equals, StartOrder{Run: run1, Spec: "spec", Token: 7, Born: 1, ValidUntil: startClock + 980*ms + validity})
}

// Guards against run numbers that do not increase, and against one that is not
// raised enough after the worker refused it as too old.
func TestRunNumbers(t *testing.T) {
	c, table := qt.New(t), ordered()
	next := func(k Task) uint64 {
		o, err := table.Start(table.now, k, "")
		c.Assert(err, qt.IsNil)
		table.start = o
		return o.Run.Number
	}
	c.Check(next(Task{Job: "k"}), qt.Equals, uint64(1))
	table.StartUnsent(run1)
	c.Check(next(task1), qt.Equals, uint64(2))
	for _, want := range []uint64{4, 8, 16} {
		table.answerStart(RefusedRunTooOld)
		c.Check(next(task1), qt.Equals, want)
	}
	for minutes, want := range []uint64{17, 18, 1} { // kept for one minute, not for two
		table.answerStart(RefusedOrderExpired)
		for range minutes {
			table.pass(numberRetention + 1)
			table.numbers.record(table.now, Run{Task{Job: "other"}, 1})
		}
		c.Check(next(task1), qt.Equals, want)
	}
}

// Guards against a token that stays too low after a refusal, and against one
// that is raised several times because several orders with it were refused.
func TestFencingToken(t *testing.T) {
	c, table := qt.New(t), ordered()
	n := table.Renew(table.now, 0)
	table.answerStart(RefusedTokenTooLow)
	c.Check(table.Token(), qt.Equals, uint64(7+1000))
	table.apply(n, RenewReply{Refusal: RefusedTokenTooLow})
	c.Check(table.Token(), qt.Equals, uint64(7+1000))
	table.apply(table.Renew(table.now, 0), RenewReply{Refusal: RefusedTokenTooLow})
	c.Check(table.Token(), qt.Equals, uint64(7+3000))
	table.start, _ = table.Start(table.now, task1, "")
	c.Check(table.start.Token, qt.Equals, uint64(7+3000))
	table.Stop(table.start.Run)
	o, _ := table.PendingStop(table.start.Run)
	c.Check(table.StopAnswered(table.now, o, Answer{Refusal: RefusedTokenTooLow}), qt.IsFalse)
	c.Check(table.Token(), qt.Equals, uint64(7+7000))
}
