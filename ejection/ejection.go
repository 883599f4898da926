// Package ejection detects upstreams that fail or are slow.
//
// Each agent is judged by its last outcomes within a sliding window, and always
// against its peers. It is ejected when its failure rate is high and far above
// the median of the others, or when it failed more often in a row than an agent
// like the median would by chance while most others succeed. When most agents fail, the fault lies with the jobs
// or with something that all upstreams share, so none is ejected and those
// ejected return. The failures of one job at one agent count once, so a bad job
// ejects nobody. At most Options.MaxShare of the agents are ejected at a time.
//
// An ejected agent is probed after a pause: it gets work again at
// Options.ProbeWeight, returns after a few successes, and is ejected for twice
// as long after a few failures.
//
// An agent that takes much longer than its peers for the same expected work
// gets a weight below 1, by which the caller reduces its share of the work.
//
// # Use
//
// The caller calls Track when it learns of an agent and Forget when the agent
// left. It observes the outcome of every task that started, and calls Evaluate at
// a fixed interval. A Change of kind Eject means to send no more work; all others
// mean to use the agent with the given weight. Outcomes that say nothing about the
// upstream, such as a task that the caller cancelled, should not be observed, or
// observed as not failed without a duration.
//
// Detector reads no clock and takes no lock; the caller serialises its calls.
package ejection

import (
	"math"
	"slices"
	"time"
)

// Defaults of Options and constants of the rules.
const (
	// DefaultWindow is the age at which an outcome stops counting. Most
	// tasks last under 1 s, so an agent in use has many outcomes in it.
	DefaultWindow = 10 * time.Second
	// DefaultMaxEjectedShare of the agents that may be ejected at a time.
	DefaultMaxEjectedShare = 0.3
	// DefaultMinFailures of different jobs before an agent is ejected: the
	// fewest that tell a faulty upstream from a pair of faulty jobs.
	DefaultMinFailures = 3
	// DefaultMinFailureRate of failures at which an agent can be ejected.
	DefaultMinFailureRate = 0.5
	// DefaultPause before the first probe.
	DefaultPause = 5 * time.Second
	// DefaultMaxPause bounds the doubled pauses.
	DefaultMaxPause = 60 * time.Second
	// DefaultProbeWeight is the share of its slots that a probed agent uses.
	DefaultProbeWeight = 0.1
	// probeSuccesses restore a probed agent.
	probeSuccesses = 3
	// probeFailures of different jobs eject a probed agent again.
	probeFailures = 2
	// peerRateFactor is how many times the median failure rate of its peers an
	// ejected agent's rate must be. With 3, an agent that fails everything
	// is ejected only while the median of the others is below a third.
	peerRateFactor = 3.0
	// maxStreakProbability that an agent as good as its median peer fails so often in a
	// row that it is ejected. With peers that never fail, 4 failures are enough.
	maxStreakProbability = 1e-6
	// maxFailingPeerShare is the share of peers whose last outcome may be a failure
	// when an agent is ejected for failures in a row: when a fault begins at
	// all agents, most of them have failed once before one has often.
	maxFailingPeerShare = 1.0 / 3
	// slowFactor is how many times slower than the median an agent is
	// before its weight is reduced. Random durations of the same template
	// differ less than that in the median of 8 outcomes.
	slowFactor = 2.0
	// minTimedOutcomes outcomes are needed to judge an agent's speed.
	minTimedOutcomes = 8
	// minWeight bounds the weight of a slow agent, so that its recovery is seen.
	minWeight = 0.1
	// minWeightChange is the least relative change of a weight that is reported.
	minWeightChange = 0.2
)

// Options of a Detector. A zero field takes its default.
type Options struct {
	Window          time.Duration
	MaxEjectedShare float64
	MinFailures     int
	MinFailureRate  float64
	Pause           time.Duration
	MaxPause        time.Duration
	ProbeWeight     float64
}

// Outcome of one task at an agent. Cancelled tasks, and tasks that were refused
// or not sent, are no outcomes.
type Outcome struct {
	Failed   bool
	Took     time.Duration
	Expected time.Duration // 0 when not known: the outcome says nothing about speed
	Job      string
}

// Kind of a Change.
type Kind int

// Kinds of changes.
const (
	// Eject means that the agent must get no more work.
	Eject Kind = iota + 1
	// Probe means that the agent gets a little work again, by Change.Weight.
	Probe
	// Restore means that the agent is in normal use again.
	Restore
	// Weight means that the weight of an agent in use changed.
	Weight
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case Eject:
		return "eject"
	case Probe:
		return "probe"
	case Restore:
		return "restore"
	case Weight:
		return "weight"
	default:
		return "unknown"
	}
}

