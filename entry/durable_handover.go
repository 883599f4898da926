package entry

import (
	"context"
	"time"
)

// handOver gives up all durable jobs for a planned stop: it stops their runs,
// waits until the ends are stored and revokes the ownership lease, so that other
// entries can take the jobs over at once.
func (e *Entry) handOver(ctx context.Context) {
	var done <-chan struct{}
	if !e.dispatcher.postAndWait(func(d *dispatcher) { done = d.beginHandOver() }) {
		return
	}
	t := e.settings.Timing
	// A run whose agent does not answer has ended after Reconcile at the latest.
	// Storing the ends takes a few calls of the store; an end that is not stored
	// stays unacknowledged at its agent, which reports it to the next owner.
	waitCtx, cancel := context.WithTimeout(ctx, t.Reconcile.AsDuration()+3*t.StoreTimeout.AsDuration())
	defer cancel()
	select {
	case <-done:
	case <-waitCtx.Done():
		e.log.Warn().Msg("durable jobs not handed over in time; other entries take them over when the ownership lease ends")
		return
	}
	callCtx, cancelCall := context.WithTimeout(ctx, t.StoreTimeout.AsDuration())
	defer cancelCall()
	if err := e.recordManager.HandOver(callCtx); err != nil {
		e.log.Warn().Err(err).Msg("ownership lease not revoked; other entries take the durable jobs over when it ends")
	}
}

// beginHandOver stops the runs of all durable jobs. The returned channel is
// closed when the runs have ended and every job was given up.
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

// checkHandOver gives up the jobs that have no open run and whose newest record
// is stored. It does nothing before a hand-over begins.
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
	// Epoch is the entry's current ownership epoch; empty if it has none.
	Epoch string `json:"epoch"`
	// ValidMS is how long the ownership lease is still valid; 0 if it has
	// expired.
	ValidMS int64 `json:"valid_ms"`
	// Jobs counts the open jobs that the entry owns. Recovering counts those of
	// them that were taken over and still wait for the agents' reports.
	Jobs       int `json:"jobs"`
	Recovering int `json:"recovering"`
	// Creating counts the submissions whose record is being written.
	Creating int `json:"creating"`
	// PendingWrites counts the changes that are not stored yet.
	PendingWrites int `json:"pending_writes"`
	// Held counts the tasks that are not started again until their lost agent
	// has reported, or was out of reach for too long.
	Held int `json:"held"`
}

// dumpDurable returns the state of the durable jobs for the dump; nil if the
// entry never had any.
func (d *dispatcher) dumpDurable() *StateDurable {
	if !d.durable.hadJobs {
		return nil
	}
	status := d.durable.manager.Status()
	s := &StateDurable{
		Epoch: string(status.Epoch), Jobs: len(d.durable.open), Creating: len(d.durable.creating), PendingWrites: status.Pending,
	}
	if !status.ValidUntil.IsZero() {
		s.ValidMS = max(0, status.ValidUntil.Sub(d.now)).Milliseconds()
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

// updateDurableGauge updates the gauge durable_jobs at most once a second.
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
