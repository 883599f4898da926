package orders

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"chicorytray.example/chicorytray/admission"
	"chicorytray.example/chicorytray/balance"
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/speed"
)

// epoch is the time at which every run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// job is one job of a run.
type job struct {
	id                string
	kindIndex         int
	expected          time.Duration // of one task
	urgency           int
	arrived, deadline time.Duration // arrived since the start of the run, deadline since the arrival
	class             placement.Class
	tasks             []task

	objective        time.Duration // since the arrival
	openTasks        int           // tasks that have not ended
	waiting          int           // tasks that have not started
	started          bool
	ended            bool
	responseTime     time.Duration // 0 if the job did not complete
	spentCoreSeconds float64       // by tasks that have ended
	rackSpread       placement.Spread
	process          *process // that the job was submitted to
	accepted         bool
	admission        admission.Job // under byObjective
}

// task is one task of a job.
type task struct {
	duration time.Duration
	agent    string // ID of the agent that runs the task; empty while none does
	began    time.Duration
}

// taskWork returns the expected work of one task, in thousandths of a core times
// nanoseconds.
func (j *job) taskWork() float64 { return float64(j.expected) * float64(j.class.Needs.MilliCPU) }

// ideal returns the response time of the job alone on an idle pool.
func (j *job) ideal() (longest time.Duration) {
	for _, t := range j.tasks {
		longest = max(longest, t.duration)
	}
	return longest
}

// coreSeconds returns the work of the whole job, with the true durations.
func (j *job) coreSeconds() (sum float64) {
	for _, t := range j.tasks {
		sum += t.duration.Seconds() * j.cores()
	}
	return sum
}

func (j *job) cores() float64 { return float64(j.class.Needs.MilliCPU) / milliPerCore }

const milliPerCore = 1000

// runOptions configure one run.
type runOptions struct {
	policy    queue.Policy
	fleet     *fleet
	seed      uint64
	admission admissionRule
	entries   int // processes that share the workers; 0 means 1
	// share is the part of the capacity that each entry counts on, as from package
	// balance; 0 takes the rate that it measures.
	share float64
	// bySpeed makes the entries learn the speeds of the workers and place tasks by the
	// expected end.
	bySpeed bool
	// loads makes the entries count on the shares and the expected wait of package
	// balance, with loads that are exchanged every loadInterval.
	loads bool
	// slack makes agents offer room to the entry whose first task is late soonest among
	// equally urgent ones, as with the setting sharing "slack".
	slack      bool
	speedShare float64 // of package admission; 0 takes its default
}

// loadInterval is that of peer heartbeats on the users' platform.
const loadInterval = 350 * time.Millisecond

// admissionRule is the rule by which jobs are accepted.
type admissionRule int

const (
	acceptAll admissionRule = iota
	byDeadline
	byObjective
)

// simulation is one run under one policy.
type simulation struct {
	runOptions
	now             time.Duration
	table           *placement.Table
	processes       []*process
	classes         map[string]placement.Class
	kinds           map[string]string // of the jobs of each class, if tasks are placed by the expected end
	random          *rand.Rand
	events          eventQueue
	lastEventNumber int // orders events at the same time
}

// process is the state of one entry. An entry knows its own jobs only, and all
// entries see the same free capacity.
type process struct {
	queue       *queue.Queue
	deadline    *admission.Controller
	objective   *admission.Objective
	serviceRate admission.ServiceRate
	jobs        map[string]*job

	// The following are set if tasks are placed by the expected end.
	speeds    *speed.Learner
	placing   *speed.Round
	held      []queue.TaskRef // in the round in progress
	evaluated time.Duration   // when the speeds were evaluated last

	waitingTasks int     // tasks in the queue
	waitingWork  float64 // work of the waiting tasks
	runningWork  float64 // work of the running tasks

	slack  bool
	loads  *balance.Loads
	window balance.Window
}

