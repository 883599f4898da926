package agent

import (
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// metrics are the agent's counters, gauges and timers. The names of those that
// the failure table in docs/design.md lists must match it. upstreamUnsent counts HTTP
// requests only.
type metrics struct {
	started, finished, notRun, unknown                       tally.Counter
	sessionsExpired, sessionsFenced                          tally.Counter
	upstreamErrors, upstreamTimeouts, upstreamUnsent         tally.Counter
	refusedOutOfService, gateClosed, refusedBusy, duplicates tally.Counter
	interrupted, ordersUnanswered, runsStalled               tally.Counter
	announcementsRejected                                    tally.Counter
	workersCrashed, runsLost, runsCarriedOver, runsUnknown   tally.Counter
	runsStopOrdered, runLinesDropped, crashesRefuted         tally.Counter
	runsRemoved                                              map[lease.Proof]tally.Counter
	offers, offersUsed, entriesSuspect, recordsEvicted       tally.Counter
	running, queued, confirmationAge, generation             tally.Gauge
	endsHeld, endsUnclaimed, suspended                       tally.Gauge
	registrationsUnusable                                    tally.Gauge // keys of the last list that register no entry
	taskTime                                                 tally.Timer
}

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	return metrics{
		started: s.Counter("tasks_started"), finished: s.Counter("tasks_finished"),
		notRun: s.Counter("tasks_not_run"), unknown: s.Counter("tasks_unknown"),
		sessionsExpired: s.Counter("sessions_lapsed"), sessionsFenced: s.Counter("sessions_fenced"),
		upstreamErrors: s.Counter("upstream_errors"), upstreamTimeouts: s.Counter("upstream_timeouts"),
		upstreamUnsent:      s.Counter("upstream_unsent"),
		refusedOutOfService: s.Counter("refused_out_of_service"), gateClosed: s.Counter("gate_closed"),
		refusedBusy: s.Counter("refused_busy"), duplicates: s.Counter("duplicate_messages"),
		interrupted: s.Counter("tasks_interrupted"), ordersUnanswered: s.Counter("orders_unanswered"),
		runsStalled: s.Counter("runs_stalled"), announcementsRejected: s.Counter("announcements_rejected"),
		workersCrashed: s.Counter("workers_crashed"), runsLost: s.Counter("runs_lost"),
		runsCarriedOver: s.Counter("runs_carried_over"), runsUnknown: s.Counter("runs_unknown"),
		runsStopOrdered: s.Counter("runs_stop_ordered"), runLinesDropped: s.Counter("run_lines_dropped"),
		crashesRefuted: s.Counter("crashes_refuted"), runsRemoved: removalCounters(s),
		offers: s.Counter("offers"), offersUsed: s.Counter("offers_used"),
		entriesSuspect: s.Counter("entries_suspect"), recordsEvicted: s.Counter("records_evicted"),
		running: s.Gauge("tasks_running"), queued: s.Gauge("tasks_queued"),
		confirmationAge: s.Gauge("confirmation_age_seconds"), generation: s.Gauge("config_generation"),
		endsHeld: s.Gauge("ends_held"), endsUnclaimed: s.Gauge("ends_unclaimed"),
		suspended: s.Gauge("suspended_seconds"), registrationsUnusable: s.Gauge("registrations_unusable"),
		taskTime: s.Timer("task_time"),
	}
}

// removalCounters returns a counter for each proof of the end of runs that are no
// ordinary ones.
func removalCounters(s tally.Scope) map[lease.Proof]tally.Counter {
	out := map[lease.Proof]tally.Counter{}
	for _, p := range lease.ExceptionalProofs() {
		out[p] = s.Tagged(map[string]string{"proof": string(p)}).Counter("runs_removed")
	}
	return out
}

// countRefusal counts a task that was not run, for the given reason.
func (m metrics) countRefusal(r wire.Reason) {
	m.notRun.Inc(1)
	switch r {
	case wire.ReasonOutOfService:
		m.refusedOutOfService.Inc(1)
	case wire.ReasonConfigUnconfirmed:
		m.gateClosed.Inc(1)
	case wire.ReasonAgentBusy:
		m.refusedBusy.Inc(1)
	}
}
