package entry

import (
	"slices"
	"strings"
	"time"

	"chicorytray.example/chicorytray/balance"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/speed"
)

// State is the dump of an entry for /debug/state and SIGUSR1. Times are ages or
// remaining times in milliseconds. It contains neither tokens nor bodies.
type State struct {
	Entry         StateEntry         `json:"entry"`
	Configuration StateConfiguration `json:"configuration"`
	Queue         StateQueue         `json:"queue"`
	Agents        []StateAgent       `json:"agents"`   // sorted by identifier
	Peers         []StatePeer        `json:"peers"`    // sorted by identifier
	Jobs          []StateJob         `json:"jobs"`     // open jobs, oldest first, at most 1,000
	Accounts      []StateAccount     `json:"accounts"` // accounts that submitted jobs, sorted by name
	// Pools are the pools of leased tasks for which there were jobs, sorted by name.
	Pools []StatePool `json:"pools,omitempty"`
	// PoolLoads are the loads of this entry and of its peers, with their ages; empty if
	// the setting pool_loads is false.
	PoolLoads []balance.EntryState `json:"pool_loads,omitempty"`
	// Speeds are the learned speeds of the workers of leased tasks, by pool; empty unless
	// the setting uneven_workers is enabled.
	Speeds map[string][]speed.WorkerState `json:"speeds,omitempty"`
	// Forwards are the open forwards of this entry to others and from others.
	Forwards []StateForward `json:"forwards,omitempty"`
	// Containment says what follows from crashes of workers; nil if nothing does.
	Containment *StateContainment `json:"containment,omitempty"`
	// Durable is nil if the process never had a durable job.
	Durable *StateDurable `json:"durable,omitempty"`
	// Messages are the message counts since the start, by method.
	Messages map[string]rpcconn.Count `json:"messages"`
}

