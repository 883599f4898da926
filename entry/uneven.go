package entry

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/speed"
)

const (
	// slowWeight is the weight of a worker that is classed as slow. An agent of leased
	// tasks with so small a weight gets one task at a time.
	slowWeight = 0.1
	// longRunFactor and longRunMargin say after how many expected durations at its worker
	// and how much time a run that goes on is compared with others. The margin covers the
	// time that a task may wait at its agent.
	longRunFactor = 1.5
	longRunMargin = 100 * time.Millisecond
)

// unevenWorkers is what the dispatcher knows of the speeds of the workers of leased
// tasks. No pool is in it unless the setting uneven_workers is enabled and agents of the
// pool are known.
type unevenWorkers struct {
	settings settings.UnevenWorkers
	pools    map[string]*speed.Learner
	round    *speed.Round    // of placeWaitingTasks
	held     []queue.TaskRef // in that round
	// full has the constraints of tasks for which no fast worker had room in that round.
	full []placement.Class

	slow, tasksHeld      tally.Gauge
	becameSlow, provedOf tally.Counter
}

func newUnevenWorkers(s settings.UnevenWorkers, scope tally.Scope) unevenWorkers {
	u := unevenWorkers{settings: s, pools: map[string]*speed.Learner{}, round: speed.NewRound()}
	if s.Enabled {
		u.slow, u.tasksHeld = scope.Gauge("workers_slow"), scope.Gauge("tasks_held")
		u.becameSlow, u.provedOf = scope.Counter("workers_became_slow"), scope.Counter("workers_proved")
	}
	return u
}

// learner returns the speeds of the pool's workers, which it creates; nil if they are not
// used.
func (u *unevenWorkers) learner(pool string) *speed.Learner {
	if !u.settings.Enabled || pool == "" {
		return nil
	}
	l := u.pools[pool]
	if l == nil {
		l = speed.New()
		u.pools[pool] = l
	}
	return l
}

// trackSpeed makes the agent known to the speeds of its pool, of which there may be
// another one than before.
func (d *dispatcher) trackSpeed(a *agent) {
	if l := d.uneven.learner(a.ref.Pool); l != nil {
		if a.speedPool != a.ref.Pool {
			d.forgetSpeed(a)
		}
		a.speedPool = a.ref.Pool
		l.Track(a.ref.ID)
	}
}

// forgetSpeed removes the agent from the speeds of its pool.
func (d *dispatcher) forgetSpeed(a *agent) {
	if l := d.uneven.pools[a.speedPool]; l != nil {
		l.Remove(a.ref.ID)
		a.slow = false
		d.applyWeight(a)
		if l.Len() == 0 {
			delete(d.uneven.pools, a.speedPool)
		}
	}
}

// observeSpeed records a run that succeeded.
func (d *dispatcher) observeSpeed(j *job, a *agent, took time.Duration) {
	if l := d.uneven.pools[j.class.Pool]; l != nil {
		l.Observe(d.now, speed.Run{Worker: a.ref.ID, Template: j.template.Name, Job: j.id, Took: took})
	}
}

// durationAtMeanSpeed returns the duration that a run would have had at a worker of the
// mean speed of the pool, to which expected durations apply.
func (d *dispatcher) durationAtMeanSpeed(j *job, a *agent, took time.Duration) time.Duration {
	if l := d.uneven.pools[j.class.Pool]; l != nil {
		return time.Duration(float64(took) * l.Speed(a.ref.ID))
	}
	return took
}

// evaluateSpeeds classes the workers by their speeds.
func (d *dispatcher) evaluateSpeeds() {
	if !d.uneven.settings.Enabled {
		return
	}
	if d.mayStartNow() { // otherwise results may have arrived that were not handled yet
		d.observeLongRuns()
	}
	for pool, l := range d.uneven.pools {
		for _, c := range l.Evaluate(d.now) {
			a := d.agents[c.Worker]
			if a == nil {
				continue
			}
			a.slow = c.Slow
			d.applyWeight(a)
			message, counter := "worker is proved again", d.uneven.provedOf
			if c.Slow {
				message, counter = "worker is classed as slow", d.uneven.becameSlow
			}
			counter.Inc(1)
			d.log.Warn().Str("agent", c.Worker).Str("worker", a.ref.Worker).Str("pool", pool).
				Float64("speed", c.Speed).Float64("speed_before", c.Before).Msg(message)
		}
	}
	slow := 0
	for _, a := range d.agents {
		if a.slow {
			slow++
		}
	}
	d.uneven.slow.Update(float64(slow))
	d.uneven.tasksHeld.Update(float64(d.uneven.round.Held()))
}