// simulate runs the jobs and returns when all have ended, or with an error when
// ctx ends.
func simulate(ctx context.Context, o runOptions, jobs []*job) error {
	s := &simulation{
		runOptions: o, table: placement.NewTable(placement.IdleFirst{}), classes: make(map[string]placement.Class), kinds: make(map[string]string),
		random: rand.New(rand.NewPCG(o.seed, 0)),
	}
	for i := range max(o.entries, 1) {
		s.processes = append(s.processes, &process{
			queue: queue.New(queue.Options{Policy: o.policy}), deadline: admission.New(admission.Options{}),
			objective: admission.NewObjective(admission.ObjectiveOptions{SpeedShare: o.speedShare}), jobs: make(map[string]*job),
			slack: o.slack, loads: balance.New(balance.Options{Self: fmt.Sprint(i), SuspectAfter: 2 * loadInterval}),
		})
	}
	s.table.SetSeed(o.seed)
	s.learnSpeeds()
	f := o.fleet
	for i := range f.workers {
		s.table.Upsert(placement.Agent{
			ID: fmt.Sprint(i), Rack: fmt.Sprint(i / f.workersPerRack), Pool: poolName, Slots: int(f.workerMilliCPU / milliPerCore),
			Capacity: placement.Resources{MilliCPU: f.workerMilliCPU, MemoryMB: workerMemoryMB},
		})
	}
	for i, j := range jobs {
		j.process = s.processes[i%len(s.processes)]
		s.schedule(j.arrived, func() { s.admitJob(j) })
	}
	if o.loads && len(jobs) > 0 {
		s.exchangeLoads(jobs[len(jobs)-1].arrived)
	}
	for s.events.Len() > 0 && ctx.Err() == nil {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		s.startWaitingTasks()
	}
	return ctx.Err()
}

func (s *simulation) schedule(t time.Duration, do func()) {
	s.lastEventNumber++
	heap.Push(&s.events, event{t, s.lastEventNumber, do})
}

func (s *simulation) currentTime() time.Time { return epoch.Add(s.now) }

// admitJob admits or refuses a job as an entry does with jobs of leased tasks. It
// queues the tasks of an admitted job.
func (s *simulation) admitJob(j *job) {
	p := j.process
	work := entry.Work{
		Expected: j.expected, Tasks: len(j.tasks), MilliCPU: j.class.Needs.MilliCPU, PoolMilliCPU: s.table.KnownMilliCPU(j.class),
	}
	j.objective = entry.ResponseTimeObjective(&template, work)
	startTimeout := entry.StartTimeout(&template, j.deadline, work)
	if s.admission == byObjective {
		startTimeout = min(queue.LastUsefulStart(j.objective, j.expected), j.deadline)
	}
	if !s.accepts(j, startTimeout) {
		j.ended = true
		return
	}
	j.accepted, j.openTasks = true, len(j.tasks)
	s.nameClass(j)
	p.jobs[j.id], s.classes[j.class.Name] = j, j.class
	s.schedule(j.arrived+startTimeout, func() {
		if !j.started {
			p.objective.GivenUp(s.currentTime(), &j.admission)
			s.endJob(j)
		}
	})
	s.schedule(j.arrived+j.deadline, func() { s.endJob(j) })
	indexes := make([]int, len(j.tasks))
	for i := range indexes {
		indexes[i] = i
	}
	s.addWaiting(j, len(j.tasks))
	p.queue.Add(s.currentTime(), queue.Job{
		ID: j.id, Account: accountName, Class: j.class.Name, Urgency: j.urgency,
		Arrived: s.currentTime(), Deadline: s.currentTime().Add(j.deadline), Expected: j.expected,
		Objective: j.objective, MilliCPU: j.class.Needs.MilliCPU,
	}, indexes)
}

