// Package upstreamstub is a stand-in for an upstream. It serves tasks over
// HTTP with a bounded number of slots and with service times that the request
// gives or that are drawn. It records every start. On request it fails, hangs,
// truncates its answers, slows down, refuses connections or reports itself as
// leaving.
//
// Tests check the guarantees about starts against this record, because it is
// independent of the daemons' own state.
package upstreamstub
