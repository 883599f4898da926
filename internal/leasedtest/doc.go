// Package leasedtest tests whole systems that run leased tasks. Several entries and
// agents run their real code, with stand-ins for the workers, over an in-memory
// network and in virtual time.
//
// The checks do not rely on what entries and agents report of themselves: runs are
// recorded at the workers, and answers at the callers.
package leasedtest
