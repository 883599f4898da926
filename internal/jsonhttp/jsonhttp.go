// Package jsonhttp makes single HTTP calls whose bodies are JSON.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/store"
)

const (
	// maxReplyBytes limits the reply to one call. A page of a list of the
	// platform's store holds about 1 MB before it is encoded in base64.
	maxReplyBytes = 8 << 20
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 15 * time.Second
)

// NewTransport returns an HTTP transport for one address.
func NewTransport(connections int, dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: connections, MaxIdleConns: connections,
		MaxIdleConnsPerHost: connections, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}
}

// Exchange sends one request, with body as JSON unless it is nil, and reads the
// response, whose progress is reported to store.WithStallTimeout. If the header of
// the response arrived but not the whole body, the error matches store.ErrStalled; if
// the body exceeds maxReplyBytes, store.ErrUnusable.
func Exchange(ctx context.Context, client *http.Client, method, url string, header http.Header, body any) (status int, data []byte, err error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		content = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return 0, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	store.ReportProgress(ctx)
	data, err = io.ReadAll(io.LimitReader(store.ProgressReader(ctx, resp.Body), maxReplyBytes+1))
	switch {
	case err != nil:
		err = fmt.Errorf("%w: %w", store.ErrStalled, err)
	case len(data) > maxReplyBytes:
		err = fmt.Errorf("%w: more than %d bytes; the values of a reply are in base64 and have at most %d bytes each", store.ErrUnusable, maxReplyBytes, store.MaxValueBytes)
	}
	return resp.StatusCode, data, err
}
