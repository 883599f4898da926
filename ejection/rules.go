package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// assess returns the agents in use that have outcomes in the window, ordered by
// identifier, and sets the slowness of all agents.
func (d *Detector) assess(now time.Time) []assessment {
	var list []assessment
	var ratios []float64
	for _, a := range d.agents {
		a.slowness = 0
		if a.state != inUse {
			continue
		}
		f := a.history.stats(now, d.options.Window)
		if f.outcomes == 0 {
			continue
		}
		list = append(list, assessment{agent: a, stats: f, slowness: f.medianRatio})
		if f.medianRatio > 0 {
			ratios = append(ratios, f.medianRatio)
		}
	}
	slices.Sort(ratios)
	for i := range list {
		if list[i].slowness > 0 {
			// This is the lower median, so that the reference does not rise
			// if half of the agents are slow.
			median := ratios[(len(ratios)-1)/2]
			list[i].slowness /= median
			list[i].agent.slowness = list[i].lowerQuartile / median
		}
	}
	slices.SortFunc(list, func(a, b assessment) int { return cmp.Compare(a.id, b.id) })
	return list
}

// commonFault reports whether more than half of the agents in use fail so often
// that no agent's failure rate can exceed theirs by peerRateFactor. Agents with a
// single failed job are not counted, because one bad job can reach every agent.
func commonFault(list []assessment) bool {
	failing := 0
	for _, a := range list {
		if a.failures > 1 && a.rate() >= 1/peerRateFactor {
			failing++
		}
	}
	return 2*failing > len(list)
}

// peers holds the statistics of all assessed agents, with which one is compared.
type peers struct {
	rates   []float64 // failure rates, ascending
	failing int       // number of agents whose last outcome was a failure
}

func peersOf(list []assessment) peers {
	var p peers
	for _, a := range list {
		p.rates = append(p.rates, a.rate())
		if a.streak > 0 {
			p.failing++
		}
	}
	slices.Sort(p.rates)
	return p
}

// median returns the median failure rate of all agents except one with rate r.
// With an even number it is the upper of the two middle rates, which ejects fewer
// agents. There must be at least two agents.
func (p peers) median(r float64) float64 {
	own, _ := slices.BinarySearch(p.rates, r)
	middle := (len(p.rates) - 1) / 2
	if middle >= own {
		middle++
	}
	return p.rates[middle]
}

// faulty reports whether an agent fails far more often than its peers, and returns
// the median failure rate of the peers.
func (d *Detector) faulty(a assessment, p peers) (median float64, faulty bool) {
	others := len(p.rates) - 1
	if others < 1 || a.failures < d.options.MinFailures {
		return 0, false
	}
	rate := a.rate()
	median = p.median(rate)
	if rate >= d.options.MinFailureRate && rate >= peerRateFactor*median {
		return median, true
	}
	if a.streak == 0 || float64(p.failing-1) > maxFailingPeerShare*float64(others) {
		return median, false
	}
	// A median of 0 only shows that the rate is below one in historySize.
	probability := math.Pow(max(median, 1.0/historySize), float64(a.streak))
	return median, a.streak >= d.options.MinFailures && probability <= maxStreakProbability
}

// ejectWorst ejects the faulty agents, worst first, up to maxEjected.
func (d *Detector) ejectWorst(now time.Time, list []assessment) []Change {
	var changes []Change
	p := peersOf(list)
	candidates := slices.Clone(list)
	slices.SortStableFunc(candidates, func(a, b assessment) int {
		return cmp.Or(cmp.Compare(b.streak, a.streak), cmp.Compare(b.rate(), a.rate()))
	})
	for _, a := range candidates {
		if d.ejected >= d.maxEjected() {
			break
		}
		if median, faulty := d.faulty(a, p); faulty {
			d.eject(now, a.agent)
			changes = append(changes, Change{Agent: a.id, Kind: Eject, FailureRate: a.rate(), PeerRate: median})
		}
	}
	return changes
}

// eject ejects an agent. The pause before the first probe is doubled if the
// agent's last change of state is less than Options.MaxPause ago.
func (d *Detector) eject(now time.Time, a *agent) {
	recently := a.pause > 0 && now.Sub(a.since) < d.options.MaxPause
	if recently {
		a.pause = min(2*a.pause, d.options.MaxPause)
	} else {
		a.pause = d.options.Pause
	}
	a.state, a.since, a.weight = ejected, now, 0
	a.history.clear()
	d.ejected++
}

func (d *Detector) restore(now time.Time, a *agent) Change {
	if a.state == ejected {
		d.ejected--
	}
	a.state, a.since, a.weight = inUse, now, 1
	return Change{Agent: a.id, Kind: Restore, Weight: 1}
}

func (d *Detector) startProbe(now time.Time, a *agent) Change {
	d.ejected--
	a.state, a.since, a.weight = probing, now, d.options.ProbeWeight
	a.probes.succeeded, a.probes.failed = 0, 0
	a.history.clear()
	return Change{Agent: a.id, Kind: Probe, Weight: a.weight}
}

// restoreEjected restores all ejected agents, because of a common fault.
func (d *Detector) restoreEjected(now time.Time) []Change {
	var changes []Change
	for _, a := range d.agents {
		if a.state == ejected {
			a.history.clear()
			changes = append(changes, d.restore(now, a))
		}
	}
	return changes
}

// startProbes starts probing the agents whose pause is over.
func (d *Detector) startProbes(now time.Time) []Change {
	var changes []Change
	for _, a := range d.agents {
		if a.state == ejected && now.Sub(a.since) >= a.pause {
			changes = append(changes, d.startProbe(now, a))
		}
	}
	return changes
}

// concludeProbes restores the probed agents with enough successes and ejects those
// with too many failures.
func (d *Detector) concludeProbes(now time.Time) []Change {
	var changes []Change
	for _, a := range d.agents {
		switch {
		case a.state != probing:
		case a.probes.failed >= probeFailures:
			if d.ejected < d.maxEjected() {
				rate := float64(a.probes.failed) / float64(a.probes.failed+a.probes.succeeded)
				d.eject(now, a)
				changes = append(changes, Change{Agent: a.id, Kind: Eject, FailureRate: rate})
			}
		case a.probes.succeeded >= probeSuccesses:
			changes = append(changes, d.restore(now, a))
		}
	}
	return changes
}

// updateWeights sets the weights of the agents in use according to their slowness.
func (d *Detector) updateWeights(list []assessment) []Change {
	var changes []Change
	for _, a := range list {
		if a.state != inUse || a.slowness == 0 {
			continue
		}
		weight := 1.0
		if a.slowness > slowFactor {
			weight = max(1/a.slowness, minWeight)
		}
		if weight != a.weight && (weight == 1 || math.Abs(weight-a.weight) >= minWeightChange*a.weight) {
			a.weight = weight
			changes = append(changes, Change{Agent: a.id, Kind: Weight, Weight: weight, Slowness: a.slowness})
		}
	}
	return changes
}

// enforceCap starts probing the agents that were ejected first when the number of
// ejected agents exceeds the maximum because other agents were removed.
func (d *Detector) enforceCap(now time.Time) []Change {
	var changes []Change
	for d.ejected > d.maxEjected() {
		var oldest *agent
		for _, a := range d.agents {
			if a.state == ejected && (oldest == nil || a.since.Before(oldest.since) || a.since.Equal(oldest.since) && a.id < oldest.id) {
				oldest = a
			}
		}
		changes = append(changes, d.startProbe(now, oldest))
	}
	return changes
}
