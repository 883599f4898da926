package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/faultnet"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/settings"
)

const testToken = "token-of-portal"

// harness is a deployment in one synctest bubble: entries and scripted agents
// on a network with injected faults, and the stand-in of the store.
type harness struct {
	*qt.C
	net       *faultnet.Network
	store     *storestub.Stub
	upstreams *upstreams
	wg        sync.WaitGroup
	cleanups  []func()
}

// inBubble runs a test in virtual time and ends all processes afterwards.
func inBubble(t *testing.T, f func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{C: qt.New(t), net: faultnet.New(), store: storestub.New(), upstreams: newUpstreams()}
		h.storeConfig(1, nil)
		defer func() {
			for _, end := range h.cleanups {
				end()
			}
			h.wg.Wait()
		}()
		f(h)
	})
}

// testDocument returns the configuration used by the tests.
func testDocument(generation uint64) *config.Document {
	d := &config.Document{
		Generation: generation,
		DataCentres: []config.DataCentre{
			{Name: "anping", Region: "tainan", InService: true}, {Name: "chihkan", Region: "tainan", InService: true},
			{Name: "rende", Region: "tainan", InService: true},
		},
		Accounts: []config.Account{{Name: "portal", TokenSHA256: []string{config.HashToken(testToken)}},
			{Name: "other", TokenSHA256: []string{config.HashToken("other-token")}}},
		Templates: []config.Template{
			{Name: "proof", Account: "portal", Kind: config.KindJob, DeadlineMS: 10000, ExpectedMS: 100,
				Tasks: []config.Task{{Name: "render", Method: "POST", Path: "/render", Body: "b"}}},
			{Name: "check", Account: "portal", Kind: config.KindJob, DeadlineMS: 10000, ExpectedMS: 100, Idempotent: true,
				Tasks: []config.Task{{Name: "spell", Method: "POST", Path: "/spell"}}},
			{Name: "page", Account: "portal", Kind: config.KindRequest, DeadlineMS: 5000},
			{Name: "huge", Account: "portal", Kind: config.KindJob, DeadlineMS: 5000, Needs: config.Needs{Accelerators: 4},
				Tasks: []config.Task{{Name: "render", Method: "POST", Path: "/render"}}},
		},
	}
	return d
}

func (h *harness) storeConfig(generation uint64, change func(*config.Document)) {
	d := testDocument(generation)
	if change != nil {
		change(d)
	}
	raw, err := d.Encode()
	h.Assert(err, qt.IsNil)
	h.store.Put(config.Key, raw)
}

// entrySettings returns the default settings with the addresses of the harness.
func entrySettings(number int, dataCentre string) settings.Entry {
	s := settings.DefaultEntry()
	s.ID, s.DataCentre = fmt.Sprintf("e%d", number), dataCentre
	host := fmt.Sprintf("10.0.1.%d", number)
	s.CallerAddress, s.PeerAddress, s.AdminAddress = host+":8080", host+":7000", host+":9090"
	return s
}

// entry starts an entry process.
func (h *harness) entry(number int, dataCentre string, change func(*Options)) *Entry {
	o := Options{Settings: entrySettings(number, dataCentre), Store: h.store}
	if change != nil {
		change(&o)
	}
	var err error
	for _, l := range []struct {
		field   *net.Listener
		address string
	}{{&o.Callers, o.Settings.CallerAddress}, {&o.Peers, o.Settings.PeerAddress}, {&o.Admin, o.Settings.AdminAddress}} {
		*l.field, err = h.net.Listen(l.address)
		h.Assert(err, qt.IsNil)
	}
	o.Dial = h.net.Dialer(strings.Split(o.Settings.PeerAddress, ":")[0])
	e, err := New(o)
	h.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	h.cleanups = append(h.cleanups, cancel)
	h.wg.Go(func() {
		if err := e.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			h.Errorf("entry %s: %v", o.Settings.ID, err)
		}
	})
	return e
}

func (h *harness) agent(number int, dataCentre string, entries ...string) *fakeAgent {
	if len(entries) == 0 {
		entries = []string{"10.0.1.1:7000"}
	}
	a := newFakeAgent(h.net, h.upstreams, number, dataCentre, entries...)
	a.start()
	h.cleanups = append(h.cleanups, a.wait)
	return a
}

// waitForDiscovery waits until the processes have discovered each other.
func waitForDiscovery() { time.Sleep(2 * time.Second) }

// call sends one request of a caller and returns the answer. header holds names
// and values in turn.
func call(e *Entry, method, path, body string, header ...string) *httptest.ResponseRecorder {
	return callWithContext(context.Background(), e, method, path, body, header...)
}

func callWithContext(ctx context.Context, e *Entry, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	e.callerHandler().ServeHTTP(w, r)
	return w
}

// jobBody returns the body of a submission of n tasks with different bodies.
func jobBody(template, task string, n int) string {
	req := jobRequest{Template: template}
	for i := range n {
		body := fmt.Sprint(i)
		req.Tasks = append(req.Tasks, taskRequest{Name: task, Body: &body})
	}
	b, err := json.Marshal(req)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func postJob(e *Entry, template, task string, n int, header ...string) *httptest.ResponseRecorder {
	return call(e, http.MethodPost, "/v1/jobs", jobBody(template, task, n), header...)
}

// checkResults checks that the answer has the n results in the order of the
// tasks.
func (h *harness) checkResults(w *httptest.ResponseRecorder, path string, n int) {
	h.Helper()
	h.Assert(w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
	h.Check(w.Header().Get("Content-Length"), qt.Equals, fmt.Sprint(w.Body.Len()))
	var a jobAnswer
	h.Assert(json.Unmarshal(w.Body.Bytes(), &a), qt.IsNil)
	h.Assert(a.Results, qt.HasLen, n)
	for i, r := range a.Results {
		h.Check(r.Body, qt.Equals, fmt.Sprintf("%s:%d", path, i))
	}
}

// checkProblem decodes the problem in the answer and checks its outcome and
// status.
func (h *harness) checkProblem(w *httptest.ResponseRecorder, want Outcome) problem {
	h.Helper()
	var p problem
	h.Assert(w.Header().Get("Content-Type"), qt.Equals, problemType, qt.Commentf("%s", w.Body))
	h.Assert(json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil)
	h.Check(p.Outcome, qt.Equals, want, qt.Commentf("%s", w.Body))
	h.Check(p.Status, qt.Equals, w.Code)
	return p
}

// dialHTTP is the DialContext function of a caller's HTTP client.
func (h *harness) dialHTTP(ctx context.Context, _, address string) (net.Conn, error) {
	return h.net.Dialer("10.0.9.1")(ctx, address)
}

func sortedKeys(m map[string]any) string {
	return strings.Join(slices.Sorted(maps.Keys(m)), " ")
}
