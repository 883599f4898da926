package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

// upstreams counts the starts of all scripted agents. The tests compare these
// counts with the answers of the entries.
type upstreams struct {
	mu            sync.Mutex
	starts        map[string]int       // by task name; see taskName
	total         int                  // starts
	runningNow    int                  // tasks that run now
	maxRunning    int                  // highest runningNow so far
	lastStart     map[string]time.Time // by data centre
	runningByTask map[string]int       // current runs of leased tasks, by task name
	// maxConcurrent is the highest number of concurrent runs of one leased task.
	maxConcurrent int
}

func newUpstreams() *upstreams {
	return &upstreams{starts: map[string]int{}, lastStart: map[string]time.Time{}, runningByTask: map[string]int{}}
}

// taskName returns the name of a task: job/index. For a leased task it contains
// the caller's job identifier, which is the same at all entries.
func taskName(t wire.Task) string {
	if t.Leased != nil {
		return fmt.Sprintf("%s/%d", t.Leased.Job, t.Index)
	}
	return fmt.Sprintf("%s/%d", t.Job, t.Index)
}

func (u *upstreams) recordStart(dataCentre string, t wire.Task) {
	u.mu.Lock()
	defer u.mu.Unlock()
	name := taskName(t)
	u.starts[name]++
	if t.Leased != nil {
		u.runningByTask[name]++
		u.maxConcurrent = max(u.maxConcurrent, u.runningByTask[name])
	}
	u.total++
	u.runningNow++
	u.maxRunning = max(u.maxRunning, u.runningNow)
	u.lastStart[dataCentre] = time.Now()
}

func (u *upstreams) recordEnd(t wire.Task) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runningNow--
	if t.Leased != nil {
		u.runningByTask[taskName(t)]--
	}
}

// runningAndStarts returns the number of tasks that run now, and the number of
// starts of the named task.
func (u *upstreams) runningAndStarts(name string) (running, starts int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runningNow, u.starts[name]
}

func (u *upstreams) maxStartsOfOneTask() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := 0
	for _, n := range u.starts {
		most = max(most, n)
	}
	return most
}

func (u *upstreams) totalStarts() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.total
}

// script says what a fakeAgent does with one Run.
type script struct {
	duration   time.Duration // how long the task runs
	dieBefore  bool          // the agent process ends before the task starts
	dieDuring  bool          // the agent process ends after the task has started
	loseAnswer bool          // the connection breaks when the task has ended
	result     *wire.Result  // result of the task; nil for success
	refuse     wire.Reason   // reason for refusing the task; empty to start it
}

// fakeAgent is an agent that follows the protocol, with scripted faults.
type fakeAgent struct {
	introduced        wire.EntryRef // entry of the last Agent.Introduce
	net               *faultnet.Network
	host              string
	upstreams         *upstreams
	entries           []string // addresses
	heartbeatInterval time.Duration
	script            func(wire.Task) script

	mu             sync.Mutex
	ref            wire.AgentRef
	load           wire.Load
	opened         map[string]uint64 // newest session, by entry process
	lapsed         map[string]bool   // whether the agent ended that session, by entry process
	records        map[string]*runRecord
	cancels        int // number of Cancel messages
	runs           int // number of Run messages
	config         wire.AgentConfig
	leaving        bool
	reportsStalled bool                 // heartbeats report all runs as stalled
	reportsCrashes bool                 // heartbeats report a crash under each run
	refutesCrashes bool                 // heartbeats take back the crashes under runs that are over
	suspects       []wire.CrashReport   // which heartbeats report besides
	confirmedAt    time.Time            // when an entry last confirmed the configuration
	newestRead     time.Time            // newest read of the store that an entry reported
	renewed        map[string]time.Time // when the last heartbeat that renewed the session was sent, by entry process
	lastSeen       map[string]uint64    // highest sequence in the newest session, by entry process
	runLinger      time.Duration        // how long leased runs go on after the agent process has ended
	// What heartbeats report about ends of runs of durable jobs' tasks, and the
	// entries' replies.
	adopted, moreUnclaimed bool
	unclaimed              []wire.EndedRun
	settled, voided        []wire.EndedRun
	acked                  []wire.TaskKey
	dead                   bool
	stop                   context.CancelFunc
	done                   *sync.WaitGroup
}

type runRecord struct {
	key         wire.TaskKey
	job         string           // the caller's identifier of a leased job; otherwise empty
	incarnation wire.Incarnation // of the agent when the run started
	process     string
	owner       wire.Incarnation
	done        bool
	result      wire.Result
	ended       chan struct{}
	cancel      context.CancelFunc
}

var errScripted = errors.New("scripted failure")

