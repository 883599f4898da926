package entry

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/admission"
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/wire"
)

// accountCounts holds the number of an account's open tasks at this entry.
type accountCounts struct {
	running int // tasks sent to agents
	waiting int // tasks in the queue
}

// taskTotals is the size of a set of tasks. The dispatcher keeps one for the tasks
// that were admitted and are not queued yet, so that jobs admitted at the same
// moment count against each other, and one for the leased tasks in the queue.
type taskTotals struct {
	tasks int
	work  time.Duration // sum of the expected durations
}

func (r *taskTotals) add(j *job) {
	r.tasks += j.count
	r.work += time.Duration(j.count) * j.expected
}

func (r *taskTotals) remove(j *job) {
	r.tasks -= j.count
	r.work -= time.Duration(j.count) * j.expected
}

// admit asks the dispatcher to admit the submission. On success s.job is set;
// otherwise the error is a *problem.
func (e *Entry) admit(s *submission) error {
	id := ""
	if s.claim != nil {
		id = s.claim.Job
	} else {
		id = e.newJobID()
	}
	var err error
	if !e.dispatcher.postAndWait(func(d *dispatcher) { err = d.admit(s, id) }) {
		return retryLater(time.Second, reasonStopping, "the entry is stopping")
	}
	return err
}

// admit creates the job of the submission under the identifier id, or returns
// why the submission is refused.
func (d *dispatcher) admit(s *submission, id string) error {
	if d.stopping {
		return d.refuseInStop()
	}
	j := d.newJob(s)
	if err := d.checkStop(j.deadline); err != nil { // HTTP tasks have no objective
		return err
	}
	d.shares.RecordTasks(d.now, j.account, j.count)
	if err := d.checkRunnable(j); err != nil {
		return err
	}
	if err := d.checkAdmission(s, j); err != nil {
		return err
	}
	j.id = id
	d.reserved.add(j)
	s.job = j
	d.registerJob(j)
	d.countAcceptedInStop()
	return nil
}

// registerJob adds an admitted job to the open jobs.
func (d *dispatcher) registerJob(j *job) {
	d.jobs[j.id] = j
	d.openJobs++
	d.acquireClass(j)
	d.log.Info().Str("job", j.id).Str("account", j.account).Str("template", j.template.Name).
		Str("request_id", j.requestID).Int("tasks", j.count).Msg("job accepted")
}

// newJob returns the job of a submission, without an identifier and without its
// tasks, which expand or buildLeasedTasks makes after admission.
func (d *dispatcher) newJob(s *submission) *job {
	n := taskCount(s)
	ms := s.request.ExpectedMS
	if ms == 0 {
		ms = s.template.ExpectedMS
	}
	if d.accounts[s.account.Name] == nil {
		d.accounts[s.account.Name] = &accountCounts{}
	}
	exact, queued := d.placementClasses(s)
	return &job{
		keyed: s.claim != nil, account: s.account.Name, requestID: s.requestID, template: s.template,
		class: exact, queueClass: queued,
		expected: d.durations.Expected(s.template.Name, cappedMilliseconds(ms, s.deadline)),
		arrived:  s.arrived, deadline: s.arrived.Add(s.deadline), count: n, openTasks: n,
		states: make([]taskState, n), locations: make([]location, n), possiblyRan: make([]bool, n),
		results: make([]wire.Result, n), done: make(chan struct{}),
	}
}

// checkRunnable returns an error if no known agent can ever run the job. The
// refusal is temporary while no agent is known and within Timing.Lapse after the
// start of the process.
func (d *dispatcher) checkRunnable(j *job) error {
	err := d.table.CanEverRun(j.class)
	if err == nil {
		return nil
	}
	if errors.Is(err, placement.ErrNoAgents) || d.now.Sub(d.startedAt) < d.timing.Lapse.AsDuration() {
		// An agent that has not sent a heartbeat yet may be able to run it.
		return retryLater(time.Second, wire.Reason(admission.ReasonNoUpstream), "%v", err)
	}
	return notRun(http.StatusUnprocessableEntity, reasonCanNeverRun, "%v", err)
}

// giveUpAt returns the time at which the job is given up: its deadline or, for
// a job of leased tasks, the time by which a task must have started. Admission
// refuses a job that is not expected to end by then.
func (j *job) giveUpAt() time.Time {
	if j.leased != nil {
		return j.leased.startDeadline
	}
	return j.deadline
}

// checkAdmission refuses a job of HTTP tasks that exceeds the limits of the queue
// or of its account, or that is not expected to end before its deadline.
func (d *dispatcher) checkAdmission(s *submission, j *job) error {
	if err := d.checkQueueLimit(s, j); err != nil {
		return err
	}
	request, state := d.admissionInput(s, j)
	// Leased tasks are left out because they run on other agents.
	state.QueuedTasks = d.waitingInPool("") + d.reserved.tasks
	state.QueuedWork = d.queue.Work() - d.leasedWaiting.work + d.reserved.work
	state.Slots = d.table.Slots(j.class)
	return admissionError(d.admission.Decide(d.now, request, state))
}

