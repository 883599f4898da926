package load

import (
	"slices"
	"strings"
	"time"

	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// timelineStep is the resolution of the timeline.
const timelineStep = 50 * time.Millisecond

// timeline holds the work that the slots could do and did in each step, in
// task-seconds.
type timeline struct {
	slots         []float64 // capacity of the slots of workers that are alive and in service
	possible      []float64 // the smaller of slots and the demand of waiting and running tasks
	done          []float64 // work done in those slots, by true durations
	doneElsewhere []float64 // work done on other workers, by tasks that had started before
}

// timeline samples the run until the end of the arrivals.
func (o *observation) timeline() *timeline {
	n := int((o.options.Duration + timelineStep - 1) / timelineStep)
	t := &timeline{
		slots: make([]float64, n), possible: make([]float64, n),
		done: make([]float64, n), doneElsewhere: make([]float64, n),
	}
	available := o.availability(n)
	for _, alive := range available {
		for i := range n {
			if alive[i] {
				t.slots[i] += float64(o.options.Layout.Slots) * timelineStep.Seconds()
			}
		}
	}
	ended := map[string]time.Duration{}
	for _, s := range o.starts {
		if !s.Ended.IsZero() {
			ended[s.Key] = s.Ended.Sub(o.begin)
		}
		o.addWork(t, s, available[s.Upstream])
	}
	waiting := o.demand(n, ended)
	for i := range n {
		t.possible[i] = min(t.slots[i], max(waiting[i]-t.doneElsewhere[i], t.done[i]))
	}
	return t
}

// availability returns for each worker whether it is alive and in service in
// each step.
func (o *observation) availability(n int) map[string][]bool {
	out := map[string][]bool{}
	for _, w := range o.options.Layout.WorkerList() {
		alive := slices.Repeat([]bool{true}, n)
		for _, e := range o.effective() {
			on := false
			switch {
			case e.Action == ActionKillWorker && e.Target == w.ID:
			case e.Action == ActionOut && e.Target == w.DataCentre:
			case e.Action == ActionIn && e.Target == w.DataCentre:
				on = true
			default:
				continue
			}
			for i := int(e.effectiveAt / timelineStep); i < n; i++ {
				alive[i] = on && !o.killedBefore(w.ID, e.effectiveAt)
			}
		}
		out[w.ID] = alive
	}
	return out
}

// killedBefore reports whether an event killed the worker before the given time
// since the start of the run.
func (o *observation) killedBefore(worker string, at time.Duration) bool {
	return slices.ContainsFunc(o.effective(), func(e appliedEvent) bool {
		return e.Action == ActionKillWorker && e.Target == worker && e.effectiveAt < at
	})
}

// addWork adds the true duration of a completed task to the timeline, evenly
// over the time for which the task held its slot.
func (o *observation) addWork(t *timeline, s upstreamstub.Start, alive []bool) {
	if !s.Completed || alive == nil {
		return
	}
	from, to := s.Began.Sub(o.begin), s.Ended.Sub(o.begin)
	rate := s.Service.Seconds() / max(to-from, time.Nanosecond).Seconds()
	forEachStep(len(t.done), from, to, func(i int, d time.Duration) {
		if alive[i] {
			t.done[i] += rate * d.Seconds()
		} else {
			t.doneElsewhere[i] += rate * d.Seconds()
		}
	})
}

// demand returns for each step the time, in task-seconds, for which tasks of
// accepted jobs waited or ran. ended gives the end of each task by key, for
// tasks that have ended.
func (o *observation) demand(n int, ended map[string]time.Duration) []float64 {
	out := make([]float64, n)
	for _, r := range o.results {
		if r.Outcome == outcomeNotRun || r.Job.Unrunnable {
			continue
		}
		for i := range r.Job.Tasks {
			end := r.Answered
			if e, ok := ended[r.Job.Key(i)]; ok && e < end {
				end = e
			}
			forEachStep(n, r.Job.At, end, func(i int, d time.Duration) { out[i] += d.Seconds() })
		}
	}
	return out
}

// forEachStep calls add with the part of [from, to) that falls into each step.
func forEachStep(n int, from, to time.Duration, add func(i int, d time.Duration)) {
	for i := max(0, int(from/timelineStep)); i < n; i++ {
		begin := time.Duration(i) * timelineStep
		if begin >= to {
			return
		}
		if d := min(to, begin+timelineStep) - max(from, begin); d > 0 {
			add(i, d)
		}
	}
}

// Window is the work done in the whole run or in a period near an event.
type Window struct {
	Event       string  `json:"event"`
	FromS       float64 `json:"from_s"`
	ToS         float64 `json:"to_s"`
	TaskSeconds float64 `json:"task_seconds"`
	// OfSlots is the work done as a share of the capacity of the slots that were
	// alive and in service.
	OfSlots float64 `json:"of_slots"`
	// OfPossible is the work done as a share of the work that these slots could
	// do with the tasks that were waiting or running.
	OfPossible float64 `json:"of_possible"`
}

func (t *timeline) window(name string, from, to time.Duration) Window {
	first, last := max(0, int(from/timelineStep)), min(len(t.done), int(to/timelineStep))
	w := Window{Event: name, FromS: from.Seconds(), ToS: to.Seconds()}
	var slots, possible float64
	for i := first; i < last; i++ {
		w.TaskSeconds += t.done[i]
		slots += t.slots[i]
		possible += t.possible[i]
	}
	w.OfSlots, w.OfPossible = ratioOrZero(w.TaskSeconds, slots), ratioOrZero(w.TaskSeconds, possible)
	return w
}

func ratioOrZero(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// eventWindow is the length of the windows right before and after an event. It
// is 2 s because all slots have to be in use again within 2 s after a data
// centre returns.
const eventWindow = 2 * time.Second

// windows returns the window of the whole run, and for each event the windows
// right before it, right after it, and from there to the next event.
func (o *observation) windows(t *timeline) []Window {
	end := o.options.Duration
	out := []Window{t.window("whole run", 0, end)}
	events := o.effective()
	for i, e := range events {
		name := strings.SplitN(e.String(), "@", 2)[0]
		next := end
		if i+1 < len(events) {
			next = min(next, events[i+1].effectiveAt)
		}
		for _, w := range []struct {
			name     string
			from, to time.Duration
		}{
			{"before ", max(0, e.effectiveAt-eventWindow), e.effectiveAt},
			{"after ", e.effectiveAt, min(next, e.effectiveAt+eventWindow)},
			{"later after ", e.effectiveAt + eventWindow, next},
		} {
			if w.to-w.from >= timelineStep {
				out = append(out, t.window(w.name+name, w.from, w.to))
			}
		}
	}
	return out
}
