// Package observe provides a process with logs, metrics and an HTTP handler for
// operators: log lines of key=value pairs, tally metrics in the Prometheus format,
// health and readiness checks, and a dump of the process's state on request or on
// SIGUSR1.
package observe
