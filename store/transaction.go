package store

import (
	"errors"
	"fmt"
)

// MaxTransactionEntries is the largest number of entries in one transaction that
// the service accepts: expectations, writes and removals together.
const MaxTransactionEntries = 32

// ErrInvalidTransaction means that a transaction has no entries or more than
// MaxTransactionEntries, or that it names a key twice. It was not carried out.
var ErrInvalidTransaction = errors.New("store: invalid transaction")

// Transaction is a set of changes that take effect together, or not at all. A
// key may occur once among the expectations, and once among the writes and
// removals. A key may be changed without an expectation.
type Transaction struct {
	Expect []Expectation
	Write  []Write
	// Remove lists keys to remove. Keys that do not exist are accepted.
	Remove []string
}

// Expectation is the revision that a key must have; 0 means that the key must
// not exist.
type Expectation struct {
	Key      string
	Revision uint64
}

// Write is a new value of a key.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID // the service removes the key when it ends; 0 for none
}

// EntryCount returns the number of entries that count against
// MaxTransactionEntries.
func (t Transaction) EntryCount() int { return len(t.Expect) + len(t.Write) + len(t.Remove) }

// Validate returns ErrInvalidTransaction if the transaction is not valid, and
// ErrTooLarge if a value exceeds MaxValueBytes.
func (t Transaction) Validate() error {
	if n := t.EntryCount(); n == 0 || n > MaxTransactionEntries {
		return fmt.Errorf("%w: %d entries; want 1 to %d", ErrInvalidTransaction, n, MaxTransactionEntries)
	}
	expected, changed := map[string]bool{}, map[string]bool{}
	for _, e := range t.Expect {
		if err := recordKeyOnce(expected, e.Key, "expected"); err != nil {
			return err
		}
	}
	for _, w := range t.Write {
		if err := recordKeyOnce(changed, w.Key, "changed"); err != nil {
			return err
		}
		if len(w.Value) > MaxValueBytes {
			return fmt.Errorf("%w: key %q has %d bytes; want at most %d", ErrTooLarge, w.Key, len(w.Value), MaxValueBytes)
		}
	}
	for _, key := range t.Remove {
		if err := recordKeyOnce(changed, key, "changed"); err != nil {
			return err
		}
	}
	return nil
}

// recordKeyOnce adds the key to seen, or returns an error if it is there already.
// how says in the error what happens to the key.
func recordKeyOnce(seen map[string]bool, key, how string) error {
	if seen[key] {
		return fmt.Errorf("%w: key %q is %s twice", ErrInvalidTransaction, key, how)
	}
	seen[key] = true
	return nil
}
