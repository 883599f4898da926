package entry

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/admission"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// refusalLogInterval is the interval between two log lines about refused jobs.
const refusalLogInterval = time.Second

// coreMilliseconds is the number of core milliseconds in one unit of processorTime.
const coreMilliseconds = 1.0 / (milliPerCore * float64(time.Millisecond))

// overload holds the settings and counts of the entry's behaviour above the
// capacity of its pools; see docs/design/overload.md.
type overload struct {
	due         bool // waiting tasks start in the order queue.Due
	byObjective bool // jobs are accepted by admission.Objective
	minAgents   int  // in pools with at least this number of known agents
	// poolWait returns the expected wait in a pool, of all entries, if it has the
	// given capacity in thousandths of a core. nil means that it is not known.
	poolWait func(now time.Time, pool string, capacity float64) time.Duration
	// poolShare returns the part of a pool's capacity that this entry may count
	// on. nil, or a result of 0, means the rate that the entry measures.
	poolShare func(now time.Time, pool string) float64

	refusals         map[refusalKey]int // since the last log line
	refusalsLoggedAt time.Time
}

type refusalKey struct {
	template string
	reason   wire.Reason
}

func newOverload(s settings.Entry) overload {
	return overload{
		due: s.Order == settings.OrderDue, byObjective: s.Admission == settings.AdmissionObjective,
		minAgents: s.ObjectiveMinAgents,
		refusals:  map[refusalKey]int{},
	}
}

// setAdmissionJob sets when the job is given up and how admission sees it.
func (d *dispatcher) setAdmissionJob(j *job) {
	l := j.leased
	last := queue.LastUsefulStart(l.objective, j.expected)
	if d.overload.due && j.arrived.Add(last).Before(l.startDeadline) {
		l.startDeadline = j.arrived.Add(last)
	}
	l.admission = admission.Job{
		Kind: j.template.Name, Account: j.account, Work: float64(j.count) * processorTime(j), Expected: j.expected,
		Arrived: j.arrived, Objective: l.objective, LastStart: last,
	}
}

// checkObjective refuses a job that would be late, or make accepted jobs late, or
// that exceeds the limits of its account.
func (d *dispatcher) checkObjective(s *submission, j *job, slots int) error {
	p, capacity := d.poolOf(j.class.Pool), float64(slots)*float64(j.class.Needs.MilliCPU)
	state := admission.ObjectiveState{
		Capacity: capacity, Share: d.countedShare(p, j.class.Pool), NextEnd: p.runningWork / 2 / float64(max(p.running, 1)),
		Room: d.hasRoomBesideWaiting(p, j), PoolWait: -1, Spread: rand.Float64(),
	}
	if f := d.overload.poolWait; f != nil {
		state.PoolWait = f(d.now, j.class.Pool, capacity)
	}
	decision := p.objective.Decide(d.now, &j.leased.admission, state)
	if decision.Accept {
		request, limits := d.admissionInput(s, j)
		request.DeadlineShare = 1
		limits.Slots = slots // without queued work only the limits of the account count
		if accountDecision := d.admission.Decide(d.now, request, limits); !accountDecision.Accept {
			p.objective.Withdrawn(d.now, &j.leased.admission)
			return admissionError(accountDecision)
		}
		p.objective.Accepted(d.now, &j.leased.admission, decision)
		j.leased.acceptedByObjective = true
	}
	return admissionError(decision)
}

// countedShare returns the part of the pool's capacity that this entry may count
// on.
func (d *dispatcher) countedShare(p *pool, name string) float64 {
	if f := d.overload.poolShare; f != nil {
		if share := f(d.now, name); share > 0 {
			return share
		}
	}
	return p.rate.Value() * admission.MeasuredShare
}

// hasRoomBesideWaiting reports whether a worker has room for a task of the job that
// no waiting task can use. Tasks that were accepted in the same batch of events are
// placed first.
func (d *dispatcher) hasRoomBesideWaiting(p *pool, j *job) bool {
	if !d.table.Feasible(j.class) {
		return false
	}
	if p.waiting > 0 {
		d.placeWaitingTasks()
		if !d.table.Feasible(j.class) {
			return false
		}
	}
	if !d.table.Feasible(j.queueClass) {
		// The room is less than the rounded needs. With these, the job would wait, and
		// any number of jobs would be accepted for the same room.
		j.queueClass.Needs = j.class.Needs
		j.queueClass.Name += "/" + strconv.FormatInt(j.class.Needs.MilliCPU, 10)
	}
	return true
}

// recordRefusal counts a job that admission refused.
func (d *dispatcher) recordRefusal(j *job, err error) {
	var p *problem
	if !errors.As(err, &p) {
		return
	}
	key := refusalKey{j.template.Name, p.Reason}
	d.overload.refusals[key]++
	d.metrics.countJobRefused(key)
}

// logRefusals writes one line about the jobs that were refused since the last one.
func (d *dispatcher) logRefusals() {
	o := &d.overload
	if len(o.refusals) == 0 || d.now.Sub(o.refusalsLoggedAt) < refusalLogInterval {
		return
	}
	o.refusalsLoggedAt = d.now
	byTemplate, total := map[string]int{}, 0
	for key, n := range o.refusals {
		byTemplate[key.template] += n
		total += n
	}
	clear(o.refusals)
	counts := make([]string, 0, len(byTemplate))
	for _, name := range slices.Sorted(maps.Keys(byTemplate)) {
		counts = append(counts, fmt.Sprintf("%s:%d", name, byTemplate[name]))
	}
	d.log.Warn().Int("jobs", total).Str("templates", strings.Join(counts, ",")).Msg("jobs refused")
}

// recordLeasedEnd counts a job that was given up, or of which the work was late or
// earned nothing. Durable jobs have no deadline and are not counted.
func (d *dispatcher) recordLeasedEnd(j *job) {
	if j.leased.durable != nil {
		return
	}
	work := int64(math.Round(float64(j.startedTasks()) * processorTime(j) * coreMilliseconds))
	switch response := d.now.Sub(j.arrived); {
	case j.failure != nil && j.failure.reason == wire.ReasonDeadline && work == 0:
		d.metrics.jobsGivenUp.Inc(1)
		if p := d.poolOf(j.class.Pool); j.leased.acceptedByObjective {
			p.objective.GivenUp(d.now, &j.leased.admission)
		}
	case j.failure != nil, response > queue.ZeroValueFactor*j.leased.objective:
		d.metrics.workWasted.Inc(work)
	case response > j.leased.objective:
		d.metrics.workLate.Inc(work)
	}
}

// startedTasks returns the number of tasks that may have started.
func (j *job) startedTasks() (n int) {
	for i := range j.states {
		if j.taskMayHaveStarted(i) {
			n++
		}
	}
	return n
}
