package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/store"
)

const (
	kindEntry = "entry"
	kindAgent = "agent"
	// maxStateBytes limits the size of a response from an admin address. The
	// state of an entry with 1,000 agents takes about 500 KB.
	maxStateBytes = 64 << 20
	// maxConcurrentCalls limits the concurrent calls to admin addresses.
	maxConcurrentCalls = 16
)

// Process is an entry or an agent as last reported.
type Process struct {
	Kind       string `json:"kind"`
	ID         string `json:"id"`
	Admin      string `json:"admin"`
	DataCentre string `json:"data_centre"`
	Generation uint64 `json:"generation"`
	// Error says why the state of an entry could not be read; empty if it was.
	Error string `json:"error,omitempty"`
	// State lists exceptional states, for example "leaving"; empty if there
	// are none. That of an agent is reported by an entry.
	State string `json:"state,omitempty"`
	// HeardMS is the age of an entry's information about an agent in
	// milliseconds; 0 for an entry.
	HeardMS int64 `json:"heard_ms"`
}

// String describes the process on one line.
func (p Process) String() string {
	if p.Error != "" {
		return fmt.Sprintf("%s %s at %s (%s)", p.Kind, p.ID, p.Admin, p.Error)
	}
	return fmt.Sprintf("%s %s at %s (generation %d)", p.Kind, p.ID, p.Admin, p.Generation)
}

// Survey is the state of all known processes as the entries report it.
type Survey struct {
	// Processes are all known entries and then all known agents, each sorted
	// by identifier.
	Processes []Process `json:"processes"`
	// Entries are the states of the entries that could be read, sorted by
	// identifier.
	Entries []EntryState `json:"entries"`
}

// EntryState is the part of an entry's /debug/state that this tool uses. Unknown
// fields are ignored, so that the tool works with entries of other versions.
type EntryState struct {
	Entry struct {
		ID         string `json:"id"`
		DataCentre string `json:"data_centre"`
		Admin      string `json:"admin"`
		Ready      bool   `json:"ready"`
		Stopping   bool   `json:"stopping"`
	} `json:"entry"`
	Generation    uint64 `json:"generation"`
	Configuration struct {
		Generation        uint64 `json:"generation"`
		ConfirmationAgeMS int64  `json:"confirmation_age_ms"`
		Basis             string `json:"basis"`
		StoreReachable    bool   `json:"store_reachable"`
	} `json:"configuration"`
	Queue struct {
		Tasks int `json:"tasks"`
	} `json:"queue"`
	// Durable is nil if the entry never had a durable job.
	Durable *DurableState `json:"durable,omitempty"`
	Agents  []AgentState  `json:"agents"`
	Peers   []PeerState   `json:"peers"`
}

// DurableState describes the durable jobs of an entry.
type DurableState struct {
	Epoch         string `json:"epoch"`
	ValidMS       int64  `json:"valid_ms"`
	Jobs          int    `json:"jobs"`
	Recovering    int    `json:"recovering"`
	Creating      int    `json:"creating"`
	PendingWrites int    `json:"pending_writes"`
	Held          int    `json:"held"`
}

// PeerState describes another entry that an entry knows.
type PeerState struct {
	ID    string `json:"id"`
	Admin string `json:"admin"`
}

// AgentState describes an agent as an entry sees it.
type AgentState struct {
	ID         string `json:"id"`
	Admin      string `json:"admin"`
	DataCentre string `json:"data_centre"`
	Generation uint64 `json:"generation"`
	HeardMS    int64  `json:"heard_ms"`
	Slots      int    `json:"slots"`
	Usable     bool   `json:"usable"`
	Leaving    bool   `json:"leaving"`
	Suspect    bool   `json:"suspect"`
	Ejected    bool   `json:"ejected"`
}

func (a AgentState) summary() string {
	var words []string
	for _, w := range []struct {
		set  bool
		name string
	}{{a.Leaving, "leaving"}, {a.Suspect, "suspect"}, {a.Ejected, "ejected"}, {!a.Usable, "not usable"}} {
		if w.set {
			words = append(words, w.name)
		}
	}
	return strings.Join(words, ", ")
}

func (s EntryState) summary() string {
	switch {
	case s.Entry.Stopping:
		return "stopping"
	case !s.Entry.Ready:
		return "not ready"
	}
	return ""
}

// Survey reads the state of every entry that is registered in the store or given
// in the options, and of all peers that these report. It fails only if no list of
// entries is available; an entry that cannot be reached has Process.Error set.
func (o *Operator) Survey(ctx context.Context) (Survey, error) {
	unread, err := o.listEntries(ctx)
	if err != nil {
		return Survey{}, err
	}
	seen := map[string]Process{}
	var states []EntryState
	for len(unread) > 0 {
		reached := o.readStates(ctx, unread, seen)
		states = append(states, reached...)
		unread = nil
		for _, s := range reached {
			for _, p := range s.Peers {
				if _, ok := seen[p.Admin]; !ok && p.Admin != "" {
					unread = append(unread, Process{Kind: kindEntry, ID: p.ID, Admin: p.Admin})
				}
			}
		}
	}
	return newSurvey(seen, states), nil
}

