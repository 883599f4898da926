// Package speed learns how fast the workers of a pool are, compared with each other,
// and chooses workers for tasks by the expected end.
//
// Declared durations are off by a factor of up to 0.4 and templates have tasks of
// different length, so a run is compared with the runs of the same job at other
// workers, whose tasks are equal, and only if there are none with the mean of its
// template. A speed is an estimate with a variance. It begins at the median of the
// pool, moves the less the more is known, and becomes uncertain again with time.
//
// A worker whose newest runs are far slower than its own estimate, or that is far
// slower than all others, is classed as slow. It is proved again when it has had
// enough runs of about equal speed, at whatever speed that is, unless that is too
// low to be of use. A worker that is always slow is therefore in normal use at its
// own speed, and one that changes again and again is not.
//
// # Use
//
// The caller keeps a Learner for each pool. It passes every successful run to Observe
// and runs that take long to ObserveRunning, calls Evaluate at a fixed interval, and
// gives workers that are classed as slow few tasks. It calls Choose for each task and
// RecordStart for each start.
//
// Learner reads no clock and takes no lock; the caller serialises its calls.
package speed

import (
	"math"
	"slices"
	"time"
)

// Constants of the estimate. Speeds are kept as natural logarithms, in which twice as
// fast and half as fast are equally far from 1.
const (
	// priorVariance is that of the speed of an unknown worker: a standard deviation of
	// a factor of 1.65, so that a worker of 0.55 among others of 1.2 is not unlikely.
	priorVariance = 0.5 * 0.5
	// leastVariance keeps a well-known speed able to follow slow changes.
	leastVariance = 0.05 * 0.05
	// runVariance is that of runs of equal tasks at one worker.
	runVariance = 0.15 * 0.15
	// templateVariance is that of the tasks of one template, which differ by 0.4.
	templateVariance = 0.3 * 0.3
	// forgetTime is the time without runs after which nothing is known of a speed.
	forgetTime = 10 * time.Minute
	// maxLogSpeed bounds single observations: a factor of 16.
	maxLogSpeed = 2.8
	// maxDeviation limits the effect of one run, in standard deviations.
	maxDeviation = 3
	// templateGain is the least weight of a run in the mean of its template.
	templateGain = 1.0 / 32
	// varianceGain is the weight of a run in the variance of its template.
	varianceGain = 1.0 / 8
	// maxTemplates and maxJobs bound the memory, to about 1 MB for both. An entry has
	// some hundred jobs with runs at a time.
	maxTemplates, maxJobs = 4096, 1024
	// maxJobRuns is the number of ended runs that are kept of a job.
	maxJobRuns = 8
)

// Run is the run of one task at a worker.
type Run struct {
	Worker   string
	Template string
	Job      string // tasks of one job are equal
	Took     time.Duration
}

// Learner holds the speeds of the workers of one pool.
type Learner struct {
	workers   map[string]*worker
	templates *bounded[templateMean]
	jobs      *bounded[jobRuns]
	limited   []string // workers that get few tasks, in order
	starts    startGap

	// The following are of the last Evaluate. middle is the median of the logarithms,
	// and mean the mean of the speeds relative to it.
	middle, mean float64
	sorted       []float64 // speeds of all workers
	fast         float64   // speed that a task can count on at a fast worker
}

// templateMean is the mean logarithm of the duration of a template's tasks at a worker
// of speed 1, and the variance of the newest ones. The variance is large after the
// durations of the template have changed; its runs then say nothing about their workers.
type templateMean struct {
	mean, variance float64
	runs           int
}

// jobRuns are ended runs of one job.
type jobRuns struct {
	runs [maxJobRuns]jobRun
	n    int
}

type jobRun struct {
	worker   *worker
	duration float64 // logarithm
}

// New returns a Learner that knows no workers.
func New() *Learner {
	return &Learner{
		workers: map[string]*worker{}, templates: newBounded[templateMean](maxTemplates), jobs: newBounded[jobRuns](maxJobs),
		mean: 1, fast: 1,
	}
}

// Track adds a worker before its first run. Without it, the workers would be compared
// only with those that have had runs.
func (l *Learner) Track(id string) {
	if l.workers[id] == nil {
		l.workers[id] = &worker{id: id, log: l.middle, variance: priorVariance}
	}
}

// Remove deletes a worker that left.
func (l *Learner) Remove(id string) {
	delete(l.workers, id)
	l.updateLimited()
}

