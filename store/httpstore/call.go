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

// maxAnswerBytes bounds an answer. The largest is a page of a list; the
// stand-in's take at most 3 MB in base64, other services may send larger ones.
const maxAnswerBytes = 64 << 20

// errNotSent means that no byte of the request was written and none will be.
var errNotSent = errors.New("httpstore: the request was not sent")

// read makes a call that changes nothing.
func (c *Client) read(ctx context.Context, timeout time.Duration, path string, query url.Values, answer any) error {
	err := c.do(ctx, timeout, http.MethodGet, path, query, nil, answer)
	if err == nil || isServiceFailure(err) {
		return err
	}
	c.failed.Add(1)
	return withCause(store.ErrUnavailable, err)
}

// write makes a call that changes the service's state.
func (c *Client) write(ctx context.Context, method, path string, query url.Values, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return merry.Prepend(err, "httpstore: encode")
	}
	err = c.do(ctx, c.callTimeout, method, path, query, data, answer)
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

// isServiceFailure reports whether err is a failure that the service itself reported.
func isServiceFailure(err error) bool {
	for _, f := range storeapi.Failures {
		if errors.Is(err, f.Err) {
			return true
		}
	}
	return false
}

func withCause(sentinel, cause error) error {
	return merry.Wrap(sentinel, merry.WithCause(cause), merry.NoCaptureStack())
}

// do makes one call within the budget. It returns errNotSent, an error of
// storeapi.Failures, or an error after which the outcome is unknown.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, path string, query url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
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
		// Open connections can stop carrying data together while new ones
		// work; without this each would cost a call its timeout.
		c.transport.CloseIdleConnections()
		if sent.preventSend() {
			return fmt.Errorf("%w: %w", errNotSent, err)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return decodeAnswer(response, answer)
}

// newRequest gives writes a body that cannot be read twice: net/http may
// resend a request on another connection when it can obtain its body again.
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

// decodeAnswer reads a whole answer. A failure counts only when its body has a
// known code, because a process in between may answer for the service.
func decodeAnswer(response *http.Response, answer any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("httpstore: answer cut off: %w", err)
	}
	if len(data) > maxAnswerBytes {
		return fmt.Errorf("httpstore: answer exceeds %d bytes", maxAnswerBytes)
	}
	if response.StatusCode == http.StatusOK {
		return decodeSuccess(data, answer)
	}
	var body storeapi.Error
	if json.Unmarshal(data, &body) == nil {
		for _, f := range storeapi.Failures {
			if f.Code == body.Code && f.Status == response.StatusCode {
				return f.Err
			}
		}
	}
	return fmt.Errorf("httpstore: unexpected status %s", response.Status)
}

// decodeSuccess is strict, so that a failure reported with a wrong status is
// not taken for a success with empty fields.
func decodeSuccess(data []byte, answer any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(answer); err != nil {
		return fmt.Errorf("httpstore: answer: %w", err)
	}
	switch a := answer.(type) {
	case *storeapi.KV:
		if a.Revision == 0 {
			return errors.New("httpstore: answer without a revision")
		}
	case *storeapi.Lease:
		if a.Lease == 0 {
			return errors.New("httpstore: answer without a lease")
		}
	}
	return nil
}
