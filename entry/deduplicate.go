package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/wire"
)

const (
	// claimTimeout bounds the wait for the store to decide about a claim. The
	// store normally answers within milliseconds; during an outage the caller
	// gets a refusal instead of a long wait.
	claimTimeout = 3 * time.Second
	// maxClaimAttempts bounds the attempts of one submission to claim a key. A
	// claim is attempted again if the submission that owned the key was refused.
	maxClaimAttempts = 5
	// maxOwnerAttempts bounds the calls to an owner that cannot be reached.
	maxOwnerAttempts = 3
	// ownerRetryDelay is the wait before a claim or a call to the owner is
	// attempted again.
	ownerRetryDelay = 500 * time.Millisecond
)

// claimer claims idempotency keys; see claims.Claimer. Claim returns the claim that
// owns the key and whether that is c.
type claimer interface {
	Claim(ctx context.Context, c keyClaim) (owner keyClaim, won bool, err error)
	Release(ctx context.Context, c keyClaim) error
	Close()
}

// pendingClaims holds the submissions that are claiming or own a key and are
// neither accepted nor refused yet. Another entry may ask for the job of such a
// submission before the job exists. It is safe for concurrent use.
type pendingClaims struct {
	mu    sync.Mutex
	byJob map[string]*pendingClaim // by job identifier
}

// pendingClaim is the state of one submission that has claimed a key.
type pendingClaim struct {
	account string
	decided chan struct{} // closed when the submission is accepted or refused
	refused bool
}

// begin records that a submission is about to claim a key for the job.
func (c *pendingClaims) begin(id, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byJob[id] = &pendingClaim{account: account, decided: make(chan struct{})}
}

// accept records that the submission was accepted. Its job is known to the
// dispatcher from then on.
func (c *pendingClaims) accept(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if claim := c.byJob[id]; claim != nil {
		close(claim.decided)
		delete(c.byJob, id)
	}
}

// refuse records that the submission was refused before any task started. The
// record is dropped after the duration keep; until then it answers repetitions
// that found the claim before it was released.
func (c *pendingClaims) refuse(id string, keep time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim := c.byJob[id]
	if claim == nil || claim.refused {
		return
	}
	claim.refused = true
	close(claim.decided)
	time.AfterFunc(keep, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.byJob, id)
	})
}

// get returns the record of the account's submission; nil if there is none or
// the submission was accepted.
func (c *pendingClaims) get(id, account string) *pendingClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	if claim := c.byJob[id]; claim != nil && claim.account == account {
		return claim
	}
	return nil
}

// deduplicate claims the submission's Idempotency-Key. If another submission with
// the same request owns the key, this one starts nothing and s.answer is set to
// the answer of the other.
func (e *Entry) deduplicate(ctx context.Context, s *submission) error {
	if s.idempotencyKey == "" {
		return nil
	}
	sum := sha256.Sum256(s.fingerprintInput)
	fingerprint := hex.EncodeToString(sum[:])
	for range maxClaimAttempts {
		c := keyClaim{Account: s.account.Name, Key: s.idempotencyKey, Fingerprint: fingerprint, Job: e.newJobID()}
		owner, won, err := e.claimKey(ctx, c)
		if err != nil {
			return err
		}
		if won {
			s.claim = &c
			return nil
		}
		if owner.Fingerprint != fingerprint {
			return notRun(http.StatusUnprocessableEntity, reasonKeyReused,
				"the idempotency key was used with another request; this request was not run")
		}
		again, err := e.awaitOwnerAnswer(ctx, s, owner.Job)
		if !again {
			return err
		}
		wait.For(ctx, ownerRetryDelay, nil)
	}
	return retryLater(time.Second, reasonStoreUnavailable, "the idempotency key could not be claimed; nothing was run")
}

// claimKey claims the key in the store. On an error the submission must not run,
// because it is not known who owns the key.
func (e *Entry) claimKey(ctx context.Context, c keyClaim) (owner keyClaim, won bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	e.pendingClaims.begin(c.Job, c.Account)
	owner, won, err = e.claims.Claim(ctx, c)
	if err != nil || !won {
		e.pendingClaims.refuse(c.Job, e.settings.Limits.AnswerRetention.AsDuration())
	}
	switch {
	case err == nil:
		return owner, won, nil
	case errors.Is(err, errInvalidClaim):
		return owner, false, notRun(http.StatusBadRequest, reasonInvalid, "the idempotency key is invalid: %v", err)
	default:
		e.log.Warn().Str("job", c.Job).Err(err).Msg("idempotency key not claimed")
		return owner, false, retryLater(time.Second, reasonStoreUnavailable, "the idempotency key cannot be claimed now; nothing was run")
	}
}

// awaitOwnerAnswer waits for the answer of the submission that owns the key and
// sets s.answer. It returns again if that submission was refused, so that the key
// can be claimed once its claim is released.
func (e *Entry) awaitOwnerAnswer(ctx context.Context, s *submission, job string) (again bool, err error) {
	failedCalls := 0
	for ctx.Err() == nil {
		r, err := e.callOwner(ctx, "Entry.Job", wire.JobRequest{Job: job, Account: s.account.Name, Wait: maxJobWait})
		if p := (*problem)(nil); errors.As(err, &p) && p.Reason == reasonOwnerUnreachable {
			if failedCalls++; failedCalls < maxOwnerAttempts {
				wait.For(ctx, ownerRetryDelay, nil)
				continue
			}
		}
		switch {
		case err != nil:
			return false, err
		case !r.Known && r.Outcome == string(OutcomeNotRun):
			return true, nil
		case r.Finished:
			s.answer = answerFromReply(job, r)
			return false, nil
		}
	}
	return false, unknownOutcome(reasonInterrupted, "the caller disconnected")
}

// finishClaim records whether a submission that owns its key was refused. If so,
// the claim is released, so that a repetition can run.
func (e *Entry) finishClaim(s *submission, refused bool) {
	if s.claim == nil {
		return
	}
	if !refused {
		e.pendingClaims.accept(s.claim.Job)
		return
	}
	e.pendingClaims.refuse(s.claim.Job, e.settings.Limits.AnswerRetention.AsDuration())
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	go func() {
		defer cancel()
		if err := e.claims.Release(ctx, *s.claim); err != nil {
			e.log.Warn().Str("job", s.claim.Job).Err(err).Msg("claim not released yet")
		}
	}()
}
