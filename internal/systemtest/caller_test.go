package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// job describes a job to submit. The zero value means template "work", one task
// and a service time of 100 ms.
type job struct {
	template       string
	tasks          int
	serviceTime    time.Duration
	deadline       time.Duration
	idempotencyKey string // header Idempotency-Key; empty: none
	keyPrefix      string // prefix of the tasks' keys; empty: a new one
	resultBytes    int    // size of the filler in each result
	changeTask     func(i int, r *upstreamstub.Request)
	slowRead       bool // the caller reads 16 KiB every 10 ms
}

// callerTimeout is how long callers wait for a complete answer, far above all
// deadlines. Without it, a caller of an entry that lost its power would wait forever.
const callerTimeout = 90 * time.Second

// submission is a submitted job and its answer.
type submission struct {
	job
	ctx      context.Context
	cancel   context.CancelFunc // makes the caller disconnect
	taskKeys []string
	sentAt   time.Time
	done     chan struct{} // closed when the fields below are set

	endedAt time.Time
	err     error // no complete answer arrived
	status  int
	header  http.Header
	rawBody []byte
	answer  answer
}

// answer is the body of every answer to a job.
type answer struct {
	Job     string `json:"job"`
	Results []struct {
		Status int    `json:"status"`
		Body   string `json:"body"`
	} `json:"results"`
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason"`
	MayHaveRun []int  `json:"may_have_run"`
}

// submit sends a job to an entry and returns at once.
func (s *system) submit(entry int, j job) *submission {
	if j.template == "" {
		j.template = "work"
	}
	j.tasks = max(j.tasks, 1)
	if j.serviceTime == 0 {
		j.serviceTime = 100 * time.Millisecond
	}
	s.mu.Lock()
	if j.keyPrefix == "" {
		j.keyPrefix = fmt.Sprintf("s%d", len(s.submissions))
	}
	sub := &submission{job: j, done: make(chan struct{}), sentAt: time.Now()}
	sub.ctx, sub.cancel = context.WithTimeout(context.Background(), callerTimeout)
	s.submissions = append(s.submissions, sub)
	s.mu.Unlock()
	body := sub.body()
	go func() {
		defer close(sub.done)
		defer sub.cancel()
		sub.post(s, "http://"+entryHost(entry)+":8000/v1/jobs", body)
		sub.endedAt = time.Now()
	}()
	return sub
}

func (sub *submission) body() []byte {
	type task struct {
		Name string `json:"name"`
		Body string `json:"body"`
	}
	req := struct {
		Template   string `json:"template"`
		Tasks      []task `json:"tasks"`
		DeadlineMS int64  `json:"deadline_ms,omitempty"`
	}{Template: sub.template, DeadlineMS: sub.deadline.Milliseconds()}
	for i := range sub.tasks {
		key := fmt.Sprintf("%s-%d", sub.keyPrefix, i)
		sub.taskKeys = append(sub.taskKeys, key)
		r := upstreamstub.Request{Key: key, ServiceMS: float64(sub.serviceTime) / float64(time.Millisecond), AnswerBytes: sub.resultBytes}
		if sub.changeTask != nil {
			sub.changeTask(i, &r)
		}
		req.Tasks = append(req.Tasks, task{"run", r.Encode()})
	}
	data, err := json.Marshal(req)
	if err != nil {
		panic(err) // impossible: the body has strings and numbers only
	}
	return data
}

// client returns a client for requests from the host. It does not reuse
// connections, so that each request is subject to the current network faults.
func (s *system) client(host string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return s.net.Dialer(host)(ctx, address)
		},
	}}
}

func (sub *submission) post(s *system, url string, body []byte) {
	req, err := http.NewRequestWithContext(sub.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if sub.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", sub.idempotencyKey)
	}
	resp, err := s.client(callerHost).Do(req)
	if err != nil {
		sub.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var from io.Reader = resp.Body
	if sub.slowRead {
		from = slowReader{resp.Body}
	}
	sub.status, sub.header = resp.StatusCode, resp.Header
	if sub.rawBody, err = io.ReadAll(from); err != nil {
		sub.err = err
		return
	}
	sub.err = json.Unmarshal(sub.rawBody, &sub.answer)
}

// request makes a request other than a submission at the callers' interface.
func (s *system) request(method, host, path string) (int, answer) {
	req, err := http.NewRequest(method, "http://"+host+":8000"+path, nil)
	s.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := s.client(callerHost).Do(req)
	s.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	var a answer
	s.Assert(json.NewDecoder(resp.Body).Decode(&a), qt.IsNil)
	return resp.StatusCode, a
}

type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 16<<10)])
}

