package wire

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
)

// Incarnation distinguishes successive processes that run under one name. It
// is random and never zero.
type Incarnation uint64

// NewIncarnation returns a random, non-zero incarnation.
func NewIncarnation() Incarnation {
	for {
		var b [8]byte
		// crypto/rand.Read never returns an error since Go 1.24.
		_, _ = rand.Read(b[:])
		if n := binary.BigEndian.Uint64(b[:]); n != 0 {
			return Incarnation(n)
		}
	}
}

// String formats the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// EntryRef identifies one entry process and says where to reach it.
type EntryRef struct {
	ID          string
	Incarnation Incarnation
	Address     string // IP:port of the address for other processes
	Admin       string // IP:port of the address for operators
	DataCentre  string
}

// AgentRef identifies one agent process and the upstream beside it.
type AgentRef struct {
	ID          string
	Incarnation Incarnation
	Address     string // IP:port of the address for other processes
	Admin       string // IP:port of the address for operators
	DataCentre  string
	Rack        string
	Worker      string
	Upstream    string // IP:port of the upstream
	Slots       int    // tasks that the upstream runs at a time
	QueueLimit  int    // tasks that wait at the agent
	Capacity    Resources
	// Pool of leased-task workers that the upstream belongs to; empty for an
	// HTTP upstream.
	Pool string
}

// IdentityOnly returns the part of the reference that names the process.
func (r EntryRef) IdentityOnly() EntryRef { return EntryRef{ID: r.ID, Incarnation: r.Incarnation} }

// IdentityOnly returns the part of the reference that names the process.
func (r AgentRef) IdentityOnly() AgentRef { return AgentRef{ID: r.ID, Incarnation: r.Incarnation} }

// IsIdentityOnly reports whether only the process is named.
func (r AgentRef) IsIdentityOnly() bool { return r == r.IdentityOnly() }

// Session numbers the exchanges between one entry process and one agent. A
// higher number of the same incarnation fences all lower ones.
type Session struct {
	Entry       string
	Incarnation Incarnation
	Number      uint64
}

// Resources of a worker or needed by a task, beside the slot.
type Resources struct {
	Accelerators int   `json:"accelerators"`
	MemoryMB     int64 `json:"memory_mb"`
	MilliCPU     int64 `json:"milli_cpu"`
}

// Fits reports whether r can be taken out of free.
func (r Resources) Fits(free Resources) bool {
	return r.Accelerators <= free.Accelerators && r.MemoryMB <= free.MemoryMB && r.MilliCPU <= free.MilliCPU
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.MemoryMB + o.MemoryMB, r.MilliCPU + o.MilliCPU}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.MemoryMB - o.MemoryMB, r.MilliCPU - o.MilliCPU}
}
