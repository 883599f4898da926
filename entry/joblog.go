package entry

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// maxJobLogLines limits the lines a second of a jobLog.
	maxJobLogLines = 40
	// maxFormerJobs limits the jobs that formerJobs remembers.
	maxFormerJobs = 10_000
)

// endProof is why a task without a listed end of its run is not at its agent any more.
type endProof string

const (
	proofReconcile  endProof = "reconcile_passed"  // since its session came into doubt
	proofReplaced   endProof = "agent_replaced"    // and the reconciliation deadline passed
	proofRecordLost endProof = "start_record_lost" // by the agent, and the deadline passed
	proofAbsent     endProof = "absent_from_list"  // of the agent's next session
	proofReported   endProof = "reported_interrupted"
)

// jobLog writes lines about exceptional decisions on jobs of leased tasks, at most
// maxJobLogLines a second, and counts those that it leaves out. Callers that leave have
// one of their own: a reset of all connections would crowd the other lines out.
type jobLog struct {
	log     zerolog.Logger
	dropped tally.Counter
	second  time.Time // beginning of the second in which lines are counted
	lines   int
	left    int // out since the last line that said so
}

// line returns the event of a line, and nil, which writes nothing, if there were too many.
func (l *jobLog) line(now time.Time) *zerolog.Event {
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
		if l.left > 0 {
			l.log.Warn().Int("lines", l.left).Msg("lines about jobs were left out")
			l.left = 0
		}
	}
	if l.lines >= maxJobLogLines {
		l.left++
		l.dropped.Inc(1)
		return nil
	}
	l.lines++
	return l.log.Warn()
}

// logJob returns the event of a line about a job.
func (d *dispatcher) logJob(l *jobLog, j *job) *zerolog.Event {
	return l.line(d.now).Str("caller_job", j.leased.identifier).Str("job", j.id).Dur("after_ms", d.now.Sub(j.arrived))
}

// logSentAgain logs a task that returns to the queue although no end of its run was
// listed.
func (d *dispatcher) logSentAgain(j *job, index int, agent string, session uint64, proof endProof, reason string) {
	if j.leased == nil || j.failure != nil || proof == "" {
		return
	}
	d.metrics.countSentAgain(proof)
	d.logJob(&d.jobLog, j).Int("task", index).Str("agent", agent).Uint64("session", session).Str("proof", string(proof)).
		Str("reason", reason).Msg("task is sent again")
}

// logCallersLeft logs a job that is cancelled because its callers left.
func (d *dispatcher) logCallersLeft(j *job) {
	var agents []string
	for _, l := range j.locations {
		if l.agent != nil && !slices.Contains(agents, l.agent.ref.ID) {
			agents = append(agents, l.agent.ref.ID)
		}
	}
	d.metrics.callersLeft.Inc(1)
	d.logJob(&d.leftLog, j).Int("open_runs", j.leased.openRuns).Strs("agents", agents).Msg("callers left")
}

// logJoined logs a submission that joins a job.
func (d *dispatcher) logJoined(j *job) {
	d.metrics.submissionsJoined.Inc(1)
	d.logJob(&d.jobLog, j).Bool("answered", j.answered).Int("callers", len(j.leased.callers)).Int("open_runs", j.leased.openRuns).
		Msg("submission joins a job")
}

// logGone logs a submission whose caller had left before it was handled.
func (d *dispatcher) logGone(identifier string) {
	d.metrics.callersGone.Inc(1)
	d.jobLog.line(d.now).Str("caller_job", identifier).Msg("submission of a caller that has left")
}

// logRepeated logs a submission of a job that this entry had shortly before.
func (d *dispatcher) logRepeated(j, earlier *job) {
	f := d.formerJobs.get(j.leased.identifier, d.now)
	if earlier != nil {
		f = formerOf(earlier, d.now)
	}
	if f == nil {
		return
	}
	d.metrics.submissionsRepeated.Inc(1)
	d.logJob(&d.jobLog, j).Str("former_job", f.job).Str("former_outcome", f.outcome).Str("former_reason", f.reason).
		Dur("former_age_ms", d.now.Sub(f.arrived)).Int("former_open_runs", f.openRuns).Msg("job was here before")
}

// formerJob is a job whose answer a repetition does not get.
type formerJob struct {
	identifier, job, outcome, reason string
	arrived, forgotten               time.Time
	openRuns                         int
}

func formerOf(j *job, now time.Time) *formerJob {
	f := &formerJob{identifier: j.leased.identifier, job: j.id, outcome: j.finalOutcome, arrived: j.arrived, forgotten: now, openRuns: j.leased.openRuns}
	if j.failure != nil {
		f.reason = string(j.failure.reason)
	}
	return f
}

// formerJobs remembers for leasedAnswerRetention the jobs that a dispatcher forgot, by
// the callers' identifiers. The zero value is empty.
type formerJobs struct {
	jobs   map[string]*formerJob
	oldest []*formerJob // in the order in which they were forgotten
}

func (f *formerJobs) add(j *formerJob) {
	if f.jobs == nil {
		f.jobs = map[string]*formerJob{}
	}
	f.jobs[j.identifier] = j
	f.oldest = append(f.oldest, j)
	for len(f.oldest) > maxFormerJobs || j.forgotten.Sub(f.oldest[0].forgotten) > leasedAnswerRetention {
		if first := f.oldest[0]; f.jobs[first.identifier] == first {
			delete(f.jobs, first.identifier)
		}
		f.oldest = f.oldest[1:]
	}
}

// get returns the job with the identifier; nil if it is not known.
func (f *formerJobs) get(identifier string, now time.Time) *formerJob {
	if j := f.jobs[identifier]; j != nil && now.Sub(j.forgotten) <= leasedAnswerRetention {
		return j
	}
	return nil
}
