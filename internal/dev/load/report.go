package load

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chicorytray.example/chicorytray/internal/dev"
)

// lateStartLimit is the time limit of guarantee 3: no task starts in a data
// centre later than this after the data centre was taken out of service.
const lateStartLimit = 3 * time.Second

// Histograms record values in thousandths, up to maxRatio, with a precision of
// three significant digits.
const (
	ratioScale  = 1000
	maxRatio    = 100_000
	ratioDigits = 3
)

// Report is the result of a run.
type Report struct {
	Deployment string   `json:"deployment"`
	Placement  string   `json:"placement"`
	Entries    int      `json:"entries"`
	Load       float64  `json:"load"`
	DurationS  float64  `json:"duration_s"`
	Seed       uint64   `json:"seed"`
	Burst      float64  `json:"burst"`
	Events     []string `json:"events,omitempty"`

	Jobs        int     `json:"jobs"`
	Tasks       int     `json:"tasks"`
	TaskSeconds float64 `json:"task_seconds"` // offered
	// Goodput is the work of jobs answered with success within their
	// deadline, in task-seconds for each second of the arrivals.
	Goodput float64 `json:"goodput"`

	Response []ResponseClass `json:"response_over_ideal"`
	Outcomes []OutcomeCount  `json:"outcomes"`
	// RefusedMS is the time until a not_run answer, in milliseconds.
	RefusedMS ResponseClass `json:"refused_ms"`
	// MissedDeadlines are jobs answered with success after their deadline.
	MissedDeadlines int `json:"missed_deadlines"`

	Starts          int      `json:"starts"`
	DuplicateStarts []string `json:"duplicate_starts"`
	LateStarts      int      `json:"late_starts"`   // starts more than 3 s after a data centre went out of service
	FalseNotRun     []string `json:"false_not_run"` // jobs answered not_run although a task of them started
	WrongAnswers    []string `json:"wrong_answers"` // successful answers that are incomplete or belong to another job
	StoreCallsPerS  float64  `json:"store_calls_per_second"`
	FailedEvents    []string `json:"failed_events,omitempty"`
	Messages        []Method `json:"messages"`
	MessagesPerTask float64  `json:"messages_per_task"`
	WastedPerTask   float64  `json:"wasted_messages_per_task"`
	Windows         []Window `json:"windows"`

	timeline *timeline
	events   []appliedEvent
}

