package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/store/storeapi"
)

// maxAnswerBytes is the largest accepted answer. The largest answers are pages of
// a list: those of the stand-in take at most 3 MB in base64, but another service
// may send larger ones.
const maxAnswerBytes = 64 << 20

// errNotSent means that no byte of the request was written and none will be.
var errNotSent = errors.New("httpstore: the request was not sent")

// read makes a call that changes nothing. It returns ErrUnavailable or an error
// that the service reported. The call ends when the answer has not begun to arrive
// within the timeout, or makes no progress for the timeout of a call.
func (c *Client) read(ctx context.Context, timeout time.Duration, path string, query url.Values, answer any) error {
	ctx, cancel := store.WithStallTimeout(ctx, timeout, c.callTimeout)
	defer cancel()
	err := c.do(ctx, http.MethodGet, path, query, nil, answer)
	if err == nil || isServiceFailure(err) {
		return err
	}
	c.failed.Add(1)
	return withCause(store.ErrUnavailable, err)
}

// write makes a call that changes the service's state. It returns
// ErrUnavailable if the call was certainly not sent, ErrUnknownOutcome if it may
// have been, or an error that the service reported.
func (c *Client) write(ctx context.Context, method, path string, query url.Values, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return merry.Prepend(err, "httpstore: encode request body")
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	err = c.do(ctx, method, path, query, data, answer)
	switch {
	case err == nil || isServiceFailure(err):
		return err
	case errors.Is(err, errNotSent):
		c.failed.Add(1)
		return withCause(store.ErrUnavailable, err)
	}
	c.unknown.Add(1)
	return withCause(store.ErrUnknownOutcome, err)
}

// isServiceFailure reports whether err is a failure that the service itself
// reported.
func isServiceFailure(err error) bool {
	for _, f := range storeapi.Failures {
		if errors.Is(err, f.Err) {
			return true
		}
	}
	return false
}

// withCause returns an error that matches both sentinel and cause with errors.Is.
func withCause(sentinel, cause error) error {
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}

// do makes one call, which waits for the budget of calls per second. The error
// matches errNotSent or an error of storeapi.Failures; after any other error the
// outcome of the call is unknown.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	if err := c.budget.Wait(ctx); err != nil {
		c.overBudget.Add(1)
		return fmt.Errorf("%w: budget of %v calls per second: %w", errNotSent, c.budget.Limit(), err)
	}
	c.calls.Add(1)
	sent := new(sendTracker)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	request, err := newRequest(ctx, method, c.base+path+"?"+query.Encode(), body)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	// RoundTrip, unlike http.Client, follows no redirects.
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		// All open connections may have stopped carrying data while new ones
		// would work. Without this, one call would time out on each of them.
		c.transport.CloseIdleConnections()
		if sent.preventSend() {
			return fmt.Errorf("%w: %w", errNotSent, err)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	store.ReportProgress(ctx)
	return decodeAnswer(ctx, response, answer)
}

// newRequest returns a request. It removes GetBody from requests with a body,
// because net/http sends a request again on another connection if it can read
// the body again.
func newRequest(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return nil, err
	}
	if body != nil {
		request.GetBody = nil
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// decodeAnswer reads the answer to a call. It takes an answer as a failure that
// the service reported only if the body has the code that belongs to the status,
// because a proxy may have sent the answer.
func decodeAnswer(ctx context.Context, response *http.Response, answer any) error {
	data, err := io.ReadAll(io.LimitReader(store.ProgressReader(ctx, response.Body), maxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("httpstore: %w: %w", store.ErrStalled, err)
	}
	if len(data) > maxAnswerBytes {
		return fmt.Errorf("httpstore: %w: more than %d bytes", store.ErrUnusable, maxAnswerBytes)
	}
	if response.StatusCode == http.StatusOK {
		return decodeSuccess(data, answer)
	}
	var body storeapi.Error
	if json.Unmarshal(data, &body) == nil {
		for _, f := range storeapi.Failures {
			if f.Code == body.Code && f.Status == response.StatusCode {
				if errors.Is(f.Err, store.ErrUnavailable) {
					return withCause(f.Err, store.ErrRefused)
				}
				return f.Err
			}
		}
	}
	return fmt.Errorf("httpstore: %w: unexpected status %s", store.ErrRefused, response.Status)
}

// decodeSuccess decodes the body of a successful answer. It accepts no unknown
// fields and no missing revision or lease, so that a failure with a wrong status
// is not taken for a success with empty fields.
func decodeSuccess(data []byte, answer any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(answer); err != nil {
		return fmt.Errorf("httpstore: %w: %w", store.ErrUnusable, err)
	}
	switch a := answer.(type) {
	case *storeapi.KV:
		if a.Revision == 0 {
			return fmt.Errorf("httpstore: %w: no revision", store.ErrUnusable)
		}
	case *storeapi.Lease:
		if a.Lease == 0 {
			return fmt.Errorf("httpstore: %w: no lease", store.ErrUnusable)
		}
	}
	return nil
}
