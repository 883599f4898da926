package clientlimit

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	// bodyFactor is what a handler keeps at most for each byte of a body that it
	// reads into a growing buffer: the buffer and the smaller one it is copied from.
	bodyFactor = 2
	// valueBytes is charged for each comma and opening bracket of a body before it is
	// decoded as JSON. An empty object in a list takes 3 bytes in the body, two of
	// them charged, and up to about twice this when decoded.
	valueBytes = 128
	// DecodedFactor bounds what is charged for decoding a body of a guard with bounded
	// decoding, for each byte. Its handlers decode no list of very short elements, so the
	// worst bodies take 15 times their size, and values that are not decoded take nothing.
	DecodedFactor = 16
	// bodyChunk is the part of a body that is reserved at a time.
	bodyChunk = 16 << 10
)

// handler reserves the bodies of requests before next reads them, and what decoding
// them takes before next sees their end.
type handler struct {
	guard *Guard
	next  http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	c.beginRequest()
	defer c.endRequest()
	if r.Body == nil || r.Body == http.NoBody {
		if h.guard.complete(c.slot, 0) != nil {
			// The connection is being closed, but the response may still arrive.
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	} else {
		h.guard.budget.Progress(h.guard.now(), c.slot)
		r.Body = &body{ReadCloser: r.Body, conn: c, header: w.Header(), length: r.ContentLength}
	}
	h.next.ServeHTTP(w, r)
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn     *conn
	header   http.Header
	length   int64 // -1 if it is not known
	read     int
	reserved int // number of bytes of the body for which memory is reserved
	values   int
	progress int
	err      error
}

// Read reads what is reserved. If the budget is short it returns ingest.ErrShort, and
// the connection is closed after the response.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.read == b.reserved && len(p) > 0 {
		chunk := bodyChunk
		if rest := b.length - int64(b.read); rest > 0 {
			chunk = int(min(rest, bodyChunk))
		}
		if err := b.conn.guard.reserve(b.conn.slot, int64(bodyFactor*chunk)); err != nil {
			return 0, b.fail(err)
		}
		b.reserved += chunk
	}
	if room := b.reserved - b.read; len(p) > room {
		p = p[:room]
	}
	n, err := b.ReadCloser.Read(p)
	b.read += n
	b.values += structure(p[:n])
	if b.progress += n; b.progress >= bodyChunk {
		b.progress = 0
		b.conn.guard.budget.Progress(b.conn.guard.now(), b.conn.slot)
	}
	if errors.Is(err, io.EOF) {
		decoded := b.values * valueBytes
		if b.conn.guard.boundedDecoding {
			decoded = min(decoded, b.read*DecodedFactor)
		}
		if err := b.conn.guard.complete(b.conn.slot, int64(decoded)); err != nil {
			return 0, b.fail(err)
		}
	}
	if err != nil {
		b.err = err
	}
	return n, err
}

func (b *body) fail(err error) error {
	b.err = err
	b.header.Set("Connection", "close")
	return err
}

// structure counts the values of a part of a JSON document, and also the commas and
// brackets in its strings.
func structure(data []byte) int {
	return bytes.Count(data, []byte{','}) + bytes.Count(data, []byte{'{'}) + bytes.Count(data, []byte{'['})
}
