package queue

import "time"

// First returns the job of the task that Next would take if exactly the tasks of the
// classes that belongs reports could be placed; ok is false if none of them waits. Job
// has the objective in force, which Add may have set or reduced. First removes nothing.
func (q *Queue) First(now time.Time, belongs func(class string) bool) (first Job, ok bool) {
	q.advance(now)
	q.calls++
	for _, l := range q.levels {
		if s := l.nextAccount(q.calls, belongs, q.jobLess); s != nil {
			j := s.jobs.top()
			first = j.Job
			first.Objective = j.objective
			return first, true
		}
	}
	return Job{}, false
}

// LatestStart returns the time by which a task of the job has to start so that the job
// can meet its objective.
func (j Job) LatestStart() time.Time { return j.Arrived.Add(j.Objective - j.Expected) }
