package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/wire"
)

// EntriesPrefix precedes the identifiers of entries in the keys of their
// registrations.
const EntriesPrefix = "entries/"

// Bounds of a Registrar's waits.
const (
	// renewalsPerTTL leaves two further attempts when a renewal fails.
	renewalsPerTTL = 3
	// renewalJitter is the share of the interval by which it is shortened at
	// random, so that entries started together do not call together.
	renewalJitter = 0.1
	minRetryDelay = 100 * time.Millisecond
	// defaultCallTimeout of one call of the service.
	defaultCallTimeout = time.Second
	// minLeaseShare is the share of a lease's TTL that certainly passes before
	// the lease ends, because the service's clock may be 2 % fast.
	minLeaseShare = 0.98
)

// ErrReplaced means that another process has registered under the same key.
var ErrReplaced = merry.Sentinel("store: another process holds the registration")

// RegistrarOptions configure a Registrar.
type RegistrarOptions struct {
	Store Store
	Key   string
	Value []byte
	// TTL of the lease, which is renewed at a third of it.
	TTL time.Duration
	// CallTimeout of one call of the service. 0 means 1 s.
	CallTimeout time.Duration
	// Jitter returns a random duration below its argument; nil uses a random
	// source.
	Jitter func(time.Duration) time.Duration
	// OnChange, if set, is called when the registration is made or removed
	// (err is nil), is lost (ErrLeaseExpired, ErrNotFound or ErrReplaced), or
	// cannot be made or renewed (another error).
	OnChange func(err error)
}

// Registrar keeps one key registered under a lease.
type Registrar struct {
	options RegistrarOptions
	lease   LeaseID // 0 while there is none
	// everRegistered is set once the key was registered. The first registration
	// replaces what an earlier process of this name left; later ones do not,
	// because then the other process is the newer one.
	everRegistered bool
	// expectedRevision is the revision that the last write of the key expectedRevision. While
	// the key still has it, that write has not taken effect.
	expectedRevision uint64
	// leaseValidUntil is when the lease may end, by when its last extension was
	// sent. The zero time stands for no lease.
	leaseValidUntil time.Time

	mu         sync.Mutex
	registered bool
	validUntil time.Time // zero while not registered
}

// NewRegistrar returns a Registrar; Run starts it.
func NewRegistrar(o RegistrarOptions) *Registrar {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.Jitter == nil {
		o.Jitter = rand.N[time.Duration]
	}
	if o.OnChange == nil {
		o.OnChange = func(error) {}
	}
	return &Registrar{options: o}
}

// NewEntryRegistrar returns a Registrar for an entry; options' Key and Value
// are set from ref.
func NewEntryRegistrar(ref wire.EntryRef, o RegistrarOptions) (*Registrar, error) {
	value, err := EncodeEntry(ref)
	if err != nil {
		return nil, err
	}
	o.Key, o.Value = EntriesPrefix+ref.ID, value
	return NewRegistrar(o), nil
}

// entryValue is the JSON form of a registration. The incarnation is text,
// because JSON tools lose digits of integers above 2^53.
type entryValue struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Admin       string `json:"admin"`
	DataCentre  string `json:"data_centre"`
}

// EncodeEntry returns the value of an entry's registration.
func EncodeEntry(ref wire.EntryRef) ([]byte, error) {
	value, err := json.Marshal(entryValue{ref.ID, ref.Incarnation.String(), ref.Address, ref.Admin, ref.DataCentre})
	if err != nil {
		return nil, merry.Prepend(err, "store: encode registration")
	}
	return value, nil
}

// decodeEntry returns the entry that a key registers.
func decodeEntry(kv KV) (wire.EntryRef, bool) {
	var v entryValue
	if json.Unmarshal(kv.Value, &v) != nil || v.ID == "" || EntriesPrefix+v.ID != kv.Key {
		return wire.EntryRef{}, false
	}
	incarnation, err := strconv.ParseUint(v.Incarnation, 16, 64)
	if err != nil || incarnation == 0 {
		return wire.EntryRef{}, false
	}
	return wire.EntryRef{
		ID: v.ID, Incarnation: wire.Incarnation(incarnation), Address: v.Address, Admin: v.Admin, DataCentre: v.DataCentre,
	}, true
}

// Entries returns the entries that are registered, ordered by identifier.
// Registrations that are not an entry's are left out and counted.
func Entries(ctx context.Context, s Store) (refs []wire.EntryRef, invalid int, err error) {
	list, err := s.List(ctx, EntriesPrefix)
	if err != nil {
		return nil, 0, err
	}
	for _, kv := range list {
		ref, ok := decodeEntry(kv)
		if !ok {
			invalid++
			continue
		}
		refs = append(refs, ref)
	}
	return refs, invalid, nil
}

// Registered reports whether the key was registered at the last renewal.
func (r *Registrar) Registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registered
}

// ValidUntil returns the moment until which the registration certainly lasts:
// 0.98 of the TTL after the last successful renewal was sent, which may have
// passed. It is zero while the key is not registered and once Remove has begun.
// It does not cover a newer process that registers under the same key, nor a
// service that lost its state; both show at the next renewal.
func (r *Registrar) ValidUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.validUntil
}

