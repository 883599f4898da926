package entry

import (
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/straggler"
	"chicorytray.example/chicorytray/wire"
)

// metrics holds the entry's counters, gauges and timers. Section 11 of
// docs/design.md describes them.
type metrics struct {
	scope                 tally.Scope
	tasksSent             tally.Counter
	tasksUnknown          tally.Counter
	retries               tally.Counter
	sessionsFenced        tally.Counter
	agentsSuspect         tally.Counter
	ejections             tally.Counter
	weightChanges         tally.Counter
	storeCalls            tally.Counter
	storeErrors           tally.Counter
	storeUnknown          tally.Counter
	generationRegressions tally.Counter
	staleReads            tally.Counter
	refusedOutOfService   tally.Counter
	gateClosed            tally.Counter
	queueLength           tally.Gauge
	jobsOpen              tally.Gauge
	confirmationAge       tally.Gauge // in seconds; -1 if there is no confirmation
	configGeneration      tally.Gauge
	answerTime            tally.Timer
	configDivergences     tally.Counter
	configInvalid         tally.Counter
	configRenewals        tally.Counter
	routesLeftOut         tally.Gauge // problems of routes that cannot be used
	registrationsExpired  tally.Counter
	registrationsUnusable tally.Gauge // keys of the last list that register no entry
	tasksInterrupted      tally.Counter
	runsRestarted         map[straggler.Reason]tally.Counter
	crashedRuns           map[wire.CrashRole]tally.Counter
	templatesConfined     tally.Gauge
	suspended             tally.Gauge   // in seconds, since the start
	crashingTasks         tally.Counter // given up because workers crashed under them
	callersLeft           tally.Counter // jobs cancelled because their callers left
	callersGone           tally.Counter // submissions refused because their callers had left
	submissionsJoined     tally.Counter // that joined a job
	submissionsRepeated   tally.Counter // of jobs that were here shortly before
	jobLogDropped         tally.Counter // lines about jobs that were not written
	forwardsSent          tally.Counter
	forwardsReceived      tally.Counter
	forwardsLapsed        tally.Counter // at the receiver
	forwardsOpen          tally.Gauge   // at the sender
	stopJobsAccepted      tally.Counter // after the notice of a planned stop
	stopJobsRefused       tally.Counter // because of a planned stop
	stopConnections       tally.Gauge   // of callers, open after the notice of a planned stop
	eventDelay            tally.Timer   // time that an event waits for the dispatcher
	jobsRefused           map[refusalKey]tally.Counter
	jobsGivenUp           tally.Counter // accepted jobs that were given up before they started
	workLate              tally.Counter // core milliseconds of jobs that ended after their objective
	workWasted            tally.Counter // core milliseconds of jobs that earned nothing
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return metrics{
		scope:                 s,
		tasksSent:             s.Counter("tasks_sent"),
		tasksUnknown:          s.Counter("tasks_unknown"),
		retries:               s.Counter("retries"),
		sessionsFenced:        s.Counter("sessions_fenced"),
		agentsSuspect:         s.Counter("agents_suspect"),
		ejections:             s.Counter("ejections"),
		weightChanges:         s.Counter("weights"),
		storeCalls:            s.Counter("store_calls"),
		storeErrors:           s.Counter("store_errors"),
		storeUnknown:          s.Counter("store_unknown"),
		generationRegressions: s.Counter("generation_regressions"),
		staleReads:            s.Counter("stale_reads"),
		refusedOutOfService:   s.Counter("refused_out_of_service"),
		gateClosed:            s.Counter("gate_closed"),
		queueLength:           s.Gauge("queue_length"),
		suspended:             s.Gauge("suspended_seconds"),
		jobsOpen:              s.Gauge("jobs_open"),
		confirmationAge:       s.Gauge("confirmation_age"),
		configGeneration:      s.Gauge("config_generation"),
		answerTime:            s.Timer("answer_time"),
		configDivergences:     s.Counter("config_divergences"),
		configInvalid:         s.Counter("config_invalid"),
		configRenewals:        s.Counter("config_renewals"),
		routesLeftOut:         s.Gauge("routes_left_out"),
		registrationsExpired:  s.Counter("registrations_expired"),
		registrationsUnusable: s.Gauge("registrations_unusable"),
		tasksInterrupted:      s.Counter("tasks_interrupted"),
		templatesConfined:     s.Gauge("templates_confined"),
		crashingTasks:         s.Counter("tasks_given_up_for_crashes"),
		callersLeft:           s.Counter("callers_left"),
		callersGone:           s.Counter("callers_gone"),
		submissionsJoined:     s.Counter("submissions_joined"),
		submissionsRepeated:   s.Counter("submissions_repeated"),
		jobLogDropped:         s.Counter("job_log_dropped"),
		forwardsSent:          s.Counter("forwards_sent"),
		forwardsReceived:      s.Counter("forwards_received"),
		forwardsLapsed:        s.Counter("forwards_lapsed"),
		forwardsOpen:          s.Gauge("forwards_open"),
		stopJobsAccepted:      s.Counter("stop_jobs_accepted"),
		stopJobsRefused:       s.Counter("stop_jobs_refused"),
		stopConnections:       s.Gauge("stop_connections"),
		eventDelay:            s.Timer("event_delay"),
		jobsRefused:           map[refusalKey]tally.Counter{},
		jobsGivenUp:           s.Counter("jobs_given_up"),
		workLate:              s.Counter("work_late"),
		workWasted:            s.Counter("work_wasted"),
		crashedRuns: map[wire.CrashRole]tally.Counter{
			wire.CrashBystander: crashCounter(s, "bystander"), wire.CrashSuspect: crashCounter(s, "suspect"),
			wire.CrashUnconfirmed: crashCounter(s, "unconfirmed"),
		},
		runsRestarted: map[straggler.Reason]tally.Counter{
			straggler.Stalled: restartCounter(s, straggler.Stalled), straggler.Slow: restartCounter(s, straggler.Slow),
		},
	}
}

