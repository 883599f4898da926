package ctl

import (
	"errors"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/store"
)

// Exit codes of chicorytrayctl.
const (
	ExitOK = 0
	// ExitFailure means any failure that has no other exit code.
	ExitFailure = 1
	// ExitUsage means wrong arguments; nothing was done.
	ExitUsage = 2
	// ExitInvalid means that a document or a change is invalid; nothing was
	// changed.
	ExitInvalid = 3
	// ExitConflict means that another change came first; nothing was changed.
	ExitConflict = 4
	// ExitUnconfirmed means that the change was accepted or was not necessary,
	// but some known processes do not report it.
	ExitUnconfirmed = 5
	// ExitUnavailable means that the store did not carry out the command;
	// nothing was changed.
	ExitUnavailable = 6
	// ExitUnknown means that it is unknown whether the change was accepted.
	ExitUnknown = 7
	// ExitHigherGeneration means that a process holds a higher generation
	// than the store; nothing was changed.
	ExitHigherGeneration = 8
	// ExitProcess means that a process is unknown or cannot be reached.
	ExitProcess = 9
)

// Errors of an Operator. Match them with errors.Is.
var (
	// ErrUnknownOutcome means that it is unknown whether a change was accepted.
	ErrUnknownOutcome = merry.Sentinel("ctl: it is unknown whether the change was accepted")
	// ErrStoredInvalid means that the store holds an invalid document.
	ErrStoredInvalid = merry.Sentinel("ctl: the stored document is invalid")
	// ErrProcess means that a process is unknown or cannot be reached.
	ErrProcess = merry.Sentinel("ctl: process")
	// ErrInvalidChange means that a change cannot be applied to the document.
	ErrInvalidChange = merry.Sentinel("ctl: invalid change")
)

// ConflictError means that the store holds another document than the one on which
// the change is based. Nothing was changed.
type ConflictError struct {
	Stored   *config.Document // nil if the store holds none
	Proposed *config.Document
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Stored == nil {
		return fmt.Sprintf("ctl: conflict: the change is based on generation %d, but the store holds no document", e.Proposed.Generation)
	}
	return fmt.Sprintf("ctl: conflict: the store holds generation %d (write %s), but the change is based on another version",
		e.Stored.Generation, e.Stored.WriteID)
}

// HigherGenerationError means that a process holds a higher generation than the
// store, which was probably restored from a backup. Entries write the higher
// generation back to the store; a change before that would be lost.
type HigherGenerationError struct {
	Process    string // kind and identifier
	Generation uint64 // held by the process
	Stored     uint64 // held by the store
}

// Error implements error.
func (e *HigherGenerationError) Error() string {
	return fmt.Sprintf("ctl: %s holds generation %d and the store generation %d; "+
		"try again when an entry has written the higher generation back to the store", e.Process, e.Generation, e.Stored)
}

// UnconfirmedError lists the processes that did not report at least Generation
// within the wait.
type UnconfirmedError struct {
	Generation uint64
	Processes  []Process
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	lines := make([]string, len(e.Processes))
	for i, p := range e.Processes {
		lines[i] = p.String()
	}
	return fmt.Sprintf("ctl: generation %d is not reported by: %s", e.Generation, strings.Join(lines, "; "))
}

// LeavingError lists the entries that did not report Agent as leaving within the
// wait, although the agent was told to leave. Cause is set if no entry answered the
// last survey; Entries are then those of the last one that an entry answered.
type LeavingError struct {
	Agent   string
	Entries []Process
	Cause   error
}

// Error implements error.
func (e *LeavingError) Error() string {
	names := make([]string, len(e.Entries))
	for i, p := range e.Entries {
		names[i] = p.ID
	}
	text := fmt.Sprintf("ctl: agent %s was told to leave; entries that do not report it as leaving: %q", e.Agent, names)
	if e.Cause != nil {
		text += fmt.Sprintf("; last survey: %v", e.Cause)
	}
	return text
}

// ExitCode returns the exit code for the error of a command; nil is ExitOK.
func ExitCode(err error) int {
	var invalid *config.Error
	var conflict *ConflictError
	var higher *HigherGenerationError
	var unconfirmed *UnconfirmedError
	var leaving *LeavingError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &unconfirmed), errors.As(err, &leaving):
		return ExitUnconfirmed
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &higher):
		return ExitHigherGeneration
	case errors.Is(err, ErrUnknownOutcome):
		return ExitUnknown
	case errors.As(err, &invalid), errors.Is(err, ErrInvalidChange), errors.Is(err, ErrStoredInvalid):
		return ExitInvalid
	case errors.Is(err, ErrProcess):
		return ExitProcess
	case errors.Is(err, store.ErrUnavailable):
		return ExitUnavailable
	}
	return ExitFailure
}
