package entry

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/wire"
)

type taskState uint8

const (
	taskWaiting taskState = iota // in the queue, not at any agent
	taskSent                     // at an agent, outcome open
	taskDone
	taskFailed
	taskUnknown
	taskNotRun // withdrawn before any start
)

// job is one accepted submission. The dispatcher owns it until done is closed;
// afterwards answer is read-only.
type job struct {
	id        string
	account   string
	requestID string
	keyed     bool // owns an Idempotency-Key
	template  *config.Template
	class     placement.Class
	// queueClass is the class of the job in the queue. Its needs are at least
	// those of the tasks.
	queueClass placement.Class
	expected   time.Duration
	arrived    time.Time
	deadline   time.Time
	count      int

	tasks         []wire.Task
	taskNames     []string // of the template's tasks, by index
	states        []taskState
	locations     []location // of sent tasks, by index
	results       []wire.Result
	possiblyRan   []bool           // an earlier attempt has an unknown outcome
	avoidedAgents map[int][]string // agents to avoid for the next attempt, by task
	rackSpread    placement.Spread // of tasks at agents
	resultBytes   int64            // of results so far
	openTasks     int              // tasks without a final state

	// failure is the failure decided for the job; nil while it can succeed.
	failure      *jobFailure
	timer        *time.Timer
	queued       bool       // handed to the queue
	leased       *leasedJob // nil for a job of HTTP tasks
	answered     bool
	finalOutcome string // outcome of an answered job
	answer       *answer
	done         chan struct{}
}

// location of a sent task.
type location struct {
	agent *agent
	task  *sentTask
}

// jobFailure is a job's failure between its cause and its answer.
type jobFailure struct {
	reason    wire.Reason
	detail    string
	awaitSent bool // wait for the outcome of sent tasks before the answer
}

// newJobID returns an identifier that names the entry process that owns the job.
func newJobID(self wire.EntryRef, n uint64) string {
	return fmt.Sprintf("%s-%s-%d", self.ID, self.Incarnation, n)
}

// parseJobID returns the entry and incarnation that a job identifier names.
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

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '-')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// setFinalState gives a task its final state.
func (j *job) setFinalState(index int, st taskState) {
	if j.states[index] <= taskSent && st > taskSent {
		j.openTasks--
	}
	j.states[index] = st
}

// avoidAgent makes the next attempts of a task go to other agents if possible.
func (j *job) avoidAgent(index int, agent string) {
	if j.avoidedAgents == nil {
		j.avoidedAgents = map[int][]string{}
	}
	if !slices.Contains(j.avoidedAgents[index], agent) {
		j.avoidedAgents[index] = append(j.avoidedAgents[index], agent)
	}
}

// inFlight reports whether any task is at an agent with its outcome open.
func (j *job) inFlight() bool {
	for _, s := range j.states {
		if s == taskSent {
			return true
		}
	}
	return false
}

// outcome of a job that failed. A failed task decides it; otherwise a task
// whose outcome is open counts as unknown.
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

// mayHaveRun lists the tasks that ran or may have run.
func (j *job) mayHaveRun() []int {
	var out []int
	for i, s := range j.states {
		if s != taskWaiting && s != taskNotRun || j.possiblyRan[i] {
			out = append(out, i)
		}
	}
	return out
}
