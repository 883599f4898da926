package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/store"
)

// maxChangeAttempts limits the attempts to write a change that does not depend on
// the rest of the document and is therefore repeated after a conflict.
const maxChangeAttempts = 5

// StoredDocument is the document in the store and the revision of its key.
type StoredDocument struct {
	Document *config.Document // nil if the store holds none
	Revision uint64
}

// generation returns the generation of the document, or 0 if there is none.
func (s StoredDocument) generation() uint64 {
	if s.Document == nil {
		return 0
	}
	return s.Document.Generation
}

// Load reads the document from the store. A missing document is not an error; an
// invalid one is ErrStoredInvalid.
func (o *Operator) Load(ctx context.Context) (StoredDocument, error) {
	var kv store.KV
	err := o.withCallTimeout(ctx, func(ctx context.Context) (err error) {
		kv, err = o.options.Store.Get(ctx, config.Key)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return StoredDocument{}, nil
	}
	if err != nil {
		return StoredDocument{}, merry.Prepend(err, "ctl: read the document")
	}
	d, err := config.Parse(kv.Value)
	if err != nil {
		return StoredDocument{}, merry.Wrap(ErrStoredInvalid, merry.WithCause(err))
	}
	return StoredDocument{d, kv.Revision}, nil
}

// Result describes a change.
type Result struct {
	// Document is the accepted document, or the stored one if the change had
	// no effect.
	Document *config.Document
	Changed  bool
	// Pushes are the pushes to entries, sorted by the entry's identifier.
	Pushes []Push
	// Processes is the number of known processes. Unless the change returned
	// an error, all of them report the document's generation.
	Processes int
}

// Push is an attempt to send a document to an entry.
type Push struct {
	Entry string `json:"entry"`           // identifier of the entry
	Error string `json:"error,omitempty"` // empty if the entry accepted the document
}

// Apply replaces the stored document with d, whose generation and WriteID name
// the version that d was edited from; without a WriteID the generation alone is
// compared. Apply returns *ConflictError if the store holds another version,
// unless its content equals that of d.
func (o *Operator) Apply(ctx context.Context, d *config.Document) (Result, error) {
	return o.change(ctx, 1, func(stored StoredDocument) (*config.Document, error) {
		if d.EqualContent(stored.Document) {
			return d, nil
		}
		sameBase := d.Generation == stored.generation()
		if sameBase && stored.Document != nil && d.WriteID != "" {
			sameBase = d.WriteID == stored.Document.WriteID
		}
		if !sameBase {
			return nil, &ConflictError{stored.Document, d}
		}
		return d, nil
	})
}

// Edit applies edit to the stored document. It returns *ConflictError if another
// operator changes the document at the same time.
func (o *Operator) Edit(ctx context.Context, edit func(*config.Document) (*config.Document, error)) (Result, error) {
	return o.change(ctx, 1, editStored(edit))
}

// SetInService takes a data centre out of service or brings it back. The change
// does not depend on the rest of the document, so after a conflict it is repeated
// on the new version.
func (o *Operator) SetInService(ctx context.Context, name string, inService bool) (Result, error) {
	return o.change(ctx, maxChangeAttempts, editStored(func(d *config.Document) (*config.Document, error) {
		next := *d
		next.DataCentres = append([]config.DataCentre{}, d.DataCentres...)
		var names []string
		for i := range next.DataCentres {
			if next.DataCentres[i].Name == name {
				next.DataCentres[i].InService = inService
				return &next, nil
			}
			names = append(names, next.DataCentres[i].Name)
		}
		return nil, invalidChange("data centre %q is unknown; known are %q", name, names)
	}))
}

func editStored(edit func(*config.Document) (*config.Document, error)) func(StoredDocument) (*config.Document, error) {
	return func(stored StoredDocument) (*config.Document, error) {
		if stored.Document == nil {
			return nil, invalidChange("the store holds no document; apply one first")
		}
		return edit(stored.Document)
	}
}

func invalidChange(format string, args ...any) error {
	return merry.Wrap(ErrInvalidChange, merry.AppendMessagef(format, args...))
}

// change writes the document that propose returns for the stored one, pushes it
// to the entries and waits until all known processes report it. After a conflict
// it starts again, up to the given number of attempts.
func (o *Operator) change(ctx context.Context, attempts int, propose func(StoredDocument) (*config.Document, error)) (Result, error) {
	var result Result
	for {
		stored, err := o.Load(ctx)
		if err != nil {
			return Result{}, err
		}
		next, err := propose(stored)
		if err != nil {
			return Result{}, err
		}
		result, err = o.write(ctx, stored, next)
		var conflict *ConflictError
		if attempts--; errors.As(err, &conflict) && attempts > 0 {
			continue
		}
		if err != nil {
			return Result{}, err
		}
		break
	}
	err := o.confirm(ctx, &result)
	return result, err
}

// write stores next as the successor of the stored document, unless their content
// is equal.
func (o *Operator) write(ctx context.Context, stored StoredDocument, next *config.Document) (Result, error) {
	if err := o.checkGenerations(ctx, stored, next); err != nil {
		return Result{}, err
	}
	if next.EqualContent(stored.Document) {
		return Result{Document: stored.Document}, nil
	}
	next, err := next.Successor(stored.Document)
	if err != nil {
		return Result{}, invalidChange("%v", err)
	}
	if err := next.Validate(); err != nil {
		return Result{}, err
	}
	if err := o.compareAndSwap(ctx, stored, next); err != nil {
		return Result{}, err
	}
	return Result{Document: next, Changed: true}, nil
}

// checkGenerations returns *HigherGenerationError if a process reports a higher
// generation than the store, because that process would ignore the change. If
// the store has changed since stored was read, it returns *ConflictError instead.
func (o *Operator) checkGenerations(ctx context.Context, stored StoredDocument, next *config.Document) error {
	survey, err := o.Survey(ctx)
	if err != nil {
		return err
	}
	for _, p := range survey.Processes {
		if p.Generation <= stored.generation() {
			continue
		}
		current, err := o.Load(ctx)
		if err != nil {
			return err
		}
		if current.Revision != stored.Revision {
			return &ConflictError{current.Document, next}
		}
		return &HigherGenerationError{p.Kind + " " + p.ID, p.Generation, stored.generation()}
	}
	return nil
}

// compareAndSwap writes next if the key still has base's revision. If the store
// does not answer, it finds out whether the write took effect and repeats it if
// necessary.
func (o *Operator) compareAndSwap(ctx context.Context, base StoredDocument, next *config.Document) error {
	data, err := next.EncodeValue()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.options.Wait)
	defer cancel()
	for outcomeUnknown := false; ; {
		err := o.withCallTimeout(ctx, func(ctx context.Context) error {
			_, err := o.options.Store.CompareAndSwap(ctx, config.Key, base.Revision, data, 0)
			return err
		})
		rejected := errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrTooLarge)
		switch {
		case err == nil:
			return nil
		case !outcomeUnknown && errors.Is(err, store.ErrConflict):
			return o.newConflictError(ctx, next)
		case !outcomeUnknown && rejected:
			return merry.Prepend(err, "ctl: write the document; nothing was changed")
		}
		outcomeUnknown = true
		done, err := o.readBack(ctx, base, next)
		if done || err != nil {
			return err
		}
	}
}

