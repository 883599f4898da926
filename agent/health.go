package agent

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"

	"chicorytray.example/chicorytray/internal/wait"
)

// maxHealthFailures is how many consecutive failed health checks make the agent
// leave. A single one may be a timeout under load. A status of 503 makes it leave
// at once.
const maxHealthFailures = 2

// health is the state of the upstream according to its health checks.
type health struct {
	ok       bool // the last check succeeded
	failures int  // consecutive failed checks
	detail   string
}

// checkHealth checks the upstream once per heartbeat interval until ctx ends. It
// returns at once if no health path is configured.
func (a *Agent) checkHealth(ctx context.Context) {
	if a.settings.HealthPath == "" {
		return
	}
	t := wait.NewTicker(a.timing.Heartbeat.AsDuration())
	defer t.Stop()
	for {
		a.recordHealth(a.probe(ctx))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// probe makes one health check. It returns the HTTP status and its text, or 0
// and the error.
func (a *Agent) probe(ctx context.Context) (status int, detail string) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.CallTimeout.AsDuration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.settings.Upstream+a.settings.HealthPath, nil)
	if err != nil {
		return 0, err.Error()
	}
	resp, err := a.http.health.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseHeader))
	return resp.StatusCode, resp.Status
}

// recordHealth records the result of a health check. The agent leaves when the
// upstream answers 503 or maxHealthFailures checks failed, and stops leaving
// when a check succeeds.
func (a *Agent) recordHealth(status int, detail string) {
	a.mu.Lock()
	ok := status >= 200 && status < 300
	changed := ok != a.health.ok
	a.health.ok, a.health.detail = ok, detail
	if ok {
		a.health.failures = 0
	} else {
		a.health.failures++
	}
	leaving := a.leaving[leaveHealth]
	if ok {
		leaving = false
	} else if status == http.StatusServiceUnavailable || a.health.failures >= maxHealthFailures {
		leaving = true
	}
	a.mu.Unlock()
	if changed {
		a.log.Info().Bool("healthy", ok).Str("detail", detail).Msg("upstream_health_changed")
	}
	a.setLeaving(leaveHealth, leaving)
}

// leaveUntilReachable makes the agent leave until its upstream accepts
// connections again. Otherwise entries would prefer this idle agent and send it
// one task after the other, each refused after one round trip. The caller holds
// mu.
func (a *Agent) leaveUntilReachable() {
	if a.leaving[leaveUnreachable] {
		return
	}
	a.setLeavingLocked(leaveUnreachable, true)
	go a.awaitUpstream(a.taskCtx)
}

// awaitUpstream dials the upstream about twice per heartbeat interval until a
// connection succeeds.
func (a *Agent) awaitUpstream(ctx context.Context) {
	for wait.For(ctx, rand.N(a.timing.Heartbeat.AsDuration())+1, nil) {
		if c, err := a.http.connect(ctx); err == nil {
			_ = c.Close()
			a.setLeaving(leaveUnreachable, false)
			return
		}
	}
}
