package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// network is a transport that passes requests to the handler of their address.
type network map[string]http.Handler

func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	h, ok := n[r.URL.Host]
	if !ok {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// fakeEntry is a stand-in for the admin address of an entry.
type fakeEntry struct {
	mu          sync.Mutex
	id, admin   string
	generation  uint64
	refusesPush bool   // answers a pushed document with an error
	beforeState func() // called before the state is reported
	peer        string // admin address of another entry
	agents      []AgentState
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /debug/state":
		if e.beforeState != nil {
			e.beforeState()
		}
		var s EntryState
		if e.peer != "" {
			s.Peers = []PeerState{{ID: "peer", Admin: e.peer}}
		}
		s.Entry.ID, s.Entry.Admin, s.Entry.DataCentre, s.Entry.Ready = e.id, e.admin, "anping", true
		s.Configuration.Generation = e.generation
		s.Agents = e.agents
		_ = json.NewEncoder(w).Encode(s)
	case "PUT " + PathConfig:
		data, _ := io.ReadAll(r.Body)
		d, err := config.Parse(data)
		if err != nil || e.refusesPush {
			http.Error(w, "refused", http.StatusMethodNotAllowed)
			return
		}
		e.generation = max(e.generation, d.Generation)
		for i := range e.agents {
			if e.agents[i].Usable {
				e.agents[i].Generation = e.generation
			}
		}
	default:
		http.NotFound(w, r)
	}
}

// deployment is an empty store and two registered entries that know one agent.
type deployment struct {
	*qt.C
	stub            *storestub.Stub
	net             network
	a, b            *fakeEntry
	stdout          bytes.Buffer
	stderr          bytes.Buffer
	bReportsLeaving bool
}

func deploy(t *testing.T, test func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		agent := AgentState{ID: "agent-1", Admin: "127.0.0.1:9", DataCentre: "annan", Usable: true}
		d := &deployment{
			C: qt.New(t), stub: storestub.New(),
			a: &fakeEntry{id: "entry-a", admin: "127.0.0.1:1", agents: []AgentState{agent}},
			b: &fakeEntry{id: "entry-b", admin: "127.0.0.1:2", agents: []AgentState{agent}},
		}
		d.net = network{d.a.admin: d.a, d.b.admin: d.b, agent.Admin: http.HandlerFunc(d.serveAgent)}
		for _, e := range []*fakeEntry{d.a, d.b} {
			value, err := store.EncodeEntry(wire.EntryRef{ID: e.id, Incarnation: 1, Address: "127.0.0.1:7000", Admin: e.admin})
			d.Assert(err, qt.IsNil)
			d.stub.Put(store.EntriesPrefix+e.id, value)
		}
		test(d)
	})
}

func (d *deployment) serveAgent(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST " + PathLeaving:
		d.a.agents[0].Leaving, d.b.agents[0].Leaving = true, d.bReportsLeaving
	case "GET /debug/state":
		_, _ = io.WriteString(w, `{"ledger":"kept"}`)
	default:
		http.NotFound(w, r)
	}
}

// run executes a command, checks its exit code and returns its output.
func (d *deployment) run(want int, args ...string) string {
	d.Helper()
	d.stdout.Reset()
	d.stderr.Reset()
	code := Run(context.Background(), args, Environment{&d.stdout, &d.stderr, d.stub, d.net})
	d.Check(code, qt.Equals, want, qt.Commentf("%q: %s%s", args, &d.stdout, &d.stderr))
	return d.stdout.String() + d.stderr.String()
}

// writeDocument applies a change to the sample document, writes it to a file and
// returns the path.
func (d *deployment) writeDocument(change func(*config.Document)) string {
	d.Helper()
	doc := sampleDocument(d.C)
	change(doc)
	data, err := doc.EncodeIndent()
	d.Assert(err, qt.IsNil)
	path := filepath.Join(d.TempDir(), "config.json")
	d.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	return path
}

func sampleDocument(c *qt.C) *config.Document {
	c.Helper()
	data, err := os.ReadFile("../config/testdata/valid.json")
	c.Assert(err, qt.IsNil)
	doc, err := config.Parse(data)
	c.Assert(err, qt.IsNil)
	doc.Generation, doc.WriteID = 0, ""
	return doc
}

func (d *deployment) stored() *config.Document {
	d.Helper()
	kv, _ := d.stub.Peek(config.Key)
	doc, err := config.Parse(kv.Value)
	d.Assert(err, qt.IsNil)
	return doc
}

