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
	Accounts    int           // of which each entry stand-in reports demand
	Calls       callLoad
	// Agent is the peer address of the measured agent, Upstream that of its
	// upstream stand-in, Entries those of the entry stand-ins around it, and
	// TasksPerSecond is what they send together.
	Agent          string
	Upstream       string
	Entries        []string
	TasksPerSecond float64
}

// Outcome is what the child reports at its end.
type Outcome struct {
	Tasks int    // answered
	Error string // the last error of a caller
}

// RunChild runs the stand-ins of the specification on the first line of in
// until in ends, and writes the outcome to out.
func RunChild(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("capacity: specification: %w", err)
	}
	var s Spec
	if err := json.Unmarshal(first, &s); err != nil {
		return fmt.Errorf("capacity: specification: %w", err)
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

// startChild starts this program again with the verb that calls RunChild.
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

// stop ends the child and returns its outcome.
func (c *child) stop() (Outcome, error) {
	_ = c.in.Close()
	var o Outcome
	decodeErr := json.NewDecoder(c.out).Decode(&o)
	if err := c.command.Wait(); err != nil {
		return o, err
	}
	return o, decodeErr
}