func newFakeAgent(n *faultnet.Network, u *upstreams, number int, dataCentre string, entries ...string) *fakeAgent {
	host := fmt.Sprintf("10.0.2.%d", number)
	return &fakeAgent{
		net: n, host: host, upstreams: u, entries: entries, heartbeatInterval: 500 * time.Millisecond,
		script: func(wire.Task) script { return script{duration: 100 * time.Millisecond} },
		ref: wire.AgentRef{
			ID: fmt.Sprintf("a%d", number), Address: host + ":7100", DataCentre: dataCentre, Rack: "r1",
			Worker: fmt.Sprintf("w%d", number), Slots: 8, QueueLimit: 2,
			Capacity: wire.Resources{MemoryMB: 1000, MilliCPU: 8000},
		},
	}
}

// start starts a new process of the agent.
func (a *fakeAgent) start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.mu.Lock() // until all goroutines are added to done, because the test may call wait meanwhile
	defer a.mu.Unlock()
	a.ref.Incarnation = wire.NewIncarnation()
	a.load = wire.Load{Free: a.ref.Capacity}
	a.opened, a.lapsed, a.records = map[string]uint64{}, map[string]bool{}, map[string]*runRecord{}
	a.renewed, a.lastSeen = map[string]time.Time{}, map[string]uint64{}
	a.stop, a.done, a.dead = cancel, &sync.WaitGroup{}, false
	done := a.done
	s := rpcconn.NewServer(rpcconn.Options{})
	rpcconn.Handle(s, "Agent.OpenSession", a.openSession)
	rpcconn.Handle(s, "Agent.Run", a.run)
	rpcconn.Handle(s, "Agent.Await", a.await)
	rpcconn.Handle(s, "Agent.Cancel", a.cancel)
	rpcconn.Handle(s, "Agent.Announce", a.announce)
	rpcconn.Handle(s, "Agent.Introduce", func(_ context.Context, in *wire.IntroduceRequest, _ *wire.Empty) error {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.introduced = in.Entry
		return nil
	})
	l, err := a.net.Listen(a.ref.Address)
	if err != nil {
		panic(err)
	}
	done.Go(func() { _ = s.Serve(ctx, l) })
	for _, address := range a.entries {
		done.Go(func() { a.runHeartbeats(ctx, address) })
	}
	if a.ref.Pool != "" {
		done.Go(func() { a.watchLapses(ctx) })
	}
}

// die ends the process without a planned stop.
func (a *fakeAgent) die() { a.kill() }

// kill ends the process and reports whether it was alive.
func (a *fakeAgent) kill() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dead {
		return false
	}
	a.dead = true
	a.stop()
	for _, r := range a.records {
		time.AfterFunc(a.runLinger, r.cancel)
	}
	a.net.Reset(a.host)
	return true
}

// sentJobs returns the jobs of the tasks that started, in the order in which the
// entry sent the tasks. The tasks must have been sent in one session.
func (a *fakeAgent) sentJobs() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := slices.SortedFunc(maps.Values(a.records), func(x, y *runRecord) int {
		return cmp.Compare(x.key.Sequence, y.key.Sequence)
	})
	var jobs []string
	for _, r := range records {
		jobs = append(jobs, r.job)
	}
	return jobs
}

// setScript replaces the script; the agent may be running.
func (a *fakeAgent) setScript(f func(wire.Task) script) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.script = f
}

// endSessions ends all sessions, as an agent does after a long silence of the
// entry.
func (a *fakeAgent) endSessions() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for p := range a.opened {
		a.lapsed[p] = true
	}
}

// idle reports whether no task runs.
func (a *fakeAgent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load.Running == 0
}

func (a *fakeAgent) wait() {
	a.mu.Lock()
	stop, done := a.stop, a.done
	a.mu.Unlock()
	stop()
	done.Wait()
}

func (a *fakeAgent) runHeartbeats(ctx context.Context, address string) {
	d := rpcconn.Dialer{Dial: a.net.Dialer(a.host)}
	for ctx.Err() == nil {
		c, err := d.Connect(ctx, address)
		entry := "" // name of the entry process that replied
		for err == nil && ctx.Err() == nil {
			err = a.sendHeartbeat(ctx, c, &entry)
			wait.For(ctx, a.heartbeatInterval, nil)
		}
		if c != nil {
			_ = c.Close()
		}
		wait.For(ctx, 50*time.Millisecond, nil)
	}
}

