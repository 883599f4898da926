// Package e2e tests the programs as separate processes on loopback: two
// entries, three agents and the store stand-in. The tests cause faults by
// signals. The upstream stand-ins run in the test's process and count the
// starts.
package e2e
