package settings

import (
	"fmt"
	"time"
)

// Defaults of UnevenWorkers.
const (
	// DefaultUnevenMargin leaves half of the expected duration at a slow worker: declared
	// durations are off by up to 0.4.
	DefaultUnevenMargin = 1.5
	// DefaultMaxHold is about a third of the longest task of a usual load. A longer wait
	// is not known well enough to leave room unused for it.
	DefaultMaxHold = Duration(300 * time.Millisecond)
)

// UnevenWorkers says whether an entry learns the speeds of the workers of leased tasks
// and places tasks by the expected end. Entries with and without it may run together.
type UnevenWorkers struct {
	// Enabled turns it on. Not with the placement "random". Default false.
	Enabled bool `json:"enabled"`
	// Margin is the factor of the expected duration of a task that must be left until its
	// objective at a slow worker for the task to go there while a fast one has room. 1 to
	// 10. Default 1.5.
	Margin float64 `json:"margin"`
	// MaxHold is the longest expected wait for which a task waits for a fast worker while
	// only workers have room at which it would be late. 0s to 5s; 0s means that no task
	// waits. Default 300ms.
	MaxHold Duration `json:"max_hold"`
}

// longestMaxHold bounds UnevenWorkers.MaxHold. No task that has an objective lasts longer.
const longestMaxHold = 5 * time.Second

func defaultUnevenWorkers() UnevenWorkers {
	return UnevenWorkers{Margin: DefaultUnevenMargin, MaxHold: DefaultMaxHold}
}

func (ps *problems) unevenWorkers(u UnevenWorkers, placement string) {
	if u.Enabled && placement == PlacementRandom {
		ps.add("uneven_workers.enabled", "true", `false with the placement "`+PlacementRandom+`"`)
	}
	if !(u.Margin >= 1 && u.Margin <= 10) {
		ps.add("uneven_workers.margin", fmt.Sprint(u.Margin), "1 to 10")
	}
	if u.MaxHold < 0 || u.MaxHold.AsDuration() > longestMaxHold {
		ps.add("uneven_workers.max_hold", u.MaxHold.AsDuration().String(), "0s to 5s")
	}
}
