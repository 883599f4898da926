package load

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/dev"
	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// System is the part of a deployment that the load tool uses.
type System interface {
	Endpoints() []dev.Endpoint
	DialAsCaller(ctx context.Context, address string) (net.Conn, error)
	// SetInService returns when the store has accepted the change.
	SetInService(ctx context.Context, dataCentre string, inService bool) error
	KillWorker(id string) error
	SetWorkerFaults(id string, f upstreamstub.Faults) error
	KillEntry(id string) error
	SetStoreDown(down bool)
	Record() *upstreamstub.Record
	StoreCalls() int
	Messages() map[string]dev.Traffic
}

// eventTimeout bounds one change of the configuration.
const eventTimeout = 5 * time.Second

// appliedEvent is an event with the times, since the start of the run, at which
// it was requested and at which it had taken effect, or had failed if err is set.
type appliedEvent struct {
	Event
	requestedAt, effectiveAt time.Duration
	err                      error
}

// observation holds everything from which the report of a run is computed.
type observation struct {
	options         Options
	begin           time.Time
	results         []Result
	events          []appliedEvent
	starts          []upstreamstub.Start
	duplicateStarts []string
	storeCalls      int // until the end of the arrivals
	messages        map[string]dev.Traffic
}

// effective returns the events that did not fail.
func (o *observation) effective() []appliedEvent {
	return slices.DeleteFunc(slices.Clone(o.events), func(e appliedEvent) bool { return e.err != nil })
}

// Run submits the planned jobs to the system, applies the events and returns the
// report when every job has its answer.
func Run(ctx context.Context, s System, o Options) (*Report, error) {
	jobs := Plan(o)
	if len(jobs) == 0 {
		return nil, fmt.Errorf("the plan has no jobs; accepted: a load and a duration of more than 0")
	}
	c := newCaller(o.Layout, s.Endpoints(), s.DialAsCaller)
	bodies := make([][]byte, len(jobs)) // encoded before the run starts
	for i, j := range jobs {
		bodies[i] = c.encodeJob(j)
	}
	before, callsBefore := s.Messages(), s.StoreCalls()
	obs := &observation{options: o, begin: time.Now(), results: make([]Result, len(jobs))}
	c.runStart = obs.begin

	var events sync.WaitGroup
	events.Go(func() { obs.events = applyEvents(ctx, s, o.Events, obs.begin) })
	var answers sync.WaitGroup
	for i, j := range jobs {
		if err := sleepUntil(ctx, obs.begin.Add(j.At)); err != nil {
			return nil, err
		}
		answers.Go(func() { obs.results[i] = c.submit(j, bodies[i]) })
	}
	if err := sleepUntil(ctx, obs.begin.Add(o.Duration)); err != nil {
		return nil, err
	}
	obs.storeCalls = s.StoreCalls() - callsBefore
	answers.Wait()
	events.Wait()
	obs.messages = subtractTraffic(s.Messages(), before)
	obs.starts, obs.duplicateStarts = s.Record().Starts(), s.Record().Duplicates()
	return obs.report(), nil
}

func sleepUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func applyEvents(ctx context.Context, s System, events []Event, begin time.Time) []appliedEvent {
	var out []appliedEvent
	for _, e := range events {
		if err := sleepUntil(ctx, begin.Add(e.At)); err != nil {
			return out
		}
		a := appliedEvent{Event: e, requestedAt: time.Since(begin)}
		a.err = applyEvent(ctx, s, e)
		a.effectiveAt = time.Since(begin)
		out = append(out, a)
	}
	return out
}

func applyEvent(ctx context.Context, s System, e Event) error {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	switch e.Action {
	case ActionOut, ActionIn:
		return s.SetInService(ctx, e.Target, e.Action == ActionIn)
	case ActionKillWorker:
		return s.KillWorker(e.Target)
	case ActionFailWorker:
		return s.SetWorkerFaults(e.Target, upstreamstub.Faults{Fail: true})
	case ActionSlowWorker:
		return s.SetWorkerFaults(e.Target, upstreamstub.Faults{Slow: e.Factor})
	case ActionStoreOut, ActionStoreIn:
		s.SetStoreDown(e.Action == ActionStoreOut)
		return nil
	case ActionKillEntry:
		return s.KillEntry(e.Target)
	}
	return fmt.Errorf("action %q is not known", e.Action)
}

func subtractTraffic(after, before map[string]dev.Traffic) map[string]dev.Traffic {
	out := map[string]dev.Traffic{}
	for method, t := range after {
		b := before[method]
		out[method] = dev.Traffic{
			Requests: t.Requests - b.Requests, Replies: t.Replies - b.Replies,
			Wasted: t.Wasted - b.Wasted, Bytes: t.Bytes - b.Bytes,
		}
	}
	return out
}
