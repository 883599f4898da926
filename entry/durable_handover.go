package entry

import (
	"context"
	"time"
)

// handOver gives up all durable jobs for a planned stop: their runs are
// stopped, what ended is stored, and the ownership lease is revoked, so that
// other entries continue the jobs at once.
func (e *Entry) handOver(ctx context.Context) {
	var done <-chan struct{}
	if !e.dispatcher.postAndWait(func(d *dispatcher) { done = d.beginHandOver() }) {
		return
	}
	t := e.settings.Timing
	// Runs that cannot be stopped end by Reconcile; what ended is stored within
	// a few calls of the store, or stays unsettled at its agent.
	waitCtx, cancel := context.WithTimeout(ctx, t.Reconcile.AsDuration()+3*t.StoreTimeout.AsDuration())
	defer cancel()
	select {
	case <-done:
	case <-waitCtx.Done():
		e.log.Warn().Msg("durable jobs were not all handed over; they are taken over when the lease ends")
		return
	}
	callCtx, cancelCall := context.WithTimeout(ctx, t.StoreTimeout.AsDuration())
	defer cancelCall()
	if err := e.keeper.HandOver(callCtx); err != nil {
		e.log.Warn().Err(err).Msg("ownership lease not revoked; durable jobs are taken over when it ends")
	}
}

// beginHandOver stops the runs of all durable jobs. The channel is closed when
// they have ended and every job was given up.
func (d *dispatcher) beginHandOver() <-chan struct{} {
	if d.durable.handOverDone == nil {
		d.durable.handOverDone = make(chan struct{})
	}
	for _, j := range d.durable.open {
		if u := j.leased.durable; u.stored < u.version && u.endState == "" {
			d.scheduleWrite(j, 0)
		}
		for i, s := range j.states {
			if l := j.locations[i]; s == taskSent && l.agent != nil {
				d.queueCancel(l.agent, l.task)
			}
		}
	}
	d.checkHandOver()
	return d.durable.handOverDone
}

// checkHandOver gives up the jobs of which no run goes on and whose record is
// stored.
func (d *dispatcher) checkHandOver() {
	if d.durable.handOverDone == nil {
		return
	}
	for _, j := range d.durable.open {
		u := j.leased.durable
		if u.endState == "" && j.leased.openRuns == 0 && u.stored >= u.version {
			d.giveUpDurable(j, "the entry is stopping")
		}
	}
	if len(d.durable.open)+len(d.durable.creating) > 0 {
		return
	}
	select {
	case <-d.durable.handOverDone:
	default:
		close(d.durable.handOverDone)
	}
}

// StateDurable describes the durable jobs of an entry.
type StateDurable struct {
	// Epoch of ownership; empty while there is none.
	Epoch string `json:"epoch"`
	// ValidMS is how long the ownership lease is valid; 0 if it is not.
	ValidMS int64 `json:"valid_ms"`
	// Jobs that are open, of which Recovering wait for agents' reports.
	Jobs       int `json:"jobs"`
	Recovering int `json:"recovering"`
	// Creating are the submissions whose record is being written.
	Creating int `json:"creating"`
	// PendingWrites are changes that are not stored.
	PendingWrites int `json:"pending_writes"`
	// Held are tasks that wait for the report of an agent that was lost.
	Held int `json:"held"`
}

// dumpDurable describes the durable jobs; nil for an entry that never had any.
func (d *dispatcher) dumpDurable() *StateDurable {
	if !d.durable.hadJobs {
		return nil
	}
	k := d.durable.keeper.Status()
	s := &StateDurable{
		Epoch: string(k.Epoch), Jobs: len(d.durable.open), Creating: len(d.durable.creating), PendingWrites: k.Pending,
	}
	if !k.ValidUntil.IsZero() {
		s.ValidMS = max(0, k.ValidUntil.Sub(d.now)).Milliseconds()
	}
	for _, j := range d.durable.open {
		if j.leased.durable.recovery != nil {
			s.Recovering++
		}
	}
	for _, h := range d.held {
		if durableOf(h.job) != nil {
			s.Held++
		}
	}
	return s
}

// updateDurableGauge updates the gauge durable_jobs.
func (d *dispatcher) updateDurableGauge() {
	if !d.durable.hadJobs || d.now.Sub(d.durable.gaugeUpdatedAt) < time.Second {
		return
	}
	d.durable.gaugeUpdatedAt = d.now
	counts := map[string]int{"queued": 0, "in_progress": 0, "recovering": 0}
	for _, j := range d.durable.open {
		state := string(j.durableState())
		if j.leased.durable.recovery != nil {
			state = "recovering"
		}
		counts[state]++
	}
	for state, n := range counts {
		d.metrics.scope.Tagged(map[string]string{"state": state}).Gauge("durable_jobs").Update(float64(n))
	}
}
