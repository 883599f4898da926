package entry

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/wire"
)

const (
	// backlogAnnounceAfter is the age of a backlog at which agents are told.
	// Most backlogs are gone sooner.
	backlogAnnounceAfter = 20 * time.Millisecond
	// backlogAnnounceInterval is the interval at which a lasting backlog is
	// announced to further agents, and the least one between announcements to
	// the same agent.
	backlogAnnounceInterval = 100 * time.Millisecond
	// Every agent that is told offers its next free slot, so telling many for
	// few tasks wastes offers, and telling one waits for that agent's tasks.
	backlogAnnounceAgentsPerTask = 2
	// backlogAnnounceAgents bounds the agents told at once. With 8 slots and
	// tasks of 400 ms, 32 agents free a slot every 2 ms.
	backlogAnnounceAgents = 32
)

// enqueue hands the admitted job to the dispatcher.
func (e *Entry) enqueue(s *submission) error {
	if !e.dispatcher.postAndWait(func(d *dispatcher) { d.enqueue(s.job) }) {
		return retryLater(time.Second, reasonStopping, "the entry is stopping")
	}
	return nil
}

// awaitAnswer returns when the job is answered. A caller that disconnects cancels its
// job unless a repetition under the same key may ask for the answer.
func (e *Entry) awaitAnswer(ctx context.Context, s *submission) {
	select {
	case <-s.job.done:
	case <-ctx.Done():
		if s.idempotencyKey == "" {
			e.dispatcher.post(func(d *dispatcher) { d.cancelJob(s.job, "the caller disconnected") })
		}
		<-s.job.done
	}
	s.answer = s.job.answer
}

func (d *dispatcher) enqueue(j *job) {
	d.reserved.release(j)
	if j.failure != nil { // cancelled between admission and here
		d.finishJob(j)
		return
	}
	d.scheduleTasks(j)
}

// scheduleTasks makes all tasks of a job wait for their start.
func (d *dispatcher) scheduleTasks(j *job) {
	if durableOf(j) == nil {
		j.timer = time.AfterFunc(j.giveUpAt().Sub(d.now), func() {
			d.post(func(d *dispatcher) { d.handleJobTimer(j) })
		})
	}
	j.queued = true
	if j.leased != nil {
		d.updatePending(j)
		if !j.inQueue() {
			return // handleRunsEnded, or the end of the recovery, adds them to the queue
		}
	}
	d.addToQueue(j)
}

func (d *dispatcher) addToQueue(j *job) {
	indexes := make([]int, 0, j.count)
	for i, s := range j.states {
		if s == taskWaiting {
			indexes = append(indexes, i)
		}
	}
	d.addWaiting(j, len(indexes))
	waiting := queue.Job{
		ID: j.id, Account: j.account, Class: j.queueClass.Name, Urgency: j.template.Urgency,
		Arrived: j.arrived, Deadline: j.deadline, Expected: j.expected,
		MilliCPU: j.class.Needs.MilliCPU, Value: j.template.Value,
	}
	if j.leased != nil {
		waiting.Objective = j.leased.objective
	}
	d.queue.Add(d.now, waiting, indexes)
}

// cancelJob ends a job on request. The answer waits until it is known which of
// its tasks ran.
func (d *dispatcher) cancelJob(j *job, detail string) {
	c := jobFailure{reason: wire.ReasonCancelled, detail: detail, awaitSent: true}
	switch {
	case j.answered || j.failure != nil:
	case !j.queued:
		j.failure = &c // enqueue answers it
		for i := range j.states {
			j.setFinalState(i, taskNotRun)
		}
	default:
		d.failJob(j, c)
	}
}

// backlogState is what agents were told about the waiting tasks.
type backlogState struct {
	since       time.Time // zero while there is none
	announcedAt time.Time
}

// currentBacklog returns the waiting tasks that agents of the pool can run. The
// urgency is that of the first task of any pool.
func (d *dispatcher) currentBacklog(pool string) wire.Backlog {
	urgency, ok := d.queue.MostUrgent()
	if tasks := d.waitingInPool(pool); ok && tasks > 0 {
		return wire.Backlog{Tasks: tasks, Urgency: urgency}
	}
	return wire.Backlog{}
}

// announceBacklog tells some agents that work waits, so that they offer free
// slots. Later Run messages and heartbeat replies carry its course.
func (d *dispatcher) announceBacklog() {
	if d.queue.Len() == 0 {
		d.backlog = backlogState{}
		return
	}
	if d.backlog.since.IsZero() {
		d.backlog.since = d.now
	}
	if d.now.Sub(d.backlog.since) < backlogAnnounceAfter || d.now.Sub(d.backlog.announcedAt) < backlogAnnounceInterval {
		return
	}
	d.backlog.announcedAt = d.now
	remaining := min(backlogAnnounceAgentsPerTask*d.queue.Len(), backlogAnnounceAgents)
	for _, a := range d.agents { // in random order
		if remaining == 0 {
			return
		}
		b := d.currentBacklog(a.ref.Pool)
		if a.usable && b.Tasks > 0 && d.now.Sub(a.announcedAt) >= backlogAnnounceInterval {
			d.sendAnnounce(a, wire.AnnounceRequest{Backlog: b})
			remaining--
		}
	}
}

// sendAnnounce sends one Announce message. Its loss does no harm: heartbeat
// replies carry the same.
func (d *dispatcher) sendAnnounce(a *agent, req wire.AnnounceRequest) {
	if a.conn == nil {
		return
	}
	a.announcedAt = d.now
	req.Session = a.session.id
	conn := a.conn
	d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, d.timing.CallTimeout.AsDuration())
		defer cancel()
		var reply wire.AnnounceReply
		if err := conn.Call(ctx, "Agent.Announce", &req, &reply); err == nil {
			d.post(func(d *dispatcher) { d.updateLoadFromReply(a, reply.Load) })
		}
	})
}

// handleOffer handles Entry.Offer: an agent with free slots asks for work.
func (d *dispatcher) handleOffer(req wire.OfferRequest) bool {
	a := d.agents[req.Agent]
	if a == nil || a.ref.Incarnation != req.Incarnation {
		return false
	}
	d.updateLoadFromReply(a, req.Load)
	if d.queue.Len() == 0 {
		return false
	}
	before := a.session.sequence
	d.placeWaitingTasks()
	return a.session.sequence != before
}
