// Package ejection detects upstreams that fail or are slow (outlier ejection).
//
// Each agent is evaluated by its last outcomes within a sliding window, and always
// relative to its peers. It is ejected when its failure rate is high and far above
// the median of the others, or when it has failed more often in a row than an
// agent with the median failure rate would by chance while most others succeed.
// When most agents fail, the cause is the jobs or something that all upstreams
// share, so no agent is ejected and the ejected ones are restored. The failures of
// one job at one agent count once, so a single bad job ejects no agent. At most
// Options.MaxEjectedShare of the agents are ejected at a time.
//
// An ejected agent is probed after a pause: it gets work again at
// Options.ProbeWeight. It is restored after a few successes, and ejected for twice
// as long after a few failures.
//
// An agent that takes much longer than its peers for the same expected work
// gets a weight below 1, by which the caller reduces its share of the work.
//
// # Use
//
// The caller calls Track when it learns of an agent and Remove when the agent
// leaves. It passes the outcome of every started task to Observe, and calls
// Evaluate at a fixed interval. A Change of kind Eject means that the agent gets
// no more work; all other kinds mean that it is used with the given weight.
// Outcomes that say nothing about the upstream, such as that of a task that the
// caller cancelled, should not be observed, or be observed as not failed and
// without a duration.
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
	// DefaultMaxEjectedShare is the fraction of the agents that may be ejected
	// at a time.
	DefaultMaxEjectedShare = 0.3
	// DefaultMinFailures is the number of failures, of different jobs, that an
	// agent must have to be ejected. Three is the smallest number that
	// distinguishes a faulty upstream from two faulty jobs.
	DefaultMinFailures = 3
	// DefaultMinFailureRate is the failure rate from which an agent can be
	// ejected.
	DefaultMinFailureRate = 0.5
	// DefaultPause is the time between an ejection and the first probe.
	DefaultPause = 5 * time.Second
	// DefaultMaxPause limits the pause, which doubles on repeated ejection.
	DefaultMaxPause = 60 * time.Second
	// DefaultProbeWeight is the fraction of its slots that a probed agent uses.
	DefaultProbeWeight = 0.1
	// probeSuccesses is the number of successes that restore a probed agent.
	probeSuccesses = 3
	// probeFailures is the number of failures, of different jobs, that eject a
	// probed agent again.
	probeFailures = 2
	// peerRateFactor is the least ratio of an ejected agent's failure rate to
	// the median of its peers. With 3, an agent that fails every task is
	// ejected only while the median of the others is at most a third.
	peerRateFactor = 3.0
	// maxStreakProbability limits ejections for failures in a row. An agent is
	// ejected if an agent with the failure rate of its median peer would fail so
	// often in a row by chance with at most this probability. With peers that
	// never fail, 4 failures are enough.
	maxStreakProbability = 1e-6
	// maxFailingPeerShare is the largest fraction of peers whose last outcome
	// is a failure at which an agent is ejected for failures in a row. When a
	// fault begins at all agents, most of them have failed once before one of
	// them has failed often.
	maxFailingPeerShare = 1.0 / 3
	// slowFactor is how many times slower than the median an agent must be
	// for its weight to be reduced. Medians of 8 outcomes with random durations
	// of the same template differ by less than that.
	slowFactor = 2.0
	// minTimedOutcomes is the number of timed outcomes from which an agent's
	// speed is evaluated.
	minTimedOutcomes = 8
	// minWeight is the least weight of a slow agent. It keeps the agent in
	// use, so that its recovery is detected.
	minWeight = 0.1
	// minWeightChange is the least relative change of a weight that is reported.
	minWeightChange = 0.2
)

// Options configures a Detector. A zero field takes its default.
type Options struct {
	Window          time.Duration
	MaxEjectedShare float64
	MinFailures     int
	MinFailureRate  float64
	Pause           time.Duration
	MaxPause        time.Duration
	ProbeWeight     float64
}

// Outcome is the outcome of one task at an agent. Cancelled tasks, and tasks that
// were refused or not sent, have no outcome.
type Outcome struct {
	Failed   bool
	Took     time.Duration
	Expected time.Duration // 0 if unknown; the outcome is then not used to evaluate speed
	Job      string
}

// Kind is the kind of a Change.
type Kind int

// Kinds of a Change.
const (
	// Eject means that the agent must get no more work.
	Eject Kind = iota + 1
	// Probe means that the agent gets a little work again, according to
	// Change.Weight.
	Probe
	// Restore means that the agent is in normal use again.
	Restore
	// Weight means that the weight of an agent in use has changed.
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

// Change is a decision about an agent, to be applied by the caller.
type Change struct {
	Agent string
	Kind  Kind
	// Weight is the new weight of the agent: 0 for Eject, 1 for normal use.
	Weight float64
	// FailureRate and PeerRate, the median failure rate of the other agents,
	// are the reason for Eject. Slowness, relative to the median agent, is the
	// reason for Weight.
	FailureRate, PeerRate, Slowness float64
}

// state is the state of an agent.
type state int

const (
	inUse state = iota
	ejected
	probing
)

// Detector decides which agents are ejected, and the weights of the others.
type Detector struct {
	options Options
	agents  map[string]*agent
	ejected int
}

// agent is the state of one agent.
type agent struct {
	id      string
	state   state
	history history
	weight  float64
	// slowness is relative to the median agent at the last evaluation; 0 if
	// unknown.
	slowness float64
	since    time.Time     // when the state began
	pause    time.Duration // length of the last ejection; 0 before the first
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

// Track adds an agent before its first outcome, so that it is included in the
// number of agents of which a fraction may be ejected.
func (d *Detector) Track(id string) { d.agent(id) }

// Remove deletes an agent that left. It must be called for every such agent;
// otherwise the memory used for replaced agents is never freed.
func (d *Detector) Remove(id string) {
	if a, ok := d.agents[id]; ok {
		if a.state == ejected {
			d.ejected--
		}
		delete(d.agents, id)
	}
}

// Observe records an outcome of a task at an agent, and adds the agent if it is
// unknown. The cost does not depend on the number of agents.
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
// was at the last Evaluate, or 0 if that is unknown. It uses the lower quartile of
// the agent's newest durations relative to the expected ones. If a template has
// both short and long tasks, an agent is then not considered slow because it ran
// several long ones.
func (d *Detector) Slowness(id string) float64 {
	if a, ok := d.agents[id]; ok {
		return a.slowness
	}
	return 0
}

// Ejected returns the number of ejected agents.
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

// maxEjected returns the largest number of agents that may be ejected at a time.
func (d *Detector) maxEjected() int {
	return int(math.Floor(d.options.MaxEjectedShare * float64(len(d.agents))))
}

// assessment is an agent in use with its statistics.
type assessment struct {
	*agent
	stats
	slowness float64 // medianRatio relative to that of the median agent; 0 if unknown
}

// Evaluate evaluates all agents and returns the changes, ordered by agent. It
// should be called at a fixed interval, such as every heartbeat, and may also be
// called after a failure. The cost is O(n log n) in the number of agents.
func (d *Detector) Evaluate(now time.Time) []Change {
	var changes []Change
	assessments := d.assess(now)
	if commonFault(assessments) {
		// The outcomes of probes say nothing about an agent during a common
		// fault; the probes are concluded in a later evaluation.
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
