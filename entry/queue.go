package entry

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/wire"
)

const (
	// backlogAnnounceAfter is the age at which a backlog is announced to agents.
	// Most backlogs clear sooner.
	backlogAnnounceAfter = 20 * time.Millisecond
	// backlogAnnounceInterval is the interval at which a lasting backlog is
	// announced to more agents, and the minimum interval between two
	// announcements to the same agent.
	backlogAnnounceInterval = 100 * time.Millisecond
	// backlogAnnounceAgentsPerTask limits the agents told at once for each
	// waiting task. Every agent that is told offers its next free slot: with too
	// many agents most offers are wasted, and with only one the task waits for
	// the tasks of that agent.
	backlogAnnounceAgentsPerTask = 2
	// backlogAnnounceAgents limits the agents told at once. With 8 slots each and
	// tasks of 400 ms, 32 agents free a slot about every 2 ms.
	backlogAnnounceAgents = 32
)

// enqueue passes the admitted job to the dispatcher's queue.
func (e *Entry) enqueue(s *submission) error {
	if !e.dispatcher.postAndWait(func(d *dispatcher) { d.enqueue(s.job) }) {
		return retryLater(time.Second, reasonStopping, "the entry is stopping")
	}
	return nil
}

// awaitAnswer waits until the job is answered and sets the submission's answer.
// If the caller disconnects, the job is cancelled, unless it has an idempotency
// key, under which the caller may ask for the answer later.
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
	d.reserved.remove(j)
	if j.failure != nil { // cancelled after its admission
		d.finishJob(j)
		return
	}
	d.scheduleTasks(j)
}

// scheduleTasks adds all tasks of a job to the queue and starts the timer after
// which the job is given up. Leased tasks may be added later; see
// (*job).inQueue.
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
		switch {
		case s != taskWaiting:
		case j.onProbation(i):
			d.probation = append(d.probation, queue.TaskRef{Job: j.id, Index: i})
			d.addWaiting(j, 1)
		default:
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

// cancelJob cancels a job. The job is answered once it is known which of its
// tasks ran.
func (d *dispatcher) cancelJob(j *job, detail string) {
	c := jobFailure{reason: wire.ReasonCancelled, detail: detail, awaitSent: true}
	switch {
	case j.answered || j.failure != nil:
	case !j.queued:
		j.failure = &c // enqueue answers the job
		for i := range j.states {
			j.setFinalState(i, taskNotRun)
		}
	default:
		d.failJob(j, c)
	}
}

// backlogState records since when tasks wait and when that was last announced.
type backlogState struct {
	since       time.Time // zero if no task waits
	announcedAt time.Time
}

// currentBacklog returns the backlog that is reported to agents of the pool: the
// number of waiting tasks that they can run, the urgency of the most urgent task of
// all pools, and how long the first task of this pool has waited and can still wait.
func (d *dispatcher) currentBacklog(pool string) wire.Backlog {
	urgency, ok := d.queue.MostUrgent()
	tasks := d.waitingInPool(pool)
	if !ok || tasks <= 0 {
		return wire.Backlog{}
	}
	b := wire.Backlog{Tasks: tasks, Urgency: urgency}
	first, ok := d.queue.First(d.now, func(name string) bool {
		c := d.classes[name]
		return c != nil && c.Pool == pool
	})
	if ok {
		b.Slack, b.Waited = first.LatestStart().Sub(d.now), max(0, d.now.Sub(first.Arrived))
	}
	return b
}

// announceBacklog tells some agents that tasks wait, so that they offer free
// slots. Later changes of the backlog are part of Run messages and heartbeat
// replies.
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

// handleOffer handles Entry.Offer, by which an agent offers free slots. It
// reports whether a task was assigned to the agent.
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
