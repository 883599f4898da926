package placement

import (
	"cmp"
	"slices"
)

// AgentState is a snapshot of a table's entry for an agent, for a process's state
// dump.
type AgentState struct {
	ID          string    `json:"id"`
	DataCentre  string    `json:"data_centre"`
	Rack        string    `json:"rack"`
	Usable      bool      `json:"usable"`
	Weight      float64   `json:"weight"`
	Slots       int       `json:"slots"` // reduced by the weight; 0 when not usable
	Reported    Load      `json:"reported"`
	SentSince   int       `json:"sent_since_report"`
	Outstanding int       `json:"outstanding"`
	Free        Resources `json:"free"`  // estimated
	Score       float64   `json:"score"` // see Candidate.Score
}

// State returns the known agents, ordered by identifier.
func (t *Table) State() []AgentState {
	states := make([]AgentState, 0, len(t.agents))
	for _, a := range t.agents {
		n := a.node()
		states = append(states, AgentState{
			ID: a.ID, DataCentre: a.DataCentre, Rack: a.Rack,
			Usable: a.usable, Weight: a.weight, Slots: n.slots,
			Reported: a.load, SentSince: a.sentSince, Outstanding: a.outstanding,
			Free: n.capacityFree, Score: n.maxScore,
		})
	}
	slices.SortFunc(states, func(a, b AgentState) int { return cmp.Compare(a.ID, b.ID) })
	return states
}
