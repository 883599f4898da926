package leasestub

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

const (
	// defaultStopTime is how long a run takes to stop.
	defaultStopTime = 50 * time.Millisecond
	// defaultDuration is the duration of a run whose Spec gives none.
	defaultDuration = 100 * time.Millisecond
	// bootClock is the worker's clock when a life begins. It is not 0, because
	// 0 means in messages that there is no sample of the clock.
	bootClock = 10 * time.Second
	// defaultMaxLease is the longest lease that workers accept (docs/design.md,
	// section 13.1).
	defaultMaxLease = time.Second
)

// Options are the options of a Machine. ID, Pool, Address, Rack and Capacity are
// announced to the agent.
type Options struct {
	ID       string
	Pool     string
	Address  string
	Rack     string
	Capacity wire.Resources
	// Enforce makes the machine refuse starts above its capacity with
	// lease.RefusedNoRoom.
	Enforce bool
	// Slow is the share by which the worker's clock is slower than real time,
	// from 0 to lease.ClockDrift.
	Slow float64
	// StopTime is how long a run takes to stop. 0 means 50 ms.
	StopTime time.Duration
	// MaxLease is the longest lease that the worker accepts; longer ones are
	// shortened. 0 means 1 s.
	MaxLease time.Duration
	// Delay is the delay of each message, in each direction.
	Delay time.Duration
	// Reboot is the time from a crash that a task caused until the machine boots
	// again. 0 means that it stays down until Boot.
	Reboot time.Duration
	// OnCrash is called after a crash that a task caused, if it is not nil.
	OnCrash func()
	// Evidence receives the record of the machine's runs; several machines may
	// share it. nil means a new one.
	Evidence *Evidence
}

// Spec is the specification of a task, which orders carry as JSON.
type Spec struct {
	MS    float64        `json:"ms,omitempty"`   // duration in milliseconds; 0 means 100
	Fail  bool           `json:"fail,omitempty"` // the run ends as failed
	Needs wire.Resources `json:"needs"`
	// Crash makes the job's first task crash the worker CrashMS milliseconds
	// after each start of it.
	Crash   bool    `json:"crash,omitempty"`
	CrashMS float64 `json:"crash_ms,omitempty"`
}

// Encode returns the specification as JSON, the text of lease.StartOrder.Spec.
func (s Spec) Encode() string {
	data, err := json.Marshal(s)
	if err != nil { // numbers are finite
		panic(err)
	}
	return string(data)
}

func (s Spec) duration() time.Duration {
	if s.MS <= 0 {
		return defaultDuration
	}
	return time.Duration(s.MS * float64(time.Millisecond))
}

// Machine is a worker machine. Each boot begins a new life of the worker. It is
// safe for concurrent use.
type Machine struct {
	options  Options
	evidence *Evidence

	mu       sync.Mutex
	life     *life      // nil while the machine is down
	lastLife lease.Life // of the present life, or of the last one while the machine is down
	lives    int
	births   map[int64]bool
	wallBack time.Duration // by which the wall clock was set back in all
	sequence uint64
	draining bool
	faults   Faults
	resumed  chan struct{}  // closed and replaced when faults without a pause are set
	resets   int            // how often faults with Reset were set
	orders   map[string]int // number received, by kind

	capacityBefore   wire.Resources // before the newest change, as far as the agent had been told
	capacitySequence uint64         // announcements of this life after this one show the newest capacity
	capacityTold     bool           // the agent acknowledged such an announcement
	capacityToldAt   time.Time
}

// New returns a machine that has booted.
func New(o Options) *Machine {
	if o.StopTime <= 0 {
		o.StopTime = defaultStopTime
	}
	if o.MaxLease <= 0 {
		o.MaxLease = defaultMaxLease
	}
	if o.Evidence == nil {
		o.Evidence = NewEvidence()
	}
	m := &Machine{options: o, evidence: o.Evidence, births: map[int64]bool{}, orders: map[string]int{}, resumed: make(chan struct{}),
		capacityTold: true}
	m.Boot()
	return m
}

// Evidence returns the record of what the machine really ran, and of the other
// machines that share it.
func (m *Machine) Evidence() *Evidence { return m.evidence }

// Boot begins a new life, with the identifier of the machine, if it is down.
func (m *Machine) Boot() { m.BootAs(NextLife{}) }

