package ctl

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"

	"chicorytray.example/chicorytray/config"
)

// PathConfig is the path at an entry's admin address to which documents are
// pushed with PUT.
const PathConfig = "/v1/config"

// PathLeaving is the path at an agent's admin address that makes the agent leave
// when it receives a POST.
const PathLeaving = "/leaving"

// confirm pushes the result's document to the entries and waits until all known
// processes report its generation. It sets r.Pushes and r.Processes, and returns
// *UnconfirmedError if some process does not report the generation in time.
func (o *Operator) confirm(ctx context.Context, r *Result) error {
	survey, err := o.Survey(ctx)
	if err == nil {
		r.Pushes = o.pushToEntries(ctx, survey, r.Document)
	}
	r.Processes, err = o.awaitGeneration(ctx, r.Document.Generation)
	return err
}

// pushToEntries sends the document to every entry of the survey. A failed push
// appears in the results but is not an error, because entries also read the
// document from the store.
func (o *Operator) pushToEntries(ctx context.Context, survey Survey, d *config.Document) []Push {
	results := []Push{}
	data, err := d.Encode()
	if err != nil {
		return results
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for _, p := range survey.Processes {
		if p.Kind != kindEntry {
			continue
		}
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			_, err := o.request(ctx, http.MethodPut, p.Admin, PathConfig, data)
			result := Push{Entry: p.ID}
			if err != nil {
				result.Error = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	group.Wait()
	slices.SortFunc(results, func(a, b Push) int { return strings.Compare(a.Entry, b.Entry) })
	return results
}

// awaitGeneration repeats the survey until every known process reports at least
// the generation, and returns the number of processes.
func (o *Operator) awaitGeneration(ctx context.Context, generation uint64) (int, error) {
	waitCtx, cancel := context.WithTimeout(ctx, o.options.Wait)
	defer cancel()
	for {
		survey, err := o.Survey(ctx)
		lagging := []Process{}
		for _, p := range survey.Processes {
			if p.Generation < generation { // it is 0 for an entry that cannot be reached
				lagging = append(lagging, p)
			}
		}
		if err != nil {
			lagging = append(lagging, Process{Kind: kindEntry, ID: "(all)", Error: err.Error()})
		}
		if len(lagging) == 0 {
			return len(survey.Processes), nil
		}
		if !o.waitPollInterval(waitCtx) {
			return len(survey.Processes), &UnconfirmedError{generation, lagging}
		}
	}
}

// Dump returns the body of /debug/state of an entry or agent, which is given by
// identifier or admin address. Errors match ErrProcess unless the survey fails.
func (o *Operator) Dump(ctx context.Context, name string) ([]byte, error) {
	survey, err := o.Survey(ctx)
	if err != nil {
		return nil, err
	}
	p, err := survey.find("", name)
	if err != nil {
		return nil, err
	}
	data, err := o.request(ctx, http.MethodGet, p.Admin, "/debug/state", nil)
	if err != nil {
		return nil, processError("%s %s: %v", p.Kind, p.ID, err)
	}
	return data, nil
}

// Drain makes an agent leave and waits until the entries report it as leaving. A
// leaving agent accepts no new tasks and finishes the running ones. Drain returns
// *LeavingError if some entry does not report it in time.
func (o *Operator) Drain(ctx context.Context, name string) error {
	survey, err := o.Survey(ctx)
	if err != nil {
		return err
	}
	p, err := survey.find(kindAgent, name)
	if err != nil {
		return err
	}
	if _, err := o.request(ctx, http.MethodPost, p.Admin, PathLeaving, nil); err != nil {
		return processError("%s %s: %v", p.Kind, p.ID, err)
	}
	return o.awaitLeaving(ctx, p)
}

// awaitLeaving repeats the survey until entries can be reached and none of these
// lists the agent as one that is not leaving.
func (o *Operator) awaitLeaving(ctx context.Context, agent Process) error {
	waitCtx, cancel := context.WithTimeout(ctx, o.options.Wait)
	defer cancel()
	var lagging []Process // in the last survey that reached an entry
	for {
		survey, err := o.Survey(ctx)
		switch {
		case err != nil:
		case len(survey.Entries) == 0:
			err = processError("no entry can be reached")
		default:
			if lagging = survey.notLeaving(agent.ID); len(lagging) == 0 {
				return nil
			}
		}
		if !o.waitPollInterval(waitCtx) {
			return &LeavingError{agent.ID, lagging, err}
		}
	}
}

// notLeaving returns the entries that list the agent as one that is not leaving.
func (s Survey) notLeaving(agent string) (entries []Process) {
	for _, e := range s.Entries {
		for _, a := range e.Agents {
			if a.ID == agent && !a.Leaving {
				entries = append(entries, e.updateProcess(Process{Kind: kindEntry, Admin: e.Entry.Admin}))
			}
		}
	}
	return entries
}
