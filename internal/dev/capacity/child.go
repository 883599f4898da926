package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// Spec says what the child process runs around the measured daemon.
type Spec struct {
	// Entry is the peer address of the measured entry.
	Entry       string
	DataCentres []string
	Agents      int
	Took        time.Duration // duration of every task
	Peers       int           // entry stand-ins
	Accounts    int           // number for which each entry stand-in reports demand
	Calls       callLoad
	// Agent is the peer address of the measured agent, Upstream the address of
	// its upstream stand-in and Entries the addresses of its entry stand-ins,
	// which together send TasksPerSecond.
	Agent          string
	Upstream       string
	Entries        []string
	TasksPerSecond float64
}

// Outcome is what the child reports when it ends.
type Outcome struct {
	Tasks int    // number answered
	Error string // error of a stand-in or caller; empty if there was none
}

// RunChild reads a Spec as JSON from the first line of in, runs its stand-ins
// until in ends, and writes the Outcome as JSON to out.
func RunChild(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("capacity: read specification: %w", err)
	}
	var s Spec
	if err := json.Unmarshal(first, &s); err != nil {
		return fmt.Errorf("capacity: parse specification: %w", err)
	}
	go func() {
		_, _ = io.Copy(io.Discard, lines)
		cancel()
	}()
	var (
		wg sync.WaitGroup
		o  Outcome
	)
	recordError := func(err error) {
		if err != nil {
			o.Error = err.Error()
		}
	}
	var agentsErr, peersErr, callsErr, tasksErr, upstreamErr error
	tasks := 0
	if s.Agents > 0 {
		wg.Go(func() { agentsErr = runAgents(ctx, s.Entry, s.Agents, s.DataCentres, s.Took) })
	}
	if s.Peers > 0 {
		wg.Go(func() { peersErr = runPeers(ctx, s.Entry, s.Peers, s.Accounts, s.DataCentres) })
	}
	if s.Calls.Address != "" {
		wg.Go(func() { o.Tasks, callsErr = runCallers(ctx, s.Calls) })
	}
	if s.Agent != "" {
		wg.Go(func() { upstreamErr = listenUpstream(ctx, s.Upstream) })
		wg.Go(func() { tasks, tasksErr = runSenders(ctx, s) })
	}
	wg.Wait()
	o.Tasks += tasks
	for _, err := range []error{agentsErr, peersErr, callsErr, tasksErr, upstreamErr} {
		recordError(err)
	}
	return json.NewEncoder(out).Encode(o)
}

// child is a running child process.
type child struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     io.ReadCloser
}

// startChild starts this program again with the verb that calls RunChild and
// sends it the specification.
func startChild(ctx context.Context, verb string, s Spec) (*child, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{command: exec.CommandContext(ctx, program, verb)}
	c.command.Stderr = os.Stderr
	if c.in, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	if c.out, err = c.command.StdoutPipe(); err != nil {
		return nil, err
	}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(c.in).Encode(s); err != nil {
		_, _ = c.stop()
		return nil, err
	}
	return c, nil
}

// stop ends the child by closing its input and returns its outcome.
func (c *child) stop() (Outcome, error) {
	_ = c.in.Close()
	var o Outcome
	decodeErr := json.NewDecoder(c.out).Decode(&o)
	if err := c.command.Wait(); err != nil {
		return o, err
	}
	return o, decodeErr
}
