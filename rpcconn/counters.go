package rpcconn

import "sync"

// Kind distinguishes calls that run or cancel tasks from control calls.
type Kind string

// Kinds of traffic.
const (
	KindTask    Kind = "task"
	KindControl Kind = "control" // for example heartbeats, sessions and hellos
)

// KindOf returns the kind of traffic that a method belongs to. Every method
// that does not run, await or cancel a task is control traffic.
func KindOf(method string) Kind {
	switch method {
	case "Entry.Forward", "Agent.Run", "Agent.Await", "Agent.Cancel":
		return KindTask
	}
	return KindControl
}

// Count is the traffic of one method. A message is a request or a reply. Bytes
// include the framing but not the overhead of TLS.
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

// Counters counts messages and bytes by method. It is safe for concurrent use.
// Usually all connections of a process share one.
type Counters struct {
	mu     sync.Mutex
	counts map[string]Count
}

// NewCounters returns empty counters.
func NewCounters() *Counters { return &Counters{counts: map[string]Count{}} }

// ByMethod returns a copy of the counts. Hellos are counted as method "hello".
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
