// Package ingest decides how much memory a process spends on what clients send, and
// which connections it closes when that runs short.
//
// It does no I/O, starts no goroutine and reads no clock. A Budget takes a lock, and
// is safe for concurrent use, because the connections of a process share it.
package ingest

import (
	"cmp"
	"errors"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// ErrShort means that the budget has no room for the bytes and no connection could
// be closed for them.
var ErrShort = errors.New("ingest: the memory for requests that are being read is in use")

const (
	// minStall is the time without progress after which a connection may be closed
	// for any other. Ordinary requests arrive in less.
	minStall = 100 * time.Millisecond
	// outweighs is the factor by which a connection without a stall must exceed
	// what another needs in order to be closed for it, so that a small request is
	// read although large ones arrive.
	outweighs = 4
	// idleFor is the time for which a connection must have been idle before it is
	// closed for a new one. A client that sends a request on it would lose it.
	idleFor = 10 * time.Second
	// weightOfConnection is added to the bytes of a connection when those to close
	// are chosen, so that connections without bytes differ by their stall. It is
	// about what an accepted connection costs.
	weightOfConnection = 16 << 10
	// slackShare is the part of the budget that is freed at least when connections
	// are closed for bytes, so that not every further reservation looks at all
	// connections.
	slackShare = 16
	// searchPause is the time for which a search of a group that found too few
	// connections to close is not repeated for half as many bytes or more; all up to
	// searchedBytes count as equal. Otherwise requests of ever fewer bytes would cause
	// a search each, which takes 0.2 ms with 4,000 connections.
	searchPause   = 20 * time.Millisecond
	searchedBytes = 8 << 10
	// oldest is the number of connections among which the one to close for a new one
	// is chosen: those without progress for the longest time. Looking at all 4,096 of
	// a group took 0.4 ms for each new connection, and accepting one far less.
	oldest = 16
)

// Budget is the memory that the connections of a process share for what they read.
type Budget struct {
	limit int64 // in bytes; 0 means none

	mu     sync.Mutex
	used   int64
	conns  map[*Conn]struct{} // of all groups
	counts Counts
	looked uint64 // number of connections that searches looked at
}

// GroupLimits are the limits of a group; 0 means none.
type GroupLimits struct {
	Bytes                 int64 // part of the budget that the group may use
	Connections           int
	ConnectionsPerAddress int
}

// Group is a set of connections with limits of its own. The connections of clients and
// those of other processes are in different groups, so that the former cannot keep out
// the latter.
type Group struct {
	budget    *Budget
	limits    GroupLimits
	used      int64
	conns     map[*Conn]struct{}
	queues    [serving + 1]queue // the connections by state
	addresses map[netip.Addr]int

	// failed is the last search for connections to close that found too few.
	failed struct {
		at   time.Time
		need int64
	}
}

// Counts are the state of a budget and the events since it was created.
type Counts struct {
	Bytes       int64 // reserved
	Connections int
	Refused     uint64 // reservations that were refused
	Rejected    uint64 // connections that were refused
	Evicted     uint64 // connections that were closed for others
}

// state says what a connection is doing, in the order in which connections are closed.
type state uint8

const (
	reading state = iota // a request or message that is not complete
	idle                 // between requests
	serving              // a request or message that was read whole
)

// Conn is the part of one connection in the budget.
type Conn struct {
	group    *Group
	address  netip.Addr
	evict    func()
	held     int64
	state    state
	since    time.Time // last progress, or change of the state
	unlisted bool      // closed or evicted

	previous, next *Conn // in the queue of the state
}

// NewBudget returns a budget of the given number of bytes; 0 means no limit.
func NewBudget(bytes int64) *Budget { return &Budget{limit: bytes, conns: map[*Conn]struct{}{}} }

// Group returns a new group without connections.
func (b *Budget) Group(l GroupLimits) *Group {
	return &Group{budget: b, limits: l, conns: map[*Conn]struct{}{}, addresses: map[netip.Addr]int{}}
}

// Budget returns the budget that the group shares.
func (g *Group) Budget() *Budget { return g.budget }

// Open adds a connection, whose first request is being read. It returns nil if the
// connection is to be closed, and the connections to close for it, whose Evict the
// caller calls. evict closes the connection.
func (g *Group) Open(now time.Time, address netip.Addr, evict func()) (*Conn, []*Conn) {
	b := g.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit := g.limits.ConnectionsPerAddress; limit > 0 && g.addresses[address] >= limit {
		b.counts.Rejected++
		return nil, nil
	}
	var victims []*Conn
	if limit := g.limits.Connections; limit > 0 && len(g.conns) >= limit {
		victims = b.victimsForConnection(now, g)
		if len(victims) == 0 {
			b.counts.Rejected++
			return nil, nil
		}
	}
	c := &Conn{group: g, address: address, evict: evict, since: now}
	b.conns[c], g.conns[c] = struct{}{}, struct{}{}
	g.queues[c.state].push(c)
	g.addresses[address]++
	return c, victims
}

// Evict closes the connection by the function that was given to Open.
func (c *Conn) Evict() { c.evict() }

// Reserve reserves n bytes for what the connection is about to read or decode. It
// returns the connections to close for it, whose Evict the caller calls, and ErrShort
// if the bytes must not be used.
func (b *Budget) Reserve(now time.Time, c *Conn, n int64) ([]*Conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(now, c, n)
}

// Complete reserves n bytes for decoding what the connection has read whole, as
// Reserve does. Unless that fails, the connection is not closed for others until Done.
func (b *Budget) Complete(now time.Time, c *Conn, n int64) ([]*Conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	victims, err := b.reserve(now, c, n)
	if err == nil {
		c.enter(serving, now)
	}
	return victims, err
}

func (b *Budget) reserve(now time.Time, c *Conn, n int64) ([]*Conn, error) {
	if c.unlisted {
		return nil, ErrShort
	}
	var victims []*Conn
	if b.excess(c.group, n) > 0 {
		victims = b.victimsForBytes(now, c, n)
		if b.excess(c.group, n) > 0 {
			b.counts.Refused++
			return victims, ErrShort
		}
	}
	c.change(n)
	return victims, nil
}

// excess returns by how many bytes n more would exceed the limit of the group or of the
// budget; 0 or less means that they fit.
func (b *Budget) excess(g *Group, n int64) int64 {
	excess := int64(math.MinInt64)
	if b.limit > 0 {
		excess = b.used + n - b.limit
	}
	if l := g.limits.Bytes; l > 0 {
		excess = max(excess, g.used+n-l)
	}
	return excess
}

// change changes the number of bytes that the connection holds.
func (c *Conn) change(n int64) {
	c.held += n
	c.group.used += n
	c.group.budget.used += n
}

// KeepOnly releases what the connection holds beyond n bytes.
func (b *Budget) KeepOnly(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.change(min(n, c.held) - c.held)
}

// Progress records that the connection has received a substantial part of what it is
// reading.
func (b *Budget) Progress(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.enter(reading, now)
}

// Done records that the request or message has been handled, and releases all bytes.
func (b *Budget) Done(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.change(-c.held)
	c.enter(idle, now)
}

// Answered records that all that was read whole has been handled. It releases nothing,
// and does not concern a message that is being read.
func (b *Budget) Answered(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state == serving {
		c.enter(idle, now)
	}
}

// Close removes a connection that has ended. It may be called more than once.
func (b *Budget) Close(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(c)
}

func (b *Budget) remove(c *Conn) {
	if c.unlisted {
		return
	}
	c.unlisted = true
	c.change(-c.held)
	g := c.group
	delete(b.conns, c)
	delete(g.conns, c)
	g.queues[c.state].remove(c)
	if g.addresses[c.address]--; g.addresses[c.address] == 0 {
		delete(g.addresses, c.address)
	}
}

// Counts returns the present state and the events so far.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts
	counts.Bytes, counts.Connections = b.used, len(b.conns)
	return counts
}

