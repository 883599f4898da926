package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// EntryState is a snapshot of an entry's demand as known to this entry, for a
// process's state dump.
type EntryState struct {
	ID     string             `json:"id"`
	Age    time.Duration      `json:"age_ns"` // since the demand was published or received
	Demand map[string]float64 `json:"demand"` // tasks per second by account
}

// State returns this entry, if it has published a demand, and the entries from
// which it has received one, ordered by identifier. Entries whose timeout has
// passed but that are not dropped yet are included.
func (s *Shares) State(now time.Time) []EntryState {
	states := make([]EntryState, 0, len(s.peers)+1)
	add := func(id string, published snapshot) {
		states = append(states, EntryState{ID: id, Age: now.Sub(published.at), Demand: maps.Clone(published.demand)})
	}
	if n := len(s.published); n > 0 {
		add(s.options.Self, s.published[n-1])
	}
	for id, peer := range s.peers {
		add(id, peer)
	}
	slices.SortFunc(states, func(a, b EntryState) int { return cmp.Compare(a.ID, b.ID) })
	return states
}
