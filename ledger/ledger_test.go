package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func session(n uint64) wire.Session { return wire.Session{Entry: "e1", Incarnation: 7, Number: n} }

func key(s, seq uint64) wire.TaskKey { return wire.TaskKey{Session: s, Sequence: seq} }

var owner1 = OwnerOf(session(1))

// Guards against a task that starts although its session is not open, it was
// withdrawn, or it was started before.
func TestStartIsRefused(t *testing.T) {
	open := func(l *Ledger, n uint64) {
		_, err := l.OpenSession(session(n), start)
		qt.Assert(t, err, qt.IsNil)
	}
	enqueue := func(l *Ledger, n, seq uint64) {
		qt.Assert(t, l.Enqueue(session(n), seq, wire.Task{}), qt.IsNil)
	}
	for _, tc := range []struct {
		name  string
		setup func(l *Ledger)
		want  error
	}{
		{"no session", func(*Ledger) {}, ErrFenced},
		{"not queued", func(l *Ledger) { open(l, 1) }, ErrWithdrawn},
		{"queued", func(l *Ledger) { open(l, 1); enqueue(l, 1, 1) }, nil},
		{"started", func(l *Ledger) { open(l, 1); enqueue(l, 1, 1); _ = l.Start(session(1), 1) }, ErrDuplicate},
		{"acknowledged", func(l *Ledger) {
			open(l, 1)
			enqueue(l, 1, 1)
			_ = l.Start(session(1), 1)
			_ = l.Finish(owner1, key(1, 1), wire.Result{})
			l.Acknowledge(owner1, []wire.TaskKey{key(1, 1)})
		}, ErrWithdrawn},
		{"fenced", func(l *Ledger) { open(l, 1); enqueue(l, 1, 1); open(l, 2) }, ErrFenced},
		{"lapsed", func(l *Ledger) {
			open(l, 1)
			enqueue(l, 1, 1)
			l.ExpireSessions(start.Add(4*time.Second), 3*time.Second)
		}, ErrFenced},
		{"withdrawn", func(l *Ledger) {
			open(l, 1)
			enqueue(l, 1, 1)
			l.Withdraw(session(1), key(1, 1))
		}, ErrWithdrawn},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New(1, 10)
			tc.setup(l)
			err := l.Start(session(1), 1)
			if tc.want == nil {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorIs, tc.want)
		})
	}
}

// Guards against a late or repeated OpenSession message that ends a newer
// session.
func TestOpenRefusesNumbersThatAreNotNewer(t *testing.T) {
	c := qt.New(t)
	l := New(1, 10)
	_, err := l.OpenSession(session(0), start)
	c.Check(err, qt.ErrorIs, ErrFenced)
	_, err = l.OpenSession(session(3), start)
	c.Assert(err, qt.IsNil)
	for _, n := range []uint64{1, 2, 3} {
		_, err = l.OpenSession(session(n), start)
		c.Check(err, qt.ErrorIs, ErrFenced)
	}
	c.Check(l.RecordMessage(session(3), start), qt.IsNil)
}

// Guards against an entry that takes a started task for one that never started
// because its record was evicted or its owner forgotten.
func TestLostRecordsAreReportedAsTruncated(t *testing.T) {
	c := qt.New(t)
	l := New(1, 1)
	res, err := l.OpenSession(session(1), start)
	c.Assert(err, qt.IsNil)
	c.Check(res.Truncated, qt.IsFalse)
	for seq := uint64(1); seq <= 2; seq++ {
		c.Assert(l.Enqueue(session(1), seq, wire.Task{}), qt.IsNil)
		c.Assert(l.Start(session(1), seq), qt.IsNil)
		c.Assert(l.Finish(owner1, key(1, seq), wire.Result{Outcome: wire.OutcomeDone}), qt.IsNil)
	}
	for n := uint64(2); n <= 3; n++ { // the entry may not have received the first reply
		res, err = l.OpenSession(session(n), start)
		c.Assert(err, qt.IsNil)
		c.Check(res.Truncated, qt.IsTrue)
		c.Check(res.Started, qt.HasLen, 1)
	}
	c.Assert(l.RecordMessage(session(3), start), qt.IsNil)
	res, _ = l.OpenSession(session(4), start)
	c.Check(res.Truncated, qt.IsFalse)

	l.ExpireSessions(start.Add(time.Hour), 3*time.Second)
	c.Check(l.Stats().Entries, qt.Equals, 0)
	res, _ = l.OpenSession(session(5), start.Add(time.Hour))
	c.Check(res.Truncated, qt.IsTrue)
}

// Guards against the loss of a running task's result because its record was
// evicted or its owner forgotten.
func TestRunningTasksKeepTheirRecords(t *testing.T) {
	c := qt.New(t)
	l := New(1, 1)
	_, _ = l.OpenSession(session(1), start)
	for seq := uint64(1); seq <= 3; seq++ {
		c.Assert(l.Enqueue(session(1), seq, wire.Task{}), qt.IsNil)
		c.Assert(l.Start(session(1), seq), qt.IsNil)
	}
	l.ExpireSessions(start.Add(time.Hour), 3*time.Second)
	res, err := l.OpenSession(session(2), start.Add(time.Hour))
	c.Assert(err, qt.IsNil)
	c.Check(res.Started, qt.HasLen, 3)
	c.Check(res.Truncated, qt.IsFalse)
	c.Check(l.Stats().Running, qt.Equals, 3)
}

// Guards against a cancelled task that starts because the cancellation arrived
// before the task.
func TestWithdrawBeforeArrivalRefusesTheTask(t *testing.T) {
	c := qt.New(t)
	l := New(1, 10)
	_, _ = l.OpenSession(session(1), start)
	c.Check(l.Withdraw(session(1), key(1, 5)), qt.IsTrue)
	c.Check(l.Enqueue(session(1), 5, wire.Task{}), qt.ErrorIs, ErrDuplicate)
	c.Check(l.Withdraw(session(1), key(1, 5)), qt.IsFalse)
}

// Guards against a restarted entry that fences the sessions of its earlier
// process or gets its records.
func TestIncarnationsAreSeparate(t *testing.T) {
	c := qt.New(t)
	l := New(1, 10)
	old, restarted := session(1), wire.Session{Entry: "e1", Incarnation: 8, Number: 1}
	_, _ = l.OpenSession(old, start)
	c.Assert(l.Enqueue(old, 1, wire.Task{}), qt.IsNil)
	c.Assert(l.Start(old, 1), qt.IsNil)
	res, err := l.OpenSession(restarted, start)
	c.Assert(err, qt.IsNil)
	c.Check(res.Started, qt.HasLen, 0)
	c.Check(l.RecordMessage(old, start), qt.IsNil)
}

// Guards against unbounded memory when an entry skips sequences, and against a
// sequence that can be used twice after a compaction.
func TestSequencesAreBoundedAndNeverReusable(t *testing.T) {
	c := qt.New(t)
	var s sequences
	for n := uint64(2); n < 4*maxGaps; n += 2 {
		c.Assert(s.add(n), qt.IsTrue)
	}
	c.Check(len(s.above) <= maxGaps, qt.IsTrue)
	for n := uint64(2); n < 4*maxGaps; n += 2 {
		c.Assert(s.add(n), qt.IsFalse)
	}
}
