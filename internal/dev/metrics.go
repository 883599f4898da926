package dev

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/uber-go/tally/v4"
)

// metricsHandler lists the counters and gauges of a test scope. The scopes that
// are used in production cannot be read back.
func metricsHandler(scope tally.TestScope) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s := scope.Snapshot()
		var lines []string
		for _, c := range s.Counters() {
			lines = append(lines, fmt.Sprintf("%s %d", c.Name(), c.Value()))
		}
		for _, g := range s.Gauges() {
			lines = append(lines, fmt.Sprintf("%s %g", g.Name(), g.Value()))
		}
		slices.Sort(lines)
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
	})
}