func restartCounter(s tally.Scope, r straggler.Reason) tally.Counter {
	return s.Tagged(map[string]string{"reason": string(r)}).Counter("runs_restarted")
}

func crashCounter(s tally.Scope, role string) tally.Counter {
	return s.Tagged(map[string]string{"role": role}).Counter("runs_lost_in_crashes")
}

// countSentAgain counts a task that returns to the queue without a listed end.
func (m metrics) countSentAgain(p endProof) {
	m.scope.Tagged(map[string]string{"proof": string(p)}).Counter("tasks_sent_again").Inc(1)
}

// countCrash counts a run that was lost in the crash of its worker.
func (m metrics) countCrash(r wire.CrashRole) {
	if c := m.crashedRuns[r]; c != nil {
		c.Inc(1)
	}
}

// countJobRefused counts a job that admission refused. The dispatcher calls it, and
// the counters are kept because looking one up allocates.
func (m metrics) countJobRefused(key refusalKey) {
	c := m.jobsRefused[key]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"template": key.template, "reason": string(key.reason)}).Counter("jobs_refused")
		m.jobsRefused[key] = c
	}
	c.Inc(1)
}

// countRestart counts a run that is stopped so that its task starts at another
// agent.
func (m metrics) countRestart(r straggler.Reason) { m.runsRestarted[r].Inc(1) }

// countRefusal counts the refusal of a task by an agent in the counter of its
// reason. Refusals for other reasons are not counted.
func (d *dispatcher) countRefusal(r wire.Reason) {
	switch r {
	case wire.ReasonOutOfService:
		d.metrics.refusedOutOfService.Inc(1)
	case wire.ReasonConfigUnconfirmed:
		d.metrics.gateClosed.Inc(1)
	case wire.ReasonSessionFenced:
		d.metrics.sessionsFenced.Inc(1)
	case wire.ReasonAgentBusy:
		d.metrics.scope.Counter("refused_busy").Inc(1)
	case wire.ReasonWorkerRefused:
		d.metrics.scope.Counter("refused_by_worker").Inc(1)
	}
}

func (d *dispatcher) updateGauges() {
	d.metrics.queueLength.Update(float64(d.queue.Len()))
	d.metrics.jobsOpen.Update(float64(d.openJobs))
	d.updateDurableGauge()
	d.metrics.suspended.Update(d.suspended.Seconds())
	age := -1.0
	if a := d.confirmationAge(); a >= 0 {
		age = a.Seconds()
	}
	d.metrics.confirmationAge.Update(age)
	if d.view != nil {
		d.metrics.configGeneration.Update(float64(d.view.Generation()))
	}
}

// recordAnswer records the time to the answer to a submission and counts the
// answer by status class.
func (e *Entry) recordAnswer(s *submission, a *answer) {
	e.metrics.answerTime.Record(e.sinceArrival(s))
	e.metrics.scope.Tagged(map[string]string{"class": statusClass(a.status)}).Counter("answers").Inc(1)
}

func statusClass(status int) string {
	switch status / 100 {
	case 2:
		return "2xx"
	case 3:
		return "3xx"
	case 4:
		return "4xx"
	default:
		return "5xx"
	}
}
