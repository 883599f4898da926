package wire

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// Incarnation distinguishes the successive processes that run under one
// identifier. It is random and never zero.
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

// EntryRef identifies one entry process and holds its addresses.
type EntryRef struct {
	ID          string
	Incarnation Incarnation
	Address     string // IP:port of the address for other processes
	Admin       string // IP:port of the address for operators
	DataCentre  string
}

const (
	// maxNameBytes is the largest size of a name, in bytes, as in the settings.
	maxNameBytes = 63
	// maxAddressBytes has room for an IPv6 address with a zone.
	maxAddressBytes = 100
)

// ValidName reports whether a name that another process states can be logged, sent
// on and compared byte by byte: 1 to 63 printable ASCII characters without spaces.
func ValidName(name string) bool {
	return 0 < len(name) && len(name) <= maxNameBytes &&
		!strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// Dialable reports whether other processes can dial an address: an IP address of one
// host with a port from 1 to 65535.
func Dialable(address string) bool {
	a, err := netip.ParseAddrPort(address)
	ip := a.Addr()
	return err == nil && len(address) <= maxAddressBytes && a.Port() > 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Unmap() != broadcast
}

// broadcast is the address of all hosts on a link.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Validate returns an error unless other processes can dial the entry and pass the
// reference on. The error quotes at most some 100 bytes.
func (r EntryRef) Validate() error {
	switch {
	case !ValidName(r.ID):
		return errors.New("the identifier is not a name")
	case r.Incarnation == 0:
		return errors.New("the incarnation is missing")
	case !Dialable(r.Address):
		return fmt.Errorf("%.100q is not the address of one host with a port", r.Address)
	case r.Admin != "" && !Dialable(r.Admin):
		return fmt.Errorf("%.100q is not the address of one host with a port", r.Admin)
	case r.DataCentre != "" && !ValidName(r.DataCentre):
		return errors.New("the data centre is not a name")
	}
	return nil
}

// AgentRef identifies one agent process and describes the upstream beside it.
type AgentRef struct {
	ID          string
	Incarnation Incarnation
	Address     string // IP:port of the address for other processes
	Admin       string // IP:port of the address for operators
	DataCentre  string
	Rack        string
	Worker      string
	Upstream    string // IP:port of the upstream
	Slots       int    // largest number of tasks that the upstream runs at a time
	QueueLimit  int    // largest number of tasks that wait at the agent
	Capacity    Resources
	// Pool is the pool of workers of leased tasks that the upstream belongs
	// to; empty for an HTTP upstream.
	Pool string
}

// IdentityOnly returns a copy that has only ID and Incarnation, which identify
// the process.
func (r EntryRef) IdentityOnly() EntryRef { return EntryRef{ID: r.ID, Incarnation: r.Incarnation} }

// IdentityOnly returns a copy that has only ID and Incarnation, which identify
// the process.
func (r AgentRef) IdentityOnly() AgentRef { return AgentRef{ID: r.ID, Incarnation: r.Incarnation} }

// IsIdentityOnly reports whether r has no field but ID and Incarnation.
func (r AgentRef) IsIdentityOnly() bool { return r == r.IdentityOnly() }

// Session identifies a session between one entry process and one agent. Once
// the agent has opened a session, it refuses messages of sessions with a lower
// number of the same incarnation: they are fenced.
type Session struct {
	Entry       string      // identifier of the entry
	Incarnation Incarnation // of the entry
	Number      uint64      // from 1
}

// Resources are the resources of a worker, or those that a task needs in
// addition to its slot.
type Resources struct {
	Accelerators int   `json:"accelerators"` // number of devices
	MemoryMB     int64 `json:"memory_mb"`
	MilliCPU     int64 `json:"milli_cpu"` // thousandths of a core
}

// Fits reports whether free has at least r of every resource.
func (r Resources) Fits(free Resources) bool {
	return r.Accelerators <= free.Accelerators && r.MemoryMB <= free.MemoryMB && r.MilliCPU <= free.MilliCPU
}

// Plus returns the sum of r and o, by resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.MemoryMB + o.MemoryMB, r.MilliCPU + o.MilliCPU}
}

// Minus returns the difference of r and o; its fields may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.MemoryMB - o.MemoryMB, r.MilliCPU - o.MilliCPU}
}
