package agent

import (
	"slices"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

// crashReportTime is how long heartbeats list a suspect of a crash. It covers several
// heartbeats at the long interval, in case some are lost.
const crashReportTime = 3 * time.Second

// suspect is a run that is suspected of a crash, as it is reported to entries.
type suspect struct {
	wire.CrashReport
	owner   ledger.Owner // that sent the task
	durable bool
	life    lease.Life // that crashed; without a birth if it is not known
	since   time.Time  // when the crash was suspected
	at      time.Time  // when this report began to be listed, by the agent's clock
}

// reportSuspects reports the suspects of a crash among the runs that are not known to
// be over, at once to the entries of their tasks, which get no result before the next
// life has answered or the lease has expired. The caller holds mu.
func (l *leasedExecutor) reportSuspects(life *life) {
	for _, s := range life.runs.TakeSuspects() {
		if t := l.addSuspect(life, s); t != nil {
			l.agent.entries.requestHeartbeat(t.owner)
		}
	}
}

// addSuspect makes heartbeats list a run, and returns its task; nil if that has ended.
// The caller holds mu.
func (l *leasedExecutor) addSuspect(life *life, s lease.Suspect) *task {
	at := life.attempts[s.Run]
	if at == nil {
		return nil
	}
	t := l.taskOf(at, s.Run)
	if t == nil {
		return nil
	}
	l.suspects = slices.DeleteFunc(l.suspects, func(known suspect) bool {
		return known.Entry == t.owner.Incarnation && known.Key == t.key && known.Role == wire.CrashNone // of an earlier doubt
	})
	if slices.ContainsFunc(l.suspects, func(known suspect) bool { return known.Entry == t.owner.Incarnation && known.Key == t.key }) {
		return t // reported before its run was over
	}
	l.suspects = append(l.suspects, suspect{
		CrashReport: wire.CrashReport{
			Entry: t.owner.Incarnation, Key: t.key, Account: t.task.Account, Job: s.Run.Task.Job, Index: s.Run.Task.Index, Role: s.Crash,
		},
		owner: t.owner, durable: t.task.Leased.Durable, life: lease.Life{ID: life.runs.Life().ID, Born: s.Born},
		since: time.Now(), at: l.agent.clock.Now(),
	})
	return t
}

// refuteCrashes makes heartbeats report that a life did not crash, because it has
// answered a renewal that was sent after its suspects were reported: something on the way
// broke and refused connections. The caller holds mu.
func (l *leasedExecutor) refuteCrashes(answered lease.Life, sentAt time.Time) {
	for i := range l.suspects {
		s := &l.suspects[i]
		if answered.Born == 0 || s.life != answered || s.Role == wire.CrashNone || !sentAt.After(s.since) {
			continue
		}
		s.Role, s.at = wire.CrashNone, l.agent.clock.Now()
		l.agent.metrics.crashesRefuted.Inc(1)
		l.agent.log.Warn().Str("worker", answered.ID).Str("caller_job", s.Job).Int("task", s.Index).Msg("crash refuted: the worker goes on")
		l.agent.entries.requestHeartbeat(s.owner)
	}
}

// crashReports returns the suspects that a heartbeat to the entry lists; nil if there
// are none. Durable jobs are reported to their owner only, which stores the crashes. The
// caller holds mu.
func (l *leasedExecutor) crashReports(now time.Time, to ledger.Owner) []wire.CrashReport {
	l.suspects = slices.DeleteFunc(l.suspects, func(s suspect) bool { return now.Sub(s.at) > crashReportTime })
	var out []wire.CrashReport
	for _, s := range l.suspects {
		if !s.durable || s.owner == to {
			out = append(out, s.CrashReport)
		}
	}
	return out
}
