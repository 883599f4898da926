package lease

// RunInfo is one run of the table, for the state dump.
type RunInfo struct {
	Run   Run
	State State
	Began bool // the worker accepted the start or listed the run

	Progress Progress
}

// Runs returns the runs of the table in no particular order.
func (r *RunTable) Runs() []RunInfo {
	out := make([]RunInfo, 0, len(r.table))
	for _, e := range r.table {
		out = append(out, RunInfo{e.run, e.state, e.began, e.progress.Progress})
	}
	return out
}
