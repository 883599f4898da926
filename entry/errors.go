package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// Errors of the package; match them with errors.Is.
var (
	// ErrStopped means that the entry has ended.
	ErrStopped = errors.New("entry: stopped")
	// ErrOptions means that the options are invalid, or that Run was called twice.
	ErrOptions = errors.New("entry: invalid options")
)

// Outcome is the outcome of a submission as callers receive it.
type Outcome string

// Outcomes of a submission.
const (
	// OutcomeNotRun means that no task has started and none will start.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that tasks ran and the job then failed or was cancelled,
	// or that a job of leased tasks was cancelled.
	OutcomeFailed Outcome = "failed"
	// OutcomeAccepted means that a durable job is stored and will run to its end.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeDone means that all tasks succeeded.
	OutcomeDone Outcome = outcomeDone
	// OutcomeUnknown means that tasks may have run, or may still run.
	OutcomeUnknown Outcome = "unknown"
)

// Reasons that only entries use; see wire.Reason for the others.
const (
	reasonInvalid          wire.Reason = "invalid_request"
	reasonTooLarge         wire.Reason = "request_too_large"
	reasonTokenRejected    wire.Reason = "token_not_accepted"
	reasonTemplateNotFound wire.Reason = "template_not_found"
	reasonJobNotFound      wire.Reason = "job_not_found"
	reasonNoConfiguration  wire.Reason = "no_configuration"
	reasonStopping         wire.Reason = "entry_stopping"
	reasonSuspended        wire.Reason = "entry_suspended"
	reasonCanNeverRun      wire.Reason = "can_never_run"
	reasonKeyReused        wire.Reason = "idempotency_key_reused"
	reasonStoreUnavailable wire.Reason = "store_unavailable"
	reasonInterrupted      wire.Reason = "interrupted"
	reasonAnswerTooLarge   wire.Reason = "answer_too_large"
	reasonJobReused        wire.Reason = "job_identifier_reused"
	reasonForwardLost      wire.Reason = "forward_lost"
	reasonForwardLimit     wire.Reason = "forward_limit"
	reasonForwardOpen      wire.Reason = "forward_open"
	reasonOwnerUnreachable wire.Reason = "owning_entry_unreachable"
)

// problem is the response body for a failure (RFC 9457, application/problem+json).
// It also is the error type of the filters.
type problem struct {
	Status  int         `json:"status"`
	Title   string      `json:"title"`
	Detail  string      `json:"detail,omitempty"`
	Outcome Outcome     `json:"outcome"`
	Reason  wire.Reason `json:"reason"`
	Job     string      `json:"job,omitempty"`
	// MayHaveRun lists the indexes of the tasks that ran or may have run.
	MayHaveRun []int `json:"may_have_run,omitempty"`

	retryAfter time.Duration // 0 for no Retry-After field
}

// Error returns the status, the outcome, the reason and the detail.
func (p *problem) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", p.Status, p.Outcome, p.Reason, p.Detail)
}

// notRun returns the problem of a submission that was refused before any task
// started.
func notRun(status int, reason wire.Reason, format string, args ...any) *problem {
	return &problem{
		Status: status, Title: http.StatusText(status), Outcome: OutcomeNotRun,
		Reason: reason, Detail: fmt.Sprintf(format, args...),
	}
}

// retryLater returns a notRun problem with status 503 and a Retry-After field.
func retryLater(after time.Duration, reason wire.Reason, format string, args ...any) *problem {
	p := notRun(http.StatusServiceUnavailable, reason, format, args...)
	p.retryAfter = after
	return p
}

// unknownOutcome returns the problem, with status 504, of a submission whose tasks
// may have run.
func unknownOutcome(reason wire.Reason, format string, args ...any) *problem {
	return &problem{
		Status: http.StatusGatewayTimeout, Title: http.StatusText(http.StatusGatewayTimeout),
		Outcome: OutcomeUnknown, Reason: reason, Detail: fmt.Sprintf(format, args...),
	}
}

// httpStatus returns the HTTP status for the outcome of a job that failed.
func httpStatus(o Outcome) int {
	switch o {
	case OutcomeNotRun:
		return http.StatusServiceUnavailable
	case OutcomeFailed:
		return http.StatusBadGateway
	default:
		return http.StatusGatewayTimeout
	}
}
