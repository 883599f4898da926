package observe

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands its values to the Prometheus
// reporter. A scrape sees values that are at most this old.
const reportInterval = time.Second

// NewMetrics returns a scope for a process's metrics, the handler that
// Prometheus scrapes, and a closer that ends the reporting. Each call has a
// registry of its own, so that several daemons can run in one process.
func NewMetrics(prefix string) (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
		// Two metrics of one name and different tags are a fault of the
		// caller; the second is dropped instead of ending the process.
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