// Change is a decision about an agent that the caller applies.
type Change struct {
	Agent string
	Kind  Kind
	// Weight of the agent from now on: 0 for Eject, 1 for normal use.
	Weight float64
	// FailureRate and PeerRate (the median of the others), and Slowness
	// relative to the median agent, say why.
	FailureRate, PeerRate, Slowness float64
}

// state of an agent.
type state int

const (
	inUse state = iota
	ejected
	probing
)

// Detector judges agents.
type Detector struct {
	options Options
	agents  map[string]*agent
	ejected int
}

// agent is what is known about one agent.
type agent struct {
	id      string
	state   state
	history history
	weight  float64
	// slowness relative to the median agent at the last evaluation; 0 when not
	// known.
	slowness float64
	since    time.Time // of the state
	pause    time.Duration
	probes   struct{ succeeded, failed int }
}

// New returns a Detector without agents.
func New(o Options) *Detector {
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.MaxEjectedShare, DefaultMaxEjectedShare)
	setDefault(&o.MinFailures, DefaultMinFailures)
	setDefault(&o.MinFailureRate, DefaultMinFailureRate)
	setDefault(&o.Pause, DefaultPause)
	setDefault(&o.MaxPause, DefaultMaxPause)
	setDefault(&o.ProbeWeight, DefaultProbeWeight)
	return &Detector{options: o, agents: make(map[string]*agent)}
}

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Track makes an agent known before its first outcome, so that it counts in
// the number of which a share may be ejected.
func (d *Detector) Track(id string) { d.agent(id) }

// Remove drops an agent that left. It must be called, or the memory of agents
// that are replaced is never freed.
func (d *Detector) Remove(id string) {
	if a, ok := d.agents[id]; ok {
		if a.state == ejected {
			d.ejected--
		}
		delete(d.agents, id)
	}
}

// Observe records an outcome. The cost does not depend on the number of agents.
func (d *Detector) Observe(now time.Time, id string, o Outcome) {
	a := d.agent(id)
	counted := a.history.add(now, d.options.Window, o)
	if a.state == probing && counted {
		if o.Failed {
			a.probes.failed++
		} else {
			a.probes.succeeded++
		}
	}
}

// Slowness returns how many times slower than the median agent an agent in use
// was at the last Evaluate; 0 when that is not known. It goes by the
// quickest quarter of the agent's newest outcomes, relative to their expected
// duration: where one template has short and long tasks, an agent that had
// several long ones is not slow.
func (d *Detector) Slowness(id string) float64 {
	if a, ok := d.agents[id]; ok {
		return a.slowness
	}
	return 0
}

// Ejected returns the number of agents that are ejected now.
func (d *Detector) Ejected() int { return d.ejected }

// Len returns the number of known agents.
func (d *Detector) Len() int { return len(d.agents) }

func (d *Detector) agent(id string) *agent {
	a, ok := d.agents[id]
	if !ok {
		a = &agent{id: id, weight: 1}
		d.agents[id] = a
	}
	return a
}

// maxEjected is the greatest number of agents that may be ejected.
func (d *Detector) maxEjected() int {
	return int(math.Floor(d.options.MaxEjectedShare * float64(len(d.agents))))
}

// assessment is an agent in use with its figures.
type assessment struct {
	*agent
	stats
	slowness float64 // ratio relative to the median agent's; 0 when not known
}

// Evaluate decides about all agents and returns the changes, ordered by agent.
// It should be called at a fixed interval, such as every heartbeat, and may be
// called after a failure. The cost grows with the number of agents times its
// logarithm.
func (d *Detector) Evaluate(now time.Time) []Change {
	var changes []Change
	assessments := d.assess(now)
	if commonFault(assessments) {
		// Probes say nothing about an agent now and are judged later.
		changes = d.restoreEjected(now)
	} else {
		changes = append(d.startProbes(now), d.concludeProbes(now)...)
		changes = append(changes, d.ejectWorst(now, assessments)...)
	}
	changes = append(changes, d.updateWeights(assessments)...)
	changes = append(changes, d.enforceCap(now)...)
	slices.SortStableFunc(changes, func(a, b Change) int {
		switch {
		case a.Agent < b.Agent:
			return -1
		case a.Agent > b.Agent:
			return 1
		default:
			return 0
		}
	})
	return changes
}
