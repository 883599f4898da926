package dev

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ClientLocation is the location of callers in a Network.
const ClientLocation = "clients"

// errProcessKilled is returned for new connections of a process that was killed.
var errProcessKilled = errors.New("dev: process was killed")

// Network adds the delays between locations to connections on loopback. A
// location is a data centre or ClientLocation.
type Network struct {
	interDataCentreDelay time.Duration // one way between data centres
	clientDelay          time.Duration // one way between clients and any data centre

	mu        sync.Mutex
	locations map[string]string // location by listening address
}

// NewNetwork returns a network with the one-way delays between data centres and
// between clients and any data centre.
func NewNetwork(between, clients time.Duration) *Network {
	return &Network{interDataCentreDelay: between, clientDelay: clients, locations: map[string]string{}}
}

// SetLocation records the location of the listener with this address.
func (n *Network) SetLocation(address, location string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = location
}

// Delay returns the one-way delay from a location to a listening address. It is
// 0 when the location of the address is not recorded.
func (n *Network) Delay(from, address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, known := n.locations[address]
	switch {
	case !known || to == from:
		return 0
	case from == ClientLocation || to == ClientLocation:
		return n.clientDelay
	default:
		return n.interDataCentreDelay
	}
}

// Process holds the listeners and connections of one process at a location, so
// that Kill can close them all at once.
type Process struct {
	network  *Network
	location string

	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	listeners []net.Listener
	killed    bool
}

// Process returns a new process at the location.
func (n *Network) Process(location string) *Process {
	return &Process{network: n, location: location, conns: map[net.Conn]struct{}{}}
}

// Dial connects to an address with the delay from the location of the process.
func (p *Process) Dial(ctx context.Context, address string) (net.Conn, error) {
	delay := p.network.Delay(p.location, address)
	if delay > 0 { // the handshake takes one round trip
		t := time.NewTimer(2 * delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tracked, err := p.track(c)
	if err != nil {
		return nil, err
	}
	return newDelayedConn(tracked, delay), nil
}

// Listen listens on a free loopback port and records the location of its address.
func (p *Process) Listen() (net.Listener, error) { return p.ListenOn("127.0.0.1:0") }

// ListenOn listens on an address and records its location.
func (p *Process) ListenOn(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p.network.SetLocation(l.Addr().String(), p.location)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, l)
	return &trackedListener{l, p}, nil
}

// Kill closes all listeners and connections of the process, as the operating
// system does when a process ends, and makes later dials fail.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	open, listen := p.conns, p.listeners
	p.conns, p.listeners = map[net.Conn]struct{}{}, nil
	p.mu.Unlock()
	for _, l := range listen {
		_ = l.Close()
	}
	for c := range open {
		_ = c.Close()
	}
}

func (p *Process) track(c net.Conn) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		_ = c.Close()
		return nil, errProcessKilled
	}
	t := &trackedConn{Conn: c, process: p}
	p.conns[t] = struct{}{}
	return t, nil
}

type trackedConn struct {
	net.Conn
	process *Process
}

// Close closes the connection and removes it from its process.
func (t *trackedConn) Close() error {
	t.process.mu.Lock()
	delete(t.process.conns, t)
	t.process.mu.Unlock()
	return t.Conn.Close()
}

type trackedListener struct {
	net.Listener
	process *Process
}

// Accept returns the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.process.track(c)
}
