package rpcconn

import "sync"

// Kind separates the traffic that carries tasks from the traffic that controls.
type Kind string

// Kinds of traffic.
const (
	KindTask    Kind = "task"
	KindControl Kind = "control"
)

// KindOf returns the kind of traffic that a method belongs to. Every method
// that is not needed to run or cancel a task is control.
func KindOf(method string) Kind {
	switch method {
	case "Agent.Run", "Agent.Await", "Agent.Cancel":
		return KindTask
	}
	return KindControl
}

// Count of the traffic of one method, in messages (a request or a reply each)
// and in bytes with framing but without TLS overhead.
type Count struct {
	MessagesSent, MessagesReceived uint64
	BytesSent, BytesReceived       uint64
}

func (c Count) plus(o Count) Count {
	return Count{
		MessagesSent: c.MessagesSent + o.MessagesSent, MessagesReceived: c.MessagesReceived + o.MessagesReceived,
		BytesSent: c.BytesSent + o.BytesSent, BytesReceived: c.BytesReceived + o.BytesReceived,
	}
}

// Counters counts messages and bytes by method. It is safe for concurrent use
// and is usually shared by all connections of a process.
type Counters struct {
	mu     sync.Mutex
	counts map[string]Count
}

// NewCounters returns empty counters.
func NewCounters() *Counters { return &Counters{counts: map[string]Count{}} }

// ByMethod returns a copy of the counts. Hellos are counted as "hello".
func (c *Counters) ByMethod() map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Count, len(c.counts))
	for m, n := range c.counts {
		out[m] = n
	}
	return out
}

// Total returns the sum of the counts of one kind.
func (c *Counters) Total(k Kind) Count {
	var sum Count
	for m, n := range c.ByMethod() {
		if KindOf(m) == k {
			sum = sum.plus(n)
		}
	}
	return sum
}

func (c *Counters) countSent(method string, bytes int) {
	c.add(method, Count{MessagesSent: 1, BytesSent: uint64(bytes)})
}

func (c *Counters) countReceived(method string, bytes int) {
	c.add(method, Count{MessagesReceived: 1, BytesReceived: uint64(bytes)})
}

func (c *Counters) add(method string, n Count) {
	c.mu.Lock()
	c.counts[method] = c.counts[method].plus(n)
	c.mu.Unlock()
}