// observeLongRuns passes runs that take long to the speeds, each once.
func (d *dispatcher) observeLongRuns() {
	for _, a := range d.agents {
		l := d.uneven.pools[a.ref.Pool]
		if l == nil || a.session.state != sessionOpen || a.suspect {
			continue
		}
		workerSpeed := l.Speed(a.ref.ID)
		for _, t := range a.session.tasks {
			elapsed := d.now.Sub(t.sentAt)
			if t.longRun || float64(elapsed-longRunMargin) <= longRunFactor*float64(t.job.expected)/workerSpeed {
				continue
			}
			t.longRun = l.ObserveRunning(d.now, speed.Run{
				Worker: a.ref.ID, Template: t.job.template.Name, Job: t.job.id, Took: elapsed - longRunMargin,
			})
		}
	}
}

// applyWeight sets the agent's weight in the placement table.
func (d *dispatcher) applyWeight(a *agent) {
	if !a.ejected {
		d.table.SetWeight(a.ref.ID, a.effectiveWeight())
	}
}

// effectiveWeight is the weight that the detection of faulty upstreams gives the agent,
// or that of a slow worker if that is less.
func (a *agent) effectiveWeight() float64 {
	if a.slow {
		return min(a.weight, slowWeight)
	}
	return a.weight
}

// chooseForTask chooses an agent for a task of the job: by the expected end if the speeds
// of the pool's workers are used, and otherwise by the placement policy.
func (d *dispatcher) chooseForTask(j *job, q placement.Query) (string, speed.Result) {
	l := d.uneven.pools[j.class.Pool]
	if l == nil {
		if id, ok := d.chooseConfined(j.template.Name, q); ok {
			return id, speed.Chosen
		}
		return "", speed.NoRoom
	}
	t := speed.Task{
		Expected: j.expected, Margin: d.uneven.settings.Margin, MaxHold: d.uneven.settings.MaxHold.AsDuration(),
		Last: speed.IsLast(j.count, j.openTasks-j.leased.openRuns, j.startedOrStarting()), Held: d.uneven.round.Held(),
	}
	if durableOf(j) == nil && j.leased.objective > 0 {
		t.Left, t.HasObjective = j.arrived.Add(j.leased.objective).Sub(d.now), true
	}
	search := q.Avoid == nil && d.confined.members[j.template.Name] == nil // the result holds for other tasks
	t.FastFull = search && d.uneven.fastFull(j.class)
	avoid := q.Avoid
	id, result := l.Choose(d.now, t, func(accept func(id string) bool) (string, bool) {
		if q.Avoid = avoid; accept != nil {
			q.Avoid = func(id string) bool { return !accept(id) || avoid != nil && avoid(id) }
		}
		return d.chooseConfined(j.template.Name, q)
	})
	if result == speed.Held && search && !t.FastFull {
		d.uneven.full = append(d.uneven.full, j.class)
	}
	return id, result
}

// fastFull reports whether it was found in this round that no fast worker has room for a
// task with these constraints: a search that finds nothing visits all slow workers with
// room.
func (u *unevenWorkers) fastFull(c placement.Class) bool {
	return slices.ContainsFunc(u.full, func(f placement.Class) bool {
		return f.Pool == c.Pool && slices.Equal(f.DataCentres, c.DataCentres) && f.Needs.Fits(c.Needs)
	})
}

// doubtSpeed sets whether the agent gets few tasks because it failed.
func (d *dispatcher) doubtSpeed(a *agent, doubted bool) {
	if l := d.uneven.pools[a.ref.Pool]; l != nil {
		l.SetDoubted(a.ref.ID, doubted)
	}
}

// recordSpeedStart records the start of a task at the agent.
func (d *dispatcher) recordSpeedStart(a *agent) {
	if l := d.uneven.pools[a.ref.Pool]; l != nil {
		l.RecordStart(d.now, a.ref.ID)
	}
}

// holdForSpeed keeps a task out of the queue until the end of the round, because it waits
// for a fast worker.
func (d *dispatcher) holdForSpeed(ref queue.TaskRef, template string) {
	d.uneven.round.Hold(template)
	d.uneven.held = append(d.uneven.held, ref)
}

// beginRound begins a round of placing tasks.
func (d *dispatcher) beginRound() {
	d.uneven.round.Reset()
	d.uneven.full = d.uneven.full[:0]
}

// endRound returns the tasks that were held in the round to the queue.
func (d *dispatcher) endRound() {
	for _, ref := range d.uneven.held {
		d.queue.PutBack(ref)
	}
	d.uneven.held = d.uneven.held[:0]
}

// dumpSpeeds returns nil if the speeds are not used.
func (d *dispatcher) dumpSpeeds() map[string][]speed.WorkerState {
	if !d.uneven.settings.Enabled {
		return nil
	}
	s := map[string][]speed.WorkerState{}
	for pool, l := range d.uneven.pools {
		s[pool] = l.State()
	}
	return s
}
