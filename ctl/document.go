package ctl

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/store"
)

// maxChangeAttempts bounds how often a change that does not depend on the rest of the
// document is made again after a conflict.
const maxChangeAttempts = 5

// StoredDocument is the document in the store and its revision.
type StoredDocument struct {
	Document *config.Document // nil when there is none
	Revision uint64
}

// generation returns the stored generation; 0 when there is no document.
func (s StoredDocument) generation() uint64 {
	if s.Document == nil {
		return 0
	}
	return s.Document.Generation
}

// Load reads the document from the store.
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

// Result of a change.
type Result struct {
	// Document is the accepted one, or the stored one if nothing changed.
	Document *config.Document
	Changed  bool
	// Pushes of the document to entries, by identifier.
	Pushes []Push
	// Processes is the number of known processes, which all report the
	// document unless there was an error.
	Processes int
}

// Push is the attempt to give an entry a document.
type Push struct {
	Entry string `json:"entry"`
	Error string `json:"error,omitempty"` // empty when the entry took it
}

// Apply replaces the stored document by d, whose generation and WriteID say
// which version it was made from. It fails with *ConflictError if the store
// holds another one, unless that says the same as d.
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

// Edit changes the stored document. A conflicting change by another operator
// fails with *ConflictError.
func (o *Operator) Edit(ctx context.Context, edit func(*config.Document) (*config.Document, error)) (Result, error) {
	return o.change(ctx, 1, editStored(edit))
}

// SetInService takes a data centre out of service or brings it back. The
// change does not depend on the rest of the document, so it is made again
// after a conflict.
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

// change makes a change, writes it, pushes it to entries and waits until all
// known processes report it.
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

// write stores next as the successor of what is stored, unless it says the
// same.
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

// checkGenerations refuses a change while a reachable process holds a higher
// generation than the store: the process would keep its own. If the store has
// changed meanwhile, the change conflicts instead.
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

// compareAndSwap writes next and, after a lost answer, finds out whether the write
// took effect.
func (o *Operator) compareAndSwap(ctx context.Context, base StoredDocument, next *config.Document) error {
	data, err := next.Encode()
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

// readBack reads until it is clear what became of a doubtful write. It returns
// true if the write took effect, and false if it has to be repeated: while the
// key is unchanged the write may still take effect, and only another write at
// the same revision prevents that.
func (o *Operator) readBack(ctx context.Context, base StoredDocument, next *config.Document) (bool, error) {
	var lastErr error
	for {
		stored, err := o.Load(ctx)
		if err == nil {
			switch generation := stored.generation(); {
			case generation > 0 && stored.Document.WriteID == next.WriteID:
				return true, nil
			case stored.Revision == base.Revision:
				// Not at once: the store may be under load.
				if o.waitPollInterval(ctx) {
					return false, nil
				}
			case generation == next.Generation:
				return false, &ConflictError{stored.Document, next}
			case generation > next.Generation:
				return false, unknownOutcome("the store now holds generation %d (write %s) by another writer", generation, stored.Document.WriteID)
			}
			// A lower generation is a stale read or a restored store.
		}
		lastErr = err
		if !o.waitPollInterval(ctx) {
			return false, unknownOutcome("generation %d, write %s: %v", next.Generation, next.WriteID, lastErr)
		}
	}
}

func unknownOutcome(format string, args ...any) error {
	return merry.Wrap(ErrUnknownOutcome, merry.AppendMessagef(format, args...))
}

// newConflictError returns a ConflictError with the version that came first.
func (o *Operator) newConflictError(ctx context.Context, proposed *config.Document) error {
	stored, err := o.Load(ctx)
	if err != nil {
		return merry.Prepend(err, "ctl: conflict with another change; nothing was changed")
	}
	return &ConflictError{stored.Document, proposed}
}