func (a *fakeAgent) sendHeartbeat(ctx context.Context, c *rpcconn.Client, entry *string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	a.mu.Lock()
	req := wire.HeartbeatRequest{Agent: a.ref, Load: a.loadFor(*entry), Leaving: a.leaving, Healthy: true, Generation: a.config.Generation, ReadAge: -1,
		Adopted: a.adopted, MoreUnclaimed: a.moreUnclaimed, Unclaimed: slices.Clone(a.unclaimed), Suspects: slices.Clone(a.suspects)}
	if !a.newestRead.IsZero() {
		req.ReadAge = time.Since(a.newestRead)
	}
	if !a.confirmedAt.IsZero() {
		req.ConfirmedAgo = max(1, time.Since(a.confirmedAt))
	}
	for _, r := range a.records {
		if a.refutesCrashes && r.done {
			req.Suspects = append(req.Suspects, wire.CrashReport{Entry: r.owner, Key: r.key, Account: "portal", Job: r.job, Role: wire.CrashNone})
		}
		if a.reportsCrashes {
			req.Suspects = append(req.Suspects, wire.CrashReport{Entry: r.owner, Key: r.key, Account: "portal", Job: r.job, Role: wire.CrashUnconfirmed})
		}
		if a.reportsStalled && !r.done && r.process == *entry {
			req.Behind = append(req.Behind, wire.Straggler{Key: r.key, Elapsed: 300 * time.Millisecond, Stalled: true})
		}
	}
	a.mu.Unlock()
	sent := time.Now()
	var reply wire.HeartbeatReply
	if err := c.Call(ctx, "Entry.Heartbeat", &req, &reply); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := sent.Add(-reply.ReadAge); reply.ReadAge >= 0 && at.After(a.newestRead) {
		a.newestRead = at
	}
	if reply.Config != nil {
		a.config = *reply.Config
	}
	if reply.ConfirmAge >= 0 && reply.Generation == a.config.Generation {
		a.confirmedAt = time.Now()
	}
	a.acked = append(a.acked, reply.Acked...)
	a.settled, a.voided = append(a.settled, reply.Settled...), append(a.voided, reply.Voided...)
	a.unclaimed = slices.DeleteFunc(a.unclaimed, func(r wire.EndedRun) bool {
		return slices.Contains(reply.Settled, r) || slices.Contains(reply.Voided, r)
	})
	*entry = reply.Entry.ID + reply.Entry.Incarnation.String()
	if p := *entry; reply.Renews != 0 && reply.Renews == a.opened[p] {
		a.renewed[p] = sent
	}
	return nil
}

// fakeSessionLapse is the time without a renewal after which agents of leased
// tasks end a session. It equals Timing.Lapse in leasedEntry.
const fakeSessionLapse = 600 * time.Millisecond

// watchLapses ends the sessions that are not renewed within fakeSessionLapse
// and stops their leased runs.
func (a *fakeAgent) watchLapses(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, a.heartbeatInterval/2, nil)
		a.mu.Lock()
		for p, at := range a.renewed {
			a.lapsed[p] = a.lapsed[p] || time.Since(at) > fakeSessionLapse
		}
		for _, r := range a.records {
			if a.lapsed[r.process] {
				r.cancel()
			}
		}
		a.mu.Unlock()
	}
}

func processName(s wire.Session) string { return s.Entry + s.Incarnation.String() }

func recordName(s wire.Session, k wire.TaskKey) string {
	return fmt.Sprintf("%s/%d/%d", processName(s), k.Session, k.Sequence)
}

func (a *fakeAgent) openSession(_ context.Context, req *wire.OpenSessionRequest, reply *wire.OpenSessionReply) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := processName(req.Session)
	if req.Session.Number <= a.opened[p] {
		return errors.New("fenced")
	}
	a.opened[p], a.lapsed[p], a.lastSeen[p] = req.Session.Number, false, 0
	a.renewed[p] = time.Now()
	if req.Config.Generation > a.config.Generation {
		a.config = req.Config
	}
	for _, r := range a.records {
		if r.process == p {
			reply.Started = append(reply.Started, wire.StartedTask{Key: r.key, Finished: r.done, Result: r.result})
		}
	}
	reply.Agent, reply.Load = a.ref, a.loadFor(p)
	return nil
}

