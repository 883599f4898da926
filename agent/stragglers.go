package agent

import (
	"cmp"
	"slices"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

// stragglers returns the entry's runs that are stalled or slow, ordered by task
// key; nil if there are none. The caller holds mu.
func (l *leasedExecutor) stragglers(owner ledger.Owner) []wire.Straggler {
	life := l.life
	if life == nil || life.runs.Empty() {
		return nil
	}
	var out []wire.Straggler
	for id, t := range l.agent.tasks {
		run, ok := life.runOf(t)
		if !ok || id.owner != owner {
			continue
		}
		p, ok := life.runs.Progress(run)
		if ok && (p.Stalled || p.Slow(t.task.Expected)) {
			out = append(out, wire.Straggler{Key: id.key, Percent: p.Percent, Elapsed: p.Elapsed, Stalled: p.Stalled})
		}
	}
	slices.SortFunc(out, func(x, y wire.Straggler) int {
		return cmp.Or(cmp.Compare(x.Key.Session, y.Key.Session), cmp.Compare(x.Key.Sequence, y.Key.Sequence))
	})
	return out
}

// runOf returns the run that was ordered for the task and has not ended. If the
// present run of the same job was ordered for another entry's task, ok is false.
// The caller holds mu.
func (w *life) runOf(t *task) (lease.Run, bool) {
	if t.cancel == nil || t.task.Leased == nil {
		return lease.Run{}, false
	}
	run, ok := w.runs.RunOf(leaseTask(t.task))
	if !ok {
		return lease.Run{}, false
	}
	at := w.attempts[run]
	return run, at != nil && at.job == t.task.Job
}

// reportStalled logs and counts the runs that became stalled, and requests a
// heartbeat to their entries at once; the caller holds mu.
func (l *leasedExecutor) reportStalled(life *life) {
	stalled := life.runs.TakeStalled()
	if len(stalled) == 0 {
		return
	}
	l.agent.metrics.runsStalled.Inc(int64(len(stalled)))
	for id, t := range l.agent.tasks {
		run, ok := life.runOf(t)
		if !ok || !slices.Contains(stalled, run) {
			continue
		}
		p, _ := life.runs.Progress(run)
		l.agent.log.Warn().Str("job", t.task.Job).Int("task", t.task.Index).Int("percent", p.Percent).
			Dur("elapsed_ms", p.Elapsed).Dur("still_ms", p.NoProgress).Msg("run_stalled")
		l.agent.entries.requestHeartbeat(id.owner)
	}
}
