package clientlimit

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/ingest"
	"chicorytray.example/chicorytray/internal/wait"
)

// reportInterval is the interval at which Report updates the metrics.
const reportInterval = time.Second

// Report updates the metrics of a budget until ctx ends: the gauges read_bytes and
// client_connections, and the counters reads_refused, connections_rejected and
// connections_evicted. It returns at once without a budget.
func Report(ctx context.Context, b *ingest.Budget, scope tally.Scope) {
	if b == nil {
		return
	}
	if scope == nil {
		scope = tally.NoopScope
	}
	var last ingest.Counts
	for wait.For(ctx, reportInterval, nil) {
		c := b.Counts()
		scope.Gauge("read_bytes").Update(float64(c.Bytes))
		scope.Gauge("client_connections").Update(float64(c.Connections))
		scope.Counter("reads_refused").Inc(int64(c.Refused - last.Refused))
		scope.Counter("connections_rejected").Inc(int64(c.Rejected - last.Rejected))
		scope.Counter("connections_evicted").Inc(int64(c.Evicted - last.Evicted))
		last = c
	}
}
