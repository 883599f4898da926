package upstreamstub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
)

// Paths that are not tasks.
const (
	// HealthPath answers 200, or 503 while Faults.Leave is set.
	HealthPath = "/health"
	// StartsPath lists the starts as JSON.
	StartsPath = "/stub/starts"
	// FaultsPath returns the faults in effect on GET and replaces them on POST.
	FaultsPath = "/stub/faults"
)

// maxRequestBytes is the most that the stand-in reads of a request's body.
const maxRequestBytes = 16 << 20

// defaultServiceTime is the service time if neither the request nor Options give
// one.
const defaultServiceTime = 100 * time.Millisecond

// Options configure a stand-in.
type Options struct {
	Name       string
	DataCentre string
	// Slots is the number of tasks served at a time; further tasks wait.
	Slots int
	// Seed is the seed of the drawn service times.
	Seed uint64
	// Service is the service time if the request gives none and Draw is nil; 0
	// means 100 ms.
	Service time.Duration
	// Draw draws the service time if the request gives none.
	Draw func(*rand.Rand) time.Duration
	// Record receives the starts. Several stand-ins may share one; nil means a
	// record of its own.
	Record *Record
}

// Request is the body of a task that says how the stand-in serves it. A task with
// any other body is served with a drawn service time.
type Request struct {
	Key         string  `json:"key,omitempty"`          // recorded with the start
	ServiceMS   float64 `json:"service_ms,omitempty"`   // milliseconds; 0 draws one
	AnswerBytes int     `json:"answer_bytes,omitempty"` // length of filler in the answer
	Fail        bool    `json:"fail,omitempty"`         // answer 500 after the service time
	Half        bool    `json:"half,omitempty"`         // send only the first half of the answer
}

// Encode returns r as a task's body.
func (r Request) Encode() string {
	data, err := json.Marshal(r)
	if err != nil { // strings and finite numbers only
		panic(err)
	}
	return string(data)
}

// Answer is the body of a successful answer.
type Answer struct {
	Task       string  `json:"task"`
	Key        string  `json:"key,omitempty"`
	Upstream   string  `json:"upstream"`
	DataCentre string  `json:"data_centre"`
	ServiceMS  float64 `json:"service_ms"`
	Filler     string  `json:"filler,omitempty"`
}

// Faults are the faults of a stand-in. The zero value means none.
type Faults struct {
	Fail  bool    `json:"fail,omitempty"`  // answer 500 at once
	Hang  bool    `json:"hang,omitempty"`  // never answer
	Half  bool    `json:"half,omitempty"`  // send only the first half of each answer
	Slow  float64 `json:"slow,omitempty"`  // factor of the service times; 0 and 1 have no effect
	Leave bool    `json:"leave,omitempty"` // answer 503 on HealthPath
	// Persist makes tasks go on when their connection has ended.
	Persist bool `json:"persist,omitempty"`
	// ReadLateMS is how many milliseconds after its arrival a request is read. The task
	// then starts, also when its connection has ended meanwhile.
	ReadLateMS int64 `json:"read_late_ms,omitempty"`
}

// Stub is the HTTP handler of a stand-in.
type Stub struct {
	options Options
	record  *Record
	slots   chan struct{}

	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	inSystem    int
	maxInSystem int
}

// New returns a stand-in without faults. It panics when Slots is not positive.
func New(o Options) *Stub {
	if o.Slots < 1 {
		panic("upstreamstub: Slots must be at least 1")
	}
	if o.Record == nil {
		o.Record = NewRecord()
	}
	if o.Service <= 0 {
		o.Service = defaultServiceTime
	}
	if o.Draw == nil {
		o.Draw = func(*rand.Rand) time.Duration { return o.Service }
	}
	return &Stub{
		options: o, record: o.Record, slots: make(chan struct{}, o.Slots),
		random: rand.New(rand.NewPCG(o.Seed, 0)),
	}
}

// Record returns the record of starts.
func (s *Stub) Record() *Record { return s.record }