// succeeded reports whether the caller got a complete answer with status 200.
func (sub *submission) succeeded() bool { return sub.err == nil && sub.status == http.StatusOK }

// expectOutcome waits for the answer and checks its outcome. "done" stands for an
// answer with results, which names no outcome.
func (s *system) expectOutcome(sub *submission, outcome string) {
	s.Helper()
	<-sub.done
	if outcome == "done" {
		s.Check(sub.succeeded(), qt.IsTrue, qt.Commentf("%v %d %.300s", sub.err, sub.status, sub.rawBody))
		return
	}
	s.Check(sub.err, qt.IsNil)
	s.Check(sub.answer.Outcome, qt.Equals, outcome, qt.Commentf("%.300s", sub.rawBody))
}

// checkGuarantees checks the starts and answers of all submissions against
// guarantees 1 to 6.
func (s *system) checkGuarantees() {
	s.Helper()
	started, completed := s.startsByKey(), map[string]bool{}
	for _, st := range s.record.Starts() {
		completed[st.Key] = completed[st.Key] || st.Completed
	}
	s.Check(s.record.Duplicates(), qt.HasLen, 0, qt.Commentf("guarantee 1: a task started twice"))
	ran := map[string]bool{} // Idempotency-Keys of which not every submission was refused
	for _, sub := range s.submissions {
		if sub.idempotencyKey != "" && (sub.err != nil || sub.answer.Outcome != "not_run") {
			ran[sub.idempotencyKey] = true
		}
	}
	for _, sub := range s.submissions {
		describe := func(format string, args ...any) qt.Comment {
			return qt.Commentf("%s: submission %s of %d tasks, status %d, %.200s\n%s", fmt.Sprintf(format, args...),
				sub.keyPrefix, sub.tasks, sub.status, sub.rawBody, formatStarts(s.record.Starts()))
		}
		for i, key := range sub.taskKeys {
			if sub.template != "again" && started[key] > 1 {
				s.Check(started[key], qt.Equals, 1, describe("guarantees 1 and 6: task %d", i))
			}
		}
		if sub.err != nil {
			continue // no answer, so nothing was claimed to the caller
		}
		if sub.status == http.StatusOK {
			s.checkResults(sub, completed, describe)
			continue
		}
		s.Check(sub.answer.Results, qt.HasLen, 0, describe("guarantee 2: partial results"))
		s.Check(sub.answer.Outcome, qt.Matches, "not_run|failed|unknown", describe("guarantee 2: no outcome"))
		if ran[sub.idempotencyKey] {
			continue // the starts belong to another submission of the same key
		}
		listed := sub.answer.Reason != "interrupted" && sub.answer.Reason != "owning_entry_unreachable"
		for i, key := range sub.taskKeys {
			if sub.answer.Outcome == "not_run" || listed && !slices.Contains(sub.answer.MayHaveRun, i) {
				if started[key] > 0 {
					s.Check(started[key], qt.Equals, 0, describe("guarantee 5: task %d", i))
				}
			}
		}
	}
	s.checkLateStarts()
}

// checkResults checks that an answer is complete and belongs to its submission.
func (s *system) checkResults(sub *submission, completed map[string]bool, note func(string, ...any) qt.Comment) {
	s.Helper()
	s.Check(sub.answer.Results, qt.HasLen, sub.tasks, note("guarantee 2: results are missing"))
	for i, r := range sub.answer.Results {
		var got upstreamstub.Answer
		err := json.Unmarshal([]byte(r.Body), &got)
		if err != nil || got.Key != sub.taskKeys[i] || len(got.Filler) != sub.resultBytes || !completed[got.Key] {
			s.Check(got.Key, qt.Equals, sub.taskKeys[i], note("guarantee 4: result %d: %v", i, err))
			s.Check(len(got.Filler), qt.Equals, sub.resultBytes)
			s.Check(completed[got.Key], qt.IsTrue)
		}
	}
}

// checkLateStarts checks that no task started in a data centre that had been out of
// service for longer than enforcedWithin.
func (s *system) checkLateStarts() {
	s.Helper()
	for i, c := range s.changes {
		if c.in {
			continue
		}
		back := time.Now()
		for _, later := range s.changes[i+1:] {
			if later.dataCentre == c.dataCentre && later.in {
				back = later.at
				break
			}
		}
		for _, st := range s.record.Starts() {
			if st.DataCentre == c.dataCentre && st.At.After(c.at.Add(enforcedWithin)) && st.At.Before(back) {
				s.Check(st.At.Sub(c.at) <= enforcedWithin, qt.IsTrue,
					qt.Commentf("guarantee 3: %s started in %s %s after it was taken out of service", st.Task, st.DataCentre, st.At.Sub(c.at)))
			}
		}
	}
}
