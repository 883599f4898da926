// Package durable keeps the records of durable jobs in the platform's key-value
// service: leased jobs that are accepted once and then run to their end whatever
// fails. Section 14 of docs/design.md describes the protocol.
//
// Record, End, Batch, Owner and Orphans decide and do no I/O. Keeper applies
// them to a store.Store: it writes changes in batches, holds the ownership
// lease, and takes over the jobs of entries that are gone.
//
// Calls of the store, which has a budget of 400 writes and 2,000 reads a second
// for all entries:
//
//   - While the entry has never met a durable job: one List at the start and one
//     every 5 minutes (two if there is an open record).
//   - The first durable job begins an epoch: Grant, CompareAndSwap and a scan.
//     Afterwards one KeepAlive a second, and a scan every 27 to 30 s. A scan is a
//     List of the open records and, if there are any or a peer was lost, one of
//     the epochs; a List may be read in pages of 1,000 keys, each a call.
//   - A job: 3 of the 32 entries of a transaction for its creation, 2 for each
//     state that is due, and 4 for its end. An entry makes at most 40 transactions
//     a second (CommitInterval), and all entries together 320. While the entry
//     ends jobs, one Grant a minute for the lease of the ends.
//   - A takeover: 2 of the 32 entries, one more for each old epoch in the
//     transaction and one for the own epoch, so up to 15 jobs in a transaction.
//     While there are orphans, or a lost peer has an epoch, or the store has the
//     key of an epoch that this entry lost: a scan each second.
//   - A conflict: one transaction for each of its jobs, and for those that
//     conflict alone a Get of the open record, one of the end if there is none,
//     and one of the own epoch's key after a creation or a takeover; the same
//     number of Verify calls if the store is not linearizable.
//   - During an outage: at most 4 attempts a second to renew until the validity
//     has ended, then one or two attempts a second to begin an epoch; a
//     transaction is repeated after 50 to 1,000 ms, a scan after 500 to 1,000 ms.
//   - Lookup: one Get, two if there is no open record. Presences: one List a
//     second, and a Get for each job that is not open. If the store is not
//     linearizable, one Verify for each key that does not exist; Verify costs as
//     much as a write.
package durable
