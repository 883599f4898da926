package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/wire"
)

// Guards against orders that a worker of leased tasks refuses and that look in the
// metrics like an HTTP upstream to which no request can be sent.
func TestUnsentRequestsAreThoseToHTTPUpstreams(t *testing.T) {
	withLeasedRig(t, leasedSetup{machine: leasestub.Options{Enforce: true}}, func(r *leasedRig, e *entryStub) {
		r.machine.SetFaults(leasestub.Faults{Unhealthy: true})
		r.expect(<-e.runLeased("j", 1, time.Second), wire.OutcomeNotRun, wire.ReasonWorkerRefused)
		r.Check(r.counter("tasks_not_run"), qt.Equals, int64(1))
		r.Check(r.counter("upstream_unsent"), qt.Equals, int64(0))
	})
	withRig(t, setup{}, func(r *rig) {
		e := r.entries[0]
		e.open()
		r.net.Cut(agentHost, upstreamHost)
		r.expect(<-e.run("j", time.Second), wire.OutcomeNotRun, wire.ReasonUpstreamUnreachable)
		r.Check(r.counter("upstream_unsent"), qt.Equals, int64(1))
	})
}