func (s *simulation) accepts(j *job, startTimeout time.Duration) bool {
	p, need := j.process, float64(j.class.Needs.MilliCPU)
	switch s.admission {
	case byDeadline:
		return p.deadline.Decide(s.currentTime(), admission.Request{
			Account: accountName, Urgency: j.urgency, Tasks: len(j.tasks),
			Expected: j.expected, Deadline: startTimeout, DeadlineShare: 1,
		}, admission.State{
			// On average, half of the work of the running tasks remains.
			QueuedTasks: p.waitingTasks, QueuedWork: time.Duration((p.waitingWork + p.runningWork/2) / need),
			Slots: s.table.Slots(j.class), ServiceRate: p.serviceRate.Value(),
		}).Accept
	case byObjective:
		j.admission = admission.Job{
			Kind: s.fleet.kinds[j.kindIndex].name, Account: accountName, Work: j.taskWork() * float64(len(j.tasks)), Expected: j.expected,
			Arrived: s.currentTime(), Objective: j.objective, LastStart: startTimeout,
		}
		state := admission.ObjectiveState{
			Capacity: float64(s.table.Slots(j.class)) * need, Share: s.rate(p),
			Room: s.table.Feasible(j.class), PoolWait: -1, Spread: s.random.Float64(),
		}
		if s.loads {
			state.PoolWait = p.loads.ExpectedWait(s.currentTime(), poolName, state.Capacity)
		}
		d := p.objective.Decide(s.currentTime(), &j.admission, state)
		if d.Accept {
			p.objective.Accepted(s.currentTime(), &j.admission, d)
		}
		p.window.Record(s.currentTime(), j.admission.Work/float64(time.Millisecond), !d.Accept)
		return d.Accept
	}
	return true
}

// rate returns the part of the capacity that the process may count on.
func (s *simulation) rate(p *process) float64 {
	if s.share > 0 {
		return s.share
	}
	if s.loads {
		s.updateOwnLoad(p)
		return p.loads.Share(s.currentTime(), poolName)
	}
	return p.serviceRate.Value() * admission.MeasuredShare
}

// updateOwnLoad updates the load that the process knows of itself.
func (s *simulation) updateOwnLoad(p *process) balance.Load {
	load := balance.Load{Usable: true, Waiting: p.waitingWork / float64(time.Millisecond), Running: p.runningWork / float64(time.Millisecond)}
	jobWork := p.window.AddTo(s.currentTime(), &load)
	p.loads.SetOwn(s.currentTime(), poolName, load, jobWork)
	load.Span = 0 // not part of a message
	return load
}

// exchangeLoads reports the loads of all processes to each other, every loadInterval
// until the given time.
func (s *simulation) exchangeLoads(until time.Duration) {
	for i, p := range s.processes {
		load := s.updateOwnLoad(p)
		for _, other := range s.processes {
			other.loads.Observe(s.currentTime(), fmt.Sprint(i), 1, false, map[string]balance.Load{poolName: load})
		}
	}
	if s.now < until {
		s.schedule(s.now+loadInterval, func() { s.exchangeLoads(until) })
	}
}

// addWaiting adds a number of tasks of a job, which may be negative, to the
// waiting tasks.
func (s *simulation) addWaiting(j *job, tasks int) {
	p := j.process
	j.waiting += tasks
	p.waitingTasks += tasks
	p.waitingWork += float64(tasks) * j.taskWork()
	if s.admission == byObjective {
		p.objective.Add(s.currentTime(), &j.admission, tasks, j.taskWork())
	}
}

// startWaitingTasks starts waiting tasks while workers have room. As agents do, it
// offers room to the process with the most urgent waiting task.
func (s *simulation) startWaitingTasks() {
	candidates := slices.Clone(s.processes)
	defer s.putBackHeld()
	for s.table.HasRoom() && len(candidates) > 0 {
		s.rotate(candidates)
		best, first := 0, candidates[0].firstTask(s.currentTime())
		for i, p := range candidates[1:] {
			if t := p.firstTask(s.currentTime()); t.before(first) {
				best, first = i+1, t
			}
		}
		if p := candidates[best]; !s.startNext(p, func(class string) bool { return s.feasible(p, class) }) {
			candidates = slices.Delete(candidates, best, best+1)
		}
	}
}

