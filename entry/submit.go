package entry

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

// Submission is a job of identical leased tasks.
type Submission struct {
	// Job is the identifier that the caller chose. While the entry has the
	// job, a submission under the same identifier joins it.
	Job      string
	Template string
	Count    int
	Needs    wire.Resources
	Spec     string
	// Expected duration of one task; 0 takes the template's. A hint.
	Expected time.Duration
	// Deadline from now by which the caller needs the answer; 0 takes the
	// template's.
	Deadline time.Duration
}

// Answer is the end of a submission.
type Answer struct {
	// Outcome is OutcomeNotRun only where it is proved that no task of the
	// submission started and none will.
	Outcome Outcome
	Reason  wire.Reason
	Detail  string
	// RetryAfter is set for a refusal that a later attempt can avoid.
	RetryAfter time.Duration
}

// Submit runs a job and returns when it has ended. The end of ctx cancels the
// job unless another submission joined it.
func (e *Entry) Submit(ctx context.Context, s Submission) Answer {
	_, _ = ctx, s
	return Answer{Outcome: OutcomeNotRun, Reason: reasonNeverRuns}
}

// Cancel ends a job that the entry has, and reports whether it had it.
func (e *Entry) Cancel(job string) bool {
	_ = job
	return false
}

// Running reports whether the entry has the job and it has not ended.
func (e *Entry) Running(job string) bool {
	_ = job
	return false
}

// Pending returns the number of jobs of the template of which no task has
// started.
func (e *Entry) Pending(template string) int {
	_ = template
	return 0
}

// Configuration returns the configuration in force; nil when there is none.
func (e *Entry) Configuration() *config.View { return e.config.view() }
