package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"chicorytray.example/chicorytray/internal/strictjson"
)

const (
	// MaxValueBytes is the size of the largest document that the platform's
	// key-value service holds as one value, in bytes.
	MaxValueBytes = 1 << 20
	// MaxDocumentBytes is the size of the largest document that processes
	// exchange, in bytes. A document that was translated from another format is
	// larger than the value that it stands for: 1 MiB of the shortest routes makes
	// 4.9 MB (platform, TestLargestDesiredStates).
	MaxDocumentBytes = 8 << 20
)

// Error lists every problem of a document.
type Error struct{ Problems []strictjson.Problem }

// maxProblemsShown bounds the length of an error's text. A document of 1 MiB can have
// some 50,000 problems.
const maxProblemsShown = 10

// Error formats the first problems on one line, for logs.
func (e *Error) Error() string {
	var texts []string
	for i, p := range e.Problems {
		if i == maxProblemsShown {
			texts = append(texts, fmt.Sprintf("%d more", len(e.Problems)-i))
			break
		}
		texts = append(texts, p.String())
	}
	return "config: invalid document: " + strings.Join(texts, "; ")
}

// Parse decodes and validates a document. Unknown fields are problems. The error
// is an *Error with all problems of the document.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, documentTooLarge(len(data))
	}
	if d := parseCanonical(data); d != nil {
		return d, nil
	}
	d := new(Document)
	problems := strictjson.Decode(data, d)
	// A field that could not be decoded has its zero value, which validation
	// would report as a second problem.
	undecoded := make(map[string]bool, len(problems))
	for _, p := range problems {
		undecoded[p.Field] = true
	}
	if !undecoded[""] {
		for _, p := range validate(d) {
			if !containsFieldOrParent(undecoded, p.Field) {
				problems = append(problems, p)
			}
		}
	}
	if len(problems) > 0 {
		return nil, &Error{problems}
	}
	return d, nil
}

// parseCanonical parses a valid document in the form that Encode writes, and
// returns nil for any other input. A document that is equal after it was encoded
// again has no unknown, repeated or null fields, so that the strict decoder, which
// takes four times as long, is needed only for documents that people wrote.
func parseCanonical(data []byte) *Document {
	d := new(Document)
	if json.Unmarshal(data, d) != nil {
		return nil
	}
	encoded, err := d.marshal("")
	if err != nil || !bytes.Equal(encoded, data) || len(validate(d)) > 0 {
		return nil
	}
	return d
}

// containsFieldOrParent reports whether the set has the field or a field that
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

// Validate checks the document. The error is an *Error with all problems.
func (d *Document) Validate() error {
	if problems := validate(d); len(problems) > 0 {
		return &Error{problems}
	}
	return nil
}

// EncodeValue encodes the document for the key-value service. The error is that of
// Encode, or an *Error if the result is larger than MaxValueBytes.
func (d *Document) EncodeValue() ([]byte, error) {
	data, err := d.Encode()
	if err == nil && len(data) > MaxValueBytes {
		return nil, documentTooLarge(len(data))
	}
	return data, err
}

// Encode returns the document as JSON on one line. If d is valid, Parse of the
// result returns an equal document. The error is an *Error if the result is
// larger than MaxDocumentBytes.
func (d *Document) Encode() ([]byte, error) {
	data, err := d.marshal("")
	if err != nil {
		return nil, err
	}
	if len(data) > MaxDocumentBytes {
		return nil, documentTooLarge(len(data))
	}
	return data, nil
}

// EncodeAfter encodes the document as the successor of the one in force, which has
// the given generation (0 if there is none, or if it has to be renewed). A document with the same content keeps
// the generation in force, so that processes that read it at different times agree;
// any other gets the generation next. The error is an *Error if the document is
// invalid or too large.
func (d *Document) EncodeAfter(generation uint64, inForce []byte, next uint64) ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	successor := *d
	successor.Generation = generation
	encoded, err := successor.Encode()
	if err != nil || generation > 0 && bytes.Equal(encoded, inForce) {
		return encoded, err
	}
	successor.Generation = next
	return successor.Encode()
}

// EncodeIndent returns the document as indented JSON, for people to read and edit.
func (d *Document) EncodeIndent() ([]byte, error) { return d.marshal("  ") }

func (d *Document) marshal(indent string) ([]byte, error) {
	c := *d
	// Nil slices are encoded as null, which Parse does not accept.
	if c.DataCentres == nil {
		c.DataCentres = []DataCentre{}
	}
	if c.Accounts == nil {
		c.Accounts = []Account{}
	}
	if c.Templates == nil {
		c.Templates = []Template{}
	}
	c.Accounts = append([]Account{}, c.Accounts...)
	for i := range c.Accounts {
		if c.Accounts[i].TokenSHA256 == nil {
			c.Accounts[i].TokenSHA256 = []string{}
		}
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", indent)
	if err := e.Encode(&c); err != nil {
		return nil, fmt.Errorf("config: encode: %w", err)
	}
	return bytes.TrimRight(b.Bytes(), "\n"), nil
}

func documentTooLarge(n int) error {
	return &Error{[]strictjson.Problem{{
		Fault: fmt.Sprintf("%d bytes; at most %d are accepted between processes and %d as a value of the key-value service",
			n, MaxDocumentBytes, MaxValueBytes),
	}}}
}

// Equal reports whether both documents have the same content, generation and
// WriteID.
func (d *Document) Equal(o *Document) bool {
	if d == nil || o == nil {
		return d == o
	}
	a, errA := d.marshal("")
	b, errB := o.marshal("")
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// EqualContent reports whether both documents are equal apart from their
// generation and WriteID.
func (d *Document) EqualContent(o *Document) bool {
	if d == nil || o == nil {
		return d == o
	}
	a, b := *d, *o
	a.Generation, a.WriteID = b.Generation, b.WriteID
	return a.Equal(&b)
}
