// Package ctl implements the operators' command line tool. It changes the
// configuration document in the store by compare-and-swap, pushes a change to
// the entries, waits until all known processes report it, and shows the state
// of entries and agents.
package ctl

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/store"
)

// Defaults of Options.
const (
	DefaultCallTimeout = time.Second
	// DefaultWait exceeds the 3 s within which a change takes effect in all
	// processes, so that a process is reported as unconfirmed only if it has
	// a fault.
	DefaultWait = 10 * time.Second
	// DefaultPollInterval is the interval between surveys. Each survey reads
	// the state of every entry once.
	DefaultPollInterval = 500 * time.Millisecond
)

// Options configure an Operator. Zero durations mean the defaults.
type Options struct {
	Store store.Store
	// Entries are admin addresses (IP:port) of entries. If it is empty, the
	// entries registered in the store are used.
	Entries []string
	// Transport is used for admin addresses; nil means TCP without proxies.
	Transport http.RoundTripper
	// CallTimeout limits one call to the store or to an admin address.
	CallTimeout time.Duration
	// Wait limits the time to find out whether a write without an answer took
	// effect, and separately the time for processes to report a change.
	Wait time.Duration
	// PollInterval is the pause between two reads while waiting for either.
	PollInterval time.Duration
}

// Operator carries out an operator's commands. It is safe for concurrent use.
type Operator struct {
	options Options
	client  *http.Client

	mu                sync.Mutex
	registeredEntries []Process // result of the last successful list from the store
}

// New returns an Operator; o.Store must be set.
func New(o Options) *Operator {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Wait == 0 {
		o.Wait = DefaultWait
	}
	if o.PollInterval == 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.Transport == nil {
		dialer := &net.Dialer{}
		o.Transport = &http.Transport{DialContext: dialer.DialContext}
	}
	return &Operator{options: o, client: &http.Client{
		Transport:     o.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// withCallTimeout runs f with a context that ends after CallTimeout.
func (o *Operator) withCallTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()
	return f(ctx)
}

// waitPollInterval waits for PollInterval. It returns false if ctx ended.
func (o *Operator) waitPollInterval(ctx context.Context) bool {
	return wait.For(ctx, o.options.PollInterval, nil)
}
