package upstreamstub

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func startServer(c *qt.C, o Options) *Server {
	s, err := Listen("127.0.0.1:0", o)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return s
}

func send(s *Server, task string, body Request) (int, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/work", strings.NewReader(body.Encode()))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Chicorytray-Task", task)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// Guards against duplicate starts that the record does not show.
func TestStartsAreCountedPerTask(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, Options{Name: "u1", DataCentre: "dc1", Slots: 2})
	for _, task := range []string{"j/0", "j/1", "j/0"} {
		status, data, err := send(s, task, Request{ServiceMS: 1, Key: "k" + task})
		c.Assert(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusOK)
		var a Answer
		c.Assert(json.Unmarshal(data, &a), qt.IsNil)
		c.Check(a.Task, qt.Equals, task)
	}
	c.Check(s.Record().Count(), qt.DeepEquals, map[string]int{"j/0": 2, "j/1": 1})
	c.Check(s.Record().Duplicates(), qt.DeepEquals, []string{"key kj/0 attempt ", "task j/0 attempt "})
}

// Guards against a stand-in that runs more tasks at a time than it has slots,
// which would make results look better than they are.
func TestSlotsBoundConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(Options{Slots: 2})
		var wg sync.WaitGroup
		begin := time.Now()
		for range 4 {
			wg.Go(func() {
				r, _ := http.NewRequest(http.MethodPost, "/work?service_ms=1000", http.NoBody)
				s.ServeHTTP(discardWriter{}, r)
			})
		}
		wg.Wait()
		c.Check(time.Since(begin), qt.Equals, 2*time.Second)
		c.Check(s.MaxInSystem(), qt.Equals, 4)
	})
}

type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

// Guards against faults that have no effect or that do not end.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, Options{Slots: 4})
	work := Request{ServiceMS: 1}

	s.SetFaults(Faults{Fail: true})
	status, _, err := send(s, "j/0", work)
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusInternalServerError)

	s.SetFaults(Faults{Half: true})
	_, _, err = send(s, "j/1", work)
	c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF)

	s.SetFaults(Faults{Leave: true})
	resp, err := http.Get("http://" + s.Address() + HealthPath)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)

	s.SetFaults(Faults{})
	c.Assert(s.Refuse(true), qt.IsNil)
	_, _, err = send(s, "j/2", work)
	c.Check(err, qt.ErrorMatches, ".*connection refused.*")
	c.Assert(s.Refuse(false), qt.IsNil)
	status, _, err = send(s, "j/3", work)
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusOK)

	counts := s.Record().Count()
	c.Check(counts, qt.DeepEquals, map[string]int{"j/0": 1, "j/1": 1, "j/3": 1})
}

// Guards against a stand-in that answers on time although it should hang or be
// slow.
func TestHangAndSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(Options{Slots: 1})
		s.SetFaults(Faults{Slow: 5})
		begin := time.Now()
		r, _ := http.NewRequest(http.MethodPost, "/work?service_ms=100", http.NoBody)
		s.ServeHTTP(discardWriter{}, r)
		c.Check(time.Since(begin), qt.Equals, 500*time.Millisecond)

		s.SetFaults(Faults{Hang: true})
		done := make(chan struct{})
		go func() {
			defer close(done)
			r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "/work?service_ms=1", http.NoBody)
			s.ServeHTTP(discardWriter{}, r)
		}()
		time.Sleep(time.Hour) // virtual time
		synctest.Wait()
		c.Check(s.Record().Starts()[1].Ended.IsZero(), qt.IsTrue)
	})
}

// Guards against a request that was sent and does not start because its sender has left.
func TestLateReadStartsTheTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New(Options{Slots: 1})
		s.SetFaults(Faults{ReadLateMS: 2000})
		ctx, cancel := context.WithCancel(context.Background())
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "/work", http.NoBody)
		r.Header.Set("Chicorytray-Task", "j/0")
		go s.ServeHTTP(discardWriter{}, r)
		cancel()
		time.Sleep(1999 * time.Millisecond)
		c.Check(s.Record().Starts(), qt.HasLen, 0)
		time.Sleep(time.Second)
		c.Check(s.Record().Count(), qt.DeepEquals, map[string]int{"j/0": 1})
	})
}
