package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// failingStore fails each read with an error.
type failingStore struct {
	store.Store
	err error
}

func (failingStore) Linearizable() bool { return true }

func (f failingStore) Get(context.Context, string) (store.KV, error) { return store.KV{}, f.err }

// relayConn answers Agent.ReadConfig.
type relayConn struct {
	agentConn
	reply wire.ReadConfigReply
	err   error
}

func (r relayConn) Call(_ context.Context, _ string, _, reply any) error {
	*reply.(*wire.ReadConfigReply) = r.reply
	return r.err
}

func (relayConn) Close() error { return nil }

// Guards against a failed read that counts as an outage, in which the gates stay open,
// although the store answers somebody; and against a store that answers nobody and
// does not count as one. Each kind of failure is paired with each answer of an agent.
func TestFailedReadsAndOutages(t *testing.T) {
	document := []byte(`{"generation":7,"data_centres":[{"name":"a","region":"r","in_service":true}],"accounts":[],"templates":[],"limits":{}}`)
	newer := []byte(`{"generation":9,"data_centres":[{"name":"a","region":"r","in_service":false}],"accounts":[],"templates":[],"limits":{}}`)
	older := []byte(`{"generation":5,"data_centres":[{"name":"a","region":"r","in_service":false}],"accounts":[],"templates":[],"limits":{}}`)
	agents := []struct {
		name   string
		conn   relayConn
		basis  gate.Basis // if the entry's read got no answer or was refused
		within time.Duration
	}{
		{"no agent", relayConn{err: errors.New("unreachable")}, gate.BasisOutage, time.Second},
		{"agent gets no answer", relayConn{}, gate.BasisOutage, time.Second},
		{"agent gets an unusable answer", relayConn{reply: wire.ReadConfigReply{Answers: true}}, gate.BasisOwn, 0},
		{"agent reads the same", relayConn{reply: wire.ReadConfigReply{Read: true, Answers: true, Same: true}}, gate.BasisOwn, time.Second},
		{"agent reads a change", relayConn{reply: wire.ReadConfigReply{Read: true, Answers: true, Document: newer}}, gate.BasisOwn, time.Second},
		{"agent reads an older document", relayConn{reply: wire.ReadConfigReply{Read: true, Answers: true, Document: older}}, gate.BasisOwn, 0},
		{"store has none", relayConn{reply: wire.ReadConfigReply{Read: true, Answers: true}}, gate.BasisOwn, 0},
	}
	for _, failure := range []struct {
		name    string
		err     error
		answers bool
	}{
		{"unreachable", store.ErrUnavailable, false},
		{"refused", fmt.Errorf("%w: %w", store.ErrUnavailable, store.ErrRefused), false},
		{"stalled", fmt.Errorf("%w: %w", store.ErrUnavailable, store.ErrStalled), true},
		{"unusable", fmt.Errorf("%w: %w", store.ErrUnavailable, store.ErrUnusable), true},
	} {
		for _, agent := range agents {
			t.Run(failure.name+", "+agent.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					s := entrySettings(1, "a")
					conf := newConfirmation(s.Timing, "a", zerolog.Nop())
					cfg := &configuration{
						store: failingStore{err: failure.err}, timing: s.Timing, clock: clock.System(), log: zerolog.Nop(),
						metrics: newMetrics(nil), confirmation: conf, onChange: func(*config.View) {}, transfer: make(chan struct{}, 1),
					}
					cfg.relay = &relay{
						config: cfg, agents: func() []string { return []string{"10.0.0.9:1"} },
						dial: func(context.Context, string) (agentConn, error) { return agent.conn, nil },
					}
					c.Assert(cfg.applyDocument(document, "test"), qt.IsNil)
					conf.recordStoreAnswer()
					conf.recordConfirmingRead(time.Now())
					time.Sleep(5 * time.Second)
					c.Check(cfg.readStore(context.Background()), qt.Equals, failure.err)
					basis, within := agent.basis, agent.within
					if failure.answers {
						basis, within = gate.BasisOwn, 0 // the next read follows at once
					}
					age, got := conf.age(time.Now())
					c.Check(got, qt.Equals, basis)
					c.Check(age <= within || within == 0 && age >= 5*time.Second, qt.IsTrue, qt.Commentf("age %v", age))
				})
			})
		}
	}
}