// NextLife says how a life differs from the first one.
type NextLife struct {
	// NewID gives the life an identifier that no other life had.
	NewID bool
	// WallBack sets the machine's wall clock back before the life begins, so that
	// its birth may precede those of earlier lives.
	WallBack time.Duration
}

// BootAs begins a new life if the machine is down. Its clock, tokens, run numbers and
// ends start anew.
func (m *Machine) BootAs(n NextLife) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != nil {
		return
	}
	m.wallBack += n.WallBack
	born := time.Now().Add(-m.wallBack).UnixMilli()
	for m.births[born] {
		born++ // a process does not start twice within a millisecond
	}
	m.births[born] = true
	id := m.options.ID
	if m.lives++; n.NewID {
		id = fmt.Sprintf("%s-%d", id, m.lives)
	}
	m.lastLife, m.sequence, m.draining, m.capacitySequence = lease.Life{ID: id, Born: born}, 0, false, 0
	m.life = &life{machine: m, id: m.lastLife, booted: time.Now(),
		highestRun: map[lease.Task]uint64{}, runs: map[lease.Run]*run{}, unackedRecords: map[uint64]endRecord{}, runEnded: make(chan struct{})}
}

// Crash ends the life and all its runs at once. Calls fail with
// lease.ErrWorkerDown until Boot.
func (m *Machine) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != nil {
		m.life.terminate()
		m.life = nil
	}
}

// crashBy crashes the machine in the life in which the run was started, if the run
// still goes on.
func (m *Machine) crashBy(l *life, id lease.Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := l.runs[id]
	if m.life != l || r == nil {
		return
	}
	m.evidence.recordCrash(r.record)
	l.terminate()
	m.life = nil
	if m.options.OnCrash != nil {
		go m.options.OnCrash()
	}
	if m.options.Reboot > 0 {
		time.AfterFunc(m.options.Reboot, m.Boot)
	}
}

// Up reports whether the machine has booted and not crashed since.
func (m *Machine) Up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life != nil
}

// shrinkGrace is how long starts are still counted against the capacity before a
// change after the agent acknowledged the announcement of the change: orders that
// were sent before may arrive after it.
const shrinkGrace = 100 * time.Millisecond

// SetCapacity changes the capacity while the machine runs. The announcements show
// it; what runs goes on. Starts are counted against the capacity before until the
// agent acknowledged an announcement of the change, see Acknowledge.
func (m *Machine) SetCapacity(c wire.Resources) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.capacityTold {
		m.capacityBefore = m.options.Capacity
	}
	m.capacitySequence, m.capacityTold = m.sequence, false
	m.options.Capacity = c
}

// Acknowledge records that the agent acknowledged an announcement.
func (m *Machine) Acknowledge(n lease.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.capacityTold && n.Life == m.lastLife && n.Sequence > m.capacitySequence {
		m.capacityTold, m.capacityToldAt = true, time.Now()
	}
}

// countedCapacity returns the capacity against which a start is counted now.
func (m *Machine) countedCapacity() wire.Resources {
	if (!m.capacityTold || time.Since(m.capacityToldAt) < shrinkGrace) && m.options.Capacity.Fits(m.capacityBefore) {
		return m.capacityBefore
	}
	return m.options.Capacity
}

// Restart crashes the machine and boots it at once, with the same address.
func (m *Machine) Restart() {
	m.Crash()
	m.Boot()
}

// Drain makes the announcements of this life say that the worker drains.
func (m *Machine) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// SetFaults replaces the faults in force. Orders received before keep the faults
// with which they were received.
func (m *Machine) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	if m.life != nil {
		m.life.setSpeed(f.speed())
		if f.Reset {
			m.resets++
			m.life.wakeRenewals()
		}
	}
	if !f.Paused {
		close(m.resumed)
		m.resumed = make(chan struct{})
	}
}

// Announcement returns the next announcement of the current life, or of the last
// one while the machine is down.
func (m *Machine) Announcement() lease.Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	o := m.options
	return lease.Announcement{
		Life: m.lastLife, Sequence: m.sequence, Pool: o.Pool, Address: o.Address,
		Rack: o.Rack, Capacity: o.Capacity, Draining: m.draining,
	}
}

// Orders returns how many orders of the kind ("start", "stop" or "renew") arrived
// since New, including those that were lost or refused.
func (m *Machine) Orders(kind string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orders[kind]
}
