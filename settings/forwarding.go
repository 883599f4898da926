package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Forwarding says whether an entry passes jobs of leased tasks that it cannot serve on
// to another entry, and runs those of others. All entries should have the same.
type Forwarding struct {
	// Enabled turns it on. Default false.
	Enabled bool `json:"enabled"`
	// MaxPerPeer is the largest number of open forwards to one other entry, and from
	// one. At least 1. Default 64.
	MaxPerPeer int `json:"max_per_peer"`
	// MaxOpen is the largest number of open forwards to all other entries, and from
	// all. At least MaxPerPeer. Default 256.
	MaxOpen int `json:"max_open"`
	// Reasons are the reasons for which jobs are passed on: "stopping" (the entry stops
	// before the job can end), "no_agent" (it has no usable agent), "no_room" (admission
	// refuses the job) and "no_processor" (it is short of processor time, and another
	// entry is not; requires pool_loads). At least one, none twice. Default all but
	// "no_processor".
	Reasons []string `json:"reasons"`
}

// Reasons for which an entry passes jobs on.
const (
	ForwardStopping    = "stopping"
	ForwardNoAgent     = "no_agent"
	ForwardNoRoom      = "no_room"
	ForwardNoProcessor = "no_processor"
)

// ForwardReasons returns the accepted reasons.
func ForwardReasons() []string {
	return []string{ForwardStopping, ForwardNoAgent, ForwardNoRoom, ForwardNoProcessor}
}

func defaultForwarding() Forwarding {
	return Forwarding{
		MaxPerPeer: DefaultMaxForwardsPerPeer, MaxOpen: DefaultMaxForwards,
		Reasons: []string{ForwardStopping, ForwardNoAgent, ForwardNoRoom},
	}
}

// HasReason reports whether jobs are passed on for the reason.
func (f Forwarding) HasReason(reason string) bool {
	return f.Enabled && slices.Contains(f.Reasons, reason)
}

func (ps *problems) forwarding(f Forwarding, poolLoads bool) {
	ps.atLeast("forwarding.max_per_peer", int64(f.MaxPerPeer), 1)
	ps.atLeast("forwarding.max_open", int64(f.MaxOpen), int64(f.MaxPerPeer))
	accepted := "a list of one or more of " + strings.Join(ForwardReasons(), ", ") + ", each at most once"
	if len(f.Reasons) == 0 {
		ps.add("forwarding.reasons", "", accepted)
	}
	for i, r := range f.Reasons {
		switch {
		case !slices.Contains(ForwardReasons(), r), slices.Contains(f.Reasons[:i], r):
			ps.add(fmt.Sprintf("forwarding.reasons[%d]", i), r, accepted)
		case r == ForwardNoProcessor && !poolLoads:
			ps.add(fmt.Sprintf("forwarding.reasons[%d]", i), r, "no_processor only with pool_loads, which says how much room other entries have")
		}
	}
}
