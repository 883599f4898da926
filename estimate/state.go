package estimate

import (
	"cmp"
	"slices"
	"time"
)

// TemplateState is a snapshot of the estimate for a template, for a process's
// state dump.
type TemplateState struct {
	Template string        `json:"template"`
	Mean     time.Duration `json:"mean_ns"`
	Samples  int           `json:"samples"`
}

// State returns the estimates of the templates kept, ordered by name.
func (d *Durations) State() []TemplateState {
	states := make([]TemplateState, 0, d.Len())
	for e := d.lru.Front(); e != nil; e = e.Next() {
		s := e.Value.(*templateSamples)
		states = append(states, TemplateState{Template: s.template, Mean: s.winsorisedMean(), Samples: s.count})
	}
	slices.SortFunc(states, func(a, b TemplateState) int { return cmp.Compare(a.Template, b.Template) })
	return states
}