func unchanged(*config.Document) {}

// Guards against a change that is not stored, not pushed or not confirmed, and
// against an apply of equal content that creates a new generation.
func TestChangesAreStoredPushedAndConfirmed(t *testing.T) {
	deploy(t, func(d *deployment) {
		file := d.writeDocument(unchanged)
		out := d.run(ExitOK, "apply", file)
		d.Check(out, qt.Contains, "accepted as generation 1")
		d.Check(out, qt.Contains, "reported by all 3 known processes")
		d.Check(d.a.generation, qt.Equals, uint64(1))
		d.Check(d.b.generation, qt.Equals, uint64(1))
		d.Check(d.run(ExitOK, "apply", file), qt.Contains, "unchanged: generation 1")
		d.run(ExitOK, "out", "anping")
		d.Check(config.NewView(d.stored()).OutOfService(), qt.DeepEquals, []string{"annan", "anping"})
		d.run(ExitOK, "in", "annan")
		d.Check(config.NewView(d.stored()).OutOfService(), qt.DeepEquals, []string{"anping"})
		d.run(ExitOK, "edit", "templates[proof].urgency=4", "accounts[0].max_tasks_per_second=2.5")
		d.Check(d.stored().Templates[0].Urgency, qt.Equals, 4)

		patch := filepath.Join(d.TempDir(), "patch.json")
		d.Assert(os.WriteFile(patch, []byte(`{"limits":{"max_queued_tasks":7}}`), 0o600), qt.IsNil)
		out = d.run(ExitOK, "-json", "edit", "-patch", patch)
		d.Check(out, qt.Contains, `"confirmed": true`)
		d.Check(d.stored().Limits.MaxQueuedTasks, qt.Equals, 7)
		d.Check(d.stored().Generation, qt.Equals, uint64(5))

		shown := filepath.Join(d.TempDir(), "shown.json")
		d.Assert(os.WriteFile(shown, []byte(d.run(ExitOK, "show")), 0o600), qt.IsNil)
		d.Check(d.run(ExitOK, "apply", shown), qt.Contains, "unchanged: generation 5")
	})
}

// Guards against a change that is reported as confirmed although no process was
// asked.
func TestNoProcessIsKnown(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.stub.Restore(storestub.New().Snapshot())
		out := d.run(ExitOK, "apply", d.writeDocument(unchanged))
		d.Check(out, qt.Contains, "no process is known")
		d.Check(out, qt.Not(qt.Contains), "reported by")
	})
}

// Guards against a change that overwrites another operator's change made since
// the document was read.
func TestConflictShowsBothVersionsAndChangesNothing(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.run(ExitOK, "apply", d.writeDocument(unchanged))
		d.run(ExitOK, "out", "anping")
		mine := d.writeDocument(func(doc *config.Document) {
			doc.Generation = 1
			doc.Templates[0].Urgency = 9
		})
		before := d.stored()
		out := d.run(ExitConflict, "apply", mine)
		d.Check(out, qt.Contains, "the store holds generation 2")
		d.Check(out, qt.Matches, `(?s).*data_centres\[anping\].in_service +false +true\n.*`)
		d.Check(out, qt.Matches, `(?s).*templates\[proof\].urgency +0 +9\n.*`)
		var f errorReport
		d.Assert(json.Unmarshal([]byte(d.run(ExitConflict, "-json", "apply", mine)), &f), qt.IsNil)
		d.Check(f.Stored.Equal(before), qt.IsTrue)
		d.Check(f.Proposed.Templates[0].Urgency, qt.Equals, 9)
		d.Check(d.stored().Equal(before), qt.IsTrue)

		rewritten := d.writeDocument(func(doc *config.Document) {
			doc.Generation, doc.WriteID = 2, "of another history"
			doc.Templates[0].Urgency = 9
		})
		d.run(ExitConflict, "apply", rewritten)
		d.run(ExitConflict, "apply", d.writeDocument(func(doc *config.Document) { doc.Templates[0].Urgency = 9 }))
		d.Check(d.stored().Equal(before), qt.IsTrue)
	})
}