// Run registers the key and renews the registration until ctx ends. The
// registration stays; Remove ends it.
func (r *Registrar) Run(ctx context.Context) {
	interval := r.options.TTL / renewalsPerTTL
	failures := 0
	for ctx.Err() == nil {
		err := r.renew(ctx)
		if ctx.Err() != nil {
			return
		}
		next := interval - r.options.Jitter(time.Duration(renewalJitter*float64(interval)))
		if err == nil {
			failures = 0
		} else {
			failures++
			next = r.backoff(failures, interval)
		}
		wait.For(ctx, next, nil)
	}
}

// Deregister ends the registration by revoking its lease. Call it after Run has
// returned. After an error the registration ends with its lease.
func (r *Registrar) Deregister(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	// The revocation may take effect although its answer is lost.
	r.mu.Lock()
	r.validUntil = time.Time{}
	r.mu.Unlock()
	err := r.withCallTimeout(ctx, func(ctx context.Context) error { return r.options.Store.Revoke(ctx, r.lease) })
	if err != nil && !errors.Is(err, ErrLeaseExpired) {
		return err
	}
	r.lease = 0
	r.updateState(nil, false)
	return nil
}

// renew extends the lease and checks the key, or registers the key again.
func (r *Registrar) renew(ctx context.Context) error {
	err := r.checkRegistration(ctx)
	if errors.Is(err, ErrLeaseExpired) || errors.Is(err, ErrNotFound) {
		r.updateState(err, false)
		err = r.register(ctx)
	}
	r.updateState(err, err == nil || r.Registered() && !errors.Is(err, ErrReplaced))
	return err
}

// updateState records whether the key is registered and tells the owner about
// changes and failures.
func (r *Registrar) updateState(err error, registered bool) {
	r.mu.Lock()
	changed := r.registered != registered
	r.registered = registered
	switch {
	case !registered:
		r.validUntil = time.Time{}
	case err == nil:
		r.validUntil = r.leaseValidUntil
	}
	r.mu.Unlock()
	r.everRegistered = r.everRegistered || registered
	if changed || err != nil && !errors.Is(err, ErrLeaseExpired) && !errors.Is(err, ErrNotFound) {
		r.options.OnChange(err)
	}
}

// checkRegistration extends the lease and looks whether the key holds this process's
// value. The key is read because a service restored from a backup may know the
// lease and have lost the key.
func (r *Registrar) checkRegistration(ctx context.Context) error {
	if r.lease == 0 {
		return ErrLeaseExpired
	}
	sent := time.Now()
	err := r.withCallTimeout(ctx, func(ctx context.Context) error { return r.options.Store.KeepAlive(ctx, r.lease) })
	if err != nil {
		if errors.Is(err, ErrLeaseExpired) {
			r.lease = 0
		}
		return err
	}
	r.recordExtension(sent)
	kv, err := r.readKey(ctx)
	switch {
	case err != nil || bytes.Equal(kv.Value, r.options.Value):
		return err
	case !r.everRegistered && kv.Revision == r.expectedRevision:
		return ErrNotFound // what an earlier process left; the first write failed
	}
	return ErrReplaced
}

// register writes the key under a lease. A write with an unknown outcome is
// settled by the next renewal's check, under the same lease.
func (r *Registrar) register(ctx context.Context) error {
	if r.lease == 0 {
		sent := time.Now()
		err := r.withCallTimeout(ctx, func(ctx context.Context) (err error) {
			r.lease, err = r.options.Store.Grant(ctx, r.options.TTL)
			return err
		})
		if err != nil {
			r.lease = 0
			return err
		}
		r.recordExtension(sent)
	}
	kv, err := r.readKey(ctx)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	if err == nil && r.everRegistered && !bytes.Equal(kv.Value, r.options.Value) {
		return ErrReplaced
	}
	r.expectedRevision = kv.Revision
	return r.withCallTimeout(ctx, func(ctx context.Context) error {
		_, err := r.options.Store.CompareAndSwap(ctx, r.options.Key, kv.Revision, r.options.Value, r.lease)
		return err
	})
}

// recordExtension notes that the lease was granted or recordExtension by a call sent at the
// given time.
func (r *Registrar) recordExtension(sent time.Time) {
	r.leaseValidUntil = sent.Add(time.Duration(minLeaseShare * float64(r.options.TTL)))
}

// readKey returns the key as registered.
func (r *Registrar) readKey(ctx context.Context) (kv KV, err error) {
	err = r.withCallTimeout(ctx, func(ctx context.Context) error {
		kv, err = r.options.Store.Get(ctx, r.options.Key)
		return err
	})
	return kv, err
}

func (r *Registrar) withCallTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	return f(ctx)
}

// backoff returns the wait after a number of failures: exponential with full
// jitter, and never longer than the interval of renewals.
func (r *Registrar) backoff(failures int, interval time.Duration) time.Duration {
	limit := interval
	if shift := failures - 1; shift < 16 { // minRetry<<16 is about two hours
		limit = min(interval, minRetryDelay<<shift)
	}
	return r.options.Jitter(limit)
}
