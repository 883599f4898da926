package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// instantAgent is an agentConn that replies to every Run at once, so that the
// benchmark measures only the entry.
type instantAgent struct{ ref wire.AgentRef }

func (a instantAgent) Call(_ context.Context, _ string, _, reply any) error {
	switch r := reply.(type) {
	case *wire.OpenSessionReply:
		r.Agent = a.ref
	case *wire.RunReply:
		r.Result = wire.Result{Outcome: wire.OutcomeDone, Took: time.Millisecond, Response: wire.Response{Status: http.StatusOK, Body: []byte("{}")}}
	}
	return nil
}
func (instantAgent) LastReceived() time.Time { return time.Now() }
func (instantAgent) Close() error            { return nil }

// BenchmarkTask measures the cost of one task at the entry, from authentication
// to the answer, with up to 1,000 agents, the number planned for in two years.
func BenchmarkTask(b *testing.B) {
	for _, agents := range []int{11, 1000} {
		for _, tasks := range []int{1, 20, 1500} {
			b.Run(fmt.Sprintf("agents=%d/tasks=%d", agents, tasks), func(b *testing.B) { benchmarkTasks(b, agents, tasks) })
		}
	}
}

func benchmarkTasks(b *testing.B, agents, tasks int) {
	s := settings.DefaultEntry()
	s.ID, s.DataCentre = "e1", "anping"
	e, err := New(Options{Settings: s, Store: storestub.New(), Logger: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	refs := map[string]wire.AgentRef{}
	e.dispatcher.dial = func(_ context.Context, address string) (agentConn, error) { return instantAgent{refs[address]}, nil }
	e.running.Store(true)
	stop := make(chan struct{})
	defer func() { close(stop); <-e.dispatcher.ended }()
	go e.dispatcher.run(stop)
	raw, err := benchDocument().Encode()
	if err != nil {
		b.Fatal(err)
	}
	if err := e.config.applyDocument(raw, "test"); err != nil {
		b.Fatal(err)
	}
	for i := range agents {
		ref := wire.AgentRef{ID: fmt.Sprint("a", i), Incarnation: 1, Address: fmt.Sprint(i), DataCentre: "anping",
			Rack: fmt.Sprint("r", i/3), Slots: 8, QueueLimit: 2}
		refs[ref.Address] = ref
	}
	sendHeartbeats := func() {
		for _, ref := range refs {
			req := wire.HeartbeatRequest{Agent: ref, Healthy: true, ReadAge: -1}
			if err := e.rpcHeartbeat(context.Background(), &req, &wire.HeartbeatReply{}); err != nil {
				b.Fatal(err)
			}
		}
	}
	sendHeartbeats()
	for usable := 0; usable < agents; { // until every session is open
		e.dispatcher.postAndWait(func(d *dispatcher) {
			usable = 0
			for _, a := range d.agents {
				if a.usable {
					usable++
				}
			}
		})
	}
	last := time.Now()
	body := jobRequest{Template: "proof"}
	for range tasks {
		body.Tasks = append(body.Tasks, taskRequest{Name: "render"})
	}
	newSubmission := func() *submission {
		return &submission{kind: config.KindJob, request: body, arrived: time.Now(), token: "t", requestID: "r"}
	}
	b.ResetTimer()
	for n := 0; n < b.N; n += tasks {
		if time.Since(last) > time.Second {
			sendHeartbeats()
			last = time.Now()
		}
		x := newSubmission()
		for _, f := range []func(*submission) error{e.authenticate, checkTasks, e.admit, func(x *submission) error { e.expand(x); return e.enqueue(x) }} {
			if err := f(x); err != nil {
				b.Fatal(err)
			}
		}
		e.awaitAnswer(context.Background(), x)
		if x.answer.status != http.StatusOK {
			b.Fatalf("%s", x.answer.body)
		}
	}
}

func benchDocument() *config.Document {
	return &config.Document{
		Generation:  1,
		DataCentres: []config.DataCentre{{Name: "anping", Region: "tainan", InService: true}},
		Accounts:    []config.Account{{Name: "portal", TokenSHA256: []string{config.HashToken("t")}}},
		Templates: []config.Template{{Name: "proof", Account: "portal", Kind: config.KindJob, DeadlineMS: 60000, ExpectedMS: 1,
			Tasks: []config.Task{{Name: "render", Method: "POST", Path: "/render"}}}},
	}
}
