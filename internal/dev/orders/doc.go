// Package orders compares the orders of waiting tasks by simulation: the queue
// of one entry and a pool of workers, in virtual time and without processes.
//
// The order, the choice of a worker, admission and the rule of giving up are those
// of packages queue, placement, admission and entry. Workers are resources only:
// messages take no time, no run fails, and a stopped run ends at once. Expected
// durations are the true means. The same options give the same report.
package orders
