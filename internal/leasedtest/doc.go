// Package leasedtest tests whole systems that run leased tasks: several entries
// and agents with their real code beside stand-ins of workers, over a network in
// memory and in virtual time.
//
// What ran is counted at the workers, and answers at the callers.
package leasedtest
