// Package faultnet simulates a network in memory with faults, for tests in the
// virtual time of testing/synctest. The host part of an address names the host.
// Faults apply to pairs of hosts, in both directions unless stated otherwise.
package faultnet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
)

// Errors of connections. They are wrapped in *net.OpError as on TCP.
var (
	errRefused = syscall.ECONNREFUSED
	errReset   = syscall.ECONNRESET
	errFull    = syscall.ENOBUFS
)

// Network connects named addresses. All methods are safe for concurrent use.
type Network struct {
	mu             sync.Mutex
	listeners      map[string]*listener
	conns          map[*conn]struct{}
	changed        *sync.Cond // broadcast when a rule changes; dials wait on it
	cut            map[pair]bool
	dropped        map[pair]bool        // by direction
	droppedDialled map[dialledPair]bool // directions dropped only on the connections that one host dialled
	delays         map[pair]time.Duration
	jitters        map[pair]time.Duration // longest additional delays
	random         *rand.Rand             // draws the additional delays
	off            map[string]bool        // hosts without power: dials to and from them wait
	accepted       int
	nextPort       int
}

// pair is an ordered pair of hosts.
type pair struct{ from, to string }

// dialledPair is one direction of the connections that one of two hosts dialled.
type dialledPair struct {
	pair
	dialler string
}

// New returns an empty network without faults or delays.
func New() *Network {
	n := &Network{
		listeners: map[string]*listener{}, conns: map[*conn]struct{}{},
		cut: map[pair]bool{}, dropped: map[pair]bool{}, droppedDialled: map[dialledPair]bool{}, delays: map[pair]time.Duration{}, off: map[string]bool{},
		jitters: map[pair]time.Duration{}, random: rand.New(rand.NewPCG(1, 2)), nextPort: 40000,
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Listen opens an address of the form host:port.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, &net.OpError{Op: "listen", Net: "faultnet", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{net: n, address: address}
	l.ready = sync.NewCond(&n.mu)
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for processes on the host.
func (n *Network) Dialer(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

// dial waits while one direction is dropped, until ctx ends. It fails when the
// hosts are cut or no listener has the address.
func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "faultnet", Addr: addr(address), Err: err}
	}
	to := hostOf(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	stop := context.AfterFunc(ctx, n.wakeAll)
	defer stop()
	if d := n.delays[pair{from, to}] + n.delays[pair{to, from}]; d > 0 {
		n.wait(ctx, d)
	}
	for ctx.Err() == nil && (n.off[from] || n.off[to] || n.drops(pair{from, to}, from) || n.drops(pair{to, from}, from)) {
		n.changed.Wait()
	}
	if ctx.Err() != nil {
		return fail(ctx.Err())
	}
	l, ok := n.listeners[address]
	if !ok || n.cut[pair{from, to}] {
		return fail(errRefused)
	}
	client, server := n.connect(from, to, address)
	l.pending = append(l.pending, server)
	n.accepted++
	l.ready.Signal()
	return client, nil
}

// wait releases the lock for the duration or until ctx ends.
func (n *Network) wait(ctx context.Context, d time.Duration) {
	n.mu.Unlock()
	defer n.mu.Lock()
	wait.For(ctx, d, nil)
}

// wakeAll wakes all dials, reads and writes that wait, so that they check the
// rules again.
func (n *Network) wakeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed.Broadcast()
	for c := range n.conns {
		c.in.changed.Broadcast()
		c.out.changed.Broadcast()
	}
}

// updateRules changes the rules and wakes all calls that wait on them.
func (n *Network) updateRules(change func()) {
	n.mu.Lock()
	change()
	n.mu.Unlock()
	n.wakeAll()
}

// Cut resets the open connections between two hosts and refuses new ones.
func (n *Network) Cut(a, b string) {
	n.updateRules(func() {
		n.cut[pair{a, b}], n.cut[pair{b, a}] = true, true
		n.resetConns(func(c *conn) bool { return c.between(a, b) })
	})
}

// Drop loses everything that is sent from one host to the other until Heal.
// Connections stay open and deliver the data after Heal, as TCP sends it again;
// dials wait.
func (n *Network) Drop(from, to string) {
	n.updateRules(func() { n.dropped[pair{from, to}] = true })
}

// Partition is Drop for both directions.
func (n *Network) Partition(a, b string) {
	n.updateRules(func() { n.dropped[pair{a, b}], n.dropped[pair{b, a}] = true, true })
}

// DropDialled is Drop for the connections between two hosts that one of them,
// the dialler, has opened or will open. Connections that the other host dialled
// still work.
func (n *Network) DropDialled(dialler, from, to string) {
	n.updateRules(func() { n.droppedDialled[dialledPair{pair{from, to}, dialler}] = true })
}

// drops reports whether data in the direction is lost at present on a connection
// that the dialler opened; the caller holds the lock.
func (n *Network) drops(p pair, dialler string) bool {
	return n.dropped[p] || n.droppedDialled[dialledPair{p, dialler}]
}

// Heal ends Cut, Drop, DropDialled and Partition between two hosts.
func (n *Network) Heal(a, b string) {
	n.updateRules(func() {
		for _, p := range []pair{{a, b}, {b, a}} {
			delete(n.cut, p)
			delete(n.dropped, p)
			delete(n.droppedDialled, dialledPair{p, a})
			delete(n.droppedDialled, dialledPair{p, b})
		}
	})
}

// HealSlowly is Heal, except that the connections that are open carry no data for
// another d. TCP repeats what was lost at intervals that double, so data arrives as
// late after the end of a fault as that lasted. New connections work.
func (n *Network) HealSlowly(a, b string, d time.Duration) {
	n.Heal(a, b)
	n.updateRules(func() {
		until := time.Now().Add(d)
		for c := range n.conns {
			if c.from == a && c.to == b {
				c.in.heldUntil, c.out.heldUntil = until, until
			}
		}
	})
	time.AfterFunc(d, n.wakeAll)
}

// Freeze stops all data on the connections that are open between two hosts. They
// show no error, and Heal does not end this. New connections work.
func (n *Network) Freeze(a, b string) {
	n.updateRules(func() {
		for c := range n.conns {
			if c.between(a, b) {
				c.in.frozen, c.out.frozen = true, true
			}
		}
	})
}

// FreezeDirection is Freeze for what is sent from one host to the other; the
// connections still carry data the other way.
func (n *Network) FreezeDirection(from, to string) {
	n.FreezeDialled(from, from, to)
	n.FreezeDialled(to, from, to)
}

// FreezeDialled is FreezeDirection for the connections that one of the two
// hosts, the dialler, opened.
func (n *Network) FreezeDialled(dialler, from, to string) {
	n.updateRules(func() {
		for c := range n.conns {
			if c.from == from && c.to == to && c.out.dialler == dialler {
				c.out.frozen = true
			}
		}
	})
}

// Delay sets the one-way delay between two hosts, for data sent and connections
// dialled from now on.
func (n *Network) Delay(a, b string, d time.Duration) {
	n.updateRules(func() { n.delays[pair{a, b}], n.delays[pair{b, a}] = d, d })
}

// Jitter adds to the delay of each write between two hosts a random time of up to most;
// 0 ends that. Data of one connection stays in order. What is sent on different
// connections overtakes each other.
func (n *Network) Jitter(a, b string, most time.Duration) {
	n.updateRules(func() { n.jitters[pair{a, b}], n.jitters[pair{b, a}] = most, most })
}

// delay returns the delay of a write in a direction; the caller holds the lock.
func (n *Network) delay(p pair) time.Duration {
	d := n.delays[p]
	if most := n.jitters[p]; most > 0 {
		d += time.Duration(n.random.Int64N(int64(most)))
	}
	return d
}

// Reset breaks the open connections of a host and closes its listeners, as the
// end of its processes does.
func (n *Network) Reset(host string) {
	n.updateRules(func() {
		for address, l := range n.listeners {
			if hostOf(address) == host {
				l.closeLocked()
			}
		}
		n.resetConns(func(c *conn) bool { return c.from == host || c.to == host })
	})
}

// PowerOff ends what a host does without a message to others: its listeners are
// closed, the other ends of its connections stay silent for good, and dials to it
// wait until PowerOn.
func (n *Network) PowerOff(host string) {
	n.updateRules(func() {
		n.off[host] = true
		for address, l := range n.listeners {
			if hostOf(address) == host {
				l.closeLocked()
			}
		}
		for c := range n.conns {
			if c.from == host || c.to == host {
				c.in.frozen, c.out.frozen = true, true
				c.powerless = c.from == host
				c.in.changed.Broadcast()
				c.out.changed.Broadcast()
				delete(n.conns, c) // so that no later fault resets it
			}
		}
	})
}

// PowerOn ends PowerOff. Connections of the time before stay silent.
func (n *Network) PowerOn(host string) { n.updateRules(func() { delete(n.off, host) }) }

// Accepted returns the number of connections opened so far.
func (n *Network) Accepted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepted
}

