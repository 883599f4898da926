// Package entry is the daemon that accepts jobs from callers, places their
// tasks on agents and answers each caller completely or with a failure.
//
// A submission passes through the filters receive, authenticate, deduplicate,
// admit, expand, queue, place, start, collect and answer; see serve in
// pipeline.go for their order. One goroutine, the dispatcher, owns the queue,
// the placement table, the agents' sessions and the jobs, and takes all its
// input as events.
package entry
