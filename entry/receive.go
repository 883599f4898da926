package entry

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/strictjson"
	"chicorytray.example/chicorytray/wire"
)

// maxRequestIDBytes limits the X-Request-Id that a caller chooses.
const maxRequestIDBytes = 128

// maxIdempotencyKeyBytes limits an Idempotency-Key.
const maxIdempotencyKeyBytes = 255

// jobRequest is the body of POST /v1/jobs.
type jobRequest struct {
	Template string        `json:"template"`
	Tasks    []taskRequest `json:"tasks,omitempty"`
	// DeadlineMS shortens the template's deadline, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// ExpectedMS is a hint about the duration of one task, in milliseconds.
	ExpectedMS int64 `json:"expected_ms,omitempty"`

	// The following fields belong to a job of leased tasks, which has no Tasks.

	// Job is the identifier that the caller chooses. A submission under the
	// identifier of an open job joins that job. If it is empty, the entry makes
	// an identifier.
	Job string `json:"job,omitempty"`
	// Count is the number of tasks, at least 1.
	Count int `json:"count,omitempty"`
	// Needs are the resources that each task needs; nil means those of the
	// template.
	Needs *config.Needs `json:"needs,omitempty"`
	// Spec is passed to the workers unchanged.
	Spec string `json:"spec,omitempty"`
	// Durable asks for a durable job: the entry answers once the job is stored,
	// and the job runs to its end even if entries, agents or workers fail.
	Durable bool `json:"durable,omitempty"`
}

// taskRequest requests one run of a task that the template defines. If neither
// Body nor BodyBase64 is set, the template's body is sent.
type taskRequest struct {
	Name       string            `json:"name"`
	Header     map[string]string `json:"header,omitempty"`
	Body       *string           `json:"body,omitempty"`
	BodyBase64 []byte            `json:"body_base64,omitempty"`
}

// submission is a caller's request with the state that the filters add to it.
type submission struct {
	kind             config.Kind
	requestID        string
	token            string
	idempotencyKey   string // Idempotency-Key; empty if the request has none
	request          jobRequest
	forwardedRequest wire.Request // request to the upstream, for KindRequest only
	fingerprintInput []byte       // must be the same in a repetition under the same key
	arrived          time.Time

	view     *config.View // configuration in force when the token was checked
	account  *config.Account
	template *config.Template
	deadline time.Duration
	// expected is the duration of a leased task that the caller declared; 0 for
	// none.
	expected time.Duration
	workload workload // set for a leased job
	caller   *caller  // set for a leased job that is not durable
	job      *job
	forward  *outgoingForward // set instead of job if another entry runs the job
	received bool             // forwarded by another entry, so not forwarded again
	stays    bool             // no peer took the job, so it is admitted here or refused
	claim    *keyClaim        // set when the submission owns its key
	answer   *answer
}

// receive reads the complete request and checks it against the size limits.
func (e *Entry) receive(c echo.Context, kind config.Kind) (*submission, error) {
	r := c.Request()
	s := &submission{kind: kind, requestID: c.Response().Header().Get(headerRequestID), arrived: e.clock.Now()}
	// The server's limit on the time to read a request must not end the wait for
	// its answer. The error is ignored: a recorder in tests has no deadlines.
	defer func() { _ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{}) }()
	s.token, _ = strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), "Bearer ")
	s.idempotencyKey = r.Header.Get(headerIdempotencyKey)
	if len(s.idempotencyKey) > maxIdempotencyKeyBytes {
		return s, notRun(http.StatusBadRequest, reasonInvalid, "%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	body, err := readBody(r, e.settings.Limits.MaxBodyBytes)
	if err != nil {
		return s, err
	}
	if kind == config.KindRequest {
		s.request.Template = c.Param("template")
		s.forwardedRequest = forwardedRequest(r, body, s.requestID)
		s.fingerprintInput = fmt.Appendf(nil, "%s %s\n%s", s.forwardedRequest.Method, s.forwardedRequest.Path, body)
		return s, nil
	}
	s.fingerprintInput = body
	s.request, err = decodeJob(body)
	return s, err
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body exceeds %d bytes", limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, bodyError(err)
	}
	if int64(len(body)) > limit {
		return nil, notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body exceeds %d bytes", limit)
	}
	return body, nil
}

// minTaskBytes is the size of the shortest task in a list of a body. Decoding takes
// memory for each element of the list, also if it is no task and shorter.
const minTaskBytes = len(`{"name":"a"},`)

// decodeJob decodes and checks the body of POST /v1/jobs. An unknown field is an
// error, because a misspelled field that is ignored would change what runs.
func decodeJob(body []byte) (jobRequest, error) {
	var req jobRequest
	if n := strictjson.LargestArray(body); n > 1+len(body)/minTaskBytes {
		return req, notRun(http.StatusBadRequest, reasonInvalid, "the body is not a job: a list of %d elements in %d bytes", n, len(body))
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return req, notRun(http.StatusBadRequest, reasonInvalid, "the body is not a job: %v", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return req, notRun(http.StatusBadRequest, reasonInvalid, "the body holds more than one JSON value")
	}
	switch {
	case req.Template == "":
		return req, notRun(http.StatusBadRequest, reasonInvalid, "template is missing")
	case req.DeadlineMS < 0:
		return req, notRun(http.StatusBadRequest, reasonInvalid, "deadline_ms is negative")
	case req.ExpectedMS < 0:
		return req, notRun(http.StatusBadRequest, reasonInvalid, "expected_ms is negative")
	}
	for i, t := range req.Tasks {
		if t.Name == "" {
			return req, notRun(http.StatusBadRequest, reasonInvalid, "tasks[%d].name is missing", i)
		}
		if t.Body != nil && t.BodyBase64 != nil {
			return req, notRun(http.StatusBadRequest, reasonInvalid, "tasks[%d] has both body and body_base64", i)
		}
	}
	return req, nil
}

// forwardedRequest returns the caller's request as it is sent to the upstream. It
// leaves out hop-by-hop headers and the Authorization header, whose token is only
// for the entry.
func forwardedRequest(r *http.Request, body []byte, requestID string) wire.Request {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/requests/")
	if _, rest, ok := strings.Cut(path, "/"); ok {
		path = "/" + rest
	} else {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	out := wire.Request{Method: r.Method, Path: path, Body: body}
	dropped := map[string]bool{}
	for _, v := range r.Header.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range r.Header {
		switch {
		case hopHeaders[name], dropped[name], name == echo.HeaderAuthorization, name == echo.HeaderContentLength,
			name == headerRequestID:
			continue
		}
		for _, v := range values {
			out.Header = append(out.Header, wire.Header{Name: name, Value: v})
		}
	}
	out.Header = append(out.Header, wire.Header{Name: headerRequestID, Value: requestID})
	return out
}

// requestID returns the caller's X-Request-Id if it can be used in a log line
// and a header, else a new identifier.
func requestID(r *http.Request) string {
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		return rand.Text()
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' || b == '"' || b == '=' {
			return rand.Text()
		}
	}
	return id
}
