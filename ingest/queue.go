package ingest

import "time"

// queue holds the connections of a group that are in one state, in the order of their
// last progress.
type queue struct{ first, last *Conn }

func (q *queue) push(c *Conn) {
	c.previous, c.next = q.last, nil
	if q.last == nil {
		q.first = c
	} else {
		q.last.next = c
	}
	q.last = c
}

func (q *queue) remove(c *Conn) {
	if c.previous == nil {
		q.first = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		q.last = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.previous, c.next = nil, nil
}

// enter records the state of the connection and moves it to the end of its queue.
func (c *Conn) enter(s state, now time.Time) {
	if !c.unlisted {
		c.group.queues[c.state].remove(c)
		c.group.queues[s].push(c)
	}
	c.state, c.since = s, now
}
