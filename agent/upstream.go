package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync"
	"time"

	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

const (
	// idleConnTimeout closes idle connections to the upstream before common
	// servers do (60 s or more), because the outcome of a request on a
	// connection that the server closes meanwhile is unknown.
	idleConnTimeout = 30 * time.Second
	// maxResponseHeader limits the size of an upstream's response header, in
	// bytes.
	maxResponseHeader = 64 << 10
	// messageOverhead is the part of the RPC message size limit, in bytes, that
	// is reserved for everything but the response body.
	messageOverhead = 2 * maxResponseHeader
	// upstreamDialTimeout limits the time to connect to the upstream, which is
	// a process on the same worker.
	upstreamDialTimeout = time.Second
)

// Request headers that tell the upstream which task and which attempt it runs.
const (
	headerTask    = "Chicorytray-Task"
	headerAttempt = "Chicorytray-Attempt"
)

// httpExecutor runs a task as one HTTP request to the upstream. It never sends a
// request twice.
type httpExecutor struct {
	address string
	maxBody int64
	dial    func(ctx context.Context, address string) (net.Conn, error)
	client  *http.Client
	// health makes the health checks. It has a connection of its own, so that
	// they do not wait for tasks.
	health *http.Client
}

func newHTTPExecutor(s settings.Agent, dial func(context.Context, string) (net.Conn, error)) *httpExecutor {
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	u := &httpExecutor{address: s.Upstream, maxBody: s.MaxMessageBytes - messageOverhead, dial: dial}
	u.client, u.health = newHTTPClient(u, s.Connections), newHTTPClient(u, 1)
	return u
}

// connect opens a connection to the upstream.
func (u *httpExecutor) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, upstreamDialTimeout)
	defer cancel()
	c, err := u.dial(ctx, u.address)
	if err != nil {
		return nil, err
	}
	return &sealableConn{Conn: c}, nil
}

func newHTTPClient(u *httpExecutor, connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:     func(ctx context.Context, _, _ string) (net.Conn, error) { return u.connect(ctx) },
			MaxConnsPerHost: connections, MaxIdleConns: connections, MaxIdleConnsPerHost: connections,
			IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxResponseHeader,
			DisableCompression: true, // pass the upstream's bytes on unchanged
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // following a redirect would send a second request
		},
	}
}

func (u *httpExecutor) close() {
	u.client.CloseIdleConnections()
	u.health.CloseIdleConnections()
}

// do implements executor. The outcome is wire.OutcomeNotRun only if nothing was
// written to the upstream; the reason is then wire.ReasonUpstreamUnreachable if
// no connection was opened.
func (u *httpExecutor) do(ctx context.Context, t wire.Task) wire.Result {
	tracker := &writeTracker{}
	req, err := u.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: tracker.getConn, GotConn: tracker.gotConn}), t)
	if err != nil {
		return invalidTask(err)
	}
	resp, err := u.client.Do(req)
	if err != nil {
		if !tracker.connRequested() {
			return invalidTask(err) // net/http rejected the request before connecting
		}
		if tracker.sealUnwritten() {
			return notRun(reasonOf(ctx, tracker.unsentReason()), err.Error())
		}
		return unknownOutcome(reasonOf(ctx, wire.ReasonUpstreamError), err)
	}
	defer func() { _ = resp.Body.Close() }()
	return u.readResult(ctx, t, resp)
}

// readResult reads the whole response and returns the task's result. Only a 2xx
// status counts as success; with AnyStatus every status from 200 to 499 does.
func (u *httpExecutor) readResult(ctx context.Context, t wire.Task, resp *http.Response) wire.Result {
	limit := u.maxBody
	if t.MaxResponse > 0 {
		limit = min(limit, t.MaxResponse)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return unknownOutcome(reasonOf(ctx, wire.ReasonUpstreamError), err)
	case int64(len(body)) > limit:
		return wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonTooLarge,
			Detail: fmt.Sprintf("the response exceeds %d bytes", limit)}
	}
	r := wire.Result{Outcome: wire.OutcomeDone, Response: wire.Response{Status: resp.StatusCode, Header: responseHeaders(resp.Header), Body: body}}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if t.AnyStatus {
		success = resp.StatusCode >= 200 && resp.StatusCode < 500
	}
	if !success {
		r.Outcome, r.Reason, r.Detail = wire.OutcomeFailed, wire.ReasonUpstreamError, "status "+strconv.Itoa(resp.StatusCode)
	}
	return r
}

