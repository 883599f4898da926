package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// Guards against a run that is reported as ended with a life of the worker although
// the next life, which has the same identifier, may carry out its start order, and
// against one that waits for the next life although it has ended.
func TestRunsThatTheNextLifeMayHave(t *testing.T) {
	next := func(t *rig) {
		var lost []RemovedRun
		t.RunTable, lost = t.LifeReplaced(true, t.Token()+1)
		t.removed = append(t.removed, lost...)
	}
	listNext := func(t *rig, active []ActiveRun, ended ...RunEnd) {
		t.apply(t.Renew(t.now, 0), RenewReply{Born: 2, Clock: time.Second, Active: active, Ended: ended})
	}
	later := func(t *rig) StartOrder {
		o, err := t.Start(t.now, Task{Job: "later"}, "")
		if err != nil {
			panic(err)
		}
		return o
	}
	for _, tc := range []struct {
		name string
		do   func(t *rig)
		want []Outcome
	}{
		{"accepted by this life", func(t *rig) { t.answerStart(""); next(t) }, []Outcome{OutcomeLost}},
		{"listed by this life", func(t *rig) { t.StartUnanswered(run1); t.poll(shown); next(t) }, []Outcome{OutcomeLost}},
		{"not answered", func(t *rig) { t.StartUnanswered(run1); next(t) }, nil},
		{"answer under way", next, nil},
		{"accepted with the clock of another life", func(t *rig) {
			t.StartAnswered(t.now, t.start, Answer{Clock: 2 * time.Second})
			next(t)
		}, nil},
		{"accepted with a clock that begins far ahead", func(t *rig) {
			t.StartAnswered(t.now, t.start, Answer{Clock: t.clockNow() + time.Minute})
			next(t)
		}, nil},
		{"accepted with a clock that begins within the life's past", func(t *rig) {
			t.StartAnswered(t.now, t.start, Answer{Clock: t.clockNow() - 100*ms})
			next(t)
		}, nil},
		{"accepted without a clock", func(t *rig) { t.StartAnswered(t.now, t.start, Answer{}); next(t) }, nil},
		{"absent in the next life", func(t *rig) { next(t); listNext(t, nil) }, []Outcome{OutcomeLost}},
		{"absent from a list of the next life with a higher token", func(t *rig) {
			next(t)
			t.apply(t.Renew(t.now, 0), RenewReply{Refusal: RefusedTokenTooLow, Clock: time.Second})
		}, nil},
		{"refused by the next life", func(t *rig) {
			next(t)
			t.removed = t.StartAnswered(t.now, t.start, Answer{Refusal: RefusedTokenTooLow})
		}, []Outcome{OutcomeRefused}},
		{"accepted after the life ended", func(t *rig) { next(t); t.StartAnswered(t.now, t.start, Answer{}) }, nil},
		{"active in the next life", func(t *rig) { next(t); listNext(t, shown) }, nil},
		{"ended in the next life", func(t *rig) { next(t); listNext(t, shown); listNext(t, nil, RunEnd{1, run1, Stopped}) }, []Outcome{OutcomeStopped}},
		{"the next life ended as well", func(t *rig) { next(t); next(t) }, nil},
		{"the next life has another identifier", func(t *rig) { next(t); t.removed = t.LifeEnded(true) }, []Outcome{OutcomeLost}},
		{"no next life in time", func(t *rig) { next(t); t.expire(releaseAfter) }, nil},
		{"no next life", func(t *rig) { next(t); t.expire(releaseAfter + ms) }, []Outcome{OutcomeLost}},
		{"the lease ended, accepted", func(t *rig) { t.answerStart(""); t.Renew(t.now, 0); t.expire(time.Second) }, []Outcome{OutcomeLeaseExpired}},
		{"the lease ended, not answered", func(t *rig) { t.StartUnanswered(run1); t.Renew(t.now, 0); t.expire(time.Second) }, nil},
		{"the lease ended long ago, not answered", func(t *rig) {
			t.StartUnanswered(run1)
			t.Renew(t.now, 0)
			t.expire(releaseAfter + ms)
		}, []Outcome{OutcomeLeaseExpired}},
		{"an order of an earlier process may have extended the lease", func(t *rig) {
			t.RunTable = NewRunTable(t.options)
			t.poll(nil)
			t.start = later(t)
			t.poll([]ActiveRun{{Run: t.start.Run}})
			t.Renew(t.now, 0)
			t.expire(1071 * ms) // 1 s and 50 ms to stop, on a clock that is 2 % slow
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := ordered()
			tc.do(table)
			var got []Outcome
			for _, r := range table.removed {
				got = append(got, r.Outcome)
			}
			qt.Assert(t, got, qt.DeepEquals, tc.want)
			qt.Check(t, table.Empty(), qt.Equals, len(tc.want) > 0)
		})
	}
}

