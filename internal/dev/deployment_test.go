package dev

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// startDeployment starts a deployment of four workers that ends with the test.
func startDeployment(t *testing.T) (*qt.C, *Deployment) {
	c := qt.New(t)
	l, err := LayoutNamed("tainan")
	c.Assert(err, qt.IsNil)
	l.Workers = 4
	d, err := Start(Options{Layout: l})
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { c.Check(d.Close(context.Background()), qt.IsNil) })
	c.Assert(d.Ready(t.Context()), qt.IsNil)
	return c, d
}

// Guards against a failure of the demonstration, the first command that a
// newcomer runs.
func TestDemo(t *testing.T) {
	c, d := startDeployment(t)
	var out bytes.Buffer
	c.Assert(Demo(t.Context(), d, &out), qt.IsNil)
	PrintExampleCommands(d, &out)
	c.Check(out.String(), qt.Contains, "40 results")
	c.Check(len(d.Record().Starts()), qt.Equals, demoTasks)
	c.Check(d.Messages()["Agent.Run"].Requests >= demoTasks, qt.IsTrue, qt.Commentf("%v", d.Messages()))
}

// Guards against operations on a deployment that report success and do nothing.
func TestOperations(t *testing.T) {
	c, d := startDeployment(t)
	c.Assert(d.SetInService(t.Context(), "annan", false), qt.IsNil)
	c.Check(d.SetInService(t.Context(), "nowhere", false), qt.ErrorMatches, ".*nowhere.*")
	kv, ok := d.store.Peek("config")
	c.Assert(ok, qt.IsTrue)
	c.Check(string(kv.Value), qt.Contains, `"generation":2`)

	c.Assert(d.SetWorkerFaults("w01", upstreamstub.Faults{Fail: true}), qt.IsNil)
	c.Check(d.upstreams["w01"].Faults().Fail, qt.IsTrue)
	c.Assert(d.KillWorker("w02"), qt.IsNil)
	_, err := d.DialAsCaller(t.Context(), d.agents["w02"].endpoint.Peers)
	c.Check(err, qt.Not(qt.IsNil))
	c.Assert(d.KillEntry("entry-2"), qt.IsNil)
	_, err = d.DialAsCaller(t.Context(), d.Endpoints()[1].Callers)
	c.Check(err, qt.Not(qt.IsNil))
	c.Check(d.KillEntry("entry-9"), qt.ErrorMatches, ".*entry-9.*")
	c.Check(d.KillWorker("w9"), qt.ErrorMatches, ".*w9.*")

	d.SetStoreDown(true)
	c.Check(d.SetInService(t.Context(), "annan", true), qt.Not(qt.IsNil))
	d.SetStoreDown(false)
	c.Check(d.SetInService(t.Context(), "annan", true), qt.IsNil)
	c.Check(d.StoreCalls() > 0, qt.IsTrue)
}
