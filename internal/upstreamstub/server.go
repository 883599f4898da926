package upstreamstub

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in that listens on an address.
type Server struct {
	*Stub
	address string

	mu         sync.Mutex
	httpServer *http.Server // nil while connections are refused
}

// Listen starts a stand-in on address, an IP:port; port 0 takes a free one.
func Listen(address string, o Options) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Stub: New(o), address: l.Addr().String()}
	s.serveOn(l)
	return s, nil
}

// Address returns the IP:port that the stand-in listens on.
func (s *Server) Address() string { return s.address }

func (s *Server) serveOn(l net.Listener) {
	s.httpServer = &http.Server{Handler: s.Stub, ReadHeaderTimeout: 10 * time.Second}
	go func(h *http.Server) { _ = h.Serve(l) }(s.httpServer)
}

// Refuse with true closes the listener, so that the operating system refuses new
// connections, and the open connections, as when the upstream's process ends.
// With false it listens again.
func (s *Server) Refuse(refuse bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refuse == (s.httpServer == nil) {
		return nil
	}
	if refuse {
		err := s.httpServer.Close()
		s.httpServer = nil
		return err
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.serveOn(l)
	return nil
}

// Close ends the stand-in and closes the connections of its running tasks.
func (s *Server) Close() error {
	err := s.Refuse(true)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
