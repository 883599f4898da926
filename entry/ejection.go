package entry

import "chicorytray.example/chicorytray/ejection"

// evaluateAgents applies the decisions of the detection of faulty upstreams: it
// ejects agents, restores them and sets their weights. It runs once per heartbeat
// interval, and at the next tick after a task failed.
func (d *dispatcher) evaluateAgents() {
	if d.now.Before(d.nextEvaluation) {
		return
	}
	d.nextEvaluation = d.now.Add(d.timing.Heartbeat.AsDuration())
	for _, c := range d.detector.Evaluate(d.now) {
		a := d.agents[c.Agent]
		if a == nil || c.Kind == ejection.Weight && d.uneven.pools[a.ref.Pool] != nil {
			continue // package speed decides about slow workers
		}
		d.log.Warn().Str("agent", c.Agent).Str("change", c.Kind.String()).Float64("weight", c.Weight).
			Float64("failure_rate", c.FailureRate).Float64("peer_rate", c.PeerRate).Float64("slowness", c.Slowness).
			Msg("agent's weight changed by the detection of faulty upstreams")
		if c.Kind == ejection.Eject {
			d.metrics.ejections.Inc(1)
		}
		if c.Kind == ejection.Weight {
			d.metrics.weightChanges.Inc(1)
		}
		a.ejected = c.Kind == ejection.Eject
		a.weight = c.Weight
		d.doubtSpeed(a, c.Kind == ejection.Probe)
		d.applyWeight(a)
		d.updateUsable(a)
	}
	d.evaluateSpeeds()
}
