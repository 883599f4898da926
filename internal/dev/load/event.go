package load

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/internal/dev"
)

// Action of an event.
type Action string

// Actions.
const (
	ActionOut        Action = "out"         // take a data centre out of service
	ActionIn         Action = "in"          // bring it back
	ActionKillWorker Action = "kill-worker" // agent and upstream end at once
	ActionFailWorker Action = "fail-worker" // the upstream fails every task
	ActionSlowWorker Action = "slow-worker" // the upstream is slower by Factor
	ActionStoreOut   Action = "store-out"   // begin an outage of the store
	ActionStoreIn    Action = "store-in"    // end it
	ActionKillEntry  Action = "kill-entry"  // the entry ends without a planned stop
)

// Event is a change that is applied to the deployment at the time At after the
// start of the run.
type Event struct {
	Action Action        `json:"action"`
	Target string        `json:"target,omitempty"` // data centre, worker or entry
	Factor float64       `json:"factor,omitempty"`
	At     time.Duration `json:"at_ns"`
}

// String formats the event in the form that ParseEvents reads.
func (e Event) String() string {
	s := string(e.Action)
	if e.Target != "" {
		s += ":" + e.Target
	}
	if e.Action == ActionSlowWorker {
		s += ":" + strconv.FormatFloat(e.Factor, 'g', -1, 64)
	}
	return s + "@" + e.At.String()
}

// ParseEvents reads a comma-separated list, for example
// "out:ne-br-for@5s,slow-worker:w03:5@8s", and checks it against the layout.
// It returns the events in order of time.
func ParseEvents(text string, l dev.Layout) ([]Event, error) {
	var events []Event
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		e, err := parseEvent(part, l)
		if err != nil {
			return nil, fmt.Errorf("event %q: %w", part, err)
		}
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events, nil
}

func parseEvent(text string, l dev.Layout) (Event, error) {
	action, when, ok := strings.Cut(text, "@")
	if !ok {
		return Event{}, fmt.Errorf("no time; accepted form: ACTION[:TARGET]@TIME, for example out:%s@5s", l.DataCentres[0])
	}
	at, err := time.ParseDuration(when)
	if err != nil || at < 0 {
		return Event{}, fmt.Errorf("time %q; accepted: a duration from 0s, for example 5s", when)
	}
	fields := strings.Split(action, ":")
	e := Event{Action: Action(fields[0]), At: at}
	wantParts := 2
	switch e.Action {
	case ActionStoreOut, ActionStoreIn:
		wantParts = 1
	case ActionSlowWorker:
		wantParts = 3
	}
	if len(fields) != wantParts {
		return Event{}, fmt.Errorf("%d parts before the time; accepted for %s: %d", len(fields), e.Action, wantParts)
	}
	if wantParts > 1 {
		e.Target = fields[1]
	}
	if wantParts == 3 {
		if e.Factor, err = strconv.ParseFloat(fields[2], 64); err != nil || e.Factor < 1 {
			return Event{}, fmt.Errorf("factor %q; accepted: a number from 1", fields[2])
		}
	}
	return e, e.validate(l)
}

// validate returns an error if the action is not known or the layout does not
// have the target.
func (e Event) validate(l dev.Layout) error {
	switch e.Action {
	case ActionOut, ActionIn:
		if !slices.Contains(l.DataCentres, e.Target) {
			return fmt.Errorf("data centre %q; accepted: %s", e.Target, strings.Join(l.DataCentres, ", "))
		}
	case ActionKillWorker, ActionFailWorker, ActionSlowWorker:
		if !l.HasWorker(e.Target) {
			return fmt.Errorf("worker %q; accepted: w01 to w%02d", e.Target, l.Workers)
		}
	case ActionKillEntry:
		if !slices.Contains(l.EntryIDs(), e.Target) {
			return fmt.Errorf("entry %q; accepted: %s", e.Target, strings.Join(l.EntryIDs(), ", "))
		}
	case ActionStoreOut, ActionStoreIn:
	default:
		return fmt.Errorf("action %q; accepted: out, in, kill-worker, fail-worker, slow-worker, store-out, store-in, kill-entry", e.Action)
	}
	return nil
}
