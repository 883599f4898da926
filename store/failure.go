package store

import "errors"

// Failure is why a read of the service returned nothing that can be used. Only
// FailureUnreachable and FailureRefused may be those of a service that answers
// nobody; after the others it may go on accepting changes.
type Failure string

// Failures of a read.
const (
	FailureNone        Failure = ""
	FailureUnreachable Failure = "unreachable" // no part of an answer arrived in time
	FailureRefused     Failure = "refused"     // the service does not serve this process now
	FailureStalled     Failure = "stalled"     // the answer, or one that another call receives, makes no progress or is too slow
	FailureUnusable    Failure = "unusable"    // the answer is too large, malformed or out of range
)

// Errors that tell failed reads apart. An error that matches one of them matches
// ErrUnavailable too; see FailureOf.
var (
	ErrRefused  = errors.New("call refused")
	ErrStalled  = errors.New("answer not received in full")
	ErrUnusable = errors.New("unusable answer")
)

// FailureOf returns the failure of a read by its error. ErrNotFound and ErrConflict
// are answers and no failures.
func FailureOf(err error) Failure {
	switch {
	case err == nil, errors.Is(err, ErrNotFound), errors.Is(err, ErrConflict):
		return FailureNone
	case errors.Is(err, ErrRefused):
		return FailureRefused
	case errors.Is(err, ErrStalled):
		return FailureStalled
	case errors.Is(err, ErrUnusable), errors.Is(err, ErrHistoryDiscarded):
		return FailureUnusable
	}
	return FailureUnreachable
}
