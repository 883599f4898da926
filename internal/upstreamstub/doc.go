// Package upstreamstub is a stand-in for an upstream. It serves tasks over
// HTTP with a bounded number of slots and service times given by the request
// or drawn, records every start, and can be made to fail, hang, cut its answers
// short, slow down, refuse connections or leave.
//
// Its record of starts is the evidence for the guarantees about starts: it is
// independent of the daemons' own state.
package upstreamstub
