package entry

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// connections counts the open connections of callers. The zero value is empty.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// track is the http.Server.ConnState of the callers' address.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if c.open == nil {
			c.open = map[net.Conn]struct{}{}
		}
		c.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// closingHandler adds "Connection: close" to the responses that begin while closing is
// set, so that callers open their next connection, which goes to another entry. The
// server then closes the connection after the response and not before: a caller may be
// sending a request on a connection that is idle here.
type closingHandler struct {
	next    http.Handler
	closing *atomic.Bool
}

// ServeHTTP implements http.Handler.
func (h closingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.next.ServeHTTP(&closingWriter{ResponseWriter: w, closing: h.closing}, r)
}

type closingWriter struct {
	http.ResponseWriter
	closing *atomic.Bool
	began   bool
}

// WriteHeader implements http.ResponseWriter. The decision is made when the response
// begins, because its request may have arrived long before.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the server's writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) begin() {
	if !w.began && w.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.began = true
}
