package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/dev"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/settings"
)

const (
	// conditionTimeout ends a test whose condition does not become true. It is far
	// above the time that any step needs, and is not a requirement on that time.
	conditionTimeout = 90 * time.Second
	// pollInterval is the interval between checks of a condition in another
	// process.
	pollInterval = 20 * time.Millisecond
	// slots is the number of slots of each agent.
	slots = 4
)

// programDir is the directory of the built programs.
var programDir string

// buildPrograms builds the programs once for all tests of the package.
var buildPrograms = sync.OnceValue(func() error {
	out, err := exec.Command("go", "build", "-o", programDir, "chicorytray.example/chicorytray/cmd/...").CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
})

func TestMain(m *testing.M) {
	var err error
	if programDir, err = os.MkdirTemp("", "chicorytray-e2e-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(programDir)
	os.Exit(code)
}

// process is a running program that the test started.
type process struct {
	cmd    *exec.Cmd
	name   string
	log    *lockedBuffer
	exited chan struct{}
	admin  string // IP:port; empty for the store
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func (p *process) signal(c *qt.C, s syscall.Signal) {
	c.Helper()
	c.Assert(p.cmd.Process.Signal(s), qt.IsNil)
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill(c *qt.C) {
	c.Helper()
	p.signal(c, syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM and requires the process to end with status 0.
func (p *process) stop(c *qt.C) {
	c.Helper()
	p.signal(c, syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(conditionTimeout):
		c.Fatalf("%s did not stop", p.name)
	}
	c.Check(p.cmd.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s: %s", p.name, p.log))
}

// system is a running deployment.
type system struct {
	c       *qt.C
	dir     string
	layout  dev.Layout
	record  *upstreamstub.Record
	entries []*process
	callers []string // caller addresses of the entries
	agents  []*process
}

// startSystem starts a system and waits until both entries can use all agents.
func startSystem(t *testing.T) *system {
	t.Parallel()
	c := qt.New(t)
	layout, err := dev.LayoutNamed("recife")
	c.Assert(err, qt.IsNil)
	s := &system{c: c, dir: t.TempDir(), layout: layout, record: upstreamstub.NewRecord()}
	addresses := freeAddresses(c, 1+2*3+3*2)
	next := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	store := next()
	document, err := layout.Document().Encode()
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(s.dir, "config.json"), document, 0o600), qt.IsNil)
	s.startProgram("store", "", "chicorytray-dev", "store", "-listen", store, "-config", filepath.Join(s.dir, "config.json"))
	s.eventually("store answers", func() bool {
		conn, err := net.Dial("tcp", store)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	for i := range 2 {
		s.startEntry(i, store, next(), next(), next())
	}
	for i := range 3 {
		s.startAgent(i, store, next(), next())
	}
	for i := range s.entries {
		s.eventually("agents are usable", func() bool { return s.usableAgents(i) == len(s.agents) })
	}
	return s
}

// Ports are below the range from which the operating system assigns ports to
// outgoing connections and to listeners on port 0, and belong to a loopback
// address that only this process uses. Otherwise another process could take a
// port between its choice and its use, as when two parallel runs of these tests
// chose the same port of 127.0.0.1.
const (
	lowestPort  = 20000
	highestPort = 30000
)

var (
	portMu    sync.Mutex
	usedPorts = map[int]bool{}
)

// processLoopback returns the loopback address of this process, which contains
// the process identifier. Process identifiers have at most 22 bits on Linux.
func processLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// freeAddresses returns loopback addresses that no other test uses.
func freeAddresses(c *qt.C, n int) []string {
	portMu.Lock()
	defer portMu.Unlock()
	var out []string
	for tries := 0; len(out) < n; tries++ {
		c.Assert(tries < highestPort-lowestPort, qt.IsTrue, qt.Commentf("no free ports"))
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("%s:%d", processLoopback(), port)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		usedPorts[port] = true
		out = append(out, address)
	}
	return out
}

func (s *system) startEntry(i int, store, callers, peers, admin string) {
	e := settings.DefaultEntry()
	e.ID, e.DataCentre = fmt.Sprintf("entry-%d", i+1), s.layout.DataCentres[i]
	e.CallerAddress, e.PeerAddress, e.AdminAddress = callers, peers, admin
	e.Store.URL = "http://" + store
	e.Timing.StopNotice = settings.Duration(100 * time.Millisecond)
	s.callers = append(s.callers, callers)
	s.entries = append(s.entries, s.startProgram(e.ID, admin, "chicorytray-entry", "run", "-settings", s.writeSettings(e.ID, e)))
}

func (s *system) startAgent(i int, store, peers, admin string) {
	stub, err := upstreamstub.Listen("127.0.0.1:0", upstreamstub.Options{
		Name: fmt.Sprintf("w%02d", i+1), DataCentre: s.layout.DataCentres[i], Slots: slots, Record: s.record,
	})
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = stub.Close() })
	a := settings.DefaultAgent()
	a.ID, a.DataCentre, a.Rack, a.Worker = fmt.Sprintf("agent-%d", i+1), s.layout.DataCentres[i], "r1", fmt.Sprintf("w%02d", i+1)
	a.PeerAddress, a.AdminAddress, a.Upstream = peers, admin, stub.Address()
	a.HealthPath, a.Slots, a.Store.URL = upstreamstub.HealthPath, slots, "http://"+store
	s.agents = append(s.agents, s.startProgram(a.ID, admin, "chicorytray-agent", "run", "-settings", s.writeSettings(a.ID, a)))
}

func (s *system) writeSettings(name string, v any) string {
	data, err := json.Marshal(v)
	s.c.Assert(err, qt.IsNil)
	path := filepath.Join(s.dir, name+".json")
	s.c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	return path
}

// startProgram starts a program and kills it at the end of the test.
func (s *system) startProgram(name, admin, program string, args ...string) *process {
	s.c.Assert(buildPrograms(), qt.IsNil)
	p := &process{name: name, admin: admin, log: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(programDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	s.c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	s.c.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if the process has already ended
		<-p.exited
		if s.c.Failed() {
			s.c.Logf("log of %s:\n%s", p.name, p.log)
		}
	})
	return p
}

// eventually waits until a condition in other processes is true and fails the
// test after conditionTimeout.
func (s *system) eventually(what string, condition func() bool) {
	s.c.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	limit := time.After(conditionTimeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-limit:
			s.c.Fatalf("condition did not become true: %s", what)
		}
	}
}

// fetchState reads the state dump of a process; ok is false when it does not
// answer.
func fetchState[T any](p *process) (v T, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.admin+"/debug/state", http.NoBody)
	if err != nil {
		return v, false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	return v, json.NewDecoder(resp.Body).Decode(&v) == nil
}

// usableAgents returns the number of agents that an entry can use.
func (s *system) usableAgents(i int) int {
	v, _ := fetchState[entry.State](s.entries[i])
	n := 0
	for _, a := range v.Agents {
		if a.Usable {
			n++
		}
	}
	return n
}

// answer is the answer that a caller got; err is set when it did not arrive
// completely.
type answer struct {
	status  int
	Results []struct {
		Status int    `json:"status"`
		Body   string `json:"body"`
	} `json:"results"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	err     error
}

// submit submits a job whose tasks take ms milliseconds each, and waits for the
// answer. The keys of the tasks are name.0, name.1 and so on.
func (s *system) submit(entry int, name string, tasks int, ms float64) answer {
	return s.submitWithKey(entry, "", name, tasks, ms)
}

// submitWithKey is submit with an Idempotency-Key unless key is empty.
func (s *system) submitWithKey(entry int, key, name string, tasks int, ms float64) answer {
	type task struct {
		Name string `json:"name"`
		Body string `json:"body"`
	}
	body := struct {
		Template string `json:"template"`
		Tasks    []task `json:"tasks"`
	}{Template: s.layout.Names.Bulk}
	for i := range tasks {
		r := upstreamstub.Request{Key: fmt.Sprintf("%s.%d", name, i), ServiceMS: ms}
		body.Tasks = append(body.Tasks, task{s.layout.Names.Tasks[0], r.Encode()})
	}
	data, err := json.Marshal(body)
	if err != nil {
		return answer{err: err}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.callers[entry]+"/v1/jobs", bytes.NewReader(data))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+dev.Token(s.layout.Names.OfficeAccount))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return sendRequest(req)
}

func sendRequest(req *http.Request) answer {
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode}
	a.err = errors.Join(err, json.Unmarshal(data, &a))
	return a
}

// submitInBackground submits a job, waits until the given number of its tasks
// have started, and returns the channel that gets the answer.
func (s *system) submitInBackground(entry int, name string, tasks int, ms float64, started int) <-chan answer {
	s.c.Helper()
	out := make(chan answer, 1)
	go func() { out <- s.submit(entry, name, tasks, ms) }()
	s.eventually("tasks of "+name+" start", func() bool { return s.startedTasks(name, tasks) >= started })
	return out
}

// startedTasks returns how many tasks of a job have started.
func (s *system) startedTasks(name string, tasks int) int {
	seen := map[string]bool{}
	for _, st := range s.record.Starts() {
		seen[st.Key] = true
	}
	n := 0
	for i := range tasks {
		if seen[fmt.Sprintf("%s.%d", name, i)] {
			n++
		}
	}
	return n
}

// checkDone requires a complete answer to a job of this name and size.
func (s *system) checkDone(a answer, name string, tasks int) {
	s.c.Helper()
	s.c.Assert(a.err, qt.IsNil)
	s.c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s %s", a.Outcome, a.Reason))
	s.c.Assert(a.Results, qt.HasLen, tasks)
	for i, r := range a.Results {
		var got upstreamstub.Answer
		s.c.Assert(json.Unmarshal([]byte(r.Body), &got), qt.IsNil)
		s.c.Check(got.Key, qt.Equals, fmt.Sprintf("%s.%d", name, i))
	}
}

// checkAgreesWithStarts requires that the answer is complete, or is a failure
// that agrees with the recorded starts: not_run only if no task has started.
func (s *system) checkAgreesWithStarts(a answer, name string, tasks int) {
	s.c.Helper()
	s.c.Assert(a.err, qt.IsNil)
	if a.status == http.StatusOK {
		s.checkDone(a, name, tasks)
		return
	}
	s.c.Check(a.Results, qt.HasLen, 0)
	if a.Outcome == "not_run" {
		s.c.Check(s.startedTasks(name, tasks), qt.Equals, 0)
		return
	}
	s.c.Check(a.Outcome, qt.Matches, "unknown|failed")
}

// checkSingleStarts requires that no task started twice.
func (s *system) checkSingleStarts() {
	s.c.Helper()
	s.c.Check(s.record.Duplicates(), qt.HasLen, 0)
}