// Guards against starts, extensions of the lease and acknowledgements of ends while
// another life of the worker may answer.
func TestDoubtAboutTheLife(t *testing.T) {
	c, table := qt.New(t), ordered()
	table.poll(nil, RunEnd{1, Run{Task{Job: "f"}, 1}, Stopped})
	c.Check(table.Renew(table.now, 0).Acked, qt.Equals, uint64(1))
	table.StartAnswered(table.now, table.start, Answer{Clock: time.Second})
	n := table.Renew(table.now, 0)
	c.Check(n.LeaseEnd, qt.Equals, WorkerTime(0))
	c.Check(n.Acked, qt.Equals, uint64(0))
	table.apply(n, RenewReply{Born: 1, Clock: table.clockNow(), Active: shown})
	c.Check(table.Renew(table.now, 0).LeaseEnd > 0, qt.IsTrue)

	table.ConnectionRefused()
	c.Check(table.Adopted(), qt.IsFalse)
	c.Check(table.Renew(table.now, 0).LeaseEnd, qt.Equals, WorkerTime(0))
	c.Check(table.Over(table.now.Add(560*ms)), qt.IsFalse)
	c.Check(table.Over(table.now.Add(562*ms)), qt.IsTrue)
	table.ConnectionBroke()
	c.Check(table.Over(table.now.Add(560*ms)), qt.IsFalse) // disruptions break and refuse connections too
	c.Check(table.Over(table.now.Add(562*ms)), qt.IsTrue)
	table.poll(shown)
	c.Check(table.Adopted(), qt.IsTrue)
	table.ConnectionBroke()
	c.Check(table.Over(table.now.Add(562*ms)), qt.IsFalse)
	c.Check(table.Renew(table.now, 0).LeaseEnd, qt.Equals, WorkerTime(0))
	table.poll(shown)
	c.Check(table.Renew(table.now, 0).LeaseEnd > 0, qt.IsTrue)
}

// Guards against crashes that are reported only when the lease has expired, twice, or
// after the worker has answered again, and against late orders that have the token of
// the first look at the next life.
func TestProbableEndOfTheLife(t *testing.T) {
	for _, brokeFirst := range []bool{true, false} {
		c, table := qt.New(t), ordered()
		table.answerStart("")
		signs := []func(){table.ConnectionBroke, table.ConnectionRefused}
		if brokeFirst {
			signs[0], signs[1] = signs[1], signs[0]
		}
		signs[0]()
		c.Check(table.ProbablyOver(true), qt.IsFalse)
		c.Check(table.TakeSuspects(), qt.HasLen, 0)
		signs[1]()
		c.Check(table.ProbablyOver(true), qt.IsTrue)
		c.Check(table.ProbablyOver(true), qt.IsFalse)
		c.Check(table.Token() > table.start.Token, qt.IsTrue)
		c.Check(table.TakeSuspects(), qt.DeepEquals, []Suspect{{run1, wire.CrashSuspect, table.Life().Born}})
		c.Check(table.TakeSuspects(), qt.HasLen, 0)
		c.Check(table.Empty(), qt.IsFalse)

		table.poll(shown) // the worker lives
		_, lost := table.LifeReplaced(false, table.Token()+1)
		c.Check(lost, qt.DeepEquals, []RemovedRun{{Run: run1, Outcome: OutcomeLost, Proof: ProofLifeOver}})
	}
}