// Guards against one of two simultaneous service changes being lost.
func TestSimultaneousServiceChangesBothTakeEffect(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.run(ExitOK, "apply", d.writeDocument(unchanged))
		d.stub.SetLatency(10 * time.Millisecond)
		o := New(Options{Store: d.stub, Transport: d.net})
		var group sync.WaitGroup
		for name, inService := range map[string]bool{"anping": false, "annan": true} {
			group.Go(func() {
				_, err := o.SetInService(context.Background(), name, inService)
				d.Check(err, qt.IsNil)
			})
		}
		group.Wait()
		d.Check(config.NewView(d.stored()).OutOfService(), qt.DeepEquals, []string{"anping"})
		d.Check(d.stored().Generation, qt.Equals, uint64(3))
	})
}

// replacingStore applies another operator's write instead of the first one, whose
// answer is lost.
type replacingStore struct {
	store.Store
	stub       *storestub.Stub
	generation uint64
	written    bool
}

func (r *replacingStore) CompareAndSwap(_ context.Context, key string, _ uint64, value []byte, _ store.LeaseID) (store.KV, error) {
	if r.written {
		return store.KV{}, store.ErrConflict
	}
	r.written = true
	var tree map[string]any
	_ = json.Unmarshal(value, &tree)
	tree["write_id"], tree["generation"] = "another", r.generation
	data, _ := json.Marshal(tree)
	r.stub.Put(key, data)
	return store.KV{}, store.ErrUnknownOutcome
}

// Guards against a write without an answer that is reported as accepted, refused
// or unknown although reading the document back shows otherwise.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	cases := []struct {
		name   string
		inject func(d *deployment, s *storestub.Stub) store.Store
		want   int
		ours   bool // the stored document is that of the change
	}{
		{"answer lost", func(_ *deployment, s *storestub.Stub) store.Store { s.LoseAnswers(1); return s }, ExitOK, true},
		{"several answers lost", func(_ *deployment, s *storestub.Stub) store.Store { s.LoseAnswers(3); return s }, ExitOK, true},
		{"write held up", func(_ *deployment, s *storestub.Stub) store.Store { s.HoldWrites(2, 3*time.Second); return s }, ExitOK, true},
		{"no write arrives", func(_ *deployment, s *storestub.Stub) store.Store { s.HoldWrites(1000, time.Hour); return s }, ExitUnknown, false},
		{"old document is read", func(_ *deployment, s *storestub.Stub) store.Store {
			return &replacingStore{Store: s, stub: s, generation: 1}
		}, ExitUnknown, false},
		{"write never arrives", func(_ *deployment, s *storestub.Stub) store.Store { s.HoldWrites(1, time.Hour); return s }, ExitOK, true},
		{"another write instead", func(_ *deployment, s *storestub.Stub) store.Store {
			return &replacingStore{Store: s, stub: s, generation: 2}
		}, ExitConflict, false},
		{"another write later", func(_ *deployment, s *storestub.Stub) store.Store {
			return &replacingStore{Store: s, stub: s, generation: 3}
		}, ExitUnknown, false},
		{"down before", func(_ *deployment, s *storestub.Stub) store.Store { s.SetDown(true); return s }, ExitUnavailable, false},
		{"down after", func(_ *deployment, s *storestub.Stub) store.Store {
			s.HoldWrites(1, time.Hour)
			time.AfterFunc(100*time.Millisecond, func() { s.SetDown(true) })
			s.SetLatency(30 * time.Millisecond)
			return s
		}, ExitUnknown, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			deploy(t, func(d *deployment) {
				d.run(ExitOK, "apply", d.writeDocument(unchanged))
				s := test.inject(d, d.stub)
				r, err := New(Options{Store: s, Transport: d.net}).Edit(context.Background(), Assignments([]string{"templates[proof].urgency=5"}))
				d.Check(ExitCode(err), qt.Equals, test.want, qt.Commentf("%v", err))
				d.Check(err != nil && strings.Contains(err.Error(), "<nil>"), qt.IsFalse, qt.Commentf("%v", err))
				d.Check(r.Document != nil && d.stored().WriteID == r.Document.WriteID, qt.Equals, test.ours)
			})
		})
	}
}

