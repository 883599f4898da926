// Package leasestub is a stand-in for a worker that runs leased tasks. It keeps
// its own clock, leases, fencing tokens, run numbers and ends, and shows
// faults. What it really ran is recorded in Evidence, which several workers may
// share. Like the real worker it does not enforce its capacity unless told to.
//
// The stand-in measures time with the standard library, so that in a bubble of
// testing/synctest it runs in virtual time.
package leasestub
