// Package rpcconn carries net/rpc calls between chicorytray's processes.
//
// It adds to net/rpc what the protocol between the processes relies on: a
// hello with protocol version and codec, a deadline for each write, a timer
// for each call, a limit on the size of messages, recovery of handler panics,
// mutual TLS, and counters of messages and bytes by method.
//
// A message is one frame: 4 bytes of length (big endian, of what follows), 1
// byte of flags, and the header and body encoded by the connection's codec.
// Frames make the size limit exact, and a sender writes each with one call, so
// that it knows whether any byte of it left the process.
package rpcconn

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of this package. Match them with errors.Is; one error may match
// several of them.
var (
	// ErrTimeout means that the call's deadline passed or a write took longer
	// than WriteTimeout. Unless ErrNotSent matches too, the peer may have
	// handled the call.
	ErrTimeout = merry.Sentinel("rpcconn: timeout")
	// ErrClosed means that the connection is closed or broken.
	ErrClosed = merry.Sentinel("rpcconn: connection closed")
	// ErrNotSent means that no byte of the request was written and none will be.
	ErrNotSent = merry.Sentinel("rpcconn: request not sent")
	// ErrTooLarge means that a message exceeds the size limit.
	ErrTooLarge = merry.Sentinel("rpcconn: message too large")
	// ErrVersion means that the peer has another protocol version or codec.
	ErrVersion = merry.Sentinel("rpcconn: protocol version or codec mismatch")
	// ErrProtocol means that the peer sent something that is not a message.
	ErrProtocol = merry.Sentinel("rpcconn: malformed message")
	// ErrEncoding means that a message could not be encoded.
	ErrEncoding = merry.Sentinel("rpcconn: message cannot be encoded")
)

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Method  string
	Message string
}

// Error returns the method and the handler's message.
func (e *RemoteError) Error() string { return e.Method + ": " + e.Message }

// Defaults of Options.
const (
	// DefaultMaxMessageBytes holds a request of 8 MiB with its headers twice over.
	DefaultMaxMessageBytes = 16 << 20
	// DefaultWriteTimeout is the time for one message to enter the socket
	// buffer. A write that takes longer means that the peer does not read.
	DefaultWriteTimeout = time.Second
	// DefaultHelloTimeout covers the exchange of hellos, and TLS if enabled.
	DefaultHelloTimeout = time.Second
)

// PingMethod is answered by every Server without a registered handler.
const PingMethod = "Agent.Ping"

// withCause wraps kind so that the result also matches cause.
func withCause(kind, cause error) error {
	if cause == nil {
		return kind
	}
	return fmt.Errorf("%w: %w", kind, cause)
}
