package ledger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// Guards against a session with a running leased task that outlasts its entry
// because it is extended by a message without a known time of sending, or by one
// that renews another session; and against one that expires although it was
// renewed.
func TestOnlyRenewalsExtendASession(t *testing.T) {
	const after = 600 * time.Millisecond
	at := func(d time.Duration) time.Time { return start.Add(d * time.Millisecond) }
	for _, tc := range []struct {
		name        string
		do          func(l *Ledger)
		lastRenewal time.Time // when the session is opened or was last renewed
	}{
		{"opened", func(*Ledger) {}, start},
		{"renewed", func(l *Ledger) { l.RenewSession(owner1, 1, at(500)) }, at(500)},
		{"renewed by an earlier heartbeat", func(l *Ledger) { l.RenewSession(owner1, 1, at(500)); l.RenewSession(owner1, 1, at(400)) }, at(500)},
		{"another session renewed", func(l *Ledger) { l.RenewSession(owner1, 2, at(500)); l.RenewSession(owner1, 0, at(500)) }, start},
		{"another process renewed", func(l *Ledger) { l.RenewSession(Owner{"e1", 8}, 1, at(500)) }, start},
		{"used", func(l *Ledger) { qt.Check(t, l.RecordMessage(session(1), at(500)), qt.IsNil) }, start},
		{"heard", func(l *Ledger) { l.RecordContact(owner1, at(500)) }, start},
		{"next opened in time", func(l *Ledger) { _, _ = l.OpenSession(session(2), at(500)) }, start},
		{"next opened after the lapse", func(l *Ledger) {
			l.ExpireSessions(at(601), after)
			_, _ = l.OpenSession(session(2), at(700))
		}, at(700)},
		{"renewed after the lapse", func(l *Ledger) {
			l.ExpireSessions(at(601), after)
			l.RenewSession(owner1, 1, at(602))
			qt.Check(t, l.HasSession(owner1), qt.IsFalse)
			_, _ = l.OpenSession(session(2), at(700))
		}, at(700)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, l := qt.New(t), New(1, 10)
			l.RequireRenewals()
			_, err := l.OpenSession(session(1), start)
			c.Assert(err, qt.IsNil)
			c.Assert(l.Enqueue(session(1), 1, wire.Task{}), qt.IsNil)
			c.Assert(l.Start(session(1), 1), qt.IsNil)
			tc.do(l)
			number, _ := l.LatestSequence(owner1)
			c.Assert(l.Enqueue(session(number), 9, wire.Task{}), qt.IsNil)
			c.Check(l.ExpireSessions(tc.lastRenewal.Add(after), after), qt.HasLen, 0)
			c.Check(l.Renewed(owner1, tc.lastRenewal.Add(after), after), qt.IsTrue)
			c.Check(l.Renewed(owner1, tc.lastRenewal.Add(after+1), after), qt.IsFalse)
			c.Check(l.ExpireSessions(tc.lastRenewal.Add(after+1), after), qt.HasLen, 1)
			c.Check(l.HasSession(owner1), qt.IsFalse)
		})
	}
}

// Guards against a dormant session that ends although it has no task, so that an
// entry has to open another one before each task; against a task in it that may
// start without a renewal; and against one that waits for longer than the limit.
func TestDormantSession(t *testing.T) {
	const after = 600 * time.Millisecond
	at := func(d time.Duration) time.Time { return start.Add(d * time.Millisecond) }
	setUp := func(t *testing.T) (*qt.C, *Ledger) {
		c, l := qt.New(t), New(1, 10)
		l.RequireRenewals()
		_, err := l.OpenSession(session(1), start)
		c.Assert(err, qt.IsNil)
		c.Check(l.ExpireSessions(at(5000), after), qt.HasLen, 0)
		c.Check(l.HasSession(owner1), qt.IsTrue)
		for i, d := range []time.Duration{5000, 5300} { // the second task does not extend the wait
			c.Assert(l.RecordMessage(session(1), at(d)), qt.IsNil)
			c.Assert(l.Enqueue(session(1), uint64(i+1), wire.Task{}), qt.IsNil)
		}
		c.Check(l.ExpireSessions(at(5600), after), qt.HasLen, 0)
		c.Check(l.Renewed(owner1, at(5600), after), qt.IsFalse)
		return c, l
	}
	t.Run("not renewed", func(t *testing.T) {
		c, l := setUp(t)
		c.Check(l.ExpireSessions(at(5601), after), qt.HasLen, 2)
		c.Check(l.HasSession(owner1), qt.IsFalse)
	})
	t.Run("renewed", func(t *testing.T) {
		c, l := setUp(t)
		l.RenewSession(owner1, 1, at(5500))
		c.Check(l.Renewed(owner1, at(5600), after), qt.IsTrue)
		c.Check(l.ExpireSessions(at(6100), after), qt.HasLen, 0)
		c.Assert(l.Start(session(1), 1), qt.IsNil)
		c.Check(l.ExpireSessions(at(6101), after), qt.HasLen, 1)
		c.Check(l.HasSession(owner1), qt.IsFalse)
	})
	t.Run("renewed, ended, dormant again", func(t *testing.T) {
		c, l := setUp(t)
		l.RenewSession(owner1, 1, at(5500))
		for _, sequence := range []uint64{1, 2} {
			c.Assert(l.Start(session(1), sequence), qt.IsNil)
			c.Assert(l.Finish(owner1, wire.TaskKey{Session: 1, Sequence: sequence}, wire.Result{}), qt.IsNil)
		}
		c.Check(l.ExpireSessions(at(60000), after), qt.HasLen, 0)
		c.Check(l.HasSession(owner1), qt.IsTrue)
		c.Check(l.ExpireSessions(at(5500).Add(ownerRetention+1), after), qt.HasLen, 0)
		c.Check(l.HasSession(owner1), qt.IsFalse)
	})
}
