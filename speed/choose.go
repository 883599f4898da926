package speed

import (
	"slices"
	"time"
)

const (
	// usualShare is the part of the speed of a fast worker from which on a worker counts
	// as fast. Estimates of equal workers differ by less.
	usualShare = 0.85
	// startAllowance is the time from the choice of a worker to the start there and from
	// the end of the run to the answer, together.
	startAllowance = 5 * time.Millisecond
	// riskMargin is the factor of the expected duration that must be left at a slow worker
	// where a task would otherwise wait for a fast one. With 1, half of the short tasks
	// that a slow worker takes are late, since durations differ by 0.4; with 1.4, workers
	// are idle above the capacity.
	riskMargin = 1.2
	// probeInterval is the interval at which a worker that gets few tasks gets one that
	// ends in time there.
	probeInterval = 250 * time.Millisecond
	// probeRetry is the time after which room is searched again at a worker that gets few
	// tasks and had none. The search visits all workers with room.
	probeRetry = 50 * time.Millisecond
	// gapGain is the weight of the newest gap between two starts at fast workers.
	gapGain = 1.0 / 8
	// maxGap bounds a gap between two starts, so that a pause in the demand is not taken
	// for a lack of fast workers for long.
	maxGap = 250 * time.Millisecond
)

// Task is a task that waits for a worker.
type Task struct {
	Expected time.Duration // at a worker of speed 1, the mean of the pool
	// Left is the time in which the task has to end so that its job is on time.
	// HasObjective is false if there is no such time.
	Left         time.Duration
	HasObjective bool
	// Last means that the task is one of the last of a job of which other tasks have
	// started. Such a task goes to a fast worker if one has room.
	Last bool
	// Held is the number of tasks that wait for a fast worker before this one, and
	// MaxHold the largest expected wait for which it may wait as well.
	Held    int
	MaxHold time.Duration
	// FastFull means that no fast worker has room for the task, as the caller knows from
	// another task that was held, so that they need not be searched again.
	FastFull bool
	// Margin is the factor of the expected duration that must be left at a slow worker
	// that is chosen before a fast one. At least 1.
	Margin float64
}

// Result is the result of Choose.
type Result int

// Results of Choose.
const (
	// NoRoom means that no worker has room for the task.
	NoRoom Result = iota
	// Held means that no worker has room at which the task would be on time, and that it
	// is expected to be on time at a fast worker that has room soon.
	Held
	// Chosen means that a worker was chosen.
	Chosen
)

// Choose chooses a worker for a task. place returns a worker with room for the task that
// is accepted, by the caller's other rules; accept is nil if every worker is accepted.
//
// A task goes to a slow worker if it ends in time there with the margin, so that the
// fast ones are free for tasks that need them; otherwise to a fast one, and then to a
// slow one at which it ends in time with riskMargin. If none of them has room, it is
// held while it can still be on time by waiting. A task that is late at all workers
// takes the slowest with room. A task without objective takes the fastest.
func (l *Learner) Choose(now time.Time, t Task, place func(accept func(id string) bool) (string, bool)) (string, Result) {
	if len(l.limited) == 0 && l.even() {
		return chosen(place(nil))
	}
	if id, ok := l.probe(now, t, place); ok {
		return id, Chosen
	}
	bands, hold := l.bands(now, t)
	for _, b := range bands {
		if !l.anyIn(b) || t.FastFull && b.min >= usualShare*l.fast {
			continue
		}
		id, ok := place(func(id string) bool { return b.contains(l.Speed(id)) && !l.isLimited(id) })
		if ok {
			return id, Chosen
		}
	}
	if hold {
		return "", Held
	}
	return chosen(place(nil))
}

func chosen(id string, ok bool) (string, Result) {
	if !ok {
		return "", NoRoom
	}
	return id, Chosen
}

// band is a range of speeds; max 0 means no limit.
type band struct{ min, max float64 }

func (b band) contains(speed float64) bool { return speed >= b.min && (b.max == 0 || speed < b.max) }

// anyIn reports whether a worker has a speed in the band.
func (l *Learner) anyIn(b band) bool {
	i, _ := slices.BinarySearch(l.sorted, b.min)
	return i < len(l.sorted) && b.contains(l.sorted[i])
}

// even reports whether all workers count as equally fast.
func (l *Learner) even() bool {
	return len(l.sorted) == 0 || l.sorted[len(l.sorted)-1]*usualShare < l.sorted[0]
}

// bands returns the ranges of speeds in the order in which they are tried, and whether
// the task is held if no worker in them has room.
func (l *Learner) bands(now time.Time, t Task) (bands []band, hold bool) {
	usual := usualShare * l.fast
	fast := band{min: usual}
	if !t.HasObjective {
		return []band{fast}, false
	}
	left := t.Left - startAllowance
	if left <= 0 || float64(t.Expected) > float64(left)*l.fast {
		return []band{{max: usual}}, false // late at all workers
	}
	enough := riskMargin * float64(t.Expected) / float64(left)
	safe := min(max(t.Margin, riskMargin)*float64(t.Expected)/float64(left), usual)
	bands = []band{{min: safe, max: usual}, fast, {min: enough, max: safe}}
	if t.Last {
		bands = []band{fast, {min: enough, max: usual}}
	}
	wait := l.starts.wait(now, t.Held)
	end := wait + time.Duration(float64(t.Expected)/l.fast)
	return bands, wait <= t.MaxHold && end <= left
}

func (l *Learner) isLimited(id string) bool {
	w := l.workers[id]
	return w != nil && w.limited()
}

// probe gives a task to a worker that gets few, so that it can prove itself: one that
// ends in time there, or any once in the time for which the worker stays slow.
func (l *Learner) probe(now time.Time, t Task, place func(func(string) bool) (string, bool)) (string, bool) {
	for _, id := range l.limited {
		w := l.workers[id]
		since := now.Sub(w.probedAt)
		inTime := !t.HasObjective || float64(t.Expected)*max(t.Margin, 1) <= float64(t.Left-startAllowance)*w.speed
		if now.Before(w.retryAt) || since < probeInterval || !inTime && since < max(w.hold, firstHold) {
			continue
		}
		if _, ok := place(func(other string) bool { return other == id }); ok {
			w.probedAt = now
			return id, true
		}
		w.retryAt = now.Add(probeRetry)
	}
	return "", false
}

// RecordStart records the start of a task at the worker.
func (l *Learner) RecordStart(now time.Time, id string) {
	if l.Speed(id) >= usualShare*l.fast && !l.isLimited(id) {
		l.starts.record(now)
	}
}

// startGap is the mean time between two starts at fast workers.
type startGap struct {
	mean time.Duration
	last time.Time
}

func (g *startGap) record(now time.Time) {
	if !g.last.IsZero() {
		gap := min(max(now.Sub(g.last), 0), maxGap)
		g.mean += time.Duration(float64(gap-g.mean) * gapGain)
	}
	g.last = now
}

// wait returns the expected time until a fast worker has room for a task before which
// others are held. It grows while no task starts at a fast worker.
func (g *startGap) wait(now time.Time, held int) time.Duration {
	if g.last.IsZero() {
		return 0
	}
	return max(g.mean, now.Sub(g.last)) + g.mean*time.Duration(held)
}
