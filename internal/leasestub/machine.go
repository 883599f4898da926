package leasestub

import (
	"encoding/json"
	"sync"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

const (
	// defaultStopTime is how long a run takes to stop.
	defaultStopTime = 50 * time.Millisecond
	// defaultDuration is the duration of a task that gives none.
	defaultDuration = 100 * time.Millisecond
	// bootClock is the worker's clock at its birth. It is not 0, which means
	// "no sample" in messages.
	bootClock = 10 * time.Second
)

// Options of a Machine.
type Options struct {
	ID       string
	Pool     string
	Address  string
	Rack     string
	Capacity wire.Resources
	// Enforce refuses starts for which there is no room.
	Enforce bool
	// Slow is by which share the worker's clock is slow, from 0 to
	// lease.ClockDrift.
	Slow float64
	// StopTime is how long a run takes to stop. Default 50 ms.
	StopTime time.Duration
	// Delay of each message in each direction.
	Delay time.Duration
	// Evidence may be shared by several workers; nil means one of its own.
	Evidence *Evidence
}

// Spec is the specification text of a task.
type Spec struct {
	MS    float64        `json:"ms,omitempty"` // duration in milliseconds; 0 means 100
	Fail  bool           `json:"fail,omitempty"`
	Needs wire.Resources `json:"needs"`
}

// Encode returns the text that goes into an order.
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

// Machine is a worker machine, on which one life follows another. It is safe
// for concurrent use.
type Machine struct {
	options  Options
	evidence *Evidence

	mu       sync.Mutex
	life     *life // nil while the machine is down
	born     int64
	sequence uint64
	draining bool
	faults   Faults
	resumed  chan struct{}  // closed and replaced when the machine is not paused any more
	orders   map[string]int // received, by kind
}

// New returns a machine in its first life.
func New(o Options) *Machine {
	if o.StopTime <= 0 {
		o.StopTime = defaultStopTime
	}
	if o.Evidence == nil {
		o.Evidence = NewEvidence()
	}
	m := &Machine{options: o, evidence: o.Evidence, orders: map[string]int{}, resumed: make(chan struct{})}
	m.Boot()
	return m
}

// Evidence returns what really ran.
func (m *Machine) Evidence() *Evidence { return m.evidence }

// Boot begins a new life if the machine is down.
func (m *Machine) Boot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != nil {
		return
	}
	m.born, m.sequence, m.draining = max(m.born+1, time.Now().UnixMilli()), 0, false
	m.life = &life{machine: m, id: lease.Life{ID: m.options.ID, Born: m.born}, booted: time.Now(),
		highestRun: map[lease.Task]uint64{}, runs: map[lease.Run]*run{}, unackedRecords: map[uint64]endRecord{}, runEnded: make(chan struct{})}
}

// Crash ends the life and all its runs at once. Connections are refused until
// Boot.
func (m *Machine) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != nil {
		m.life.terminate()
		m.life = nil
	}
}

// Restart is a crash followed by a new life at the same address.
func (m *Machine) Restart() {
	m.Crash()
	m.Boot()
}

// Drain makes the following announcements say that the worker drains.
func (m *Machine) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// SetFaults replaces the faults in force. Orders that were received keep theirs.
func (m *Machine) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	if m.life != nil {
		m.life.setSpeed(f.speed())
	}
	if !f.Paused {
		close(m.resumed)
		m.resumed = make(chan struct{})
	}
}

// Announcement returns the next announcement of the present or last life.
func (m *Machine) Announcement() lease.Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	o := m.options
	return lease.Announcement{
		Life: lease.Life{ID: o.ID, Born: m.born}, Sequence: m.sequence, Pool: o.Pool, Address: o.Address,
		Rack: o.Rack, Capacity: o.Capacity, Draining: m.draining,
	}
}

// Orders returns how many orders of the kind arrived: "start", "stop" or
// "renew".
func (m *Machine) Orders(kind string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orders[kind]
}
