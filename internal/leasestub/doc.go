// Package leasestub is a stand-in for a worker that runs leased tasks. It
// implements the worker's clock, leases, fencing tokens, run numbers and list of
// ended runs, and injects faults. It records in Evidence what really ran; several
// workers may share one Evidence. Like a real worker it starts tasks above its
// capacity unless Options.Enforce is set.
//
// It promises no more than a worker does; docs/decisions/stand-ins.md compares the two
// point by point.
//
// The stand-in takes the time from package time, so that it runs in virtual time
// inside a bubble of testing/synctest.
package leasestub
