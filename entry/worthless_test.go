package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

// Guards against a job that is answered as failed although no task failed: the
// bench counted such answers as lost jobs. A job that has not started is refused
// when it is worth nothing any more; one that has started goes on to its
// caller's deadline, and is then unknown.
func TestJobIsGivenUpOnlyBeforeItStarts(t *testing.T) {
	// Worthless after 3 x (2 x 200 ms + 100 ms) and half of 200 ms.
	const worthless = 1600 * time.Millisecond
	for _, tc := range []struct {
		name  string
		idle  bool // a worker is there
		took  time.Duration
		want  Outcome
		after time.Duration
	}{
		{"never started", false, 0, OutcomeNotRun, worthless},
		{"ends late", true, 3 * time.Second, OutcomeDone, 3 * time.Second},
		{"deadline", true, 8 * time.Second, OutcomeUnknown, 5 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(h *harness) {
				e := h.leasedEntry(func(t *config.Template) { t.SlackFactor, t.TargetMS = 2, 100 })
				if tc.idle {
					h.worker(1).set(fixed(script{took: tc.took}))
				}
				settle()
				begin := time.Now()
				s := h.submitted(e, Submission{Job: "1f", Template: "step", Count: 2, Deadline: 5 * time.Second})
				h.Check(s.wait().Outcome, qt.Equals, tc.want)
				h.Check(s.ended.Sub(begin), qt.Equals, tc.after)
				h.Check(s.answer.RetryAfter > 0, qt.Equals, tc.want == OutcomeNotRun)
				if tc.want == OutcomeNotRun {
					h.Check(s.answer.Reason, qt.Equals, wire.ReasonDeadline)
				}
			})
		})
	}
}
