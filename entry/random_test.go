package entry

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// fault is one injected fault of a random schedule.
type fault struct {
	At    time.Duration
	Kind  string
	Entry int           // 1 or 2
	Agent int           // 1 to randomAgents
	For   time.Duration // duration of the fault; some kinds use a fraction of it
}

// scheduledJob is one job of a random schedule. If Key is set, it is submitted
// to both entries under one idempotency key.
type scheduledJob struct {
	At       time.Duration
	Tasks    int
	Template string
	Key      bool
	CancelIn time.Duration // time until the caller disconnects; 0 if it does not
}

const (
	randomAgents = 3
	randomSpan   = 8 * time.Second
	// outOfServiceBound is the time after which no task may start in a data
	// centre that was taken out of service.
	outOfServiceBound = 3 * time.Second
)

var (
	randomDataCentres = []string{"anping", "chihkan", "rende"}
	faultKinds        = []string{"cut", "freeze", "drop to agent", "drop to entry", "partition", "entries apart", "die",
		"pause entry", "store down", "store answers lost", "store writes late", "out of service", "answers cut", "hang"}
)

// init sets the seed and the number of checks of rapid, so that test runs are
// repeatable. Flags on the command line override them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "50"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func drawDuration(t *rapid.T, name string, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(1, int(most/time.Millisecond)).Draw(t, name)) * time.Millisecond
}

func drawFault(t *rapid.T) fault {
	return fault{
		At: drawDuration(t, "at", randomSpan), Kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		Entry: rapid.IntRange(1, 2).Draw(t, "entry"), Agent: rapid.IntRange(1, randomAgents).Draw(t, "agent"),
		For: drawDuration(t, "for", 6*time.Second),
	}
}

func drawJob(t *rapid.T) scheduledJob {
	w := scheduledJob{
		At: drawDuration(t, "at", randomSpan), Tasks: rapid.IntRange(1, 60).Draw(t, "tasks"),
		Template: rapid.SampledFrom([]string{"proof", "proof", "check"}).Draw(t, "template"), Key: rapid.Bool().Draw(t, "key"),
	}
	if rapid.IntRange(0, 3).Draw(t, "cancelled") == 0 {
		w.CancelIn = drawDuration(t, "cancel", time.Second)
	}
	return w
}

// Guards against duplicate starts, wrong answers and starts in a data centre
// out of service under random combinations of faults, for which there are no
// tests of their own.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 6).Draw(rt, "faults")
		jobs := rapid.SliceOfN(rapid.Custom(drawJob), 1, 6).Draw(rt, "works")
		var problems []string
		inBubble(t, func(h *harness) {
			r := &randomRun{harness: h, record: upstreamstub.NewRecord()}
			problems = r.run(faults, jobs)
		})
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

// randomRun is one run of a schedule.
type randomRun struct {
	*harness
	record       *upstreamstub.Record
	entries      []*Entry
	agents       []*realAgent
	mu           sync.Mutex
	generation   uint64
	outOfService string // data centre out of service
	storeOutages int    // number of store outages in progress
	outages      []serviceOutage
}

// serviceOutage is a period in which a data centre was out of service.
type serviceOutage struct {
	dataCentre string
	from, to   time.Time
}

func (r *randomRun) run(faults []fault, jobs []scheduledJob) []string {
	r.generation = 1
	r.entries = []*Entry{r.entry(1, "anping", nil), r.entry(2, "chihkan", nil)}
	for i := range randomAgents {
		r.agents = append(r.agents, r.realAgent(i+1, randomDataCentres[i], r.record))
	}
	waitForDiscovery()
	var wg sync.WaitGroup
	for _, f := range faults {
		wg.Go(func() {
			time.Sleep(f.At)
			r.inject(f, r.agents[f.Agent-1])
		})
	}
	answers := make([][]*httptest.ResponseRecorder, len(jobs))
	for i, w := range jobs {
		answers[i] = make([]*httptest.ResponseRecorder, 2)
		wg.Go(func() { answers[i][0] = r.submit(r.entries[i%2], i, w) })
		if w.Key {
			wg.Go(func() { answers[i][1] = r.submit(r.entries[(i+1)%2], i, w) })
		}
	}
	wg.Wait()
	time.Sleep(12 * time.Second) // longer than any deadline
	problems := r.record.Duplicates()
	for i, w := range jobs {
		for _, a := range answers[i] {
			if a != nil {
				problems = append(problems, r.checkAnswer(a, w)...)
			}
		}
	}
	return append(problems, r.startsOutOfService()...)
}

