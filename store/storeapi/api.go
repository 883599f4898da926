// Package storeapi defines the HTTP/JSON messages of the platform's key-value
// service. The client in package httpstore and the stand-in in package storestub
// share it.
//
//	GET    /v1/key?key=K                      KV
//	GET    /v1/keys?prefix=P[&after=K]        Keys, only those above K
//	PUT    /v1/key?key=K&expect=N[&lease=L]   Value → KV without its value
//	DELETE /v1/key?key=K&expect=N             Empty
//	POST   /v1/transaction                    Transaction → TransactionReply
//	GET    /v1/verify?key=K&expect=N          VerifyReply, or a conflict
//	GET    /v1/watch?key=K&after=N            KV, when the revision differs
//	POST   /v1/lease                          Grant → Lease
//	PUT    /v1/lease?lease=L                  Empty; extends the lease
//	DELETE /v1/lease?lease=L                  Empty
//
// Reads of keys and watches may be answered with an older state; a verification
// never is. The answer to a verification repeats the key and the revision, which
// is 0 for a missing key.
//
// The service may answer a list in pages. While More is set, the client asks for
// the next page with the last key as the parameter after.
//
// Success is status 200. A failure is an Error with one of the codes in Failures,
// and means that the call was not carried out.
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

// KV is a key with its value and revision. The value is base64 in JSON.
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

// Write is a new value of a key, which is base64 in JSON, and its lease, 0 for
// none.
type Write struct {
	Key   string        `json:"key"`
	Value []byte        `json:"value"`
	Lease store.LeaseID `json:"lease,omitempty"`
}

// TransactionReply is the answer to a transaction that was applied. Entries is the
// number of its entries; it distinguishes the answer from one that a proxy might
// send. Revision is that of the written keys; it may be 0 without writes.
type TransactionReply struct {
	Entries  int    `json:"entries"`
	Revision uint64 `json:"revision"`
}

// VerifyReply is the answer to a verification if the key has the revision.
type VerifyReply struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Value is the body of a write of one key. The value is base64 in JSON.
type Value struct {
	Value []byte `json:"value"`
}

// Grant is the body of a request for a new lease. The TTL is in milliseconds.
type Grant struct {
	TTLMS int64 `json:"ttl_ms"`
}

// Lease is the answer to a request for a new lease.
type Lease struct {
	Lease store.LeaseID `json:"lease"`
}

// Empty is the body of a request or an answer without content.
type Empty struct{}

// Error is the body of a failure.
type Error struct {
	Code string `json:"error"`
}

// Failure is an error of package store with its code and HTTP status.
type Failure struct {
	Err    error
	Code   string
	Status int
}

// Failures lists all failures that the service reports.
var Failures = []Failure{
	{store.ErrNotFound, "not_found", http.StatusNotFound},
	{store.ErrConflict, "conflict", http.StatusConflict},
	{store.ErrLeaseExpired, "lease_expired", http.StatusGone},
	{store.ErrTooLarge, "too_large", http.StatusRequestEntityTooLarge},
	{store.ErrInvalidTransaction, "invalid_transaction", http.StatusUnprocessableEntity},
	{store.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
}
