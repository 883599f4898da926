package entry

import (
	"chicorytray.example/chicorytray/claims"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

// keyClaim is the claim of a job to an idempotency key of an account.
type keyClaim = claims.Claim

var errInvalidClaim = claims.ErrInvalidClaim

func newClaimer(kv store.Store, s settings.Entry) claimer {
	return claims.New(claims.Options{
		Store: kv, Retention: s.Limits.ClaimRetention.AsDuration(), CallTimeout: s.Timing.StoreTimeout.AsDuration(),
	})
}
