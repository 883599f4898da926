// Package systemtest tests whole systems. Several entries and agents run their
// real code over an in-memory network and in virtual time.
//
// The checks do not rely on what entries and agents report of themselves: starts
// are recorded at the upstreams, answers at the caller, and documents in the
// store.
package systemtest
