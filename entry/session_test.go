package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

const reconcileLimit = 5 * time.Second

// newOpenSession returns an open session and the time at which it was opened.
func newOpenSession(inc wire.Incarnation) (*session, time.Time) {
	now := time.Unix(1000, 0)
	s := newSession(wire.EntryRef{ID: "e1", Incarnation: 7}, inc)
	id := s.beginOpen(now, reconcileLimit)
	s.handleOpened(id.Number, wire.OpenSessionReply{Agent: wire.AgentRef{Incarnation: inc}})
	return s, now
}

func describeVerdicts(vs []verdict) string {
	var out []string
	for _, v := range vs {
		kind := [...]string{"result", "not run", "unknown", "await"}[v.kind]
		if v.kind == verdictUnknown {
			kind += " " + string(v.result.Reason)
		}
		out = append(out, fmt.Sprintf("%d %s", v.task.index, kind))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// Guards against the verdict "not run" for a task that may have started,
// against "unknown" although the agent's complete list of started tasks proves
// that it has not, and against tasks without a verdict.
func TestReconciliation(t *testing.T) {
	done := wire.Result{Outcome: wire.OutcomeDone}
	key := func(n uint64) wire.TaskKey { return wire.TaskKey{Session: 1, Sequence: n} }
	same := wire.AgentRef{Incarnation: 1}
	for _, tc := range []struct {
		name      string
		reply     wire.OpenSessionReply
		want      string
		openTasks int
	}{
		{"nothing started", wire.OpenSessionReply{Agent: same}, "0 not run, 1 not run, 2 not run", 0},
		{"one finished, one runs", wire.OpenSessionReply{Agent: same, Started: []wire.StartedTask{
			{Key: key(1), Finished: true, Result: done}, {Key: key(2)}}}, "0 result, 1 await, 2 not run", 1},
		{"truncated list", wire.OpenSessionReply{Agent: same, Truncated: true, Started: []wire.StartedTask{
			{Key: key(1), Finished: true, Result: done}, {Key: key(2)}}}, "0 result, 1 await, 2 unknown start_record_lost", 1},
		{"another process", wire.OpenSessionReply{Agent: wire.AgentRef{Incarnation: 2}},
			"0 unknown agent_lost, 1 unknown agent_lost, 2 unknown agent_lost", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			s, now := newOpenSession(1)
			for i := range 3 {
				s.recordSend(&job{}, i, now)
			}
			s.markInDoubt(now, reconcileLimit)
			id := s.beginOpen(now, reconcileLimit)
			c.Check(describeVerdicts(s.handleOpened(id.Number, tc.reply)), qt.Equals, tc.want)
			c.Check(s.tasks, qt.HasLen, tc.openTasks)
			c.Check(s.state, qt.Equals, sessionOpen)
			c.Check(s.expireInDoubt(now.Add(time.Hour)), qt.HasLen, 0)
		})
	}
}

// Guards against resolving tasks by a late reply to an earlier attempt to open
// a session.
func TestReplyToAnOlderAttemptIsIgnored(t *testing.T) {
	c := qt.New(t)
	s, now := newOpenSession(1)
	s.recordSend(&job{}, 0, now)
	s.markInDoubt(now, reconcileLimit)
	first := s.beginOpen(now, reconcileLimit)
	s.state = sessionClosed
	second := s.beginOpen(now, reconcileLimit)
	c.Check(second.Number > first.Number, qt.IsTrue)
	c.Check(s.handleOpened(first.Number, wire.OpenSessionReply{Agent: wire.AgentRef{Incarnation: 1}}), qt.HasLen, 0)
	c.Check(s.tasks, qt.HasLen, 1)
}

// Guards against tasks that stay in doubt without limit when an agent never
// replies.
func TestTasksInDoubtExpire(t *testing.T) {
	c := qt.New(t)
	s, now := newOpenSession(1)
	s.recordSend(&job{}, 0, now)
	s.markInDoubt(now, reconcileLimit)
	s.beginOpen(now.Add(time.Second), reconcileLimit) // a further attempt does not extend the deadline
	c.Check(s.expireInDoubt(now.Add(reconcileLimit-1)), qt.HasLen, 0)
	c.Check(describeVerdicts(s.expireInDoubt(now.Add(reconcileLimit))), qt.Equals, "0 unknown agent_lost")
}

// Guards against two verdicts on one task whose result arrives repeatedly,
// before and after reconciliation.
func TestEveryTaskGetsOneVerdict(t *testing.T) {
	c := qt.New(t)
	s, now := newOpenSession(1)
	task := s.recordSend(&job{}, 0, now)
	s.markInDoubt(now, reconcileLimit)
	_, ok := s.handleResult(task.key, wire.Result{Outcome: wire.OutcomeDone})
	c.Check(ok, qt.IsTrue)
	_, ok = s.handleResult(task.key, wire.Result{Outcome: wire.OutcomeDone})
	c.Check(ok, qt.IsFalse)
	_, ok = s.resolveNotSent(task.key)
	c.Check(ok, qt.IsFalse)
	id := s.beginOpen(now, reconcileLimit)
	c.Check(s.handleOpened(id.Number, wire.OpenSessionReply{Agent: wire.AgentRef{Incarnation: 1}}), qt.HasLen, 0)
}

// Guards against start records that the agent keeps because the message with
// their acknowledgement was lost.
func TestLostAcknowledgementIsRepeated(t *testing.T) {
	c := qt.New(t)
	s, now := newOpenSession(1)
	task := s.recordSend(&job{}, 0, now)
	s.handleResult(task.key, wire.Result{Outcome: wire.OutcomeDone})
	c.Check(s.takeAcks(), qt.DeepEquals, []wire.TaskKey{task.key})
	s.markInDoubt(now, reconcileLimit)
	id := s.beginOpen(now, reconcileLimit)
	s.handleOpened(id.Number, wire.OpenSessionReply{Agent: wire.AgentRef{Incarnation: 1},
		Started: []wire.StartedTask{{Key: task.key, Finished: true}}})
	c.Check(s.takeAcks(), qt.DeepEquals, []wire.TaskKey{task.key})
}

// Guards against a record of unknown outcome that the agent keeps until the
// next session, which delays its planned stop by Timing.Lapse.
func TestUnknownOutcomeIsAcknowledged(t *testing.T) {
	c := qt.New(t)
	s, now := newOpenSession(1)
	sent := s.recordSend(&job{}, 0, now)
	v, ok := s.handleResult(sent.key, unknownResult(wire.ReasonUpstreamError))
	c.Check(ok, qt.IsTrue)
	c.Check(v.kind, qt.Equals, verdictUnknown)
	c.Check(s.takeAcks(), qt.DeepEquals, []wire.TaskKey{sent.key})
}

// Guards against a wrong reconciliation deadline of a leased task whose start
// record is lost. After the deadline its last run has certainly ended and it
// may be started again; it counts from the time when the session came into
// doubt.
func TestLeasedTaskLostFromTheListKeepsItsTime(t *testing.T) {
	s, now := newOpenSession(1)
	s.recordSend(&job{leased: &leasedJob{}}, 0, now)
	s.markInDoubt(now, reconcileLimit)
	id := s.beginOpen(now.Add(time.Second), reconcileLimit)
	lost := s.handleOpened(id.Number, wire.OpenSessionReply{Agent: wire.AgentRef{Incarnation: 1}, Truncated: true})
	qt.Check(t, describeVerdicts(lost), qt.Equals, "0 unknown start_record_lost")
	qt.Check(t, lost[0].reconcileBy.Sub(now), qt.Equals, reconcileLimit)
}

// Guards against an idle agent that counts as silent between two heartbeats at the
// longer interval, and against one that does not although it has tasks and sends
// none at the shorter interval.
func TestSilenceIsMeasuredByTheIntervalInUse(t *testing.T) {
	timing := settings.DefaultTiming()
	timing.Heartbeat, timing.IdleHeartbeat, timing.Suspect = settings.Duration(150*time.Millisecond), settings.Duration(time.Second), settings.Duration(400*time.Millisecond)
	start := time.Unix(0, 0)
	for _, tc := range []struct {
		name             string
		heard, busySince time.Duration // busySince is negative without a task
		now              time.Duration
		want             bool
	}{
		{"idle, within the interval", 0, -1, 1250 * time.Millisecond, false},
		{"idle, overdue", 0, -1, 1251 * time.Millisecond, true},
		{"first task after a long interval", 0, time.Second, 1400 * time.Millisecond, false},
		{"no heartbeat since the first task", 0, time.Second, 1401 * time.Millisecond, true},
		{"heard since the first task", 1200 * time.Millisecond, time.Second, 1600 * time.Millisecond, false},
		{"silent since then", 1200 * time.Millisecond, time.Second, 1601 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := &dispatcher{timing: timing, now: start.Add(tc.now)}
			a := &agent{lastHeard: start.Add(tc.heard), session: newSession(wire.EntryRef{ID: "e"}, 1)}
			if tc.busySince >= 0 {
				a.session.recordSend(&job{}, 0, start.Add(tc.busySince))
				a.session.recordSend(&job{}, 1, start.Add(tc.now)) // a later task does not extend the time
			}
			qt.Check(t, d.isSilent(a), qt.Equals, tc.want)
		})
	}
}
