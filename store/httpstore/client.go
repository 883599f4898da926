// Package httpstore is a client of the platform's key-value service over
// HTTP/JSON. Each call has a deadline and counts against a limit on calls per
// second, the budget. Errors say whether a write may have taken effect.
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
	// DefaultWatchTimeout is the time after which a watch is replaced, so that
	// one whose connection no longer carries data does not last longer. A watch
	// without changes costs two calls a minute.
	DefaultWatchTimeout      = 30 * time.Second
	DefaultMaxCallsPerSecond = 50.0
	// maxIdleConnections is at least the number of concurrent calls of a
	// process, so that most calls need not dial.
	maxIdleConnections = 16
	idleTimeout        = time.Minute
)

// Options of a Client.
type Options struct {
	// URL of the service with an IP address, for example "http://127.0.0.1:7000".
	URL string
	// CallTimeout bounds every call but Watch, including the wait for the
	// budget. 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchTimeout bounds one Watch. A watch without a change in this time
	// returns ErrUnavailable. 0 means DefaultWatchTimeout.
	WatchTimeout time.Duration
	// MaxCallsPerSecond is the limit on calls per second. Bursts of as many
	// calls as in one second are allowed. 0 means DefaultMaxCallsPerSecond.
	MaxCallsPerSecond float64
	// LinearizableReads is true if the service never answers Get with an older
	// state.
	LinearizableReads bool
	// Dial opens a connection to the service; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Stats counts a Client's calls.
type Stats struct {
	// Calls is the number of calls that were within the budget.
	Calls uint64 `json:"calls"`
	// OverBudget is the number of calls that failed because the budget was used
	// up.
	OverBudget uint64 `json:"over_budget"`
	// Failed is the number of calls that returned store.ErrUnavailable because
	// they were not sent, or because a read got no valid answer.
	Failed uint64 `json:"failed"`
	// Unknown is the number of calls that returned store.ErrUnknownOutcome.
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

// New returns a client. It opens no connection, and returns an error if the URL or
// the budget is not valid.
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

// baseURL returns the scheme and host of the URL, which must be an IP address and
// a port without a path.
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

// Stats returns the counts since the client was created.
func (c *Client) Stats() Stats {
	return Stats{c.calls.Load(), c.overBudget.Load(), c.failed.Load(), c.unknown.Load()}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Linearizable implements store.Store.
func (c *Client) Linearizable() bool { return c.linearizable }

// Verify implements store.Store. It accepts only an answer that repeats the key
// and the revision, because a proxy may answer instead of the service.
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

// Watch implements store.Store. It returns ErrUnavailable after WatchTimeout
// without a change; the caller may then watch again.
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

// storeKV converts the result of a call to the type of package store.
func storeKV(kv storeapi.KV, err error) (store.KV, error) {
	if err != nil {
		return store.KV{}, err
	}
	return store.KV(kv), nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
