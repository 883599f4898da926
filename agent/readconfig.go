package agent

import (
	"bytes"
	"context"
	"errors"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// rpcReadConfig reads the configuration from the store for an entry that cannot. The
// reply confirms what it holds as of the time at which the entry sent the request.
func (a *Agent) rpcReadConfig(ctx context.Context, in *wire.ReadConfigRequest, out *wire.ReadConfigReply) error {
	timeout := a.timing.StoreTimeout.AsDuration()
	ctx, cancel := store.WithStallTimeout(ctx, timeout, timeout)
	defer cancel()
	s := a.options.Store
	kv, err := s.Get(ctx, config.Key)
	missing := errors.Is(err, store.ErrNotFound)
	if (err == nil || missing) && !s.Linearizable() {
		// A read may return an older state; see store.Store.
		err = s.Verify(ctx, config.Key, kv.Revision)
	}
	if missing && errors.Is(err, store.ErrNotFound) {
		err = nil
	}
	failure := store.FailureOf(err)
	out.Read = err == nil
	out.Answers = failure != store.FailureUnreachable && failure != store.FailureRefused
	if !out.Read || missing {
		return nil
	}
	a.contentMu.Lock()
	hash := a.content.Hash(kv.Value)
	a.contentMu.Unlock()
	if out.Same = len(hash) > 0 && bytes.Equal(hash, in.Content); !out.Same {
		out.Document = kv.Value
	}
	return nil
}
