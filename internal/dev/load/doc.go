// Package load is an open-loop load tool for a development deployment. It
// draws a plan of jobs from a seed, sends each at its intended time whether or
// not earlier ones were answered, applies events such as a data centre taken
// out of service, and reports what callers and stand-in upstreams saw.
//
// Of the figures in the report, only the numbers of messages come from the
// daemons' own counters.
package load
