package entry

import (
	"context"
	"errors"

	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

// keyClaim says that a job owns an idempotency key of an account.
type keyClaim struct{ Key, Account, Fingerprint, Job string }

var errInvalidClaim = errors.New("entry: invalid claim")

// noClaims refuses every claim. It stands in until package claims is merged.
type noClaims struct{}

func newClaimer(store.Store, settings.Entry) claimer { return noClaims{} }

// Claim reports that the key was not claimed.
func (noClaims) Claim(context.Context, keyClaim) (keyClaim, bool, error) {
	return keyClaim{}, false, errors.ErrUnsupported
}

// Release does nothing.
func (noClaims) Release(context.Context, keyClaim) error { return nil }

// Close does nothing.
func (noClaims) Close() {}
