// Package orders compares the policies that order waiting tasks. It simulates
// the queue of one entry and a pool of workers in virtual time and without
// processes.
//
// The simulation uses the order of package queue, the choice of a worker of
// package placement, the decisions of package admission and the time-outs of
// package entry. Workers are simulated as resources only: messages take no time,
// no task fails, and a cancelled task ends at once. Expected durations are the
// true means. The same options give the same report.
package orders
