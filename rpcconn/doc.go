// Package rpcconn carries net/rpc calls between chicorytray's processes.
//
// It adds to net/rpc what the protocol between the processes relies on: a
// handshake (the hello) that compares protocol version and codec, a deadline
// for each write, a timer for each call, a limit on the size of messages,
// recovery of handler panics, mutual TLS, and counters of messages and bytes by
// method.
//
// A message is one frame: 4 bytes of length (big endian, of the rest of the
// frame), 1 byte of flags, and the header and body encoded by the connection's
// codec. Frames make the size limit exact. A sender writes each frame with one
// call, so that it can tell whether any byte of it was written.
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
	// ErrNotSent means that no byte of the request was written and that none
	// will be, so the peer cannot have handled the call.
	ErrNotSent = merry.Sentinel("rpcconn: request not sent")
	// ErrTooLarge means that a message exceeds the size limit.
	ErrTooLarge = merry.Sentinel("rpcconn: message too large")
	// ErrVersion means that the peer uses another protocol version or codec.
	ErrVersion = merry.Sentinel("rpcconn: protocol version or codec mismatch")
	// ErrProtocol means that the peer sent bytes that are not a valid message.
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
	// DefaultMaxMessageBytes is twice the default limit on a request's body
	// (8 MiB), so that a message also holds the request's headers.
	DefaultMaxMessageBytes = 16 << 20
	// DefaultWriteTimeout bounds the write of one message into the socket
	// buffer. A write that takes longer means that the peer does not read.
	DefaultWriteTimeout = time.Second
	// DefaultHelloTimeout bounds the TLS handshake, if TLS is enabled, and
	// separately the exchange of hellos.
	DefaultHelloTimeout = time.Second
)

// PingMethod is a method that every Server answers with an empty reply; it needs
// no registered handler.
const PingMethod = "Agent.Ping"

// withCause returns an error that matches both kind and cause with errors.Is;
// kind itself if cause is nil.
func withCause(kind, cause error) error {
	if cause == nil {
		return kind
	}
	return fmt.Errorf("%w: %w", kind, cause)
}