// readBack reads the document until it is known whether a write without an answer
// took effect. It returns true if it did, and false if the write has to be
// repeated: while the key is unchanged, the earlier write may still take effect,
// and only another write based on the same revision rules that out.
func (o *Operator) readBack(ctx context.Context, base StoredDocument, next *config.Document) (bool, error) {
	for {
		stored, err := o.Load(ctx)
		lastRead := fmt.Sprintf("generation %d at revision %d", stored.generation(), stored.Revision)
		if err != nil {
			lastRead = err.Error()
		} else {
			switch generation := stored.generation(); {
			case generation > 0 && stored.Document.WriteID == next.WriteID:
				return true, nil
			case stored.Revision == base.Revision:
				// Pause before the repetition, because the store may be overloaded.
				if o.waitPollInterval(ctx) {
					return false, nil
				}
			case generation == next.Generation:
				return false, &ConflictError{stored.Document, next}
			case generation > next.Generation:
				return false, unknownOutcome("the store now holds generation %d (write %s) by another writer", generation, stored.Document.WriteID)
			}
			// A lower generation comes from a stale read or a restored store; read again.
		}
		if !o.waitPollInterval(ctx) {
			return false, unknownOutcome("generation %d (write %s); last read: %s", next.Generation, next.WriteID, lastRead)
		}
	}
}

func unknownOutcome(format string, args ...any) error {
	return merry.Wrap(ErrUnknownOutcome, merry.AppendMessagef(format, args...))
}

// newConflictError returns a *ConflictError with the document that the store now
// holds.
func (o *Operator) newConflictError(ctx context.Context, proposed *config.Document) error {
	stored, err := o.Load(ctx)
	if err != nil {
		return merry.Prepend(err, "ctl: conflict with another change; nothing was changed")
	}
	return &ConflictError{stored.Document, proposed}
}