// SetFaults replaces the faults in effect. Tasks that run already keep the faults
// with which they began.
func (s *Stub) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in effect.
func (s *Stub) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// MaxInSystem returns the largest number of tasks that were waiting or running
// at the same time. More than Slots means that callers sent more tasks than the
// upstream has slots.
func (s *Stub) MaxInSystem() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxInSystem
}

// ServeHTTP serves one request.
func (s *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case HealthPath:
		s.serveHealth(w)
	case StartsPath:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.record.Starts())
	case FaultsPath:
		s.serveFaults(w, r)
	default:
		s.serveTask(w, r)
	}
}

func (s *Stub) serveHealth(w http.ResponseWriter) {
	if s.Faults().Leave {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Stub) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		dec := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Faults())
}

// serveTask serves one task. It records the start as soon as the request was read,
// because from then on the effects of the task cannot be undone.
func (s *Stub) serveTask(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	wait.For(context.WithoutCancel(r.Context()), time.Duration(s.Faults().ReadLateMS)*time.Millisecond, nil)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return // the request was incomplete
	}
	var req Request
	_ = json.Unmarshal(body, &req) // a body of another form gives no service time
	service := s.serviceTime(r, req)
	start := s.record.add(Start{
		Task: r.Header.Get("Chicorytray-Task"), Attempt: r.Header.Get("Chicorytray-Attempt"), Key: req.Key,
		Upstream: s.options.Name, DataCentre: s.options.DataCentre, At: arrived, Service: service,
	})
	s.addInSystem(1)
	defer s.addInSystem(-1)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		s.record.update(start, func(t *Start) { t.Ended = time.Now() })
		return
	}
	defer func() { <-s.slots }()
	s.record.update(start, func(t *Start) { t.Began = time.Now() })
	completed := false
	defer func() {
		s.record.update(start, func(t *Start) { t.Ended, t.Completed = time.Now(), completed })
	}()
	completed = s.runTask(w, r, req, service)
}

// addInSystem adds n to the number of tasks that wait or run.
func (s *Stub) addInSystem(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inSystem += n
	s.maxInSystem = max(s.maxInSystem, s.inSystem)
}

// serviceTime returns the service time that the query or the body gives, or a
// drawn one.
func (s *Stub) serviceTime(r *http.Request, req Request) time.Duration {
	ms := req.ServiceMS
	if q, err := strconv.ParseFloat(r.URL.Query().Get("service_ms"), 64); err == nil {
		ms = q
	}
	if ms > 0 {
		return time.Duration(ms * float64(time.Millisecond))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Draw(s.random)
}

// runTask runs one task in its slot and reports whether it wrote the whole
// answer.
func (s *Stub) runTask(w http.ResponseWriter, r *http.Request, req Request, service time.Duration) bool {
	f := s.Faults()
	if f.Fail {
		http.Error(w, "upstream stand-in: fault: every task fails", http.StatusInternalServerError)
		return false
	}
	took := service
	if f.Slow > 0 {
		took = time.Duration(float64(service) * f.Slow)
	}
	if f.Hang {
		<-r.Context().Done()
		return false
	}
	ctx := r.Context()
	if f.Persist {
		ctx = context.WithoutCancel(ctx)
	}
	if !wait.For(ctx, took, nil) {
		return false
	}
	if req.Fail {
		http.Error(w, "upstream stand-in: the request asks for a failure", http.StatusInternalServerError)
		return false
	}
	return s.writeAnswer(w, r, req, service, f.Half || req.Half)
}

func (s *Stub) writeAnswer(w http.ResponseWriter, r *http.Request, req Request, service time.Duration, truncate bool) bool {
	data, err := json.Marshal(Answer{
		Task: r.Header.Get("Chicorytray-Task"), Key: req.Key, Upstream: s.options.Name,
		DataCentre: s.options.DataCentre, ServiceMS: float64(service) / float64(time.Millisecond),
		Filler: strings.Repeat("x", max(req.AnswerBytes, 0)),
	})
	if err != nil {
		http.Error(w, fmt.Sprintf("encode: %v", err), http.StatusInternalServerError)
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if truncate {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // closes the connection without the rest
	}
	_, err = w.Write(data)
	return err == nil
}
