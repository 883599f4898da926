package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"chicorytray.example/chicorytray/config"
)

// printer writes results as text, or as JSON if json is set.
type printer struct {
	out  io.Writer
	json bool
}

func (p printer) printf(format string, args ...any) { _, _ = fmt.Fprintf(p.out, format, args...) }

func (p printer) printJSON(v any) {
	e := json.NewEncoder(p.out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// printTable writes rows in aligned columns. The first row is the heading.
func (p printer) printTable(rows [][]any) {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// validationReport is the JSON output for a valid file.
type validationReport struct {
	Valid string `json:"valid"`
}

// drainReport is the JSON output of a successful drain.
type drainReport struct {
	Agent string `json:"draining"`
}

// errorReport is the JSON output for an error.
type errorReport struct {
	Error    string           `json:"error"`
	ExitCode int              `json:"exit_code"`
	Problems []string         `json:"problems,omitempty"`
	Stored   *config.Document `json:"stored,omitempty"`
	Proposed *config.Document `json:"proposed,omitempty"`
	// Processes are those that do not report the change.
	Processes []Process `json:"processes,omitempty"`
}

// printError prints an error and returns its exit code.
func (p printer) printError(err error) int {
	f := errorReport{Error: err.Error(), ExitCode: ExitCode(err)}
	var invalid *config.Error
	var conflict *ConflictError
	var unconfirmed *UnconfirmedError
	if errors.As(err, &invalid) {
		for _, problem := range invalid.Problems {
			f.Problems = append(f.Problems, problem.String())
		}
	}
	if errors.As(err, &conflict) {
		f.Stored, f.Proposed = conflict.Stored, conflict.Proposed
	}
	if errors.As(err, &unconfirmed) {
		f.Processes = unconfirmed.Processes
	}
	if p.json {
		p.printJSON(f)
		return f.ExitCode
	}
	switch {
	case invalid != nil:
		// The text before that of the wrapped error names the file.
		p.printf("%sinvalid document:\n", strings.TrimSuffix(err.Error(), invalid.Error()))
		for _, problem := range f.Problems {
			p.printf("  %s\n", problem)
		}
	case conflict != nil:
		p.printConflict(conflict)
	case unconfirmed != nil:
		p.printf("generation %d is stored, but not reported by:\n", unconfirmed.Generation)
		for _, process := range unconfirmed.Processes {
			p.printf("  %s\n", process)
		}
	default:
		p.printf("%v\n", err)
	}
	return f.ExitCode
}

// printConflict prints the fields in which the stored and the proposed document
// differ.
func (p printer) printConflict(c *ConflictError) {
	p.printf("%v\nnothing was changed; the versions differ in:\n", c)
	rows := [][]any{{"FIELD", "STORED", "YOURS"}}
	for _, d := range Differences(c.Stored, c.Proposed) {
		rows = append(rows, []any{d.Field, orNone(d.Before), orNone(d.After)})
	}
	p.printTable(rows)
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// printResult prints the result of a change that was accepted or was not
// necessary. confirmed means that all known processes report it.
func (p printer) printResult(r Result, confirmed bool) {
	if p.json {
		p.printJSON(struct {
			Generation uint64 `json:"generation"`
			WriteID    string `json:"write_id"`
			Changed    bool   `json:"changed"`
			Confirmed  bool   `json:"confirmed"`
			Processes  int    `json:"processes"`
			Pushes     []Push `json:"pushes"`
		}{r.Document.Generation, r.Document.WriteID, r.Changed, confirmed, r.Processes, r.Pushes})
		return
	}
	if r.Changed {
		p.printf("accepted as generation %d (write %s)\n", r.Document.Generation, r.Document.WriteID)
	} else {
		p.printf("unchanged: generation %d already has this content\n", r.Document.Generation)
	}
	for _, push := range r.Pushes {
		if push.Error != "" {
			p.printf("not pushed to entry %s: %s\n", push.Entry, push.Error)
		}
	}
	switch {
	case confirmed && r.Processes == 0:
		p.printf("no process is known, so no process was asked whether it has the document\n")
	case confirmed:
		p.printf("reported by all %d known processes\n", r.Processes)
	}
}

// statusReport is the JSON output of the command status.
type statusReport struct {
	Generation  uint64              `json:"generation"`
	WriteID     string              `json:"write_id"`
	DataCentres []config.DataCentre `json:"data_centres"`
	Survey
}

func (p printer) printStatus(stored StoredDocument, s Survey) {
	var st statusReport
	if d := stored.Document; d != nil {
		st = statusReport{d.Generation, d.WriteID, d.DataCentres, s}
	}
	st.Survey = s
	if p.json {
		p.printJSON(st)
		return
	}
	p.printf("generation %d (write %s)\n\n", st.Generation, orNone(st.WriteID))
	rows := [][]any{{"DATA CENTRE", "REGION", "STATE"}}
	for _, dc := range st.DataCentres {
		rows = append(rows, []any{dc.Name, dc.Region, serviceState(dc.InService)})
	}
	p.printTable(rows)
	p.printf("\n")
	rows = [][]any{{"ENTRY", "DATA CENTRE", "GENERATION", "CONFIRMED", "BASIS", "STORE", "QUEUED", "AGENTS"}}
	for _, e := range s.Entries {
		c := e.Configuration
		rows = append(rows, []any{
			e.Entry.ID, e.Entry.DataCentre, max(e.Generation, c.Generation), formatAge(c.ConfirmationAgeMS), orNone(c.Basis),
			map[bool]string{true: "reached", false: "not reached"}[c.StoreReachable], e.Queue.Tasks, len(e.Agents),
		})
	}
	p.printTable(rows)
	p.printf("\n")
	p.printDurable(s.Entries)
	rows = [][]any{{"KIND", "PROCESS", "DATA CENTRE", "ADMIN", "GENERATION", "STATE"}}
	for _, process := range s.Processes {
		state := process.State
		if process.Error != "" {
			state = "not reached: " + process.Error
		}
		if state == "" {
			state = "ok"
		}
		rows = append(rows, []any{process.Kind, process.ID, process.DataCentre, process.Admin, process.Generation, state})
	}
	p.printTable(rows)
}

// printDurable prints a table of the durable jobs for the entries that report
// them, and nothing if no entry does.
func (p printer) printDurable(entries []EntryState) {
	rows := [][]any{{"ENTRY", "DURABLE JOBS", "RECOVERING", "HELD TASKS", "PENDING WRITES", "OWNERSHIP", "VALID FOR"}}
	for _, e := range entries {
		if d := e.Durable; d != nil {
			rows = append(rows, []any{
				e.Entry.ID, d.Jobs, d.Recovering, d.Held, d.PendingWrites, orNone(d.Epoch), fmt.Sprintf("%d ms", d.ValidMS),
			})
		}
	}
	if len(rows) > 1 {
		p.printTable(rows)
		p.printf("\n")
	}
}

func serviceState(inService bool) string {
	if inService {
		return "in service"
	}
	return "out of service"
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}
