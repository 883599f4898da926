// Package storeapi defines the HTTP/JSON messages of the platform's key-value
// service. The adapter and the stand-in share it.
//
//	GET    /v1/key?key=K                      KV
//	GET    /v1/keys?prefix=P[&after=K]        Keys, those above K
//	PUT    /v1/key?key=K&expect=N[&lease=L]   Value → KV without the value
//	DELETE /v1/key?key=K&expect=N             Empty
//	POST   /v1/transaction                    Transaction → Transacted
//	GET    /v1/verify?key=K&expect=N          Verified, or a conflict
//	GET    /v1/watch?key=K&after=N            KV, when the revision differs
//	POST   /v1/lease                          Grant → Lease
//	PUT    /v1/lease?lease=L                  Empty; extends the lease
//	DELETE /v1/lease?lease=L                  Empty
//
// Reads of keys and watches may be answered with an older state; a verification
// never is. Its answer repeats the key and the revision, 0 for a missing key.
//
// A list may be answered in pages: while More is set, the next page begins above
// the last key.
//
// Success is status 200. A failure has one of the codes below in an Error, and
// says that the call was not carried out.
package storeapi

import (
	"net/http"

	"chicorytray.example/chicorytray/store"
)

// Paths of the service.
const (
	PathKey         = "/v1/key"
	PathKeys        = "/v1/keys"
	PathTransaction = "/v1/transaction"
	PathVerify      = "/v1/verify"
	PathWatch       = "/v1/watch"
	PathLease       = "/v1/lease"
)

// Query parameters. ParamAfter is a revision in a watch and a key in a list.
const (
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamExpect = "expect"
	ParamLease  = "lease"
	ParamAfter  = "after"
)

// KV is a key, its value in base64 and its revision.
type KV struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// Keys is one page of a list of keys, ordered by key.
type Keys struct {
	Keys []KV `json:"keys"`
	More bool `json:"more,omitempty"`
}

// Transaction is the body of a transaction; see store.Transaction.
type Transaction struct {
	Expect []Expectation `json:"expect,omitempty"`
	Write  []Write       `json:"write,omitempty"`
	Remove []string      `json:"remove,omitempty"`
}

// Expectation is the revision that a key must have, 0 for a missing key.
type Expectation struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write is a key's new value in base64 and its lease.
type Write struct {
	Key   string        `json:"key"`
	Value []byte        `json:"value"`
	Lease store.LeaseID `json:"lease,omitempty"`
}

// TransactionReply is the answer to a transaction that was applied. Entries is the
// number of its entries, which tells the answer from one of another process in
// between; the revision may be 0 without writes.
type TransactionReply struct {
	Entries  int    `json:"entries"`
	Revision uint64 `json:"revision"`
}

// VerifyReply is the answer to a verification that found the revision.
type VerifyReply struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Value is the body of a write, in base64.
type Value struct {
	Value []byte `json:"value"`
}

// Grant asks for a lease; its TTL is in milliseconds.
type Grant struct {
	TTLMS int64 `json:"ttl_ms"`
}

// Lease names a lease.
type Lease struct {
	Lease store.LeaseID `json:"lease"`
}

// Empty is the answer of calls that return nothing.
type Empty struct{}

// Error is the body of a failure.
type Error struct {
	Code string `json:"error"`
}

// Failure pairs an error of package store with its code and HTTP status.
type Failure struct {
	Err    error
	Code   string
	Status int
}

// Failures are all failures that the service reports.
var Failures = []Failure{
	{store.ErrNotFound, "not_found", http.StatusNotFound},
	{store.ErrConflict, "conflict", http.StatusConflict},
	{store.ErrLeaseExpired, "lease_expired", http.StatusGone},
	{store.ErrTooLarge, "too_large", http.StatusRequestEntityTooLarge},
	{store.ErrInvalidTransaction, "invalid_transaction", http.StatusUnprocessableEntity},
	{store.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
}
