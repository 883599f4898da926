// Package entry implements the daemon that accepts jobs from callers, places
// their tasks on agents and returns either the complete result of a job or a
// failure, never a part of the result.
//
// A submission passes through the filters receive, authenticate, deduplicate,
// admit, expand, queue, place, start, collect and answer, in the order given
// by serveSubmission in pipeline.go. A single goroutine, the dispatcher, owns
// the queue, the placement table, the sessions with the agents and the jobs;
// it receives all its input as events.
package entry
