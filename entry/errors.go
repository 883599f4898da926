package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// Errors of the package. Match them with errors.Is.
var (
	// ErrStopped means that the entry has ended.
	ErrStopped = errors.New("entry: stopped")
	// ErrOptions means that New was called with unusable options.
	ErrOptions = errors.New("entry: invalid options")
)

// Outcome is what callers are told about a submission that has no results.
type Outcome string

// Outcomes of a failed submission.
const (
	// OutcomeNotRun means that no task started and none will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that tasks ran and the submission failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeAccepted means that a durable job is stored and will run to its end.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeDone means that every task ended with success.
	OutcomeDone Outcome = outcomeDone
	// OutcomeUnknown means that tasks may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reasons that only entries give; see wire.Reason for the others.
const (
	reasonInvalid          wire.Reason = "invalid_request"
	reasonTooLarge         wire.Reason = "request_too_large"
	reasonTokenRejected    wire.Reason = "token_not_accepted"
	reasonTemplateNotFound wire.Reason = "template_not_found"
	reasonJobNotFound      wire.Reason = "job_not_found"
	reasonNoConfiguration  wire.Reason = "no_configuration"
	reasonStopping         wire.Reason = "entry_stopping"
	reasonCanNeverRun      wire.Reason = "can_never_run"
	reasonKeyReused        wire.Reason = "idempotency_key_reused"
	reasonStoreUnavailable wire.Reason = "store_unavailable"
	reasonInterrupted      wire.Reason = "interrupted"
	reasonAnswerTooLarge   wire.Reason = "answer_too_large"
	reasonJobReused        wire.Reason = "job_identifier_reused"
	reasonOwnerUnreachable wire.Reason = "owning_entry_unreachable"
)

// problem is a failure as callers see it (RFC 9457, application/problem+json).
type problem struct {
	Status  int         `json:"status"`
	Title   string      `json:"title"`
	Detail  string      `json:"detail,omitempty"`
	Outcome Outcome     `json:"outcome"`
	Reason  wire.Reason `json:"reason"`
	Job     string      `json:"job,omitempty"`
	// MayHaveRun lists the tasks that ran or may have run, by index.
	MayHaveRun []int `json:"may_have_run,omitempty"`

	retryAfter time.Duration
}

// Error makes a problem usable as an error inside the package.
func (p *problem) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", p.Status, p.Outcome, p.Reason, p.Detail)
}

// notRun is a refusal of a submission of which no task started.
func notRun(status int, reason wire.Reason, format string, args ...any) *problem {
	return &problem{
		Status: status, Title: http.StatusText(status), Outcome: OutcomeNotRun,
		Reason: reason, Detail: fmt.Sprintf(format, args...),
	}
}

// retryLater is notRun with status 503 and a Retry-After.
func retryLater(after time.Duration, reason wire.Reason, format string, args ...any) *problem {
	p := notRun(http.StatusServiceUnavailable, reason, format, args...)
	p.retryAfter = after
	return p
}

// unknownOutcome is a failure of a submission whose tasks may have run.
func unknownOutcome(reason wire.Reason, format string, args ...any) *problem {
	return &problem{
		Status: http.StatusGatewayTimeout, Title: http.StatusText(http.StatusGatewayTimeout),
		Outcome: OutcomeUnknown, Reason: reason, Detail: fmt.Sprintf(format, args...),
	}
}

// httpStatus gives the HTTP status of a job that ended without an answer.
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