func (r *randomRun) submit(e *Entry, i int, w scheduledJob) *httptest.ResponseRecorder {
	time.Sleep(w.At)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if w.CancelIn > 0 {
		defer time.AfterFunc(w.CancelIn, cancel).Stop()
	}
	req := jobRequest{Template: w.Template}
	for n := range w.Tasks {
		body := upstreamstub.Request{Key: fmt.Sprintf("w%d/%d", i, n), ServiceMS: float64(20 + 40*(n%8))}.Encode()
		req.Tasks = append(req.Tasks, taskRequest{Name: map[string]string{"proof": "render", "check": "spell"}[w.Template], Body: &body})
	}
	raw, _ := json.Marshal(req)
	var header []string
	if w.Key {
		header = []string{headerIdempotencyKey, fmt.Sprint("key", i)}
	}
	return callWithContext(ctx, e, http.MethodPost, "/v1/jobs", string(raw), header...)
}

func (r *randomRun) inject(f fault, a *realAgent) {
	entryHost := fmt.Sprintf("10.0.1.%d", f.Entry)
	failAndHeal := func(fail func(a, b string), x, y string) {
		fail(x, y)
		time.Sleep(f.For)
		r.net.Heal(x, y)
	}
	switch f.Kind {
	case "cut":
		f.For /= 10
		failAndHeal(r.net.Cut, entryHost, a.host)
	case "freeze":
		r.net.Freeze(entryHost, a.host)
	case "drop to agent":
		failAndHeal(r.net.Drop, entryHost, a.host)
	case "drop to entry":
		failAndHeal(r.net.Drop, a.host, entryHost)
	case "partition":
		failAndHeal(r.net.Partition, entryHost, a.host)
	case "entries apart":
		failAndHeal(r.net.Partition, "10.0.1.1", "10.0.1.2")
	case "die":
		if a.kill() {
			time.Sleep(f.For)
			a.start()
		}
	case "pause entry":
		r.entries[f.Entry-1].dispatcher.post(func(*dispatcher) { time.Sleep(f.For) })
	case "store down":
		r.setDown(1)
		time.Sleep(f.For)
		r.setDown(-1)
	case "store answers lost":
		r.store.LoseAnswers(2)
	case "store writes late":
		r.store.HoldWrites(2, f.For/4)
	case "out of service":
		if r.setOutOfService(a.settings.DataCentre) {
			time.Sleep(outOfServiceBound + f.For)
			r.setOutOfService("")
		}
	case "answers cut", "hang":
		a.upstream.SetFaults(upstreamstub.Faults{Half: f.Kind != "hang", Hang: f.Kind == "hang"})
		time.Sleep(f.For / 4)
		a.upstream.SetFaults(upstreamstub.Faults{})
	}
}

// setDown begins (n = 1) or ends (n = -1) an outage of the store. Outages may
// overlap.
func (r *randomRun) setDown(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeOutages += n
	r.store.SetDown(r.storeOutages > 0)
}

// setOutOfService takes a data centre out of service, or returns the current
// one to service if the name is empty. It reports false if another one is out
// of service, or if the store is down and accepts no change.
func (r *randomRun) setOutOfService(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dataCentre != "" && (r.outOfService != "" || r.storeOutages > 0) {
		return false
	}
	r.generation++
	r.storeConfig(r.generation, takeOutOfService(dataCentre))
	r.outOfService = dataCentre
	if dataCentre != "" {
		r.outages = append(r.outages, serviceOutage{dataCentre: dataCentre, from: time.Now()})
	} else {
		r.outages[len(r.outages)-1].to = time.Now()
	}
	return true
}

// startsOutOfService describes the starts in data centres that had been out of
// service for longer than outOfServiceBound.
func (r *randomRun) startsOutOfService() []string {
	var out []string
	for _, s := range r.record.Starts() {
		for _, o := range r.outages {
			if s.DataCentre == o.dataCentre && s.At.After(o.from.Add(outOfServiceBound)) && s.At.Before(o.to) {
				out = append(out, fmt.Sprintf("%s started in %s %v after it was taken out", s.Task, s.DataCentre, s.At.Sub(o.from)))
			}
		}
	}
	return out
}

// checkAnswer compares an answer with the starts that the upstreams recorded,
// and returns the contradictions.
func (r *randomRun) checkAnswer(w *httptest.ResponseRecorder, req scheduledJob) []string {
	job := w.Header().Get(headerJob)
	var p problem
	if w.Code != http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			return []string{fmt.Sprintf("answer is not a problem: %v", err)}
		}
	}
	starts := r.record.Count()
	var out []string
	for i := range req.Tasks {
		n := starts[fmt.Sprintf("%s/%d", job, i)]
		switch {
		case w.Code == http.StatusOK && n == 0:
			out = append(out, fmt.Sprintf("job %s task %d has a result and was not started", job, i))
		case w.Code != http.StatusOK && n > 0 && (p.Outcome == OutcomeNotRun || p.Reason != reasonOwnerUnreachable && !slices.Contains(p.MayHaveRun, i)):
			out = append(out, fmt.Sprintf("job %s task %d was started; the answer is %s", job, i, w.Body))
		}
	}
	return out
}
