package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	Field    string // dotted JSON path, for example "timing.gate"
	Value    string // as given; empty when the field is missing
	Accepted string // what would have been accepted
}

// Error names the field, the value and the accepted values.
func (p *Problem) Error() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: missing or empty; accepted: %s", p.Field, p.Accepted)
	}
	return fmt.Sprintf("%s: %s is not accepted; accepted: %s", p.Field, clip(p.Value), p.Accepted)
}

// maxShownBytes bounds the part of a rejected value that an error repeats.
const maxShownBytes = 80

func clip(s string) string {
	if len(s) > maxShownBytes {
		s = s[:maxShownBytes] + "..."
	}
	return fmt.Sprintf("%q", s)
}

// Error holds every problem found in one file.
type Error struct {
	File     string // empty when the settings did not come from a file
	Problems []*Problem
}

// Error lists all problems, one a line.
func (e *Error) Error() string {
	name := e.File
	if name == "" {
		name = "settings"
	}
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = name + ": " + p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems.
func (e *Error) Unwrap() []error {
	errs := make([]error, len(e.Problems))
	for i, p := range e.Problems {
		errs[i] = p
	}
	return errs
}

// problems collects faults while a document is read and checked.
type problems []*Problem

func (ps *problems) add(field, value, accepted string) {
	*ps = append(*ps, &Problem{Field: field, Value: value, Accepted: accepted})
}

func (ps *problems) has(field string) bool {
	for _, p := range *ps {
		if p.Field == field {
			return true
		}
	}
	return false
}

// merge adds the problems of o whose field has none yet, so that a value that
// could not be decoded is not reported a second time as missing.
func (ps *problems) merge(o problems) {
	for _, p := range o {
		if !ps.has(p.Field) {
			*ps = append(*ps, p)
		}
	}
}

func (ps problems) err(file string) error {
	if len(ps) == 0 {
		return nil
	}
	return &Error{File: file, Problems: ps}
}