// checkQueueLimit returns an error if the job's tasks would exceed the limit of
// queued tasks.
func (d *dispatcher) checkQueueLimit(s *submission, j *job) error {
	queued := d.queue.Len() + d.reserved.tasks
	if limit := s.view.Document().Limits.QueuedTaskLimit(); queued+j.count > limit {
		return retryLater(time.Second, wire.Reason(admission.ReasonQueueFull), "the job does not fit into the queue, which holds %d tasks; the limit is %d", queued, limit)
	}
	return nil
}

// admissionInput returns the job and the state of its account as input of the
// admission decision. The caller adds the state of the queue and the slots.
func (d *dispatcher) admissionInput(s *submission, j *job) (admission.Request, admission.State) {
	counts := d.accounts[j.account]
	return admission.Request{
			Account: j.account, Urgency: j.template.Urgency, Tasks: j.count,
			Expected: j.expected, Deadline: j.giveUpAt().Sub(d.now),
		}, admission.State{
			AccountRunning: counts.running, AccountQueued: counts.waiting,
			AccountMaxRunning: d.shares.Share(d.now, j.account, float64(s.account.MaxRunningTasks)),
			AccountStartRate:  d.shares.Share(d.now, j.account, s.account.MaxTasksPerSecond),
		}
}

// admissionError converts a decision into a problem for the caller; nil if the
// job is accepted.
func admissionError(decision admission.Decision) error {
	if decision.Accept {
		return nil
	}
	p := retryLater(decision.RetryAfter, wire.Reason(decision.Reason), "the job was refused before any task started")
	switch decision.Reason {
	case admission.ReasonAccountLimit, admission.ReasonAccountRate:
		p.Status, p.Title = http.StatusTooManyRequests, http.StatusText(http.StatusTooManyRequests)
	}
	return p
}

// shareSlack compensates for floating-point rounding: a share that falls short
// of a whole number by less than this counts as that number of tasks.
const shareSlack = 1e-6

// accountMayStart reports whether this entry's share of the account's limit of
// running tasks allows one more task. Shares are rounded down, because the
// entries would otherwise exceed the limit together. One task may always run,
// so that a share below 1 does not block the account.
func (d *dispatcher) accountMayStart(name string) bool {
	account := d.accountConfig(name)
	if account == nil || account.MaxRunningTasks == 0 {
		return true // no limit, or the account was removed; its accepted jobs finish
	}
	share := d.shares.Share(d.now, name, float64(account.MaxRunningTasks))
	return float64(d.accounts[name].running+1) <= max(1, share)+shareSlack
}

// accountConfig returns the configuration of the account; nil when it was
// removed or there is no configuration.
func (d *dispatcher) accountConfig(name string) *config.Account {
	if d.view == nil {
		return nil
	}
	account, _ := d.view.AccountNamed(name)
	return account
}

// countStart updates counters, budgets and estimates for a task that is being
// sent to an agent.
func (d *dispatcher) countStart(j *job, index int, a *agent) {
	j.rackSpread.Add(a.ref.Rack)
	d.addRunning(j, 1)
	d.addWaiting(j, -1)
	if j.tasks[index].Attempt == 0 {
		d.retryBudget.RecordRequest(d.now) // only first attempts add to the budget
	}
	d.queue.RecordStarted(j.account, j.expected)
	d.metrics.tasksSent.Inc(1)
	if j.leased != nil {
		if j.tasks[index].Attempt == 0 {
			d.restartBudget.RecordRequest(d.now)
		}
		d.updatePending(j)
		d.observeLeasedStart(j)
		return
	}
	// The start rate shows the capacity of the upstreams only while all slots
	// are taken; tasks that wait for an account's limit do not count as backlog.
	backlog := d.queue.Len() > 0 && !d.table.HasRoom()
	d.admission.RecordStarted(d.now, j.expected, d.table.Slots(j.class), backlog)
}

// className returns a name that is equal for equal accounts, needs and data
// centres. Jobs accepted before a change of the template keep their class.
func className(t *config.Template, n config.Needs) string {
	var b strings.Builder
	b.WriteString(t.Account)
	for _, v := range []int64{int64(n.Accelerators), n.MemoryMB, n.MilliCPU} {
		b.WriteByte('/')
		b.WriteString(strconv.FormatInt(v, 10))
	}
	for _, dc := range t.DataCentres {
		b.WriteByte('/')
		b.WriteString(dc)
	}
	return b.String()
}