// Guards against a change that is reported as confirmed while a process that
// cannot be reached or lags behind still uses the old configuration.
func TestUnconfirmedProcessesAreNamed(t *testing.T) {
	cases := []struct {
		name   string
		inject func(d *deployment)
		want   string
	}{
		{"agent lags", func(d *deployment) { d.a.agents[0].Usable, d.b.agents[0].Usable = false, false },
			"agent agent-1 at 127.0.0.1:9 (generation 0)"},
		{"entry refuses and lags", func(d *deployment) { d.b.refusesPush = true }, "entry entry-b at 127.0.0.1:2 (generation 0)"},
		{"entry unreachable", func(d *deployment) { delete(d.net, d.b.admin) }, "entry entry-b at 127.0.0.1:2 (Get"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			deploy(t, func(d *deployment) {
				test.inject(d)
				out := d.run(ExitUnconfirmed, "apply", d.writeDocument(unchanged))
				d.Check(out, qt.Contains, "accepted as generation 1")
				d.Check(out, qt.Contains, test.want)
				d.Check(out, qt.Not(qt.Contains), "entry-a")
				d.Check(d.run(ExitUnconfirmed, "status"), qt.Contains, "agent-1")
				var f errorReport
				d.Assert(json.Unmarshal([]byte(d.run(ExitUnconfirmed, "-json", "apply", d.writeDocument(unchanged))), &f), qt.IsNil)
				d.Check(f.Processes, qt.HasLen, 1)
			})
		})
	}
}

// Guards against an older report of an agent that is preferred to a newer one.
func TestFreshestReportOfAnAgentCounts(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.run(ExitOK, "apply", d.writeDocument(unchanged))
		d.a.agents[0].Generation, d.a.agents[0].HeardMS = 0, 100
		d.b.agents[0].HeardMS = 5
		d.run(ExitOK, "status")
		d.a.agents[0].HeardMS = 1
		d.run(ExitUnconfirmed, "status")
	})
}

// Guards against a change that is lost because the store was restored from a
// backup while a process holds a higher generation.
func TestHigherGenerationIsRefused(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.run(ExitOK, "apply", d.writeDocument(unchanged))
		d.b.generation = 8
		before := d.stored()
		out := d.run(ExitHigherGeneration, "out", "anping")
		d.Check(out, qt.Contains, "entry entry-b holds generation 8 and the store generation 1")
		d.Check(d.stored().Equal(before), qt.IsTrue)
	})
}

// Guards against another operator's change that is taken for a restored store
// because an entry reports it before the tool reads it from the store.
func TestChangeDuringTheSurveyConflicts(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.run(ExitOK, "apply", d.writeDocument(unchanged))
		other, err := d.stored().Successor(d.stored())
		d.Assert(err, qt.IsNil)
		other.Templates[0].Urgency = 8
		value, err := other.Encode()
		d.Assert(err, qt.IsNil)
		d.a.beforeState = func() {
			d.stub.Put(config.Key, value)
			d.a.generation, d.a.beforeState = other.Generation, nil
		}
		out := d.run(ExitConflict, "edit", "templates[proof].urgency=5")
		d.Check(out, qt.Matches, `(?s).*templates\[proof\].urgency +8 +5\n.*`)
		d.Check(d.stored().Equal(other), qt.IsTrue)
	})
}

// Guards against a survey that leaves out an entry which is known only from
// another entry's list of peers.
func TestPeersOfEntriesAreAsked(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.run(ExitOK, "apply", d.writeDocument(unchanged))
		d.b.generation, d.a.peer, d.b.peer = 0, d.b.admin, d.a.admin
		d.Check(d.run(ExitUnconfirmed, "-entries", d.a.admin, "status"), qt.Contains, "entry-b")
		d.run(ExitOK, "-entries", d.a.admin, "out", "anping")
		d.Check(d.b.generation, qt.Equals, uint64(2))
	})
}

// Guards against an invalid document or a wrong command line that changes the
// stored document.
func TestRefusedCommandsChangeNothing(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.run(ExitOK, "apply", d.writeDocument(unchanged))
		before := d.stored()
		bad := filepath.Join(d.TempDir(), "bad.json")
		d.Assert(os.WriteFile(bad, []byte(`{"limits":{"x":1}}`), 0o600), qt.IsNil)
		cases := []struct {
			code int
			want string
			args []string
		}{
			{ExitInvalid, "templates[0].urgency: 99 is not accepted; give 0 to 9", []string{"edit", "templates[proof].urgency=99"}},
			{ExitInvalid, "generation", []string{"edit", "generation=9"}},
			{ExitInvalid, `no element "none"`, []string{"edit", "templates[none].urgency=1"}},
			{ExitInvalid, "unknown field; accepted here: max_queued_tasks", []string{"apply", bad}},
			{ExitInvalid, bad + ": invalid document", []string{"validate", bad}},
			{ExitInvalid, "unknown", []string{"out", "tainan"}},
			{ExitUsage, "", []string{"edit"}},
			{ExitUsage, "", []string{"out"}},
			{ExitUsage, "", []string{"apply", "/nonexistent"}},
			{ExitUsage, "IP address", []string{"-entries", "entry.example:1", "status"}},
			{ExitUsage, "", []string{"no-such-command"}},
			{ExitProcess, `known are ["entry-a" "entry-b" "agent-1"]`, []string{"dump", "agent-2"}},
			{ExitProcess, `known are ["agent-1"]`, []string{"drain", "entry-a"}},
		}
		for _, test := range cases {
			d.Check(d.run(test.code, test.args...), qt.Contains, test.want)
		}
		d.Check(d.stored().Equal(before), qt.IsTrue)
	})
}