// ResponseClass is the distribution of a value, such as the response time over
// the ideal one, over the jobs of one class.
type ResponseClass struct {
	Name   string  `json:"name"`
	Jobs   int64   `json:"jobs"`
	Median float64 `json:"median"`
	P90    float64 `json:"p90"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

// OutcomeCount is the number of jobs whose callers saw the same outcome.
type OutcomeCount struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	Jobs    int    `json:"jobs"`
	Tasks   int    `json:"tasks"`
}

// Method is the number of messages of one method.
type Method struct {
	Name    string  `json:"name"`
	PerTask float64 `json:"per_task"`
	dev.Traffic
}

func (o *observation) report() *Report {
	p := o.options
	r := &Report{
		Deployment: p.Layout.Name, Placement: p.Layout.Placement, Entries: p.Layout.Entries,
		Load: p.Load, DurationS: p.Duration.Seconds(), Seed: p.Seed, Burst: p.Burst,
		Jobs: len(o.results), Starts: len(o.starts),
		DuplicateStarts: append([]string{}, o.duplicateStarts...), FalseNotRun: []string{}, WrongAnswers: []string{},
		StoreCallsPerS: float64(o.storeCalls) / p.Duration.Seconds(), LateStarts: o.lateStarts(), events: o.effective(),
	}
	for _, e := range p.Events {
		r.Events = append(r.Events, e.String())
	}
	for _, e := range o.events {
		if e.err != nil {
			r.FailedEvents = append(r.FailedEvents, e.String()+": "+e.err.Error())
		}
	}
	o.countResults(r)
	r.Response = o.responseTimes()
	r.RefusedMS = o.refusalTimes()
	o.countMessages(r)
	r.timeline = o.timeline()
	r.Windows = o.windows(r.timeline)
	return r
}

func (o *observation) countResults(r *Report) {
	started := map[string]bool{}
	for _, s := range o.starts {
		started[s.Key] = true
	}
	counts := map[OutcomeCount]*OutcomeCount{}
	deadlines := o.deadlines()
	var good time.Duration
	for _, res := range o.results {
		r.Tasks += len(res.Job.Tasks)
		r.TaskSeconds += res.Job.Work().Seconds()
		key := OutcomeCount{Outcome: res.Outcome, Reason: res.Reason, Status: res.Status}
		if counts[key] == nil {
			c := key
			counts[key] = &c
		}
		counts[key].Jobs++
		counts[key].Tasks += len(res.Job.Tasks)
		switch {
		case res.Wrong != "":
			r.WrongAnswers = append(r.WrongAnswers, res.Job.ID+": "+res.Wrong)
		case res.Outcome == outcomeDone && res.Answered-res.Job.At > deadlines[res.Job.Template]:
			r.MissedDeadlines++
		case res.Outcome == outcomeDone:
			good += res.Job.Work()
		case res.Outcome == outcomeNotRun && anyStarted(res.Job, started):
			r.FalseNotRun = append(r.FalseNotRun, res.Job.ID)
		}
	}
	r.Goodput = good.Seconds() / o.options.Duration.Seconds()
	for _, c := range counts {
		r.Outcomes = append(r.Outcomes, *c)
	}
	slices.SortFunc(r.Outcomes, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Status, b.Status))
	})
}

func anyStarted(j *Job, started map[string]bool) bool {
	for i := range j.Tasks {
		if started[j.Key(i)] {
			return true
		}
	}
	return false
}

// deadlines returns for each template the time within which callers expect the
// answer: the deadline and a round trip.
func (o *observation) deadlines() map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, t := range o.options.Layout.Document().Templates {
		out[t.Name] = time.Duration(t.DeadlineMS)*time.Millisecond + 2*o.options.Layout.ClientDelay
	}
	return out
}

// jobSizeClasses are the classes of jobs by number of tasks. The response time
// goals apply to jobs of up to 20 tasks.
var jobSizeClasses = []struct {
	name     string
	min, max int
}{{"1", 1, 1}, {"2-20", 2, 20}, {"1-20", 1, 20}, {"21-100", 21, 100}, {"101-1500", 101, maxTasksPerJob}}

func (o *observation) responseTimes() []ResponseClass {
	var out []ResponseClass
	for _, c := range jobSizeClasses {
		h := hdrhistogram.New(1, maxRatio*ratioScale, ratioDigits)
		for _, res := range o.results {
			if n := len(res.Job.Tasks); n < c.min || n > c.max || res.Outcome != outcomeDone {
				continue
			}
			over := float64(res.Answered-res.Job.At) / float64(res.Job.Ideal(o.options.Layout))
			_ = h.RecordValue(int64(min(over, maxRatio) * ratioScale))
		}
		out = append(out, distribution(c.name, h))
	}
	return out
}

// refusalTimes returns the distribution of the time until a not_run answer, in
// milliseconds.
func (o *observation) refusalTimes() ResponseClass {
	h := hdrhistogram.New(1, maxRatio*ratioScale, ratioDigits)
	for _, res := range o.results {
		if res.Outcome == outcomeNotRun {
			ms := float64(res.Answered-res.Job.At) / float64(time.Millisecond)
			_ = h.RecordValue(int64(min(ms, maxRatio) * ratioScale))
		}
	}
	return distribution("not_run", h)
}

func distribution(name string, h *hdrhistogram.Histogram) ResponseClass {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / ratioScale }
	return ResponseClass{Name: name, Jobs: h.TotalCount(), Median: at(50), P90: at(90), P99: at(99), Max: at(100)}
}

// lateStarts counts the starts in a data centre that happened more than
// lateStartLimit after the store accepted that it is out of service, and before
// its return was requested. A return that failed counts as requested, because the
// store may have accepted it.
func (o *observation) lateStarts() int {
	late := 0
	for i, out := range o.events {
		if out.Action != ActionOut || out.err != nil {
			continue
		}
		until := time.Duration(1<<63 - 1)
		for _, in := range o.events[i+1:] {
			if in.Action == ActionIn && in.Target == out.Target {
				until = in.requestedAt
				break
			}
		}
		for _, s := range o.starts {
			if at := s.At.Sub(o.begin); s.DataCentre == out.Target && at > out.effectiveAt+lateStartLimit && at < until {
				late++
			}
		}
	}
	return late
}

// countMessages counts two wasted messages, request and reply, for each
// Agent.Run without a start and for each Entry.Offer that the entry did not use.
// Heartbeats, announcements and pings do not count as wasted: their number
// depends on the time and not on the tasks. The report lists them separately.
func (o *observation) countMessages(r *Report) {
	tasks := float64(max(r.Tasks, 1))
	var wasted, all int64
	for name, t := range o.messages {
		if t.Requests+t.Replies == 0 {
			continue // the method was called only before the run
		}
		if name == "Agent.Run" {
			t.Wasted = 2 * max(0, t.Requests-int64(len(o.starts)))
		}
		wasted += t.Wasted
		all += t.Requests + t.Replies
		r.Messages = append(r.Messages, Method{Name: name, Traffic: t, PerTask: float64(t.Requests+t.Replies) / tasks})
	}
	sort.Slice(r.Messages, func(i, j int) bool { return r.Messages[i].Name < r.Messages[j].Name })
	r.MessagesPerTask, r.WastedPerTask = float64(all)/tasks, float64(wasted)/tasks
}
