// Package entry implements the daemon that accepts jobs from callers, places
// their tasks on agents and returns either the complete result of a job or a
// failure, never a part of the result.
//
// A submission passes through the filters receive, authenticate, deduplicate,
// admit, expand, queue, place, start, collect and answer, in the order given
// by serveSubmission in pipeline.go. A single goroutine, the dispatcher, owns
// the queue, the placement table, the sessions with the agents and the jobs;
// it receives all its input as events.
//
// The tasks of jobs of config.KindJob and config.KindRequest are HTTP tasks, which
// an agent sends to its upstream. Those of config.KindLeased are leased tasks: a
// worker of a pool runs them under a lease. A leased job can be durable. Its
// record is then in the store (package durable), and if the entry that owns the
// job is lost, another entry takes the job over and runs it to its end.
//
// The entry has one session at a time with each agent. If a message in it may have
// been lost, the session is in doubt: the entry opens the next session, in which
// the agent lists the tasks that it has started. A task that is missing from a
// complete list has not run; see session.
package entry
