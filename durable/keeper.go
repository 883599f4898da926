package durable

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/store"
)

// Errors of a Keeper.
var (
	// ErrNotStored means that the write certainly did not and will not take effect.
	ErrNotStored = errors.New("durable: not stored")
	// ErrUnknown means that it is not known whether the write took effect.
	ErrUnknown = errors.New("durable: it is unknown whether the write took effect")
	// ErrOtherWork means that the identifier is in use for other work.
	ErrOtherWork = errors.New("durable: the identifier is in use for other work")
	// ErrInvalidEpoch means that the entry may not own durable jobs now.
	ErrInvalidEpoch = errors.New("durable: the ownership lease is not valid")
	// ErrUnreadable means that a record cannot be decoded. It is never overwritten.
	ErrUnreadable = errors.New("durable: stored record is unreadable")
)

// Options of a Keeper.
type Options struct {
	Store       store.Store
	Entry       string        // identifier of this entry
	Incarnation string        // of its process
	CallTimeout time.Duration // of one call of the store
	// CommitInterval between the beginnings of transactions; 0 means 25 ms.
	CommitInterval time.Duration
	// Entries returns the identifiers of the entries that are registered in
	// the store, this one included, and whether each is reachable.
	Entries func() map[string]bool
	Handler Handler
	Log     zerolog.Logger
	Metrics tally.Scope
	// Jitter returns a random duration below its argument; nil uses a random
	// source.
	Jitter func(time.Duration) time.Duration
}

// Handler learns what happens to jobs without a call for them. Its methods are
// called on the Keeper's goroutines, one at a time, and must not block.
type Handler interface {
	// TakenOver hands over a job of an owner that is gone. Its old runs have
	// ended reconcile after at.
	TakenOver(r Record, at time.Time)
	// Lost says that another owner has the job, or that its end was written
	// elsewhere: the entry gives it up without a further write.
	Lost(identifier string)
	// Invalidated says that the epoch is not valid any more: the entry gives
	// up all durable jobs.
	Invalidated()
}

// Keeper writes the records of one entry. It is safe for concurrent use.
// Callbacks are called on its goroutines and must not block.
type Keeper struct{ options Options }

// NewKeeper returns a Keeper; Run starts it.
func NewKeeper(o Options) *Keeper { return &Keeper{options: o} }

// Run registers epochs, writes and takes over until ctx ends. It then revokes
// the lease if every job was given up or ended.
func (k *Keeper) Run(ctx context.Context) { panic("not built") }

// Valid reports whether the entry may start tasks of durable jobs at that time.
func (k *Keeper) Valid(now time.Time) bool { panic("not built") }

// Found is what the store has under an identifier: an open record, an end, or
// neither.
type Found struct {
	Open *Record
	End  *End
}

// Create writes the record of a new job, under the present epoch, which it
// begins if there is none. done is called once with nil if the record was
// stored; with ErrNotStored, ErrOtherWork, ErrInvalidEpoch or ErrUnreadable; or
// with nil and what was found if the identifier is in use for the same work.
// While the outcome is unknown it is not called; the Keeper goes on, until the
// validity ends (ErrUnknown).
func (k *Keeper) Create(r Record, done func(found Found, err error)) { panic("not built") }

// Update writes the record of a job that the entry owns, at the latest within
// the given time. A later Update of the job replaces one that is not written
// yet. done is called with nil when this state or a later one is stored, and is
// not called if the job is lost or given up. Owner and Serial are set by the
// Keeper.
func (k *Keeper) Update(r Record, within time.Duration, done func()) { panic("not built") }

// Finish replaces the record of a job that the entry owns by its end. done is
// called when the end is stored, and is not called if the job is lost.
func (k *Keeper) Finish(e End, done func()) { panic("not built") }

// GiveUp forgets a job without a write.
func (k *Keeper) GiveUp(identifier string) { panic("not built") }

// Lookup reads what the store has under the identifier: the open record first,
// then the end.
func (k *Keeper) Lookup(ctx context.Context, identifier string) (Found, error) { panic("not built") }

// Presence is what the store says of the job of an unclaimed end.
type Presence int

// Presences of a job.
const (
	Absent         Presence = iota // no durable job
	Open                           // another entry owns it, or will
	EndedOnce                      // ended, and no task was started again
	EndedRestarted                 // ended, and a task may have been started again
	OpenUnreadable                 // its record cannot be decoded
)

// Presences looks identifiers up in reads that begin after the call. Calls that
// come within a second share their reads.
func (k *Keeper) Presences(ctx context.Context, identifiers []string) (map[string]Presence, error) {
	panic("not built")
}

// PeerLost makes the Keeper look for orphans soon, and each second until there
// are none and the lost entry has no epoch any more.
func (k *Keeper) PeerLost(entry string) { panic("not built") }

// HandOver revokes the ownership lease after the entry has given up or ended
// all its jobs, so that others take them over at once.
func (k *Keeper) HandOver(ctx context.Context) error { panic("not built") }

// Status is for the state dump.
type Status struct {
	Epoch      Epoch
	ValidUntil time.Time // zero while there is none
	Jobs       int
	Pending    int // changes that are not written yet
}

// Status returns what the Keeper is doing.
func (k *Keeper) Status() Status { panic("not built") }
