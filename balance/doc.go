// Package balance decides which of several entries gets free capacity, and how much
// of a pool's capacity one entry may count on.
//
// An agent orders the backlogs that entries announced with ByTasks or BySlack and
// offers its free slots in that order.
//
// Every entry reports its Load of each pool, taken from a Window and its queue, in the
// replies to the heartbeats that entries exchange anyway. Loads keeps those of the
// others with their ages and computes from them the expected wait, this entry's share
// of the capacity, and the room at the others. Entries need not agree: each decides by
// what it knows, and agents, which see all backlogs, decide who gets a slot.
//
// The package reads no clock and takes no lock; the caller serialises its calls.
package balance
