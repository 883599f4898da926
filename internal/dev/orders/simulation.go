package orders

import (
	"container/heap"
	"context"
	"fmt"
	"time"

	"chicorytray.example/chicorytray/admission"
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/queue"
)

// epoch is the time at which every run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// job is one job of a run.
type job struct {
	id                string
	kindIndex         int
	arrived, deadline time.Duration // arrived since the start of the run, deadline since the arrival
	class             placement.Class
	tasks             []task

	objective        time.Duration // since the arrival
	openTasks        int           // tasks that have not ended
	started          bool
	ended            bool
	responseTime     time.Duration // 0 if the job did not complete
	spentCoreSeconds float64       // by tasks that have ended
	rackSpread       placement.Spread
}

// task is one task of a job.
type task struct {
	duration time.Duration
	agent    string // ID of the agent that runs the task; empty while none does
	began    time.Duration
}

// expected returns the expected duration of a task.
func (j *job) expected() time.Duration { return jobKinds[j.kindIndex].mean }

// taskWork returns the expected work of one task, in thousandths of a core times
// nanoseconds.
func (j *job) taskWork() float64 { return float64(j.expected()) * float64(j.class.Needs.MilliCPU) }

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

// simulation is one run under one policy.
type simulation struct {
	now             time.Duration
	queue           *queue.Queue
	table           *placement.Table
	admission       *admission.Controller // nil accepts every job
	serviceRate     admission.ServiceRate
	jobs            map[string]*job
	classes         map[string]placement.Class
	events          eventQueue
	lastEventNumber int // orders events at the same time

	waitingTasks int     // tasks in the queue
	waitingWork  float64 // work of the waiting tasks
	runningWork  float64 // work of the running tasks
}

// simulate runs the jobs and returns when all have ended, or with an error when
// ctx ends.
func simulate(ctx context.Context, policy queue.Policy, jobs []*job, seed uint64, admit bool) error {
	s := &simulation{
		queue: queue.New(queue.Options{Policy: policy}), table: placement.NewTable(placement.IdleFirst{}),
		jobs: make(map[string]*job), classes: make(map[string]placement.Class),
	}
	if admit {
		s.admission = admission.New(admission.Options{})
	}
	s.table.SetSeed(seed)
	for i := range workers {
		s.table.Upsert(placement.Agent{
			ID: fmt.Sprint(i), Rack: fmt.Sprint(i / workersPerRack), Pool: poolName, Slots: workerMilliCPU / milliPerCore,
			Capacity: placement.Resources{MilliCPU: workerMilliCPU, MemoryMB: workerMemoryMB},
		})
	}
	for _, j := range jobs {
		s.schedule(j.arrived, func() { s.admitJob(j) })
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
	work := entry.Work{
		Expected: j.expected(), Tasks: len(j.tasks), MilliCPU: j.class.Needs.MilliCPU, PoolMilliCPU: s.table.KnownMilliCPU(j.class),
	}
	j.objective = entry.ResponseTimeObjective(&template, work)
	startTimeout := entry.StartTimeout(&template, j.deadline, work)
	if !s.accepts(j, startTimeout) {
		j.ended = true
		return
	}
	j.openTasks = len(j.tasks)
	s.jobs[j.id], s.classes[j.class.Name] = j, j.class
	s.schedule(j.arrived+startTimeout, func() {
		if !j.started {
			s.endJob(j)
		}
	})
	s.schedule(j.arrived+j.deadline, func() { s.endJob(j) })
	indexes := make([]int, len(j.tasks))
	for i := range indexes {
		indexes[i] = i
	}
	s.addWaiting(j, len(j.tasks))
	s.queue.Add(s.currentTime(), queue.Job{
		ID: j.id, Account: accountName, Class: j.class.Name, Urgency: jobKinds[j.kindIndex].urgency,
		Arrived: s.currentTime(), Deadline: s.currentTime().Add(j.deadline), Expected: j.expected(),
		Objective: j.objective, MilliCPU: j.class.Needs.MilliCPU,
	}, indexes)
}

func (s *simulation) accepts(j *job, startTimeout time.Duration) bool {
	if s.admission == nil {
		return true
	}
	return s.admission.Decide(s.currentTime(), admission.Request{
		Account: accountName, Urgency: jobKinds[j.kindIndex].urgency, Tasks: len(j.tasks),
		Expected: j.expected(), Deadline: startTimeout, DeadlineShare: 1,
	}, admission.State{
		// On average, half of the work of the running tasks remains.
		QueuedTasks: s.waitingTasks, QueuedWork: time.Duration((s.waitingWork + s.runningWork/2) / float64(j.class.Needs.MilliCPU)),
		Slots: s.table.Slots(j.class), ServiceRate: s.serviceRate.Value(),
	}).Accept
}

// addWaiting adds a number of tasks of a job, which may be negative, to the
// waiting tasks.
func (s *simulation) addWaiting(j *job, tasks int) {
	s.waitingTasks += tasks
	s.waitingWork += float64(tasks) * j.taskWork()
}

// startWaitingTasks starts waiting tasks while workers have room.
func (s *simulation) startWaitingTasks() {
	feasible := func(class string) bool { return s.table.Feasible(s.classes[class]) }
	for s.table.HasRoom() {
		ref, ok := s.queue.Next(s.currentTime(), feasible)
		if !ok {
			return
		}
		j := s.jobs[ref.Job]
		id, ok := s.table.ChooseFor(placement.Query{Class: j.class, RackTasks: j.rackSpread.Count})
		if !ok {
			s.queue.Requeue(ref)
			return
		}
		s.startTask(j, ref.Index, id)
	}
}

func (s *simulation) startTask(j *job, index int, agent string) {
	t := &j.tasks[index]
	t.agent, t.began, j.started = agent, s.now, true
	s.table.RecordSent(agent, j.class.Needs)
	j.rackSpread.Add(s.table.Rack(agent))
	s.queue.RecordStarted(accountName, j.expected())
	s.addWaiting(j, -1)
	s.runningWork += j.taskWork()
	core := j.class
	core.Needs.MilliCPU = milliPerCore
	s.serviceRate.Observe(s.currentTime(), time.Duration(j.taskWork()/milliPerCore), s.table.Slots(core), s.waitingTasks > 0 && !s.table.Feasible(j.class))
	s.schedule(s.now+t.duration, func() {
		if j.ended {
			return // endJob has released the task
		}
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
	j.spentCoreSeconds += (s.now - t.began).Seconds() * j.cores()
	s.runningWork -= j.taskWork()
	t.agent = ""
}

// endJob removes the waiting tasks of a job from the queue and stops the running
// ones.
func (s *simulation) endJob(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	s.addWaiting(j, -len(s.queue.Remove(j.id)))
	for i := range j.tasks {
		if t := &j.tasks[i]; t.agent != "" {
			s.releaseTask(j, t)
		}
	}
	delete(s.jobs, j.id)
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