// request builds the request to the upstream. net/http may resend a request
// after a kept-alive connection breaks if the request has no body or can rewind
// it. To prevent that, Body is never nil and GetBody is nil.
func (u *httpExecutor) request(ctx context.Context, t wire.Task) (*http.Request, error) {
	target, err := url.ParseRequestURI(t.Request.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", u.address
	req, err := http.NewRequestWithContext(ctx, t.Request.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	req.Body = &onceBody{rest: t.Request.Body}
	req.ContentLength = int64(len(t.Request.Body))
	req.GetBody = nil
	for _, h := range t.Request.Header {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		switch {
		case name == "Host":
			req.Host = h.Value
		case !hopByHop[name]:
			req.Header.Add(name, h.Value)
		}
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // suppresses net/http's default User-Agent
	}
	req.Header.Set(headerTask, taskName(t))
	req.Header.Set(headerAttempt, strconv.Itoa(t.Attempt))
	return req, nil
}

// taskName returns the task's name in headers and state dumps: job/index.
func taskName(t wire.Task) string { return t.Job + "/" + strconv.Itoa(t.Index) }

// hopByHop has the header fields that are not forwarded: those that concern a
// single connection (RFC 9110, section 7.6.1), those that net/http sets itself,
// and the agent's own.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	headerTask: true, headerAttempt: true,
}

func responseHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for name, values := range h {
		if hopByHop[name] {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// reasonOf returns the reason of a failure: wire.ReasonDeadline or
// wire.ReasonCancelled if ctx has ended, else the given one.
func reasonOf(ctx context.Context, otherwise wire.Reason) wire.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return wire.ReasonDeadline
	case ctx.Err() != nil:
		return wire.ReasonCancelled
	}
	return otherwise
}

func unknownOutcome(r wire.Reason, err error) wire.Result {
	return wire.Result{Outcome: wire.OutcomeUnknown, Reason: r, Detail: err.Error()}
}

// onceBody is a request body that can be read only once.
type onceBody struct{ rest []byte }

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer; it does nothing.
func (b *onceBody) Close() error { return nil }

// sealableConn counts writes and can reject further ones. net/http writes in a
// goroutine of its own, so an abandoned request could otherwise still be written
// after the task was reported as not run.
type sealableConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64 // attempts, successful or not
	sealed bool
}

var errSealed = errors.New("agent: write on a connection whose request was abandoned")

// Write implements net.Conn. It returns errSealed once the connection is sealed.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *sealableConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal rejects all further writes and returns the number of writes attempted so
// far.
func (c *sealableConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// writeTracker records which connections a request was given and whether
// anything was written to them.
type writeTracker struct {
	mu           sync.Mutex
	connRequests int // how often net/http wanted a connection for the request
	conns        []*sealableConn
	writesBefore []uint64
	untracked    bool // a connection was of another type, so its writes are not known
}

func (w *writeTracker) getConn(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connRequests++
}

// connRequested reports whether net/http accepted the request and wanted a
// connection for it.
func (w *writeTracker) connRequested() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connRequests > 0
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := info.Conn.(*sealableConn)
	if !ok {
		w.untracked = true
		return
	}
	w.conns = append(w.conns, c)
	w.writesBefore = append(w.writesBefore, c.writeCount())
}

// unsentReason returns the reason for a request that was not written:
// wire.ReasonUpstreamUnreachable without a connection, wire.ReasonUpstreamError
// if a connection broke.
func (w *writeTracker) unsentReason() wire.Reason {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.conns) == 0 {
		return wire.ReasonUpstreamUnreachable
	}
	return wire.ReasonUpstreamError
}

// sealUnwritten seals the connections of a failed request and reports whether no
// write was attempted on them. Sealing affects no other request, because a
// failed HTTP/1 request closes its connection.
func (w *writeTracker) sealUnwritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	unwritten := !w.untracked
	for i, c := range w.conns {
		if c.seal() != w.writesBefore[i] {
			unwritten = false
		}
	}
	return unwritten
}
