// Package httpstore is the adapter to the platform's key-value service over
// HTTP/JSON. Each call has a deadline and takes part in a budget of calls per
// second. Errors say whether a write may have taken effect.
package httpstore

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/store/storeapi"
)

// Defaults of Options.
const (
	DefaultCallTimeout = time.Second
	// DefaultWatchTimeout renews a watch often enough that one whose
	// connection no longer carries data is replaced, at two calls a minute.
	DefaultWatchTimeout      = 30 * time.Second
	DefaultMaxCallsPerSecond = 50.0
	// maxIdleConnections is at least the number of calls that a process makes
	// at a time, so that calls seldom dial.
	maxIdleConnections = 16
	idleTimeout        = time.Minute
)

// Options of a Client.
type Options struct {
	// URL of the service with an IP address, for example "http://127.0.0.1:7000".
	URL string
	// CallTimeout bounds every call but Watch, the wait for the budget
	// included. 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchTimeout bounds one Watch; a watch that saw no change by then
	// fails as unavailable. 0 means DefaultWatchTimeout.
	WatchTimeout time.Duration
	// MaxCallsPerSecond is the budget. 0 means DefaultMaxCallsPerSecond. The
	// burst is one second's budget.
	MaxCallsPerSecond float64
	// LinearizableReads says that the service never answers Get with an older
	// state.
	LinearizableReads bool
	// Dial connects to the service; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Stats counts a Client's calls.
type Stats struct {
	// Calls that were sent, or for which no connection was obtained.
	Calls uint64 `json:"calls"`
	// OverBudget are calls that failed because the budget was used up.
	OverBudget uint64 `json:"over_budget"`
	// Failed are calls that ended as unavailable, and Unknown those with an
	// unknown outcome.
	Failed  uint64 `json:"failed"`
	Unknown uint64 `json:"unknown"`
}

// Client implements store.Store over HTTP.
type Client struct {
	base         string
	callTimeout  time.Duration
	watchTimeout time.Duration
	linearizable bool
	budget       *rate.Limiter
	transport    *http.Transport

	calls, overBudget, failed, unknown atomic.Uint64
}

var _ store.Store = (*Client)(nil)

// New returns a client. It does not connect.
func New(o Options) (*Client, error) {
	base, err := baseURL(o.URL)
	if err != nil {
		return nil, err
	}
	perSecond := orDefault(o.MaxCallsPerSecond, DefaultMaxCallsPerSecond)
	if perSecond < 0 {
		return nil, fmt.Errorf("httpstore: %v calls per second; want a positive number", perSecond)
	}
	dial := o.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return &Client{
		base:         base,
		callTimeout:  orDefault(o.CallTimeout, DefaultCallTimeout),
		watchTimeout: orDefault(o.WatchTimeout, DefaultWatchTimeout),
		linearizable: o.LinearizableReads,
		budget:       rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))),
		transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				if err != nil {
					return nil, err
				}
				return &sealableConn{Conn: conn}, nil
			},
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}, nil
}

// baseURL checks that the address is an IP address and a port.
func baseURL(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil {
		return "", fmt.Errorf("httpstore: URL: %w", err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Path != "" && u.Path != "/" || u.RawQuery != "" || u.User != nil {
		return "", fmt.Errorf("httpstore: URL %q; want http:// or https:// with IP:port only", text)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return "", fmt.Errorf("httpstore: URL %q: %w; want an IP address and a port", text, err)
	}
	return u.Scheme + "://" + u.Host, nil
}

func orDefault[T int64 | float64 | time.Duration](value, def T) T {
	if value == 0 {
		return def
	}
	return value
}

// Stats returns the counts since the client was made.
func (c *Client) Stats() Stats {
	return Stats{c.calls.Load(), c.overBudget.Load(), c.failed.Load(), c.unknown.Load()}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Linearizable implements store.Store.
func (c *Client) Linearizable() bool { return c.linearizable }

// Verify implements store.Store. Only an answer that repeats the key and the
// revision counts, because a process in between may answer for the service.
func (c *Client) Verify(ctx context.Context, key string, revision uint64) error {
	want := storeapi.VerifyReply{Key: key, Revision: revision}
	var got storeapi.VerifyReply
	query := url.Values{storeapi.ParamKey: {key}, storeapi.ParamExpect: {formatUint(revision)}}
	if err := c.read(ctx, c.callTimeout, storeapi.PathVerify, query, &got); err != nil {
		return err
	}
	if got != want {
		c.failed.Add(1)
		return withCause(store.ErrUnavailable, fmt.Errorf("httpstore: asked for %+v, answered %+v", want, got))
	}
	return nil
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.KV, error) {
	var kv storeapi.KV
	err := c.read(ctx, c.callTimeout, storeapi.PathKey, url.Values{storeapi.ParamKey: {key}}, &kv)
	return storeKV(kv, err)
}

// Watch implements store.Store. It fails as unavailable when the watch
// timeout ends without a change; the caller watches again.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (store.KV, error) {
	var kv storeapi.KV
	query := url.Values{storeapi.ParamKey: {key}, storeapi.ParamAfter: {formatUint(after)}}
	err := c.read(ctx, c.watchTimeout, storeapi.PathWatch, query, &kv)
	return storeKV(kv, err)
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease store.LeaseID) (store.KV, error) {
	if len(value) > store.MaxValueBytes {
		return store.KV{}, store.ErrTooLarge
	}
	query := url.Values{storeapi.ParamKey: {key}, storeapi.ParamExpect: {formatUint(expect)}}
	if lease != 0 {
		query.Set(storeapi.ParamLease, formatUint(uint64(lease)))
	}
	var kv storeapi.KV
	err := c.write(ctx, http.MethodPut, storeapi.PathKey, query, storeapi.Value{Value: value}, &kv)
	if err != nil {
		return store.KV{}, err
	}
	return store.KV{Key: key, Value: value, Revision: kv.Revision}, nil
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	query := url.Values{storeapi.ParamKey: {key}, storeapi.ParamExpect: {formatUint(expect)}}
	return c.write(ctx, http.MethodDelete, storeapi.PathKey, query, storeapi.Empty{}, &storeapi.Empty{})
}

// Grant implements store.Store. The TTL is rounded up to milliseconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	body := storeapi.Grant{TTLMS: (ttl + time.Millisecond - 1).Milliseconds()}
	var lease storeapi.Lease
	err := c.write(ctx, http.MethodPost, storeapi.PathLease, nil, body, &lease)
	if err != nil {
		return 0, err
	}
	return lease.Lease, nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	return c.write(ctx, http.MethodPut, storeapi.PathLease, leaseQuery(lease), storeapi.Empty{}, &storeapi.Empty{})
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, lease store.LeaseID) error {
	return c.write(ctx, http.MethodDelete, storeapi.PathLease, leaseQuery(lease), storeapi.Empty{}, &storeapi.Empty{})
}

func leaseQuery(lease store.LeaseID) url.Values {
	return url.Values{storeapi.ParamLease: {formatUint(uint64(lease))}}
}

func storeKV(kv storeapi.KV, err error) (store.KV, error) {
	if err != nil {
		return store.KV{}, err
	}
	return store.KV(kv), nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
