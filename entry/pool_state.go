package entry

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"chicorytray.example/chicorytray/admission"
)

// StatePool describes this entry's load of a pool of leased-task workers. Work is in
// core-milliseconds.
type StatePool struct {
	Name string `json:"name"`
	// Template is that of the load if it is confined; its tasks count apart.
	Template  string `json:"template,omitempty"`
	Waiting   int    `json:"waiting"` // tasks
	Running   int    `json:"running"`
	WaitingMS int64  `json:"waiting_core_ms"`
	RunningMS int64  `json:"running_core_ms"`
	// CountedShare is the part of the pool's capacity that admission by objective counts
	// on.
	CountedShare float64 `json:"counted_share,omitempty"`
	// Objective has the waiting work by class and the shares of templates and accounts;
	// nil unless jobs are accepted by objective.
	Objective *admission.ObjectiveSnapshot `json:"objective,omitempty"`
}

func (d *dispatcher) dumpPools() []StatePool {
	var out []StatePool
	for key, p := range d.pools {
		s := StatePool{
			Waiting: p.waiting, Running: p.running,
			WaitingMS: int64(math.Round(p.waitingWork * coreMilliseconds)), RunningMS: int64(math.Round(p.runningWork * coreMilliseconds)),
		}
		s.Name, s.Template, _ = strings.Cut(key, "\x00") // see loadOf
		if p.objective != nil && !p.confined {
			o := p.objective.State(d.now)
			s.Objective, s.CountedShare = &o, d.countedShare(p, s.Name)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b StatePool) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Template, b.Template))
	})
	return out
}