// weight orders the connections to close: those that hold the most for the longest
// without progress come first.
func (c *Conn) weight(now time.Time) float64 {
	return float64(c.held+weightOfConnection) * float64(now.Sub(c.since)+time.Millisecond)
}

// candidates returns the connections that may be closed and the bytes that they hold.
func (b *Budget) candidates(may func(*Conn) bool) (list []*Conn, held int64) {
	b.looked += uint64(len(b.conns))
	for c := range b.conns {
		if may(c) {
			list, held = append(list, c), held+c.held
		}
	}
	return list, held
}

// victimsForBytes removes connections until n bytes more fit, and returns them. It
// removes none if that would not be enough.
func (b *Budget) victimsForBytes(now time.Time, asking *Conn, n int64) []*Conn {
	g, need := asking.group, asking.held+n
	sought := max(need, searchedBytes)
	if f := &g.failed; now.Sub(f.at) < searchPause && sought > f.need/2 {
		return nil
	}
	groupShort := g.limits.Bytes > 0 && g.used+n > g.limits.Bytes
	list, freeable := b.candidates(func(c *Conn) bool {
		return c != asking && c.state == reading && c.held > 0 && (c.group == g || !groupShort) &&
			(now.Sub(c.since) >= minStall || c.held >= outweighs*need)
	})
	if b.excess(g, n) > freeable {
		g.failed.at, g.failed.need = now, sought
		return nil
	}
	slices.SortFunc(list, func(x, y *Conn) int { return cmp.Compare(y.weight(now), x.weight(now)) })
	slack := b.limit / slackShare
	if groupShort {
		slack = g.limits.Bytes / slackShare
	}
	var victims []*Conn
	for _, c := range list {
		if b.excess(g, n) <= -slack {
			break
		}
		b.remove(c)
		victims = append(victims, c)
	}
	b.counts.Evicted += uint64(len(victims))
	return victims
}

// victimsForConnection removes a connection of the group that a new one may take the
// place of, and returns it: one whose request is not complete, or else one that has
// been idle.
func (b *Budget) victimsForConnection(now time.Time, g *Group) []*Conn {
	var victim *Conn
	for _, from := range []struct {
		state state
		stall time.Duration
	}{{reading, minStall}, {idle, idleFor}} {
		c := g.queues[from.state].first
		for i := 0; i < oldest && c != nil && now.Sub(c.since) >= from.stall; i++ {
			if victim == nil || c.weight(now) > victim.weight(now) {
				victim = c
			}
			b.looked++
			c = c.next
		}
		if victim != nil {
			b.remove(victim)
			b.counts.Evicted++
			return []*Conn{victim}
		}
	}
	return nil
}