// rotate puts a random process first, so that equally urgent ones take turns.
func (s *simulation) rotate(p []*process) {
	if len(p) > 1 {
		i := s.random.IntN(len(p))
		p[0], p[i] = p[i], p[0]
	}
}

// firstTask describes the first waiting task of a process to the agents.
type firstTask struct {
	urgency     int // the greatest if none waits
	latestStart time.Time
}

func (p *process) firstTask(now time.Time) firstTask {
	t := firstTask{urgency: math.MaxInt}
	if p.slack {
		if first, ok := p.queue.First(now, nil); ok {
			t.latestStart = first.LatestStart()
		}
	}
	if u, ok := p.queue.MostUrgent(); ok {
		t.urgency = u
	}
	return t
}

func (t firstTask) before(o firstTask) bool {
	return t.urgency < o.urgency || t.urgency == o.urgency && t.latestStart.Before(o.latestStart)
}

// startNext starts the next waiting task of the process, if a worker has room.
func (s *simulation) startNext(p *process, feasible func(string) bool) bool {
	ref, ok := p.queue.Next(s.currentTime(), feasible)
	if !ok {
		return false
	}
	j := p.jobs[ref.Job]
	if s.bySpeed {
		return s.startBySpeed(p, j, ref)
	}
	id, ok := s.table.ChooseFor(placement.Query{Class: j.class, RackTasks: j.rackSpread.Count})
	if !ok {
		p.queue.Requeue(ref)
		return false
	}
	s.startTask(j, ref.Index, id)
	return true
}

func (s *simulation) startTask(j *job, index int, agent string) {
	p, t := j.process, &j.tasks[index]
	t.agent, t.began, j.started = agent, s.now, true
	s.table.RecordSent(agent, j.class.Needs)
	j.rackSpread.Add(s.table.Rack(agent))
	p.queue.RecordStarted(accountName, j.expected)
	s.addWaiting(j, -1)
	p.runningWork += j.taskWork()
	core := j.class
	core.Needs.MilliCPU = milliPerCore
	p.serviceRate.Observe(s.currentTime(), time.Duration(j.taskWork()/milliPerCore), s.table.Slots(core), p.waitingTasks > 0 && !s.table.Feasible(j.class))
	worker, _ := strconv.Atoi(agent)
	took := time.Duration(float64(t.duration) / s.fleet.speed(worker))
	s.schedule(s.now+took, func() {
		if j.ended {
			return // endJob has released the task
		}
		s.observeRun(j, agent, took)
		s.releaseTask(j, t)
		if j.openTasks--; j.openTasks == 0 {
			j.responseTime = s.now - j.arrived
			s.endJob(j)
		}
	})
}

// releaseTask frees the resources of a task and counts the work that it did.
func (s *simulation) releaseTask(j *job, t *task) {
	s.table.RecordDone(t.agent, j.class.Needs)
	j.rackSpread.Done(s.table.Rack(t.agent))
	worker, _ := strconv.Atoi(t.agent)
	j.spentCoreSeconds += (s.now - t.began).Seconds() * j.cores() * s.fleet.speed(worker)
	j.process.runningWork -= j.taskWork()
	t.agent = ""
}

// endJob removes the waiting tasks of a job from the queue and stops the running
// ones.
func (s *simulation) endJob(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	s.addWaiting(j, -len(j.process.queue.Remove(j.id)))
	for i := range j.tasks {
		if t := &j.tasks[i]; t.agent != "" {
			s.releaseTask(j, t)
		}
	}
	delete(j.process.jobs, j.id)
}

// event is a function that runs at a time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at     time.Duration
	number int
	run    func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
