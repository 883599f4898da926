// Package systemtest tests whole systems: several entries and agents with
// their real code, over a network in memory and in virtual time.
//
// Evidence is counted outside the processes under test: starts at the
// upstreams, answers at the caller, and the documents in the store.
package systemtest
