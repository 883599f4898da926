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

// Header fields that the entry itself reads or sets.
const (
	headerJob            = "Chicorytray-Job"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// answer is the complete HTTP response to a submission.
type answer struct {
	status      int
	contentType string
	header      []wire.Header
	body        []byte
	retryAfter  time.Duration // 0 for no Retry-After field
	job         string        // identifier for the Chicorytray-Job field; may be empty
}

// jobAnswer is the response body of a job that succeeded. The results are in the
// order of the job's tasks.
type jobAnswer struct {
	Job     string       `json:"job"`
	Results []taskAnswer `json:"results"`
}

// taskAnswer is the result of one task. The upstream's body is in Body if it is
// valid UTF-8, otherwise in BodyBase64.
type taskAnswer struct {
	Name       string `json:"name,omitempty"`
	Status     int    `json:"status"`
	Type       string `json:"content_type,omitempty"`
	Body       string `json:"body,omitempty"`
	BodyBase64 []byte `json:"body_base64,omitempty"`
}

// problemAnswer returns the response that reports the problem.
func problemAnswer(p *problem) *answer {
	body, err := json.Marshal(p)
	if err != nil { // a problem holds only strings and numbers
		panic(err)
	}
	return &answer{status: p.Status, contentType: problemType, body: body, retryAfter: p.retryAfter, job: p.Job}
}

// successAnswer returns the response of a job whose tasks all succeeded.
func successAnswer(j *job) *answer {
	if j.template.Kind == config.KindRequest {
		r := j.results[0].Response
		return &answer{status: r.Status, header: r.Header, body: r.Body, job: j.id}
	}
	if j.leased != nil {
		return leasedAnswer(j.id, j.leased.identifier, j.count)
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

// completedAnswer is the response body of a job of leased tasks that succeeded.
type completedAnswer struct {
	Job        string `json:"job"`
	Identifier string `json:"identifier"` // chosen by the caller
	Tasks      int    `json:"tasks"`
}

func leasedAnswer(id, identifier string, tasks int) *answer {
	body, err := json.Marshal(completedAnswer{Job: id, Identifier: identifier, Tasks: tasks})
	if err != nil { // completedAnswer holds only strings and numbers
		panic(err)
	}
	return &answer{status: http.StatusOK, contentType: echo.MIMEApplicationJSON, body: body, job: id}
}

// failureAnswer returns the response of a job that failed.
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

// hopHeaders are the hop-by-hop header fields, which are not forwarded (RFC
// 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// write sends the response with a Content-Length, so that the caller can detect
// a truncated body.
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

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
