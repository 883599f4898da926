package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "deployment %s, %d entries, placement %s, load %.0f %%, burst %.1f, %.0f s, seed %d\n",
		r.Deployment, r.Entries, r.Placement, 100*r.Load, r.Burst, r.DurationS, r.Seed)
	fmt.Fprintf(t, "jobs %d, tasks %d, offered %.1f task-seconds a second, goodput %.1f\n",
		r.Jobs, r.Tasks, r.TaskSeconds/r.DurationS, r.Goodput)

	fmt.Fprintf(t, "\nresponse over ideal, by tasks of the job\tjobs\tmedian\tp90\tp99\tmax\n")
	for _, c := range r.Response {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", c.Name, c.Jobs, c.Median, c.P90, c.P99, c.Max)
	}
	fmt.Fprintf(t, "ms until not_run\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n",
		r.RefusedMS.Jobs, r.RefusedMS.Median, r.RefusedMS.P90, r.RefusedMS.P99, r.RefusedMS.Max)

	fmt.Fprintf(t, "\noutcome\tstatus\treason\tjobs\ttasks\n")
	for _, o := range r.Outcomes {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\n", o.Outcome, o.Status, o.Reason, o.Jobs, o.Tasks)
	}

	fmt.Fprintf(t, "\nwindow\tfrom\tto\ttask-seconds\tof slots\tof possible\n")
	for _, v := range r.Windows {
		fmt.Fprintf(t, "%s\t%.2f s\t%.2f s\t%.1f\t%.3f\t%.3f\n", v.Event, v.FromS, v.ToS, v.TaskSeconds, v.OfSlots, v.OfPossible)
	}

	fmt.Fprintf(t, "\nmessages\trequests\treplies\tper task\twasted\n")
	for _, m := range r.Messages {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%d\n", m.Name, m.Requests, m.Replies, m.PerTask, m.Wasted)
	}
	fmt.Fprintf(t, "all\t\t\t%.3f\t%.4f per task\n", r.MessagesPerTask, r.WastedPerTask)

	fmt.Fprintf(t, "\nstarts %d, duplicate starts %d, late starts %d, false not_run %d, wrong answers %d, missed deadlines %d\n",
		r.Starts, len(r.DuplicateStarts), r.LateStarts, len(r.FalseNotRun), len(r.WrongAnswers), r.MissedDeadlines)
	fmt.Fprintf(t, "store calls a second %.1f\n", r.StoreCallsPerS)
	for _, list := range [][]string{r.FailedEvents, r.DuplicateStarts, r.FalseNotRun, r.WrongAnswers} {
		for _, line := range list {
			fmt.Fprintf(t, "fault: %s\n", line)
		}
	}
	return t.Flush()
}

// BrokeGuarantee reports whether the run broke a guarantee.
func (r *Report) BrokeGuarantee() bool {
	return len(r.DuplicateStarts)+r.LateStarts+len(r.FalseNotRun)+len(r.WrongAnswers) > 0
}
