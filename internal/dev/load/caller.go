package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chicorytray.example/chicorytray/internal/dev"
	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// Outcomes of a job for its caller. The first three come from the answer, the
// others are set by the caller itself.
const (
	outcomeDone      = "done"
	outcomeNotRun    = "not_run"
	outcomeUnknown   = "unknown"
	outcomeCancelled = "cancelled" // the caller cancelled the request
	outcomeBroken    = "broken"    // no complete answer arrived
)

const (
	// answerTimeout exceeds the deadlines of all templates in the layouts.
	answerTimeout = 90 * time.Second
	// avoidDuration is the time for which callers skip an entry that refused a
	// connection, as a load balancer does.
	avoidDuration = time.Second
	// maxIdleConnsPerEntry is the number of idle connections that callers keep
	// to each entry.
	maxIdleConnsPerEntry = 4096
)

// Result is the outcome of one job as its caller saw it.
type Result struct {
	Job      *Job
	Answered time.Duration // since the start of the run
	Entry    string
	Status   int
	Outcome  string
	Reason   string
	// Wrong says how a successful answer differs from the one that the job
	// should have; it is empty if the answer is right.
	Wrong string
}

// caller submits jobs over HTTP, each to the next entry in turn.
type caller struct {
	layout         dev.Layout
	entries        []dev.Endpoint
	client         *http.Client
	runStart       time.Time
	nextEntryIndex atomic.Uint64

	mu         sync.Mutex
	avoidUntil map[string]time.Time // end of the avoidance by entry ID
}

func newCaller(l dev.Layout, entries []dev.Endpoint, dial func(context.Context, string) (net.Conn, error)) *caller {
	return &caller{
		layout: l, entries: entries, avoidUntil: map[string]time.Time{},
		client: &http.Client{Transport: &http.Transport{
			DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
			MaxIdleConnsPerHost: maxIdleConnsPerEntry,
			DisableCompression:  true,
		}},
	}
}

type taskRequest struct {
	Name string `json:"name"`
	Body string `json:"body"`
}

type jobRequest struct {
	Template   string        `json:"template"`
	Tasks      []taskRequest `json:"tasks"`
	ExpectedMS int64         `json:"expected_ms"`
}

// answerBody is the union of a successful answer and a problem document.
type answerBody struct {
	Job     string `json:"job"`
	Results []struct {
		Status int    `json:"status"`
		Body   string `json:"body"`
	} `json:"results"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

func (c *caller) encodeJob(j *Job) []byte {
	req := jobRequest{Template: j.Template, ExpectedMS: j.DeclaredMS}
	for i, d := range j.Tasks {
		task := upstreamstub.Request{Key: j.Key(i), ServiceMS: float64(d) / float64(time.Millisecond)}
		req.Tasks = append(req.Tasks, taskRequest{
			Name: c.layout.Names.Tasks[i%len(c.layout.Names.Tasks)], Body: task.Encode(),
		})
	}
	data, err := json.Marshal(req)
	if err != nil { // strings and numbers only
		panic(err)
	}
	return data
}

// submit sends one job and waits for its answer. If the connection is refused,
// it tries the other entries, since nothing was sent.
func (c *caller) submit(j *Job, body []byte) Result {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	if j.CancelAfter > 0 {
		timer := time.AfterFunc(j.CancelAfter, cancel)
		defer timer.Stop()
	}
	var res Result
	for range c.entries {
		e := c.pickEntry()
		var refused bool
		res, refused = c.submitTo(ctx, e, j, body)
		if !refused {
			break
		}
		c.mu.Lock()
		c.avoidUntil[e.ID] = time.Now().Add(avoidDuration)
		c.mu.Unlock()
	}
	res.Answered = time.Since(c.runStart)
	return res
}

// pickEntry returns the next entry in turn, without those to avoid if there are
// others.
func (c *caller) pickEntry() dev.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := uint64(len(c.entries))
	first := c.entries[c.nextEntryIndex.Add(1)%n]
	for i := range n {
		e := c.entries[(c.nextEntryIndex.Load()+i)%n]
		if time.Now().After(c.avoidUntil[e.ID]) {
			return e
		}
	}
	return first
}

// submitTo sends one job to an entry and waits for its answer. refused means
// that the connection could not be opened.
func (c *caller) submitTo(ctx context.Context, e dev.Endpoint, j *Job, body []byte) (res Result, refused bool) {
	res = Result{Job: j, Entry: e.ID, Outcome: outcomeBroken}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Callers+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		res.Reason = err.Error()
		return res, false
	}
	req.GetBody = nil // so that net/http cannot send the body again
	req.Header.Set("Authorization", "Bearer "+dev.Token(j.Account))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		res.Status = resp.StatusCode
		var data []byte
		if data, err = io.ReadAll(resp.Body); err == nil {
			c.checkAnswer(&res, data)
			return res, false
		}
	}
	res.Reason = errorClass(err)
	if j.CancelAfter > 0 && errors.Is(err, context.Canceled) {
		res.Outcome, res.Reason = outcomeCancelled, ""
	}
	var op *net.OpError
	return res, errors.As(err, &op) && op.Op == "dial"
}

// errorClass describes an error without addresses, so that the report counts
// equal causes together.
func errorClass(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	case errors.As(err, &op):
		return op.Op + ": " + op.Err.Error()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	}
	return "connection failed"
}

// checkAnswer sets the outcome from the body of an answer and checks that a
// successful answer is complete and belongs to this job.
func (c *caller) checkAnswer(res *Result, data []byte) {
	var a answerBody
	if err := json.Unmarshal(data, &a); err != nil {
		res.Outcome, res.Reason = outcomeBroken, "answer is not JSON"
		return
	}
	if res.Status != http.StatusOK {
		res.Outcome, res.Reason = a.Outcome, a.Reason
		return
	}
	res.Outcome = outcomeDone
	if len(a.Results) != len(res.Job.Tasks) {
		res.Wrong = "wrong number of results"
		return
	}
	for i, r := range a.Results {
		var t upstreamstub.Answer
		if err := json.Unmarshal([]byte(r.Body), &t); err != nil || t.Key != res.Job.Key(i) || r.Status != http.StatusOK {
			res.Wrong = "result of another task"
			return
		}
	}
}