func (a *fakeAgent) run(ctx context.Context, req *wire.RunRequest, reply *wire.RunReply) error {
	a.mu.Lock()
	s := a.script(req.Task)
	a.runs++
	a.acked = append(a.acked, req.Acked...)
	if s.dieBefore {
		a.mu.Unlock()
		a.die()
		return errScripted
	}
	key := wire.TaskKey{Session: req.Session.Number, Sequence: req.Sequence}
	p := processName(req.Session)
	if a.opened[p] == req.Session.Number {
		a.lastSeen[p] = max(a.lastSeen[p], req.Sequence)
	}
	refuse := s.refuse
	switch {
	case a.opened[processName(req.Session)] != req.Session.Number || a.lapsed[processName(req.Session)]:
		refuse = wire.ReasonSessionFenced
	case refuse == "" && (a.load.Running >= a.ref.Slots || !req.Task.Needs.Fits(a.load.Free)):
		refuse = wire.ReasonAgentBusy
	}
	if refuse != "" {
		*reply = wire.RunReply{Agent: a.ref.Incarnation, Result: notRunResult(refuse)}
		a.changeRunning(0)
		reply.Load = a.loadFor(p)
		a.mu.Unlock()
		return nil
	}
	taskCtx, cancel := context.WithCancel(context.Background())
	r := &runRecord{key: key, incarnation: a.ref.Incarnation, process: p, owner: req.Session.Incarnation, ended: make(chan struct{}), cancel: cancel}
	if req.Task.Leased != nil {
		r.job = req.Task.Leased.Job
	}
	a.records[recordName(req.Session, key)] = r
	a.load.Free = a.load.Free.Minus(req.Task.Needs)
	a.changeRunning(1)
	done := a.done // a new process has its own
	a.mu.Unlock()
	a.upstreams.recordStart(a.ref.DataCentre, req.Task)
	if s.dieDuring {
		cancel()
		a.die()
		return errScripted
	}
	done.Go(func() { a.execute(taskCtx, r, s, req.Task) })
	select {
	case <-r.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.loseAnswer {
		a.net.Cut(a.host, "10.0.1.1")
		a.net.Heal(a.host, "10.0.1.1")
		return errScripted
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	*reply = wire.RunReply{Agent: a.ref.Incarnation, Result: r.result, Load: a.loadFor(p)}
	return nil
}

func (a *fakeAgent) execute(ctx context.Context, r *runRecord, s script, t wire.Task) {
	defer r.cancel()
	durable := t.Leased != nil && t.Leased.Durable
	if durable {
		t.Remaining = math.MaxInt64 // it has no deadline
	}
	wait.For(ctx, min(s.duration, t.Remaining), nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case ctx.Err() != nil && t.Leased != nil:
		r.result = wire.Result{Outcome: wire.OutcomeInterrupted, Reason: wire.ReasonLeaseExpired}
	case ctx.Err() != nil:
		r.result = wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonCancelled}
	case s.duration > t.Remaining:
		r.result = unknownResult(wire.ReasonDeadline)
	case s.result != nil:
		r.result = *s.result
	default:
		body := fmt.Sprintf("%s:%s", t.Request.Path, t.Request.Body)
		r.result = wire.Result{Outcome: wire.OutcomeDone, Took: s.duration, Response: wire.Response{Status: 200, Body: []byte(body)}}
	}
	if durable && r.result.Outcome != wire.OutcomeInterrupted {
		r.result.Tag = wire.RunTag(a.ref.Incarnation) + wire.RunTag(r.key.Sequence) + wire.RunTag(r.key.Session)<<32
	}
	r.done = true
	a.upstreams.recordEnd(t) // before the reply, which lets the entry start the next task
	if a.ref.Incarnation == r.incarnation {
		a.load.Free = a.load.Free.Plus(t.Needs)
		a.changeRunning(-1)
	}
	close(r.ended)
}

// changeRunning adds to the number of running tasks in the load. The caller
// must hold the lock.
func (a *fakeAgent) changeRunning(running int) {
	a.load.Sequence++
	a.load.Running += running
}

// loadFor returns the load that is reported to the entry process. It includes
// the last sequence that the agent received from that process; without it the
// entry would count its tasks twice. The caller must hold the lock.
func (a *fakeAgent) loadFor(process string) wire.Load {
	l := a.load
	l.SeenSession, l.Seen = a.opened[process], a.lastSeen[process]
	return l
}

func (a *fakeAgent) await(ctx context.Context, req *wire.AwaitRequest, reply *wire.RunReply) error {
	a.mu.Lock()
	r := a.records[recordName(req.Session, req.Key)]
	a.mu.Unlock()
	if r == nil {
		return errors.New("no record")
	}
	select {
	case <-r.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	*reply = wire.RunReply{Agent: a.ref.Incarnation, Result: r.result, Load: a.loadFor(processName(req.Session))}
	return nil
}

func (a *fakeAgent) cancel(_ context.Context, req *wire.CancelRequest, _ *wire.CancelReply) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels++
	for _, key := range req.Keys {
		if r := a.records[recordName(req.Session, key)]; r != nil {
			r.cancel()
		}
	}
	return nil
}

func (a *fakeAgent) announce(_ context.Context, req *wire.AnnounceRequest, reply *wire.AnnounceReply) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.Config != nil && req.Config.Generation > a.config.Generation {
		a.config = *req.Config
	}
	reply.Load = a.loadFor(processName(req.Session))
	return nil
}
