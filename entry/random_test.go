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
)

// fault is one step of a random schedule.
type fault struct {
	At    time.Duration
	Kind  string
	Agent int           // 1 to randomAgents
	For   time.Duration // until it is healed
}

// work is one job of a random schedule.
type work struct {
	At       time.Duration
	Tasks    int
	Template string
	Key      bool
	CancelIn time.Duration // 0: not cancelled
}

const (
	randomAgents = 3
	randomSpan   = 8 * time.Second
)

var faultKinds = []string{"cut", "freeze", "drop to agent", "drop to entry", "partition", "die", "lapse", "pause entry", "store down", "store answers lost"}

// init makes the schedules of CI runs repeatable. Flags on the command line
// replace the values.
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
		Agent: rapid.IntRange(1, randomAgents).Draw(t, "agent"), For: drawDuration(t, "for", 6*time.Second),
	}
}

func drawWork(t *rapid.T) work {
	w := work{
		At: drawDuration(t, "at", randomSpan), Tasks: rapid.IntRange(1, 60).Draw(t, "tasks"),
		Template: rapid.SampledFrom([]string{"proof", "proof", "check"}).Draw(t, "template"), Key: rapid.Bool().Draw(t, "key"),
	}
	if rapid.IntRange(0, 3).Draw(t, "cancelled") == 0 {
		w.CancelIn = drawDuration(t, "cancel", time.Second)
	}
	return w
}

// Guards against duplicate starts and untrue answers under combinations of
// faults that nobody thought of.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 6).Draw(rt, "faults")
		works := rapid.SliceOfN(rapid.Custom(drawWork), 1, 6).Draw(rt, "works")
		var problems []string
		inBubble(t, func(h *harness) { problems = h.runRandom(faults, works) })
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

func (h *harness) runRandom(faults []fault, works []work) []string {
	e := h.entry(1, "anping", nil)
	var agents []*fakeAgent
	for i := range randomAgents {
		agents = append(agents, h.agent(i+1, []string{"anping", "chihkan", "rende"}[i]))
	}
	settle()
	var wg sync.WaitGroup
	for _, f := range faults {
		wg.Go(func() { h.inject(e, f, agents[f.Agent-1]) })
	}
	answers := make([]*httptest.ResponseRecorder, len(works))
	for i, w := range works {
		wg.Go(func() { answers[i] = submitRandom(e, i, w) })
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	var problems []string
	for i, w := range works {
		problems = append(problems, h.ups.check(answers[i], w)...)
	}
	return problems
}

func submitRandom(e *Entry, i int, w work) *httptest.ResponseRecorder {
	time.Sleep(w.At)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if w.CancelIn > 0 {
		defer time.AfterFunc(w.CancelIn, cancel).Stop()
	}
	var header []string
	if w.Key {
		header = []string{headerKey, fmt.Sprint("key", i)}
	}
	task := map[string]string{"proof": "render", "check": "spell"}[w.Template]
	return callCtx(ctx, e, http.MethodPost, "/v1/jobs", jobBody(w.Template, task, w.Tasks), header...)
}

func (h *harness) inject(e *Entry, f fault, a *fakeAgent) {
	const entryHost = "10.0.1.1"
	time.Sleep(f.At)
	switch f.Kind {
	case "cut":
		h.net.Cut(entryHost, a.host)
		time.Sleep(f.For / 10)
		h.net.Heal(entryHost, a.host)
	case "freeze":
		h.net.Freeze(entryHost, a.host)
	case "drop to agent":
		h.net.Drop(entryHost, a.host)
		time.Sleep(f.For)
		h.net.Heal(entryHost, a.host)
	case "drop to entry":
		h.net.Drop(a.host, entryHost)
		time.Sleep(f.For)
		h.net.Heal(entryHost, a.host)
	case "partition":
		h.net.Partition(entryHost, a.host)
		time.Sleep(f.For)
		h.net.Heal(entryHost, a.host)
	case "die":
		if a.kill() {
			time.Sleep(f.For)
			a.start()
		}
	case "lapse":
		a.lapse()
	case "pause entry":
		e.dispatcher.post(func(*dispatcher) { time.Sleep(f.For) })
	case "store down":
		h.store.SetDown(true)
		time.Sleep(f.For)
		h.store.SetDown(false)
	case "store answers lost":
		h.store.LoseAnswers(2)
	}
}

// check compares an answer with the starts that the upstreams counted.
func (u *upstreams) check(w *httptest.ResponseRecorder, req work) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	job := w.Header().Get(headerJob)
	var p problem
	if w.Code != http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			return []string{fmt.Sprintf("answer is not a problem: %v", err)}
		}
	}
	var out []string
	for i := range req.Tasks {
		n := u.starts[fmt.Sprintf("%s/%d", job, i)]
		switch {
		case n > 1 && req.Template == "proof":
			out = append(out, fmt.Sprintf("job %s task %d started %d times", job, i, n))
		case w.Code == http.StatusOK && n == 0:
			out = append(out, fmt.Sprintf("job %s task %d has a result and was not started", job, i))
		case w.Code != http.StatusOK && n > 0 && (p.Outcome == OutcomeNotRun || !slices.Contains(p.MayHaveRun, i)):
			out = append(out, fmt.Sprintf("job %s task %d was started; the answer is %s", job, i, w.Body))
		}
	}
	return out
}
