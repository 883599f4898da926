package entry

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/forward"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// processorMonitor says whether this entry is short of processor time. The dispatcher
// owns it.
type processorMonitor struct {
	decision     forward.Processor
	delay, short tally.Gauge
	// lastTick is the time of the last tick, and suspended the time for which the machine
	// had been suspended until then.
	lastTick  time.Time
	suspended time.Duration
}

// nextDue records a tick and returns when it was due, with the time of a suspension since
// the last one left out.
func (p *processorMonitor) nextDue(now time.Time, suspended time.Duration) time.Time {
	due := p.lastTick.Add(tickInterval + suspended - p.suspended)
	if p.lastTick.IsZero() || due.After(now) {
		due = now
	}
	p.lastTick, p.suspended = now, suspended
	return due
}

// recordEventDelay records that the event of a tick is handled, which was due at the given
// time, if jobs are forwarded for lack of processor time. The tick itself waits while the
// dispatcher handles a batch of events.
func (d *dispatcher) recordEventDelay(due time.Time) {
	if !d.forwards.settings.HasReason(settings.ForwardNoProcessor) {
		return
	}
	p := &d.processor
	delay := d.clock.Since(due) - (d.clock.Suspended() - p.suspended)
	changed, short, mean := p.decision.Record(d.now, delay), p.decision.Short(), p.decision.Delay()
	p.delay.Update(float64(mean) / float64(time.Millisecond))
	p.short.Update(map[bool]float64{true: 1}[short])
	switch {
	case changed && short:
		d.log.Warn().Dur("mean_event_delay_ms", mean).Msg("entry is short of processor time")
	case changed:
		d.log.Info().Dur("mean_event_delay_ms", mean).Msg("entry is no longer short of processor time")
	}
}

// forwardWhileShort forwards a submission because this entry is short of processor time, if
// it is and the job may be forwarded. id is the job's identifier if it is admitted here
// later.
func (d *dispatcher) forwardWhileShort(s *submission, id string) bool {
	if !d.forwards.settings.HasReason(settings.ForwardNoProcessor) || d.noticeEnded() || !d.mayForward(s, s.request.Job) {
		return false
	}
	if !d.processor.decision.Short() {
		return false
	}
	here := *s
	here.stays = true
	return d.startForward(s, forward.ReasonNoProcessor, nil, &here, id)
}

// runHere admits a job that was forwarded for lack of processor time and that certainly is
// not and will not be run by another entry. It returns the refusal if it is not admitted.
func (d *dispatcher) runHere(f *outgoingForward) *problem {
	if !d.now.Before(f.deadline) {
		return notRun(httpStatus(OutcomeNotRun), wire.ReasonDeadline, "the deadline has passed")
	}
	s := f.here
	if i := slices.IndexFunc(f.callers, func(c *caller) bool { return !c.left() }); i >= 0 {
		s.caller = f.callers[i] // the first one may have left
	}
	delete(d.forwards.byJob, f.request.Job)
	if err := d.submitLeased(s, f.hereID); err != nil {
		d.forwards.byJob[f.request.Job] = f
		return asProblem(err)
	}
	for _, c := range f.callers {
		if c != s.caller {
			s.job.leased.callers = append(s.job.leased.callers, c)
		}
	}
	f.runHere, f.callers = s.job, nil
	d.jobClosed()
	close(f.done)
	return nil
}

// takeRunHere makes the job of a forward that this entry runs itself the submission's job.
func (s *submission) takeRunHere(f *outgoingForward) {
	if f.runHere != nil {
		s.job, s.forward = f.runHere, nil
	}
}
