package storestub

import (
	"io"
	"maps"
	"net"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/store"
)

// Refuse answers all calls of a host over HTTP with the status, 429 or 503, without
// carrying them out. Other hosts are served. Status 0 ends that.
func (s *Stub) Refuse(host string, status int) {
	s.setFaults(func(f *faults) {
		f.refusedHosts = maps.Clone(f.refusedHosts)
		if f.refusedHosts == nil {
			f.refusedHosts = map[string]int{}
		}
		f.refusedHosts[host] = status
	})
}

// LoseReads leaves the next n reads and watches over HTTP unanswered.
func (s *Stub) LoseReads(n int) { s.setFaults(func(f *faults) { f.readsToLose = n }) }

// SetSilentLosses keeps a connection open on which an answer was lost. Nothing
// further is returned on it, so only a timeout of the caller's own shows the loss.
func (s *Stub) SetSilentLosses(silent bool) { s.setFaults(func(f *faults) { f.silentLosses = silent }) }

// SetPageKeys limits the pages of lists over HTTP to n keys; 0 ends that. Each page is
// read at its own time, so that changes come between the pages of one list.
func (s *Stub) SetPageKeys(n int) { s.setFaults(func(f *faults) { f.pageKeys = n }) }

// PauseLeases stops the time of all leases until it is called with false, as the
// service may while it is down.
func (s *Stub) PauseLeases(pause bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !pause {
		for id, left := range s.faults.pausedLeases {
			if l := s.leases[id]; l != nil {
				left = max(left, time.Until(l.expires)) // it was renewed meanwhile
				l.expires = time.Now().Add(left)
				l.timer.Reset(left)
			}
		}
		s.faults.pausedLeases = nil
		return
	}
	if s.faults.pausedLeases != nil {
		return
	}
	s.faults.pausedLeases = map[store.LeaseID]time.Duration{}
	for id, l := range s.leases {
		l.timer.Stop()
		s.faults.pausedLeases[id] = time.Until(l.expires)
	}
}

// nextHTTPFault returns the status that the call is refused with, or 0, and whether
// it is left unanswered.
func (s *Stub) nextHTTPFault(r *http.Request) (status int, lost bool) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.faults.refusedHosts[host]; status != 0 {
		return status, false
	}
	if r.Method == http.MethodGet && s.faults.readsToLose > 0 {
		s.faults.readsToLose--
		return 0, true
	}
	return 0, false
}

// injectHTTPFaults adds the faults that concern connections to a handler.
func (s *Stub) injectHTTPFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if failure := recover(); failure != nil {
				s.mu.Lock()
				silent := s.faults.silentLosses
				s.mu.Unlock()
				if silent {
					_, _ = io.Copy(io.Discard, r.Body) // until its end the server does not notice that the caller left
					<-r.Context().Done()
				}
				panic(failure)
			}
		}()
		status, lost := s.nextHTTPFault(r)
		switch {
		case status != 0:
			http.Error(w, "", status)
		case lost:
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}
