package observe

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes its values to the
// Prometheus reporter. The values in a scrape are at most this old.
const reportInterval = time.Second

// NewMetrics returns a scope for the metrics of a daemon, the HTTP handler that
// Prometheus scrapes, and a closer that stops the reporting. Each call creates a
// registry of its own, so that several daemons can run in one process.
func NewMetrics(prefix string) (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
		// Registering two metrics of the same name with different tags is an
		// error of the caller. Without this handler it would end the process;
		// with it the second metric is dropped.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
