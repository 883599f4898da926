// Package processtest starts the programs as separate processes on loopback, for the
// tests that need them.
package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/dev"
)

const (
	// ConditionTimeout ends a test whose condition does not become true. It is far
	// above the time that any step needs, and is not a requirement on that time.
	ConditionTimeout = 90 * time.Second
	// pollInterval is the interval between checks of a condition in another process.
	pollInterval = 20 * time.Millisecond
)

// programDir is the directory of the built programs.
var programDir string

// buildPrograms builds the programs once for all tests of a package.
var buildPrograms = sync.OnceValue(func() error {
	out, err := exec.Command("go", "build", "-o", programDir,
		"chicorytray.example/chicorytray/cmd/...", "chicorytray.example/chicorytray/platform/cmd/...").CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
})

// Main is the TestMain of a package that starts programs.
func Main(m *testing.M) {
	var err error
	if programDir, err = os.MkdirTemp("", "chicorytray-test-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(programDir)
	os.Exit(code)
}

// Process is a running program that the test started.
type Process struct {
	Name   string
	Admin  string        // IP:port; empty if the process has no admin address
	Exited chan struct{} // closed when the process has ended
	cmd    *exec.Cmd
	log    *lockedBuffer
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

// Start starts a program, and kills it at the end of the test. env is added to the
// environment of the test.
func Start(c *qt.C, name string, env []string, program string, args ...string) *Process {
	c.Helper()
	c.Assert(buildPrograms(), qt.IsNil)
	p := &Process{Name: name, log: &lockedBuffer{}, Exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(programDir, program), args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.Exited)
	}()
	c.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if the process has already ended
		<-p.Exited
		if c.Failed() {
			c.Logf("log of %s:\n%s", p.Name, p.log)
		}
	})
	return p
}

// StartStore starts the stand-in of the store with the configuration of the layout, and
// waits until it accepts connections.
func StartStore(c *qt.C, layout dev.Layout, dir, address string) {
	c.Helper()
	document, err := layout.Document().Encode()
	c.Assert(err, qt.IsNil)
	file := filepath.Join(dir, "config.json")
	c.Assert(os.WriteFile(file, document, 0o600), qt.IsNil)
	Start(c, "store", nil, "chicorytray-dev", "store", "-listen", address, "-config", file)
	Eventually(c, "store answers", func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

// PID returns the process's identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// State describes the end of a process that has ended.
func (p *Process) State() string { return p.cmd.ProcessState.String() }

// Signal sends a signal.
func (p *Process) Signal(c *qt.C, s syscall.Signal) {
	c.Helper()
	c.Assert(p.cmd.Process.Signal(s), qt.IsNil)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill(c *qt.C) {
	c.Helper()
	p.Signal(c, syscall.SIGKILL)
	<-p.Exited
}

// Stop sends SIGTERM and requires the process to end with status 0.
func (p *Process) Stop(c *qt.C) {
	c.Helper()
	p.Signal(c, syscall.SIGTERM)
	select {
	case <-p.Exited:
	case <-time.After(ConditionTimeout):
		c.Fatalf("%s did not stop", p.Name)
	}
	c.Check(p.cmd.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s: %s", p.Name, p.log))
}

// Eventually waits until a condition in other processes is true, and fails the test
// after ConditionTimeout.
func Eventually(c *qt.C, what string, condition func() bool) {
	c.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	limit := time.After(ConditionTimeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-limit:
			c.Fatalf("condition did not become true: %s", what)
		}
	}
}

// WriteJSON writes a value to a file of the directory and returns the file's path.
func WriteJSON(c *qt.C, dir, name string, v any) string {
	c.Helper()
	data, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	path := filepath.Join(dir, name+".json")
	c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	return path
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

// Loopback returns the loopback address of this process, which contains the process
// identifier. Process identifiers have at most 22 bits on Linux.
func Loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// FreeAddresses returns loopback addresses that no other test uses.
func FreeAddresses(c *qt.C, n int) []string {
	portMu.Lock()
	defer portMu.Unlock()
	var out []string
	for tries := 0; len(out) < n; tries++ {
		c.Assert(tries < highestPort-lowestPort, qt.IsTrue, qt.Commentf("no free ports"))
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("%s:%d", Loopback(), port)
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
