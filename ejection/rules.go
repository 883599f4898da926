package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// judge returns the agents in use that have outcomes in the window.
func (d *Detector) judge(now time.Time) []judged {
	var list []judged
	var ratios []float64
	for _, a := range d.agents {
		if a.state != inUse {
			continue
		}
		failures, outcomes, ratio := a.history.figures(now, d.options.Window)
		if outcomes == 0 {
			continue
		}
		list = append(list, judged{agent: a, failures: failures, rate: float64(failures) / float64(outcomes), slowness: ratio})
		if ratio > 0 {
			ratios = append(ratios, ratio)
		}
	}
	slices.Sort(ratios)
	for i := range list {
		if list[i].slowness > 0 {
			// Half of the agents may be slow without raising the reference.
			list[i].slowness /= ratios[(len(ratios)-1)/2]
		}
	}
	slices.SortFunc(list, func(a, b judged) int { return cmp.Compare(a.id, b.id) })
	return list
}

func sortedRates(list []judged) []float64 {
	rates := make([]float64, len(list))
	for i, a := range list {
		rates[i] = a.rate
	}
	slices.Sort(rates)
	return rates
}

// commonFault reports that more than half of the agents in use fail so often
// that no agent could be ejected for failing more. Agents with a single failed
// job do not count, because one bad job can reach every agent.
func commonFault(list []judged) bool {
	failing := 0
	for _, a := range list {
		if a.failures > 1 && a.rate >= 1/peerFactor {
			failing++
		}
	}
	return 2*failing > len(list)
}

// medianOfOthers returns the median of the sorted rates without one of value r.
func medianOfOthers(rates []float64, r float64) (float64, bool) {
	n := len(rates) - 1
	if n < 1 {
		return 0, false
	}
	own, _ := slices.BinarySearch(rates, r)
	middle := n / 2 // the upper of two, which ejects less
	if middle >= own {
		middle++
	}
	return rates[middle], true
}

// ejectWorst ejects the agents whose rate is far above that of their peers,
// worst first, as far as the cap allows.
func (d *Detector) ejectWorst(now time.Time, list []judged, rates []float64) []Change {
	var changes []Change
	candidates := slices.Clone(list)
	slices.SortStableFunc(candidates, func(a, b judged) int { return cmp.Compare(b.rate, a.rate) })
	for _, a := range candidates {
		if d.ejected >= d.maxEjected() || a.rate < d.options.MinRate {
			break
		}
		peers, ok := medianOfOthers(rates, a.rate)
		if !ok || a.failures < d.options.MinFailures || a.rate < peerFactor*peers {
			continue
		}
		d.eject(now, a.agent)
		changes = append(changes, Change{Agent: a.id, Kind: Eject, FailureRate: a.rate, PeerRate: peers})
	}
	return changes
}

// eject pauses an agent, for twice as long if it was ejected lately.
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

func (d *Detector) probe(now time.Time, a *agent) Change {
	d.ejected--
	a.state, a.since, a.weight = probing, now, d.options.ProbeWeight
	a.successes, a.failures = 0, 0
	a.history.clear()
	return Change{Agent: a.id, Kind: Probe, Weight: a.weight}
}

// restoreEjected ends all ejections because the fault is common to all agents.
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

// endPauses begins to probe the agents whose pause is over.
func (d *Detector) endPauses(now time.Time) []Change {
	var changes []Change
	for _, a := range d.agents {
		if a.state == ejected && now.Sub(a.since) >= a.pause {
			changes = append(changes, d.probe(now, a))
		}
	}
	return changes
}

// endProbes restores probed agents that succeeded and ejects those that failed.
func (d *Detector) endProbes(now time.Time) []Change {
	var changes []Change
	for _, a := range d.agents {
		switch {
		case a.state != probing:
		case a.failures >= probeFailures:
			if d.ejected < d.maxEjected() {
				rate := float64(a.failures) / float64(a.failures+a.successes)
				d.eject(now, a)
				changes = append(changes, Change{Agent: a.id, Kind: Eject, FailureRate: rate})
			}
		case a.successes >= probeSuccesses:
			changes = append(changes, d.restore(now, a))
		}
	}
	return changes
}

// reweigh sets the weights of agents in use by their speed.
func (d *Detector) reweigh(list []judged) []Change {
	var changes []Change
	for _, a := range list {
		if a.state != inUse || a.slowness == 0 {
			continue
		}
		weight := 1.0
		if a.slowness > slowFactor {
			weight = max(1/a.slowness, minWeight)
		}
		if weight != a.weight && (weight == 1 || math.Abs(weight-a.weight) >= weightStep*a.weight) {
			a.weight = weight
			changes = append(changes, Change{Agent: a.id, Kind: Weight, Weight: weight, Slowness: a.slowness})
		}
	}
	return changes
}

// keepCap probes the longest ejected agents early when others left and the
// share of ejected ones rose above the cap.
func (d *Detector) keepCap(now time.Time) []Change {
	var changes []Change
	for d.ejected > d.maxEjected() {
		var oldest *agent
		for _, a := range d.agents {
			if a.state == ejected && (oldest == nil || a.since.Before(oldest.since) || a.since.Equal(oldest.since) && a.id < oldest.id) {
				oldest = a
			}
		}
		changes = append(changes, d.probe(now, oldest))
	}
	return changes
}