// StateEntry identifies the entry process and gives its readiness.
type StateEntry struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Admin       string `json:"admin"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	UptimeMS    int64  `json:"uptime_ms"`
	// MeanEventDelayMS is how long events wait to be handled on average, and
	// ShortOfProcessor whether the entry counts as short of processor time; 0 and false
	// without the reason no_processor of forwards.
	MeanEventDelayMS int64 `json:"mean_event_delay_ms"`
	ShortOfProcessor bool  `json:"short_of_processor"`
}

// StateConfiguration says which configuration is in force and how fresh it is.
type StateConfiguration struct {
	Generation uint64 `json:"generation"` // 0 if there is no configuration
	// ConfirmationAgeMS is the age of the last confirmation that the
	// configuration is the newest; -1 if there is none.
	ConfirmationAgeMS int64 `json:"confirmation_age_ms"`
	// Basis is what the confirmation is based on: none, own, peer or outage.
	Basis          string   `json:"basis"`
	StoreReachable bool     `json:"store_reachable"`
	OutOfService   []string `json:"out_of_service"`
}

// StateQueue describes the waiting tasks.
type StateQueue struct {
	Tasks  int   `json:"tasks"`
	WorkMS int64 `json:"work_ms"` // sum of the expected durations
	// MostUrgent is the urgency of the most urgent task; -1 if no task waits.
	MostUrgent int `json:"most_urgent"`
}

// StateAgent describes one agent.
type StateAgent struct {
	ID           string  `json:"id"`
	Incarnation  string  `json:"incarnation"`
	DataCentre   string  `json:"data_centre"`
	Rack         string  `json:"rack"`
	Worker       string  `json:"worker"`
	Address      string  `json:"address"`
	Admin        string  `json:"admin"`
	Slots        int     `json:"slots"`
	HeardMS      int64   `json:"heard_ms"`
	Generation   uint64  `json:"generation"`
	Session      uint64  `json:"session"`
	SessionState string  `json:"session_state"` // closed, opening or open
	OpenTasks    int     `json:"open_tasks"`    // this entry's tasks at the agent
	Usable       bool    `json:"usable"`
	Leaving      bool    `json:"leaving"`
	Healthy      bool    `json:"healthy"`
	Suspect      bool    `json:"suspect"`
	Ejected      bool    `json:"ejected"`
	Weight       float64 `json:"weight"`
}

// StatePeer describes another entry.
type StatePeer struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Admin       string `json:"admin"`
	// RepliedMS is the age of the last heartbeat that got a reply; -1 if none
	// did.
	RepliedMS  int64 `json:"replied_ms"`
	Registered bool  `json:"registered"`
	Stopping   bool  `json:"stopping"`
	// ShortOfProcessor is what the peer last reported.
	ShortOfProcessor bool `json:"short_of_processor"`
}

// StateJob describes an open job.
type StateJob struct {
	ID          string `json:"id"`
	Account     string `json:"account"`
	Template    string `json:"template"`
	RequestID   string `json:"request_id"`
	AgeMS       int64  `json:"age_ms"`
	RemainingMS int64  `json:"remaining_ms"` // time to the deadline
	Tasks       int    `json:"tasks"`
	Waiting     int    `json:"waiting"`
	Sent        int    `json:"sent"`
	Done        int    `json:"done"`
	Failing     string `json:"failing,omitempty"` // reason of a job that ends without success
	// The following fields are set for a job of leased tasks: the caller's
	// identifier, and the numbers of runs of all its tasks that failed, that were
	// interrupted, and that were stopped as stalled or slow.
	Identifier    string `json:"identifier,omitempty"`
	Attempts      int    `json:"attempts,omitempty"`
	Interruptions int    `json:"interruptions,omitempty"`
	Restarts      int    `json:"restarts,omitempty"`
	Crashes       int    `json:"crashes,omitempty"` // of workers under its runs, also of HTTP tasks
	// The following fields are set for a durable job: its state, and whether it
	// was taken over and waits for agents' reports. RemainingMS of a durable job
	// is 0, because it has no deadline.
	DurableState string `json:"durable_state,omitempty"`
	Recovering   bool   `json:"recovering,omitempty"`
}

// StateForward describes a job that another entry runs for this one, or that this one
// runs for another.
type StateForward struct {
	Number   uint64 `json:"number"`
	Job      string `json:"job"` // the caller's identifier
	Sender   string `json:"sender"`
	Receiver string `json:"receiver"`
	Reason   string `json:"reason,omitempty"` // at the sender
	AgeMS    int64  `json:"age_ms"`
	// LapsesMS is the time until the job is given up or cancelled, unless it is
	// confirmed before.
	LapsesMS int64 `json:"lapses_ms"`
}

// StateAccount describes an account's tasks at this entry.
type StateAccount struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// Share is this entry's share of the account's limit of running tasks; 0
	// means no limit.
	Share float64 `json:"share"`
}

// maxStateJobs limits the jobs in a dump.
const maxStateJobs = 1000

// State returns a dump of the entry. After the entry has ended, the dump
// contains only the state that the dispatcher does not own.
func (e *Entry) State() State {
	now := e.clock.Now()
	age, basis := e.confirmation.age(now)
	s := State{
		Entry: StateEntry{
			ID: e.self.ID, Incarnation: e.self.Incarnation.String(), DataCentre: e.self.DataCentre,
			Address: e.self.Address, Admin: e.self.Admin, Ready: e.Ready() == nil,
			UptimeMS: now.Sub(e.createdAt).Milliseconds(),
		},
		Configuration: StateConfiguration{
			Generation: e.config.generation(), ConfirmationAgeMS: ageMS(age), Basis: string(basis),
			StoreReachable: e.confirmation.storeReachable(),
		},
		Agents: []StateAgent{}, Peers: e.peers.state(now), Messages: e.counters.ByMethod(), Jobs: []StateJob{}, Accounts: []StateAccount{},
	}
	s.Configuration.OutOfService = []string{}
	if v := e.config.view(); v != nil {
		s.Configuration.OutOfService = append(s.Configuration.OutOfService, v.OutOfService()...)
	}
	if e.started() {
		e.dispatcher.postAndWait(func(d *dispatcher) { d.dump(&s) })
	}
	s.Forwards = append(s.Forwards, e.received.dump(e.self.ID, now)...)
	return s
}

// ageMS returns d in milliseconds; -1 for a negative d, which means "none".
func ageMS(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

func (d *dispatcher) dump(s *State) {
	s.Entry.Stopping = d.stopping
	s.Entry.MeanEventDelayMS, s.Entry.ShortOfProcessor = d.processor.decision.Delay().Milliseconds(), d.processor.decision.Short()
	s.Forwards = d.dumpForwards()
	s.Durable, s.Containment = d.dumpDurable(), d.dumpContainment()
	s.Pools, s.PoolLoads, s.Speeds = d.dumpPools(), d.dumpPoolLoads(), d.dumpSpeeds()
	s.Queue = StateQueue{Tasks: d.queue.Len(), WorkMS: d.queue.Work().Milliseconds(), MostUrgent: -1}
	if u, ok := d.queue.MostUrgent(); ok {
		s.Queue.MostUrgent = u
	}
	for _, a := range d.agents {
		s.Agents = append(s.Agents, d.dumpAgent(a))
	}
	slices.SortFunc(s.Agents, func(a, b StateAgent) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range d.jobs {
		if !j.answered && len(s.Jobs) < maxStateJobs {
			s.Jobs = append(s.Jobs, d.dumpJob(j))
		}
	}
	slices.SortFunc(s.Jobs, func(a, b StateJob) int { return int(b.AgeMS - a.AgeMS) })
	for name, u := range d.accounts {
		a := StateAccount{Name: name, Running: u.running, Waiting: u.waiting}
		if account := d.accountConfig(name); account != nil {
			a.Share = d.shares.Share(d.now, name, float64(account.MaxRunningTasks))
		}
		s.Accounts = append(s.Accounts, a)
	}
	slices.SortFunc(s.Accounts, func(a, b StateAccount) int { return strings.Compare(a.Name, b.Name) })
}

func (d *dispatcher) dumpAgent(a *agent) StateAgent {
	return StateAgent{
		ID: a.ref.ID, Incarnation: a.ref.Incarnation.String(), DataCentre: a.ref.DataCentre, Rack: a.ref.Rack,
		Worker: a.ref.Worker, Address: a.ref.Address, Admin: a.ref.Admin, Slots: a.ref.Slots,
		HeardMS: d.now.Sub(a.lastHeard).Milliseconds(), Generation: a.configGeneration,
		Session: a.session.id.Number, SessionState: a.session.state.String(), OpenTasks: len(a.session.tasks),
		Usable: a.usable, Leaving: a.leaving, Healthy: !a.unhealthy, Suspect: a.suspect, Ejected: a.ejected,
		Weight: a.effectiveWeight(),
	}
}

func (d *dispatcher) dumpJob(j *job) StateJob {
	s := StateJob{
		ID: j.id, Account: j.account, Template: j.template.Name, RequestID: j.requestID,
		AgeMS: d.now.Sub(j.arrived).Milliseconds(), RemainingMS: j.remaining(d.now).Milliseconds(), Tasks: j.count,
	}
	for _, st := range j.states {
		switch st {
		case taskWaiting:
			s.Waiting++
		case taskSent:
			s.Sent++
		case taskDone:
			s.Done++
		}
	}
	for _, h := range j.crashes {
		s.Crashes += int(h.Crashes)
	}
	if j.failure != nil {
		s.Failing = string(j.failure.reason)
	}
	if j.leased != nil {
		s.Identifier = j.leased.identifier
		for i := range j.leased.failedRuns {
			s.Attempts += int(j.leased.failedRuns[i])
			s.Interruptions += int(j.leased.interruptions[i])
			s.Restarts += int(j.leased.restarts[i])
		}
		if u := j.leased.durable; u != nil {
			s.DurableState, s.Recovering = string(j.durableState()), u.recovery != nil
		}
	}
	return s
}

func (p *peers) state(now time.Time) []StatePeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []StatePeer{}
	for _, e := range p.known {
		s := StatePeer{
			ID: e.ref.ID, Incarnation: e.ref.Incarnation.String(), DataCentre: e.ref.DataCentre,
			Address: e.ref.Address, Admin: e.ref.Admin, RepliedMS: -1, Registered: e.registered, Stopping: e.stopping,
			ShortOfProcessor: e.short,
		}
		if !e.lastReplySent.IsZero() {
			s.RepliedMS = now.Sub(e.lastReplySent).Milliseconds()
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b StatePeer) int { return strings.Compare(a.ID, b.ID) })
	return out
}