// listEntries returns the entries given in the options or registered in the
// store. If the store cannot be read, it returns the last list that was read: a
// change that the store accepted just before an outage still has to be pushed,
// because perhaps no entry has read it.
func (o *Operator) listEntries(ctx context.Context) ([]Process, error) {
	var list []Process
	if len(o.options.Entries) > 0 {
		for _, admin := range o.options.Entries {
			list = append(list, Process{Kind: kindEntry, ID: admin, Admin: admin})
		}
		return list, nil
	}
	err := o.withCallTimeout(ctx, func(ctx context.Context) error {
		refs, _, err := store.Entries(ctx, o.options.Store)
		for _, ref := range refs {
			list = append(list, Process{Kind: kindEntry, ID: ref.ID, Admin: ref.Admin, DataCentre: ref.DataCentre})
		}
		return err
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil && len(o.registeredEntries) > 0 {
		return o.registeredEntries, nil
	}
	if err != nil {
		return nil, merry.Prepend(err, "ctl: list entries")
	}
	o.registeredEntries = list
	return list, nil
}

// readStates reads the states of the entries that are not in seen, and adds these
// entries to seen, by admin address. At most maxConcurrentCalls run at a time.
func (o *Operator) readStates(ctx context.Context, entries []Process, seen map[string]Process) []EntryState {
	var mu sync.Mutex
	var group sync.WaitGroup
	var states []EntryState
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for _, p := range entries {
		mu.Lock()
		_, known := seen[p.Admin]
		if !known {
			seen[p.Admin] = p
		}
		mu.Unlock()
		if known {
			continue
		}
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			var s EntryState
			err := o.readState(ctx, p.Admin, &s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				p.Error = err.Error()
			} else {
				p = s.updateProcess(p)
				states = append(states, s)
			}
			seen[p.Admin] = p
		})
	}
	group.Wait()
	return states
}

// updateProcess returns p with the identity, generation and state that the entry
// reports.
func (s EntryState) updateProcess(p Process) Process {
	if s.Entry.ID != "" {
		p.ID, p.DataCentre = s.Entry.ID, s.Entry.DataCentre
	}
	p.Generation = max(s.Generation, s.Configuration.Generation)
	p.State = s.summary()
	return p
}

// newSurvey returns a Survey of the entries and of the agents that their states
// report. If several entries report an agent, the most recent report is used, and
// of equally recent ones the one with the higher generation, because an agent's
// generation only increases.
func newSurvey(entries map[string]Process, states []EntryState) Survey {
	s := Survey{Processes: []Process{}, Entries: states}
	agents := map[string]Process{}
	for _, state := range states {
		for _, a := range state.Agents {
			known, ok := agents[a.ID]
			if ok && (known.HeardMS < a.HeardMS || known.HeardMS == a.HeardMS && known.Generation >= a.Generation) {
				continue
			}
			agents[a.ID] = Process{
				Kind: kindAgent, ID: a.ID, Admin: a.Admin, DataCentre: a.DataCentre,
				Generation: a.Generation, State: a.summary(), HeardMS: a.HeardMS,
			}
		}
	}
	for _, list := range []map[string]Process{entries, agents} {
		from := len(s.Processes)
		for _, p := range list {
			s.Processes = append(s.Processes, p)
		}
		slices.SortFunc(s.Processes[from:], func(a, b Process) int {
			return strings.Compare(a.ID+" "+a.Admin, b.ID+" "+b.Admin)
		})
	}
	slices.SortFunc(s.Entries, func(a, b EntryState) int { return strings.Compare(a.Entry.ID, b.Entry.ID) })
	return s
}

// find returns the process with the identifier or admin address name. An empty
// kind means entries and agents.
func (s Survey) find(kind, name string) (Process, error) {
	var names []string
	for _, p := range s.Processes {
		if kind != "" && p.Kind != kind {
			continue
		}
		if p.ID == name || p.Admin == name {
			return p, nil
		}
		names = append(names, p.ID)
	}
	return Process{}, processError("%q is unknown; known are %q", name, names)
}

func processError(format string, args ...any) error {
	return merry.Wrap(ErrProcess, merry.AppendMessagef(format, args...))
}

// readState decodes /debug/state of an admin address.
func (o *Operator) readState(ctx context.Context, admin string, into any) error {
	data, err := o.request(ctx, http.MethodGet, admin, "/debug/state", nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// request calls an admin address and returns the body of the response. A status
// other than 2xx is an error.
func (o *Operator) request(ctx context.Context, method, admin, path string, body []byte) ([]byte, error) {
	var data []byte
	err := o.withCallTimeout(ctx, func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+admin+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		if body != nil {
			request.Header.Set("Content-Type", "application/json")
		}
		response, err := o.client.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		data, err = io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
		if err == nil && response.StatusCode/100 != 2 {
			err = fmt.Errorf("%s %s: %s: %s", method, path, response.Status, bytes.TrimSpace(data[:min(len(data), 200)]))
		}
		return err
	})
	return data, err
}
