package agent

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/lease"
)

// maxRunLines limits the log lines a second about runs that ended otherwise than by
// their listed end or the worker's refusal. A worker that crashes has a few dozen runs,
// so that most runs of a burst of faults are logged.
const maxRunLines = 60

// countingSampler counts the lines that its sampler drops.
type countingSampler struct {
	zerolog.Sampler
	dropped tally.Counter
}

// Sample implements zerolog.Sampler.
func (s countingSampler) Sample(l zerolog.Level) bool {
	if s.Sampler.Sample(l) {
		return true
	}
	s.dropped.Inc(1)
	return false
}

// newRunLog returns the logger of lines about single runs.
func (a *Agent) newRunLog() zerolog.Logger {
	burst := &zerolog.BurstSampler{Burst: maxRunLines, Period: time.Second}
	return a.log.Sample(countingSampler{burst, a.metrics.runLinesDropped})
}

// recordRemoval logs and counts the removal of a run from the table, unless its end
// was listed or its start refused. The caller holds mu.
func (l *leasedExecutor) recordRemoval(life *life, at *attempt, r lease.RemovedRun) {
	counter := l.agent.metrics.runsRemoved[r.Proof]
	if counter == nil {
		return
	}
	counter.Inc(1)
	e := l.runLine(life, at, r.Run).Str("proof", string(r.Proof)).Str("outcome", string(r.Outcome))
	if life.endCause != "" {
		e = e.Str("life_ended_by", life.endCause)
	}
	e.Msg("run_removed")
}

// recordStop logs and counts that a run has to end because its session lapsed, its
// entry cancelled it, or its deadline passed. The caller holds mu.
func (l *leasedExecutor) recordStop(ctx context.Context, at *attempt) {
	if at.processCtx.Err() != nil {
		return
	}
	l.agent.metrics.runsStopOrdered.Inc(1)
	l.runLine(at.life, at, at.order.Run).Str("reason", string(leasedReasonOf(ctx, ""))).Msg("run_stop_ordered")
}

// runLine begins a log line about a run: job and task as the caller knows them, the
// worker, the entry that sent the task and the time since its start was ordered. The
// caller holds mu.
func (l *leasedExecutor) runLine(life *life, at *attempt, run lease.Run) *zerolog.Event {
	known := life.runs.Life()
	e := l.agent.runLog.Warn().Str("caller_job", run.Task.Job).Int("step", run.Task.Step).Int("task", run.Task.Index).
		Uint64("run", run.Number).Str("worker", known.ID).Int64("born", known.Born)
	if at == nil || !e.Enabled() {
		return e
	}
	if t := l.taskOf(at, run); t != nil {
		e = e.Str("entry", t.owner.Entry).Uint64("session", t.key.Session)
	}
	return e.Str("job", at.job).Dur("ordered_ms_ago", time.Since(at.orderedAt))
}

// taskOf returns the task of an attempt, nil if it has ended. The caller holds mu.
func (l *leasedExecutor) taskOf(at *attempt, run lease.Run) *task {
	for _, t := range l.agent.tasks {
		if t.cancel != nil && t.task.Job == at.job && leaseTask(t.task) == run.Task {
			return t
		}
	}
	return nil
}
