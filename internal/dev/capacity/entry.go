package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/entry"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/settings"
)

const (
	taskName     = "check"
	templateName = "proof"
	token        = "capacity-token"
	// startTimeout bounds the wait until the measured daemon knows all stand-ins.
	startTimeout = 30 * time.Second
	// settleTime is the wait before a measurement, so that the load of the
	// start-up is not measured.
	settleTime = 2 * time.Second
)

func accountName(i int) string { return fmt.Sprintf("account-%03d", i) }

// entryScenario says under which load an entry is measured.
type entryScenario struct {
	agents, peers, accounts int
	minConfigBytes          int // least size of the encoded configuration
	taskDuration            time.Duration
	tasksPerJob             int
	tasksPerSecond          float64
}

// entryUsage is what one entry consumed during a measurement.
type entryUsage struct {
	usage
	storeCallsPerSecond float64
	tasksPerSecond      float64 // tasks that agents answered
	openTasks           int     // in flight at the end of the measurement

	configBytes int // size of the encoded configuration
}

// document returns a configuration that takes at least minBytes when encoded.
func document(dataCentres []string, accounts, minBytes int) *config.Document {
	d := &config.Document{Generation: 1}
	for _, name := range dataCentres {
		d.DataCentres = append(d.DataCentres, config.DataCentre{Name: name, Region: "region", InService: true})
	}
	sum := sha256.Sum256([]byte(token))
	for i := range max(accounts, 1) {
		a := config.Account{Name: accountName(i), MaxTasksPerSecond: 1e6}
		if i == 0 {
			a.TokenSHA256 = []string{hex.EncodeToString(sum[:])}
		} else {
			other := sha256.Sum256([]byte(a.Name))
			a.TokenSHA256 = []string{hex.EncodeToString(other[:])}
		}
		d.Accounts = append(d.Accounts, a)
	}
	addTemplate := func(name, account string) {
		d.Templates = append(d.Templates, config.Template{
			Name: name, Account: account, Kind: config.KindJob, DeadlineMS: 60_000, ExpectedMS: 10,
			Tasks: []config.Task{{Name: taskName, Method: "POST", Path: "/check", Body: strings.Repeat("x", 200)}},
		})
	}
	addTemplate(templateName, accountName(0))
	const templateBytes = 330 // of one encoded template
	for i := 0; i < minBytes/templateBytes; i++ {
		addTemplate(fmt.Sprintf("template-%05d", i), accountName(i%max(accounts, 1)))
	}
	return d
}

// dataCentreNames returns as many names as data centres are expected in two
// years.
func dataCentreNames() []string {
	names := make([]string, targetDataCentres)
	for i := range names {
		names[i] = fmt.Sprintf("dc-%02d", i+1)
	}
	return names
}

// measureEntry runs one entry in this process, and its stand-ins and callers in
// two child processes.
func measureEntry(ctx context.Context, o Options, c entryScenario) (u entryUsage, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stub := storestub.New()
	raw, err := document(dataCentreNames(), c.accounts, c.minConfigBytes).Encode()
	if err != nil {
		return u, err
	}
	u.configBytes = len(raw)
	if _, err := stub.CompareAndSwap(ctx, config.Key, 0, raw, 0); err != nil {
		return u, err
	}
	e, callers, peers, err := newEntry(stub)
	if err != nil {
		return u, err
	}
	var running sync.WaitGroup
	var runErr error
	running.Go(func() { runErr = e.Run(ctx) })
	defer func() {
		cancel()
		running.Wait()
		if err == nil && !errors.Is(runErr, context.Canceled) {
			err = runErr
		}
	}()
	standins, err := startChild(ctx, o.ChildVerb, Spec{
		Entry: peers, DataCentres: dataCentreNames(), Agents: c.agents, Peers: c.peers, Accounts: c.accounts, Took: c.taskDuration,
	})
	if err != nil {
		return u, err
	}
	defer func() { _, _ = standins.stop() }()
	if err := waitFor(ctx, func() bool { return allStandinsKnown(e.State(), c) }); err != nil {
		return u, err
	}
	spec := Spec{}
	if c.tasksPerSecond > 0 {
		spec.Calls = callLoad{Address: callers, Token: token, Template: templateName, TasksPerJob: c.tasksPerJob, TasksPerSecond: c.tasksPerSecond}
	}
	load, err := startChild(ctx, o.ChildVerb, spec)
	if err != nil {
		return u, err
	}
	pause(ctx, settleTime)
	before, sent := stub.TotalCalls(), taskReplies(e)
	u.usage = measureUsage(o.Interval, e.Traffic)
	u.storeCallsPerSecond = float64(stub.TotalCalls()-before) / u.seconds
	u.tasksPerSecond = float64(taskReplies(e)-sent) / u.seconds
	for _, a := range e.State().Agents {
		u.openTasks += a.OpenTasks
	}
	outcome, err := load.stop()
	if err == nil && outcome.Error != "" {
		err = errors.New(outcome.Error)
	}
	return u, err
}

func taskReplies(e *entry.Entry) uint64 { return e.Traffic()["Agent.Run"].MessagesReceived }

func newEntry(stub *storestub.Stub) (e *entry.Entry, callers, peers string, err error) {
	var l [3]net.Listener
	for i := range l {
		if l[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, "", "", err
		}
	}
	s := settings.DefaultEntry()
	s.ID, s.DataCentre = "entry-measured", dataCentreNames()[0]
	s.CallerAddress, s.PeerAddress, s.AdminAddress = l[0].Addr().String(), l[1].Addr().String(), l[2].Addr().String()
	e, err = entry.New(entry.Options{
		Settings: s, Store: stub, Logger: zerolog.Nop(), Callers: l[0], Peers: l[1], Admin: l[2],
	})
	return e, s.CallerAddress, s.PeerAddress, err
}

// allStandinsKnown reports whether the entry can use all agents and knows all
// other entries.
func allStandinsKnown(s entry.State, c entryScenario) bool {
	usable := 0
	for _, a := range s.Agents {
		if a.Usable {
			usable++
		}
	}
	return usable == c.agents && len(s.Peers) >= c.peers
}

var errNotReady = errors.New("capacity: timed out before the measured daemon knew all stand-ins")

func waitFor(ctx context.Context, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !ready() {
		if ctx.Err() != nil {
			return errNotReady
		}
		pause(ctx, 100*time.Millisecond)
	}
	return nil
}
