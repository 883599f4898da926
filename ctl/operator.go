// Package ctl is the operators' tool. It changes the configuration by
// compare-and-swap, makes sure that a change is in force everywhere, and shows
// the state of entries and agents.
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
	// DefaultWait is more than the 3 s within which a change is in force
	// everywhere, so that only processes with a fault are named.
	DefaultWait = 10 * time.Second
	// DefaultPollInterval is the interval between surveys of the processes; a survey
	// reads the state of each entry once.
	DefaultPollInterval = 500 * time.Millisecond
)

// Options of an Operator.
type Options struct {
	Store store.Store
	// Entries are admin addresses (IP:port) of entries. Empty means those
	// that are registered in the store.
	Entries []string
	// Transport for admin addresses; nil means TCP without proxies.
	Transport http.RoundTripper
	// CallTimeout of one call of the store or of an admin address.
	CallTimeout time.Duration
	// Wait bounds the settling of a lost answer, and the wait for processes
	// to report a change.
	Wait time.Duration
	// PollInterval is the interval at which both are looked at.
	PollInterval time.Duration
}

// Operator carries out an operator's commands.
type Operator struct {
	options Options
	client  *http.Client

	mu                sync.Mutex
	registeredEntries []Process // entries that the store listed last
}

// New returns an Operator.
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

// withCallTimeout runs f with the timeout of one withCallTimeout.
func (o *Operator) withCallTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()
	return f(ctx)
}

// waitPollInterval waits for the poll interval and reports whether ctx goes on.
func (o *Operator) waitPollInterval(ctx context.Context) bool {
	return wait.For(ctx, o.options.PollInterval, nil)
}
