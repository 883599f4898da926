package lease

import (
	"errors"
	"fmt"
	"strings"

	"chicorytray.example/chicorytray/wire"
)

const (
	// maxWorkerIDBytes is the largest size of a worker's identifier, in bytes. It is
	// sent in a header.
	maxWorkerIDBytes = 200
	// maxRackBytes is the largest size of the name of a rack, in bytes. Agents send it
	// in heartbeats.
	maxRackBytes = 200
	// maxBorn is the latest start of a worker, in 2109, as Unix time in milliseconds.
	maxBorn = 1 << 42
	// maxAmount limits each amount of resources, so that sums do not overflow.
	maxAmount = 1 << 31
	// maxSequenceGap is more than the number of announcements that a worker makes while
	// one of them is under way: at one a millisecond, 17 minutes.
	maxSequenceGap = 1 << 20
)

// Life identifies one life of a worker: the time from a start of its process to
// the end of that process. A restarted worker may keep its identifier. Its Born
// differs, but may be lower, because wall clocks are set back.
type Life struct {
	ID   string
	Born int64 // start of the process, Unix time in milliseconds
}

// Announcement is the description of itself that a worker sends to its agent.
type Announcement struct {
	Life     Life
	Sequence uint64 // rises with each announcement of a life
	Pool     string
	Address  string // IP:port of the worker
	Rack     string
	Capacity wire.Resources
	Draining bool
	// Stated has a bit for each field that a worker either always or never states. The
	// platform's translation assigns the bits.
	Stated uint64
}

// StatedFields returns a value of Announcement.Stated: bit i is set if stated[i].
func StatedFields(stated ...bool) (bits uint64) {
	for i, s := range stated {
		if s {
			bits |= 1 << i
		}
	}
	return bits
}

// Lacks reports whether the announcement lacks a field that the other one states. Of
// two of the same life it is then the one that another writer sent.
func (n *Announcement) Lacks(other *Announcement) bool { return other.Stated&^n.Stated != 0 }

// Validate returns an error for an announcement that describes no worker to use;
// another writer may have sent it. A worker that states no birth would end the life
// of the one that is known. The error quotes at most some 100 bytes.
func (n *Announcement) Validate() error {
	id, r := n.Life.ID, n.Capacity
	switch {
	case id == "" || len(id) > maxWorkerIDBytes || strings.ContainsFunc(id, func(r rune) bool { return r < '!' || r > '~' }):
		return fmt.Errorf("%.100q is not the identifier of a worker", id)
	case !wire.Dialable(n.Address):
		return fmt.Errorf("%.100q is not the address of one host with a port", n.Address)
	case !wire.ValidName(n.Pool):
		return fmt.Errorf("pool %.100q is missing or not the name of one", n.Pool)
	case len(n.Rack) > maxRackBytes:
		return errors.New("the name of the rack is too long")
	case n.Life.Born <= 0 || n.Life.Born > maxBorn:
		return fmt.Errorf("the start of the process, %d, is missing or not a Unix time in milliseconds", n.Life.Born)
	case min(r.MilliCPU, r.MemoryMB, int64(r.Accelerators)) < 0 || max(r.MilliCPU, r.MemoryMB, int64(r.Accelerators)) > maxAmount:
		return fmt.Errorf("capacity of %+v is not accepted; give 0 to %d of each", r, maxAmount)
	}
	return nil
}

// Outdated reports whether the announcement is earlier than another one of the same
// life, or the same. Sequences that are further apart than maxSequenceGap come from
// different writers; it is then not known which of them is the worker, and the one
// that arrives last applies. The worker's next announcement is in force again, rather
// than never after a sequence at the limit of its type.
func (n *Announcement) Outdated(other *Announcement) bool {
	return n.Sequence <= other.Sequence && other.Sequence-n.Sequence <= maxSequenceGap
}
