// Package durable keeps the records of durable jobs in the platform's key-value
// service: leased jobs that are accepted once and then run to their end whatever
// fails. Section 14 of docs/design.md describes the protocol.
//
// Record, End, Batch, Owner and Orphans decide and do no I/O. Keeper applies
// them to a store.Store: it writes changes in batches, holds the ownership
// lease, and takes over the jobs of entries that are gone.
package durable
