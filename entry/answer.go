package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

const problemType = "application/problem+json"

// Headers of the entry's own.
const (
	headerJob            = "Chicorytray-Job"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// answer is the whole HTTP answer to a submission.
type answer struct {
	status      int
	contentType string
	header      []wire.Header
	body        []byte
	retryAfter  time.Duration
	job         string
}

// jobAnswer is the body of a successful job, results in the order of its tasks.
type jobAnswer struct {
	Job     string       `json:"job"`
	Results []taskAnswer `json:"results"`
}

// taskAnswer is one task's result. Body holds it when it is valid UTF-8, else
// BodyBase64.
type taskAnswer struct {
	Name       string `json:"name,omitempty"`
	Status     int    `json:"status"`
	Type       string `json:"content_type,omitempty"`
	Body       string `json:"body,omitempty"`
	BodyBase64 []byte `json:"body_base64,omitempty"`
}

// problemAnswer encodes a failure.
func problemAnswer(p *problem) *answer {
	body, err := json.Marshal(p)
	if err != nil { // a problem holds only strings and numbers
		panic(err)
	}
	return &answer{status: p.Status, contentType: problemType, body: body, retryAfter: p.retryAfter, job: p.Job}
}

// successAnswer encodes the results of a job of which every task is done.
func successAnswer(j *job) *answer {
	if j.template.Kind == config.KindRequest {
		r := j.results[0].Response
		return &answer{status: r.Status, header: r.Header, body: r.Body, job: j.id}
	}
	if j.leased != nil {
		return leasedAnswer(j)
	}
	out := jobAnswer{Job: j.id, Results: make([]taskAnswer, len(j.results))}
	for i, r := range j.results {
		a := taskAnswer{Name: j.taskNames[i], Status: r.Response.Status}
		for _, h := range r.Response.Header {
			if http.CanonicalHeaderKey(h.Name) == echo.HeaderContentType {
				a.Type = h.Value
			}
		}
		if utf8.Valid(r.Response.Body) {
			a.Body = string(r.Response.Body)
		} else {
			a.BodyBase64 = r.Response.Body
		}
		out.Results[i] = a
	}
	body, err := json.Marshal(out)
	if err != nil { // jobAnswer holds only strings, numbers and bytes
		panic(err)
	}
	return &answer{status: http.StatusOK, contentType: echo.MIMEApplicationJSON, body: body, job: j.id}
}

// completedAnswer is the body of a job of leased tasks of which all are done.
type completedAnswer struct {
	Job        string `json:"job"`
	Identifier string `json:"identifier"` // that the caller chose
	Tasks      int    `json:"tasks"`
}

func leasedAnswer(j *job) *answer {
	body, err := json.Marshal(completedAnswer{Job: j.id, Identifier: j.leased.identifier, Tasks: j.count})
	if err != nil { // completedAnswer holds only strings and numbers
		panic(err)
	}
	return &answer{status: http.StatusOK, contentType: echo.MIMEApplicationJSON, body: body, job: j.id}
}

// failureAnswer encodes the end of a job that failed.
func failureAnswer(j *job) *answer {
	o := j.outcome()
	status := httpStatus(o)
	p := &problem{
		Status: status, Title: http.StatusText(status), Detail: j.failure.detail,
		Outcome: o, Reason: j.failure.reason, Job: j.id, MayHaveRun: j.mayHaveRun(),
	}
	if o == OutcomeNotRun {
		p.retryAfter = time.Second
	}
	return problemAnswer(p)
}

// hopHeaders apply to one connection and are not forwarded (RFC 9110, 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// write sends the whole answer in one piece with its Content-Length, so that
// the caller can tell a truncated one.
func (a *answer) write(c echo.Context) error {
	h := c.Response().Header()
	for _, f := range a.header {
		name := http.CanonicalHeaderKey(f.Name)
		switch {
		case hopHeaders[name], name == headerRequestID:
		case name == echo.HeaderContentLength && c.Request().Method != http.MethodHead:
		default:
			h.Add(name, f.Value)
		}
	}
	if a.contentType != "" {
		h.Set(echo.HeaderContentType, a.contentType)
	}
	if a.retryAfter > 0 {
		seconds := int64((a.retryAfter + time.Second - 1) / time.Second)
		h.Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	if a.job != "" {
		h.Set(headerJob, a.job)
	}
	if c.Request().Method != http.MethodHead && bodyAllowed(a.status) {
		h.Set(echo.HeaderContentLength, strconv.Itoa(len(a.body)))
	}
	c.Response().WriteHeader(a.status)
	if !bodyAllowed(a.status) {
		return nil
	}
	_, err := c.Response().Write(a.body)
	return err
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