func (n *Network) resetConns(match func(*conn) bool) {
	for c := range n.conns {
		if match(c) {
			c.in.reset, c.out.reset = true, true
			delete(n.conns, c)
			c.in.changed.Broadcast()
			c.out.changed.Broadcast()
		}
	}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// addr implements net.Addr.
type addr string

func (addr) Network() string  { return "faultnet" }
func (a addr) String() string { return string(a) }

// listener implements net.Listener.
type listener struct {
	net     *Network
	address string
	pending []*conn
	ready   *sync.Cond
	closed  bool
}

// Accept waits for a connection or until the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	for len(l.pending) == 0 && !l.closed {
		l.ready.Wait()
	}
	if l.closed {
		return nil, &net.OpError{Op: "accept", Net: "faultnet", Addr: l.Addr(), Err: net.ErrClosed}
	}
	c := l.pending[0]
	l.pending = l.pending[1:]
	return c, nil
}

// Close ends the listener and resets connections that were not accepted.
func (l *listener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.closed {
		return errors.New("faultnet: listener closed twice")
	}
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.net.listeners, l.address)
	waiting := l.pending
	l.net.resetConns(func(c *conn) bool {
		for _, w := range waiting {
			if c == w {
				return true
			}
		}
		return false
	})
	l.ready.Broadcast()
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return addr(l.address) }