// Guards against a run that is taken to have begun in this life because the next life
// has answered with a clock that went on while the agent's machine was suspended.
func TestSuspensionHidesNoRestart(t *testing.T) {
	const firstSample = startClock - 2*time.Second
	for _, tc := range []struct {
		name            string
		suspended, past time.Duration // the answer's clock is that far past the first sample
		proved          bool
	}{
		{"not suspended", 0, 2 * time.Second, true},
		{"next life, which began with the suspension", 3 * time.Second, 3 * time.Second, false},
		{"this life", 3 * time.Second, 5 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := ordered()
			table.CountSuspension(tc.suspended)
			table.StartAnswered(table.now, table.start, Answer{Clock: firstSample + tc.past})
			_, lost := table.LifeReplaced(true, 8)
			qt.Assert(t, len(lost) == 1, qt.Equals, tc.proved)
		})
	}
}

// Guards against starts at a life that has answered with a clock which this one has
// passed: it may have less capacity.
func TestNoStartAtALifeThatIsNotKnown(t *testing.T) {
	for _, refusal := range []Refusal{"", RefusedNoRoom} {
		table := ordered()
		table.StartAnswered(table.now, table.start, Answer{Refusal: refusal, Clock: 9 * time.Second})
		qt.Check(t, table.Adopted(), qt.IsFalse)
		qt.Check(t, table.Doubted(), qt.IsTrue)
		table.poll(nil)
		qt.Check(t, table.Adopted(), qt.IsTrue)
	}
	table := ordered()
	table.answerStart("")
	qt.Check(t, table.Adopted(), qt.IsTrue)
	table.meanwhile(table.ConnectionRefused, ms)
	qt.Check(t, table.Adopted(), qt.IsFalse) // the list may be older than the refusal
	table.poll(shown)
	qt.Check(t, table.Adopted(), qt.IsTrue)
}

// Guards against a list that is applied although another life of the worker made it,
// and against a life that is ended by its own list.
func TestListsOfAnotherLife(t *testing.T) {
	table := adopted()
	for _, tc := range []struct {
		reply RenewReply
		want  bool
	}{
		{RenewReply{Born: 1}, false},
		{RenewReply{Born: 2}, true},
		{RenewReply{Born: -1}, true}, // wall clocks are set back
		{RenewReply{}, false},
		{RenewReply{Refusal: RefusedOtherLife}, true},
		{RenewReply{Refusal: RefusedTokenTooLow}, false},
	} {
		qt.Check(t, table.OtherLife(tc.reply), qt.Equals, tc.want, qt.Commentf("%+v", tc.reply))
	}
	qt.Check(t, NewRunTable(Options{}).OtherLife(RenewReply{Born: 2}), qt.IsFalse)
}

// Guards against a crash that is blamed anew on runs when the life after the crash
// ends as well, or that is not blamed on a run because it was carried over.
func TestCarriedRunsKeepTheirPartInACrash(t *testing.T) {
	table := ordered()
	next, lost := table.LifeReplaced(true, 8)
	qt.Assert(t, lost, qt.HasLen, 0)
	next, lost = next.LifeReplaced(false, 9)
	qt.Assert(t, lost, qt.HasLen, 0)
	qt.Assert(t, next.LifeEnded(false), qt.DeepEquals, []RemovedRun{{Run: run1, Outcome: OutcomeLost, Proof: ProofOtherIdentifier, Crash: wire.CrashUnconfirmed}})
}

// Guards against a crash that is reported only when the lease has expired because the
// life went on after an earlier report that named the same run.
func TestSecondProbableEndIsReported(t *testing.T) {
	c, table := qt.New(t), ordered()
	table.answerStart("")
	for range 2 {
		table.ConnectionBroke()
		table.ConnectionRefused()
		c.Check(table.ProbablyOver(true), qt.IsTrue)
		c.Check(table.TakeSuspects(), qt.DeepEquals, []Suspect{{run1, wire.CrashSuspect, table.Life().Born}})
		table.poll(shown)
		c.Check(table.TakeSuspects(), qt.HasLen, 0)
	}
}

// Guards against renewals that do not say for which life they are meant: they would
// extend the lease of a life that the agent does not know.
func TestRenewalsStateTheBirth(t *testing.T) {
	c, table := qt.New(t), ordered()
	c.Check(table.Life().Born, qt.Equals, int64(1))
	c.Check(table.Renew(table.now, 0).Born, qt.Equals, int64(1))
}
