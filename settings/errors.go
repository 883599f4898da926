package settings

import (
	"fmt"
	"strings"

	"chicorytray.example/chicorytray/internal/strictjson"
)

// Error holds all problems of one file. Each names the field and the accepted
// values.
type Error struct {
	File     string // empty when the settings did not come from a file
	Problems []strictjson.Problem
}

// Error returns all problems, one per line.
func (e *Error) Error() string {
	name := e.File
	if name == "" {
		name = "settings"
	}
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = name + ": " + p.String()
	}
	return strings.Join(lines, "\n")
}

// problems collects the problems that the checks of settings find.
type problems []strictjson.Problem

func (ps *problems) add(field, value, accepted string) {
	fault := fmt.Sprintf("%s is not accepted; accepted: %s", quoteTruncated(value), accepted)
	if value == "" {
		fault = "missing or empty; accepted: " + accepted
	}
	*ps = append(*ps, strictjson.Problem{Field: field, Fault: fault})
}

// merge adds the problems of o about fields that have none yet, so that a value
// that could not be decoded is not reported again as missing. It adds nothing if
// the whole document could not be decoded.
func (ps *problems) merge(o problems) {
	known := map[string]bool{}
	for _, p := range *ps {
		known[p.Field] = true
	}
	if known[""] {
		return
	}
	for _, p := range o {
		if !containsFieldOrParent(known, p.Field) {
			*ps = append(*ps, p)
		}
	}
}

// containsFieldOrParent reports whether the set has the field or an object that
// contains it.
func containsFieldOrParent(set map[string]bool, field string) bool {
	for field != "" {
		if set[field] {
			return true
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return false
}

func (ps problems) err(file string) error {
	if len(ps) == 0 {
		return nil
	}
	return &Error{File: file, Problems: ps}
}

// maxShownBytes is the largest part of a rejected value that an error message
// shows, in bytes.
const maxShownBytes = 80

func quoteTruncated(s string) string {
	if len(s) > maxShownBytes {
		s = s[:maxShownBytes] + "..."
	}
	return fmt.Sprintf("%q", s)
}
