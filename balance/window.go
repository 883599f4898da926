package balance

import "time"

// windowSteps is the number of steps in which a Window counts its second.
const windowSteps = 10

const windowStep = time.Second / windowSteps

// Window counts the jobs of the last second in one pool.
type Window struct {
	steps   [windowSteps + 1]windowCounts // the current step and the ten before it
	current int64                         // number of the current step since the Unix epoch
	began   time.Time                     // of the first job
}

type windowCounts struct {
	admitted, refused float64 // work
	refusedJobs, jobs int
}

// Record counts a job and its work.
func (w *Window) Record(now time.Time, work float64, refused bool) {
	w.advance(now)
	if w.began.IsZero() {
		w.began = now
	}
	c := &w.steps[w.current%(windowSteps+1)]
	c.jobs++
	if refused {
		c.refused += work
		c.refusedJobs++
	} else {
		c.admitted += work
	}
}

// Totals returns the work admitted and the jobs refused in the last second, and the
// mean work of all its jobs; 0 if there were none.
func (w *Window) Totals(now time.Time) (admitted float64, refused int, jobWork float64) {
	w.advance(now)
	jobs, work := 0, 0.0
	for i := range w.steps {
		if int64(i) == w.current%(windowSteps+1) {
			continue // the current step is not complete
		}
		c := w.steps[i]
		admitted += c.admitted
		refused += c.refusedJobs
		work += c.admitted + c.refused
		jobs += c.jobs
	}
	if jobs > 0 {
		jobWork = work / float64(jobs)
	}
	return admitted, refused, jobWork
}

// AddTo sets what the load says about submitted jobs, and returns their mean work as
// Totals does. In the first second it counts all jobs, and the load has the time since
// the first one, but at least a step, because the number of jobs in less says little.
func (w *Window) AddTo(now time.Time, l *Load) (jobWork float64) {
	l.Admitted, l.Refused, jobWork = w.Totals(now)
	since := now.Sub(w.began)
	if w.began.IsZero() || since < 0 || since >= time.Second {
		return jobWork
	}
	c := w.steps[w.current%(windowSteps+1)]
	l.Admitted, l.Refused, l.Span = l.Admitted+c.admitted, l.Refused+c.refusedJobs, max(since, windowStep)
	if jobWork == 0 && c.jobs > 0 {
		jobWork = (c.admitted + c.refused) / float64(c.jobs)
	}
	return jobWork
}

// advance clears the steps that are over. A clock that is set back changes nothing.
func (w *Window) advance(now time.Time) {
	step := now.UnixNano() / int64(windowStep)
	if step-w.current > windowSteps {
		clear(w.steps[:])
		w.current = step
	}
	for w.current < step {
		w.current++
		w.steps[w.current%(windowSteps+1)] = windowCounts{}
	}
}