// SetDoubted sets whether the worker gets few tasks for a reason that the caller knows,
// such as failures, until it has proved itself.
func (l *Learner) SetDoubted(id string, doubted bool) {
	if w := l.workers[id]; w != nil {
		w.doubted = doubted
		l.updateLimited()
	}
}

func (l *Learner) updateLimited() {
	l.limited = l.limited[:0]
	for id, w := range l.workers {
		if w.limited() {
			l.limited = append(l.limited, id)
		}
	}
	slices.Sort(l.limited)
}

// Len returns the number of known workers.
func (l *Learner) Len() int { return len(l.workers) }

// Speed returns the speed of a worker relative to the mean of the pool as of the last
// Evaluate; 1 for an unknown worker.
func (l *Learner) Speed(id string) float64 {
	if w := l.workers[id]; w != nil && w.speed > 0 {
		return w.speed
	}
	return 1
}

// Slow reports whether the worker is classed as slow.
func (l *Learner) Slow(id string) bool {
	w := l.workers[id]
	return w != nil && w.slow
}

// Observe records a run that succeeded. Runs without a positive duration are ignored.
func (l *Learner) Observe(now time.Time, r Run) {
	w := l.workers[r.Worker]
	if w == nil || r.Took <= 0 {
		return
	}
	duration := math.Log(r.Took.Seconds())
	reference, variance, ok := l.reference(w, r)
	l.record(w, r, duration)
	if ok {
		w.observe(now, l.middle+bound(reference-duration-l.middle), variance)
	}
}

// ObserveRunning records that a run has taken Took and goes on, if that alone shows
// that its worker is far slower than its estimate. It reports whether it did; the
// caller then passes the run no second time. Without it, a worker on which nothing
// ends any more would never be found slow.
func (l *Learner) ObserveRunning(now time.Time, r Run) bool {
	w := l.workers[r.Worker]
	if w == nil || r.Took <= 0 {
		return false
	}
	reference, variance, ok := l.reference(w, r)
	log := l.middle + bound(reference-math.Log(r.Took.Seconds())-l.middle)
	if !ok || log > w.log-changeLog-2*math.Sqrt(variance) {
		return false
	}
	w.observe(now, log, variance)
	return true
}

// reference returns the logarithm of the duration that the run would have at a worker
// of speed 1, by the other runs of its job or by its template, with its variance.
func (l *Learner) reference(w *worker, r Run) (log, variance float64, ok bool) {
	if j := l.jobs.get(r.Job); j != nil {
		n, own := 0.0, 0.0
		for _, o := range j.runs[:min(j.n, maxJobRuns)] {
			if o.worker != w {
				log += o.duration + o.worker.log
				own += o.worker.variance
				n++
			}
		}
		if n > 0 {
			return log / n, runVariance*(1+1/n) + own/n, true
		}
	}
	if t := l.templates.get(r.Template); t != nil {
		return t.mean, max(t.variance, templateVariance)*(1+1/float64(t.runs)) + runVariance, true
	}
	return 0, 0, false
}

func (l *Learner) record(w *worker, r Run, duration float64) {
	j := l.jobs.getOrAdd(r.Job)
	j.runs[j.n%maxJobRuns] = jobRun{w, duration}
	j.n++
	t := l.templates.getOrAdd(r.Template)
	t.runs++
	difference := duration + w.log - t.mean
	t.mean += difference * max(1/float64(t.runs), templateGain)
	if difference = bound(difference); t.runs > 1 {
		t.variance += (difference*difference - t.variance) * varianceGain
	}
}

func bound(log float64) float64 { return min(max(log, -maxLogSpeed), maxLogSpeed) }

// updateSpeeds determines the speeds relative to the mean of the pool.
func (l *Learner) updateSpeeds() {
	if len(l.workers) == 0 {
		return
	}
	logs := make([]float64, 0, len(l.workers))
	for _, w := range l.workers {
		logs = append(logs, w.log)
	}
	slices.Sort(logs)
	l.middle, l.mean = logs[(len(logs)-1)/2], 0
	for _, log := range logs {
		l.mean += math.Exp(log-l.middle) / float64(len(logs))
	}
	relative := func(log float64) float64 { return math.Exp(log-l.middle) / l.mean }
	l.sorted = logs
	for i, log := range logs {
		l.sorted[i] = relative(log)
	}
	// The upper quartile leaves out single workers that are said to be very fast.
	l.fast = l.sorted[(len(logs)-1)*3/4]
	for _, w := range l.workers {
		w.speed = relative(w.log)
	}
}
