// Package observe gives a process its logs, metrics and operators' HTTP
// address: key=value log lines, tally metrics in Prometheus form, health and
// readiness, and a dump of the process's state on request or on SIGUSR1.
package observe
