package dev

// Endpoint holds the addresses of one entry or agent.
type Endpoint struct {
	ID      string
	Callers string // IP:port for callers; empty for an agent
	Peers   string // IP:port for other processes
	Admin   string // IP:port for operators
}

// Traffic counts the messages of one method over all processes. Each message
// is counted once, at its sender.
type Traffic struct {
	Requests int64
	Replies  int64
	// Wasted counts the messages that led to no start and carried no answer that
	// was needed.
	Wasted int64
	Bytes  int64
}
