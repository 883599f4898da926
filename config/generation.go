package config

import (
	"crypto/rand"
	"errors"
)

// MaxGeneration is the largest generation. Larger integers lose digits in JSON
// tools that hold numbers as 64-bit floating point.
const MaxGeneration = 1<<53 - 1

// ErrGenerationExhausted means that no higher generation exists.
var ErrGenerationExhausted = errors.New("config: the document has the highest generation")

// Supersedes reports whether d takes precedence over the document in force,
// which may be nil. Only a higher generation does, so that no process ever
// reverts to an older one; a document without a generation never does.
func (d *Document) Supersedes(inForce *Document) bool {
	return d != nil && d.Generation > inForce.generation()
}

// Diverges reports whether two documents have one generation and different
// content. This happens when the service was restored from a backup and then
// accepted a change, and must be reported to operators.
func (d *Document) Diverges(o *Document) bool {
	return d != nil && o != nil && d.Generation == o.Generation && !d.EqualContent(o)
}

// Successor returns a copy of d that replaces current, which is nil when there
// is no document yet: its generation is one higher and its WriteID is new.
func (d *Document) Successor(current *Document) (*Document, error) {
	if current.generation() >= MaxGeneration {
		return nil, ErrGenerationExhausted
	}
	next := *d
	next.Generation = current.generation() + 1
	next.WriteID = rand.Text()
	return &next, nil
}

func (d *Document) generation() uint64 {
	if d == nil {
		return 0
	}
	return d.Generation
}
