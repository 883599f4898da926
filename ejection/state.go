package ejection

import (
	"cmp"
	"slices"
	"time"
)

// AgentState is a snapshot of a detector's state of an agent, for a process's
// state dump.
type AgentState struct {
	ID       string        `json:"id"`
	State    string        `json:"state"` // in_use, ejected or probing
	Since    time.Time     `json:"since"` // zero if the state never changed
	Pause    time.Duration `json:"pause_ns"`
	Weight   float64       `json:"weight"`
	Outcomes int           `json:"outcomes"` // in the window
	Failures int           `json:"failures"` // of different jobs in the window
	Ratio    float64       `json:"ratio"`    // median of actual to expected duration; 0 if unknown
}

// String returns the state's name in the state dump.
func (s state) String() string {
	switch s {
	case inUse:
		return "in_use"
	case ejected:
		return "ejected"
	default:
		return "probing"
	}
}

// State returns the known agents, ordered by identifier.
func (d *Detector) State(now time.Time) []AgentState {
	states := make([]AgentState, 0, len(d.agents))
	for _, a := range d.agents {
		f := a.history.stats(now, d.options.Window)
		states = append(states, AgentState{
			ID: a.id, State: a.state.String(), Since: a.since, Pause: a.pause,
			Weight: a.weight, Outcomes: f.outcomes, Failures: f.failures, Ratio: f.medianRatio,
		})
	}
	slices.SortFunc(states, func(a, b AgentState) int { return cmp.Compare(a.ID, b.ID) })
	return states
}