// Guards against a drain that succeeds while an entry still sends tasks to the
// agent.
func TestDumpAndDrain(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.Check(d.run(ExitOK, "dump", "agent-1"), qt.Contains, `{"ledger":"kept"}`)
		d.Check(d.run(ExitOK, "-entries", d.b.admin, "dump", "entry-b"), qt.Contains, `"id":"entry-b"`)
		d.Check(d.run(ExitUnconfirmed, "drain", "agent-1"), qt.Contains, `["entry-b"]`)
		d.bReportsLeaving = true
		d.run(ExitOK, "drain", "agent-1")
		delete(d.net, "127.0.0.1:9")
		d.run(ExitProcess, "drain", "agent-1")
	})
}

// Guards against a drain that counts as done because no entry could be asked, and
// against one that fails without naming the entries it last heard from or the cause.
func TestDrainWithoutAnswers(t *testing.T) {
	for _, laterLost := range []bool{false, true} {
		deploy(t, func(d *deployment) {
			surveys := 0
			d.net["127.0.0.1:9"] = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if !laterLost {
					clear(d.net)
				}
			})
			d.net[d.a.admin] = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if surveys++; surveys > 3 { // of which one looks for the agent
					http.Error(w, "lost", http.StatusServiceUnavailable)
					return
				}
				d.a.ServeHTTP(w, r)
			})
			d.net[d.b.admin] = http.NotFoundHandler()
			out := d.run(ExitUnconfirmed, "drain", "agent-1")
			d.Check(out, qt.Contains, "no entry can be reached")
			d.Check(strings.Contains(out, `["entry-a"]`), qt.Equals, laterLost, qt.Commentf("%s", out))
		})
	}
}

// Guards against a merge patch or an assignment that changes a field other than
// the one it names.
func TestEdits(t *testing.T) {
	c := qt.New(t)
	before := sampleDocument(c)
	cases := []struct {
		edit func(*config.Document) (*config.Document, error)
		want []string
	}{
		{MergePatch([]byte(`{}`)), nil},
		{MergePatch([]byte(`{"limits":{"max_tasks_per_job":9}}`)), []string{"limits.max_tasks_per_job: →9"}},
		{Assignments([]string{`templates[proof].data_centres=["annan"]`}), []string{`templates[proof].data_centres[0]: "anping"→"annan"`}},
		{Assignments([]string{"templates[1].idempotent=null", "accounts[bureau].max_running_tasks=1"}),
			[]string{"accounts[bureau].max_running_tasks: 40→1", "templates[lettering].idempotent: true→"}},
		{Assignments([]string{`templates[proof].tasks[render].body=a=b`}), []string{`templates[proof].tasks[render].body: "a"→"a=b"`}},
	}
	for _, test := range cases {
		after, err := test.edit(before)
		c.Assert(err, qt.IsNil)
		var got []string
		for _, d := range Differences(before, after) {
			got = append(got, fmt.Sprintf("%s: %s→%s", d.Field, d.Before, d.After))
		}
		c.Check(got, qt.DeepEquals, test.want)
	}
	for _, patch := range []string{`[]`, `{`, `{"write_id":"x"}`, `{} {}`} {
		_, err := MergePatch([]byte(patch))(before)
		c.Check(err, qt.ErrorIs, ErrInvalidChange, qt.Commentf(patch))
	}
	for _, text := range []string{"a", "=1", "templates[].x=1", "templates[9]=1", "limits.max_tasks_per_job.x=1", "generation.x=1"} {
		_, err := Assignments([]string{text})(before)
		c.Check(err, qt.IsNotNil, qt.Commentf(text))
	}
}
