// Package durable stores the records of durable jobs in the platform's key-value
// service. Durable jobs are leased jobs that, once accepted, run to their end
// whatever fails. Section 14 of docs/design.md describes the protocol.
//
// An open job has an open record, which names its owner: an epoch, which is a
// period of ownership of one entry process. The epoch's key exists as long as
// the entry renews its ownership lease. An ended job has an end record. Jobs
// whose epoch has no key any more are orphans, and another entry takes them
// over.
//
// Record, EndRecord, Batch, Ownership and Orphans hold the rules and do no I/O.
// Manager applies them to a store.Store: it writes changes in batches, renews
// the ownership lease, and takes over orphans.
//
// The store has a budget of 400 writes and 2,000 reads a second for all entries.
// An entry makes these calls:
//
//   - While the entry has never had or seen a durable job: one List at the start
//     and one every 5 minutes (two if there is an open record).
//   - The first durable job begins an epoch: Grant, CompareAndSwap and a scan.
//     Afterwards one KeepAlive a second, and a scan every 27 to 30 s. A scan is a
//     List of the open records and, if there are any or a peer was lost, one of
//     the epochs. A List may be read in pages of 1,000 keys, each of them a call.
//   - For each job, 3 of the 32 entries of a transaction for its creation, 2 for
//     each update, and 4 for its end. An entry makes at most 40 transactions a
//     second (CommitInterval), and all entries together 320. While the entry ends
//     jobs, one Grant a minute for the lease of the end records.
//   - For each takeover, 2 of the 32 entries of a transaction, one more for each
//     old epoch in the transaction and one for the own epoch, so a transaction
//     takes over up to 15 jobs. A scan each second while there are orphans, a
//     lost peer has an epoch, or the store has the key of an epoch that this
//     entry lost.
//   - After a conflict, one transaction for each of its jobs. For each job that
//     conflicts alone, a Get of the open record, one of the end record if there
//     is no open one, and one of the own epoch's key after a creation or a
//     takeover; the same number of Verify calls if the store is not linearizable.
//   - During an outage, at most 4 attempts a second to renew the lease until the
//     ownership has expired, then one or two attempts a second to begin an epoch.
//     A transaction is repeated after 50 to 1,000 ms, a scan after 500 to
//     1,000 ms.
//   - For Lookup, one Get, or two if there is no open record. For Presences, one
//     List a second, and a Get for each job that is not open. If the store is not
//     linearizable, one Verify for each key that does not exist; Verify costs as
//     much as a write.
package durable
