package agent

import (
	"chicorytray.example/chicorytray/internal/wait"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
)

// maxHealthFailures is the number of health checks in a row that must fail
// before the agent leaves. One alone may be a timeout under load. A status of
// 503 counts at once.
const maxHealthFailures = 2

// health is the result of the upstream's health checks.
type health struct {
	ok       bool // the last check succeeded
	failures int  // in a row
	detail   string
}

// checkHealth requests the upstream's health path once per heartbeat.
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

// probe makes one check and returns the status, or 0 and what went wrong.
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

// recordHealth makes the agent leave when its upstream leaves or is down, and return
// when it answers again.
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

// leaveUntilReachable makes the agent leave until its upstream accepts connections
// again. Otherwise an entry would send it the tasks that are not run here at
// the rate of round trips, because an idle agent is its first choice. The
// caller holds mu.
func (a *Agent) leaveUntilReachable() {
	if a.leaving[leaveUnreachable] {
		return
	}
	a.setLeavingLocked(leaveUnreachable, true)
	go a.awaitUpstream(a.taskCtx)
}

// awaitUpstream dials the upstream about twice per heartbeat.
func (a *Agent) awaitUpstream(ctx context.Context) {
	for wait.For(ctx, rand.N(a.timing.Heartbeat.AsDuration())+1, nil) {
		if c, err := a.http.connect(ctx); err == nil {
			_ = c.Close()
			a.setLeaving(leaveUnreachable, false)
			return
		}
	}
}
