package config

import (
	"crypto/rand"
	"errors"
)

// MaxGeneration is the highest generation. JSON tools that hold numbers in 64-bit
// floating point round larger integers.
const MaxGeneration = 1<<53 - 1

// ErrGenerationExhausted means that no higher generation exists.
var ErrGenerationExhausted = errors.New("config: the document has the highest generation")

// Supersedes reports whether d replaces the document in force, which may be nil.
// Only a document with a higher generation does, so that no process ever reverts
// to an older one. A document of generation 0 never does.
func (d *Document) Supersedes(inForce *Document) bool {
	return d != nil && d.Generation > inForce.generation()
}

// Diverges reports whether two documents have the same generation but different
// content. This happens when the key-value service was restored from a backup
// and then accepted a change. It must be reported to operators.
func (d *Document) Diverges(o *Document) bool {
	return d != nil && o != nil && d.Generation == o.Generation && !d.EqualContent(o)
}

// Successor returns a copy of d that replaces current: its generation is one
// higher than that of current and its WriteID is new. current is nil if there is
// no document yet. The error is ErrGenerationExhausted.
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
