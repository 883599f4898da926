package entry

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/wire"
)

// taskState is the state of one task of a job. The states after taskSent are final.
type taskState uint8

const (
	taskWaiting taskState = iota // waits for a start; not at any agent
	taskSent                     // at an agent, or held; the outcome is open
	taskDone
	taskFailed
	taskUnknown // may have run
	taskNotRun  // certainly did not start and will not
)

// job is one accepted submission. The dispatcher owns it; once done is closed, the
// answer does not change and any goroutine may read it.
type job struct {
	id        string
	account   string
	requestID string
	keyed     bool // owns an idempotency key
	template  *config.Template
	class     placement.Class
	// queueClass is the class of the job in the queue. Its needs are at least
	// those of class, because they are rounded up; see cpuRoundingStep.
	queueClass placement.Class
	expected   time.Duration // of one task
	arrived    time.Time
	deadline   time.Time // zero for a durable job
	count      int       // of tasks

	tasks         []wire.Task
	taskNames     []string         // names in the template, by task
	states        []taskState      // by task
	locations     []location       // of the tasks at agents, by task
	results       []wire.Result    // by task
	possiblyRan   []bool           // whether a previous attempt may have run, by task
	avoidedAgents map[int][]string // agents to avoid in the next attempt, by task
	// crashes has the tasks under whose runs a worker or an upstream crashed, by index.
	crashes     map[int]containment.History
	rackSpread  placement.Spread // racks of the tasks at agents
	resultBytes int64            // size of the results so far
	openTasks   int              // number of tasks without a final state

	// failure is why the job fails; nil while it can still succeed.
	failure      *jobFailure
	timer        *time.Timer // calls handleJobTimer; nil for a durable job
	queued       bool        // scheduleTasks was called
	leased       *leasedJob  // nil for a job of HTTP tasks
	answered     bool
	finalOutcome string // outcome once the job is answered
	answer       *answer
	done         chan struct{} // closed when the job is answered
}

// location is where a sent task is. It is zero for a task that is not at an agent.
type location struct {
	agent *agent
	task  *sentTask
}

// jobFailure is the cause of a job's failure.
type jobFailure struct {
	reason    wire.Reason
	detail    string
	awaitSent bool // answer only after the outcome of the sent tasks is known
}

// newJobID returns the identifier of job n of an entry process. It contains the
// identifier and the incarnation of the process, which owns the job.
func newJobID(self wire.EntryRef, n uint64) string {
	return fmt.Sprintf("%s-%s-%d", self.ID, self.Incarnation, n)
}

// parseJobID returns the entry and the incarnation in an identifier made by
// newJobID; ok is false for any other string.
func parseJobID(id string) (entry string, inc wire.Incarnation, ok bool) {
	rest, number, ok := cutLast(id)
	if !ok {
		return "", 0, false
	}
	if _, err := strconv.ParseUint(number, 10, 64); err != nil {
		return "", 0, false
	}
	entry, hex, ok := cutLast(rest)
	if !ok || entry == "" {
		return "", 0, false
	}
	n, err := strconv.ParseUint(hex, 16, 64)
	if err != nil || len(hex) != 16 {
		return "", 0, false
	}
	return entry, wire.Incarnation(n), true
}

// cutLast splits s at its last hyphen.
func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '-')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// setFinalState sets the final state of a task. A task that has a final state
// already is not counted again.
func (j *job) setFinalState(index int, st taskState) {
	if j.states[index] <= taskSent && st > taskSent {
		j.openTasks--
	}
	j.states[index] = st
}

// avoidAgent makes later attempts of a task prefer other agents.
func (j *job) avoidAgent(index int, agent string) {
	if j.avoidedAgents == nil {
		j.avoidedAgents = map[int][]string{}
	}
	if !slices.Contains(j.avoidedAgents[index], agent) {
		j.avoidedAgents[index] = append(j.avoidedAgents[index], agent)
	}
}

// inFlight reports whether any task was sent and its outcome is open.
func (j *job) inFlight() bool {
	for _, s := range j.states {
		if s == taskSent {
			return true
		}
	}
	return false
}

// outcome returns the outcome of a job that failed. It is OutcomeFailed if any task
// failed; otherwise a task whose outcome is open or unknown makes it
// OutcomeUnknown.
func (j *job) outcome() Outcome {
	if j.leased != nil {
		return j.leasedOutcome()
	}
	var failed, unknown, done bool
	for i, s := range j.states {
		switch {
		case s == taskFailed:
			failed = true
		case s == taskDone:
			done = true
		case s == taskUnknown, s == taskSent, j.possiblyRan[i]:
			unknown = true
		}
	}
	switch {
	case failed:
		return OutcomeFailed
	case unknown:
		return OutcomeUnknown
	case done:
		return OutcomeFailed
	default:
		return OutcomeNotRun
	}
}

// mayHaveRun returns the indexes of the tasks that ran or may have run.
func (j *job) mayHaveRun() []int {
	var out []int
	for i, s := range j.states {
		if s != taskWaiting && s != taskNotRun || j.possiblyRan[i] {
			out = append(out, i)
		}
	}
	return out
}
