package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/balance"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// nanosPerMilli converts work of package entry, which counts nanoseconds, to that of
// package balance and of messages, which count milliseconds.
const nanosPerMilli = float64(time.Millisecond)

// poolLoads is what the dispatcher knows of the load of each pool at all entries.
type poolLoads struct {
	enabled bool
	loads   *balance.Loads
	pools   map[string]*ownPool
	scope   tally.Scope
	age     tally.Gauge // of the oldest load that is used; -1 if there is none
}

// ownPool counts the submissions to this entry in one pool.
type ownPool struct {
	window             balance.Window
	expectedWait, part tally.Gauge
}

func newPoolLoads(s settings.Entry, self wire.EntryRef, scope tally.Scope) poolLoads {
	return poolLoads{
		enabled: s.PoolLoads, pools: map[string]*ownPool{}, scope: scope, age: scope.Gauge("peers_load_age_ms"),
		loads: balance.New(balance.Options{Self: self.ID, SuspectAfter: s.Timing.Suspect.AsDuration()}),
	}
}

func (p *poolLoads) pool(name string) *ownPool {
	o := p.pools[name]
	if o == nil {
		scope := p.scope.Tagged(map[string]string{"pool": name})
		o = &ownPool{expectedWait: scope.Gauge("pool_expected_wait_ms"), part: scope.Gauge("pool_share")}
		p.pools[name] = o
	}
	return o
}

// countSubmission counts a leased job that was admitted, or refused with err. Jobs over
// the limits of their account are not counted: more capacity would not admit them.
func (d *dispatcher) countSubmission(j *job, err error) {
	if !d.poolLoads.enabled || j.leased.confined {
		return
	}
	var p *problem
	if errors.As(err, &p) && p.Status == http.StatusTooManyRequests {
		return
	}
	d.poolLoads.pool(j.class.Pool).window.Record(d.now, float64(j.count)*processorTime(j)/nanosPerMilli, err != nil)
}

// usableMilliCPU returns the processors of the pool's usable agents, in thousandths of a
// core.
func (d *dispatcher) usableMilliCPU(pool string) float64 {
	return float64(d.table.Slots(placement.Class{Pool: pool, Needs: wire.Resources{MilliCPU: 1}}))
}

// ownLoad returns this entry's load of a pool, and the mean work of its jobs. Tasks of
// confined templates, which leave most of the pool to others, are not counted.
func (d *dispatcher) ownLoad(name string) (load balance.Load, jobWork float64) {
	load.Usable = d.usableMilliCPU(name) > 0
	jobWork = d.poolLoads.pool(name).window.AddTo(d.now, &load)
	if p := d.pools[name]; p != nil {
		load.Waiting, load.Running = p.waitingWork/nanosPerMilli, p.runningWork/nanosPerMilli
	}
	return load, jobWork
}

// updateOwnLoad updates this entry's load of a pool with the present one.
func (d *dispatcher) updateOwnLoad(name string) balance.Load {
	load, jobWork := d.ownLoad(name)
	d.poolLoads.loads.SetOwn(d.now, name, load, jobWork)
	return load
}

// expectedPoolWait returns how long a job of the pool that arrives now waits by the loads
// of all entries; see balance.Loads.ExpectedWait.
func (d *dispatcher) expectedPoolWait(pool string) time.Duration {
	d.updateOwnLoad(pool)
	return d.poolLoads.loads.ExpectedWait(d.now, pool, d.usableMilliCPU(pool))
}

// poolShare returns the part of the pool's capacity that this entry may count on.
func (d *dispatcher) poolShare(pool string) float64 {
	d.updateOwnLoad(pool)
	return d.poolLoads.loads.Share(d.now, pool)
}

// updatePoolLoads follows the pools of the configuration and updates their loads and
// gauges.
func (d *dispatcher) updatePoolLoads() {
	p := &d.poolLoads
	if !p.enabled || d.view == nil {
		return
	}
	for _, t := range d.view.Document().Templates {
		if t.Pool != "" {
			p.pool(t.Pool)
		}
	}
	for name, o := range p.pools {
		if !d.configNamesPool(name) && d.pools[name] == nil {
			o.expectedWait.Update(0)
			o.part.Update(0)
			p.loads.RemoveOwn(name)
			delete(p.pools, name)
			continue
		}
		o.expectedWait.Update(float64(d.expectedPoolWait(name).Milliseconds()))
		o.part.Update(d.poolShare(name))
	}
	age := -1.0
	if oldest, ok := p.loads.OldestAge(d.now); ok {
		age = float64(oldest.Milliseconds())
	}
	p.age.Update(age)
}

// reportPoolLoads returns this entry's loads for the reply to a heartbeat of the peer,
// which thereby has been heard.
func (d *dispatcher) reportPoolLoads(peer wire.EntryRef) []wire.PoolLoad {
	p := &d.poolLoads
	if !p.enabled {
		return nil
	}
	if peer.ID != "" {
		p.loads.RecordMessage(d.now, peer.ID, uint64(peer.Incarnation))
	}
	reported := make([]wire.PoolLoad, 0, len(p.pools))
	for name := range p.pools {
		load := d.updateOwnLoad(name)
		reported = append(reported, wire.PoolLoad{
			Pool: name, Waiting: int64(load.Waiting), Running: int64(load.Running), Admitted: int64(load.Admitted),
			Refused: load.Refused, Usable: load.Usable,
		})
	}
	return reported
}

// observePoolLoads records the loads that a peer reported in reply to a request sent at
// that time.
func (d *dispatcher) observePoolLoads(b wire.PeerHeartbeat, sent time.Time, interval time.Duration) {
	if !d.poolLoads.enabled {
		return
	}
	loads := make(map[string]balance.Load, len(b.PoolLoads))
	for _, l := range b.PoolLoads {
		loads[l.Pool] = balance.Load{
			Waiting: float64(l.Waiting), Running: float64(l.Running), Admitted: float64(l.Admitted), Refused: l.Refused, Usable: l.Usable,
		}
	}
	d.poolLoads.loads.SetSuspectAfter(d.timing.Suspect.AsDuration() + interval - d.timing.PeerHeartbeat.AsDuration())
	d.poolLoads.loads.Observe(sent, b.Entry.ID, uint64(b.Entry.Incarnation), b.Stopping, loads)
}

func (d *dispatcher) dumpPoolLoads() []balance.EntryState {
	if !d.poolLoads.enabled {
		return nil
	}
	return d.poolLoads.loads.State(d.now)
}
