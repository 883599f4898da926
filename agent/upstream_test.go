package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// closingServer answers the first request on each connection and closes the
// connection after it has read the second. It counts all requests.
type closingServer struct {
	mu       sync.Mutex
	requests map[string]int // by path
}

func (b *closingServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			for n := 0; ; n++ {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				b.mu.Lock()
				b.requests[req.URL.Path]++
				b.mu.Unlock()
				if n > 0 {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}()
	}
}

func withClosingServer(t *testing.T, test func(c *qt.C, b *closingServer, u *httpExecutor)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := faultnet.New()
		l, err := n.Listen("10.0.2.1:80")
		c.Assert(err, qt.IsNil)
		b := &closingServer{requests: map[string]int{}}
		go b.serve(l)
		s := settings.DefaultAgent()
		s.Upstream = "10.0.2.1:80"
		u := newHTTPExecutor(s, n.Dialer("10.0.1.1"))
		test(c, b, u)
		u.close()
		_ = l.Close()
	})
}

// Guards against a request that net/http sends a second time when the upstream
// closes a kept-alive connection, which would start its task twice.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH"} {
		for _, body := range []string{"", "body"} {
			for _, header := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
				t.Run(strings.Join([]string{method, body, header}, " "), func(t *testing.T) {
					withClosingServer(t, func(c *qt.C, b *closingServer, u *httpExecutor) {
						task := func(path string) wire.Task {
							task := wire.Task{Job: "j", Request: wire.Request{Method: method, Path: path, Body: []byte(body)}}
							if header != "" {
								task.Request.Header = []wire.Header{{Name: header, Value: "k"}}
							}
							return task
						}
						first := u.do(context.Background(), task("/first"))
						c.Check(first.Outcome, qt.Equals, wire.OutcomeDone, qt.Commentf("%+v", first))
						second := u.do(context.Background(), task("/second"))
						c.Check(second.Outcome, qt.Equals, wire.OutcomeUnknown, qt.Commentf("%+v", second))
						c.Check(second.Reason, qt.Equals, wire.ReasonUpstreamError)
						c.Check(b.requests, qt.DeepEquals, map[string]int{"/first": 1, "/second": 1})
					})
				})
			}
		}
	}
}

// Guards against TestRequestIsNeverSentTwice passing without a cause for
// resending: an ordinary request of net/http is sent twice to closingServer.
func TestBreakerProvokesResending(t *testing.T) {
	withClosingServer(t, func(c *qt.C, b *closingServer, u *httpExecutor) {
		for _, path := range []string{"/first", "/second"} {
			resp, err := u.client.Get("http://" + u.address + path)
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
		}
		c.Check(b.requests, qt.DeepEquals, map[string]int{"/first": 1, "/second": 2})
	})
}

// Guards against a definite outcome when it is not known whether the upstream ran
// the task, and against wrong outcomes of the other faults.
func TestUpstreamFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fault   func(r *rig)
		change  func(m *wire.Task)
		outcome wire.Outcome
		reason  wire.Reason
		starts  int
	}{
		{"answers", nil, nil, wire.OutcomeDone, "", 1},
		{"fails", func(r *rig) { r.stub.SetFaults(upstreamstub.Faults{Fail: true}) }, nil, wire.OutcomeFailed, wire.ReasonUpstreamError, 1},
		{"hangs", func(r *rig) { r.stub.SetFaults(upstreamstub.Faults{Hang: true}) }, nil, wire.OutcomeUnknown, wire.ReasonDeadline, 1},
		{"cuts its answer off", func(r *rig) { r.stub.SetFaults(upstreamstub.Faults{Half: true}) }, nil, wire.OutcomeUnknown, wire.ReasonUpstreamError, 1},
		{"dies", func(r *rig) { time.AfterFunc(time.Second/2, func() { r.net.Reset(upstreamHost) }) }, nil, wire.OutcomeUnknown, wire.ReasonUpstreamError, 1},
		{"refuses connections", func(r *rig) { r.net.Cut(agentHost, upstreamHost) }, nil, wire.OutcomeNotRun, wire.ReasonUpstreamUnreachable, 0},
		{"cannot be reached", func(r *rig) { r.net.Partition(agentHost, upstreamHost) }, nil, wire.OutcomeNotRun, wire.ReasonUpstreamUnreachable, 0},
		{"answers too much", nil, func(m *wire.Task) { m.MaxResponse = 10 }, wire.OutcomeFailed, wire.ReasonTooLarge, 1},
		{"status 404 of a job", nil, func(m *wire.Task) { m.Request.Path = upstreamstub.FaultsPath; m.Request.Body = []byte("?") }, wire.OutcomeFailed, wire.ReasonUpstreamError, 0},
		{"status 404 of a request", nil, func(m *wire.Task) {
			m.Request.Path, m.Request.Body, m.AnyStatus = upstreamstub.FaultsPath, []byte("?"), true
		}, wire.OutcomeDone, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withRig(t, setup{}, func(r *rig) {
				e := r.entries[0]
				e.open()
				if tc.fault != nil {
					tc.fault(r)
				}
				m := e.httpRequest("j", time.Second)
				m.Task.Remaining = 5 * time.Second
				if tc.change != nil {
					tc.change(&m.Task)
				}
				begin := time.Now()
				r.expect(<-e.send(m), tc.outcome, tc.reason)
				r.Check(time.Since(begin) <= 5*time.Second, qt.IsTrue)
				r.Check(r.starts("j"), qt.Equals, tc.starts)
				opened := e.open()
				listed := 1
				if tc.outcome == wire.OutcomeNotRun {
					listed = 0 // a task that is absent from a complete list never started
				}
				r.Check(opened.Started, qt.HasLen, listed)
				r.Check(opened.Truncated, qt.IsFalse)
				r.Check(opened.Load.Running, qt.Equals, 0)
			})
		})
	}
}

// Guards against header fields that are changed or lost, and against forwarding
// fields that concern a single connection.
func TestHeadersPass(t *testing.T) {
	c := qt.New(t)
	u := newHTTPExecutor(settings.Agent{Upstream: "127.0.0.1:80"}, nil)
	req, err := u.request(context.Background(), wire.Task{Job: "j", Index: 3, Attempt: 1, Request: wire.Request{
		Method: "GET", Path: "/a%2Fb?q=1", Header: []wire.Header{
			{Name: "accept", Value: "a"}, {Name: "Accept", Value: "b"}, {Name: "Host", Value: "example.org"},
			{Name: "Connection", Value: "close"}, {Name: "Chicorytray-Task", Value: "forged"},
		}}})
	c.Assert(err, qt.IsNil)
	c.Check(req.URL.RequestURI(), qt.Equals, "/a%2Fb?q=1")
	c.Check(req.Host, qt.Equals, "example.org")
	c.Check(req.Header, qt.DeepEquals, http.Header{"Accept": {"a", "b"}, "User-Agent": {""},
		headerTask: {"j/3"}, headerAttempt: {"1"}})
}
