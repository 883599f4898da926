package rpcconn

import (
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/ingest"
)

// Options are the options of either side of a connection. The zero value is
// usable.
type Options struct {
	// Codec is CodecGob (default) or CodecMsgpack. Both sides must agree.
	Codec Codec
	// MaxMessageBytes limits one message in both directions. 0 means
	// DefaultMaxMessageBytes.
	MaxMessageBytes int64
	// WriteTimeout bounds the write of one message; a connection that exceeds
	// it is closed. 0 means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// HelloTimeout bounds the TLS handshake and, separately, the exchange of
	// hellos. 0 means DefaultHelloTimeout.
	HelloTimeout time.Duration
	// CallTimeout applies to calls whose context has no deadline. 0 means none.
	CallTimeout time.Duration
	// TLS enables mutual TLS; see LoadTLS. Nil means plain TCP.
	TLS *tls.Config
	// Counters counts the traffic; nil means that the counts cannot be read.
	Counters *Counters
	// Logger receives the server's connection errors and handler panics.
	Logger zerolog.Logger
	// Group limits the connections that a server accepts and the memory for the
	// messages that it is reading. Nil means no limits.
	Group *ingest.Group
	// MessageTimeout bounds the time in which a server receives the rest of a
	// message that does not fit the read buffer, if Group is set. 0 means
	// DefaultMessageTimeout.
	MessageTimeout time.Duration
	// Version is the protocol version that the hello announces. 0 means
	// wire.ProtocolVersion.
	Version uint16
}

func (o Options) withDefaults() Options {
	if o.Codec == "" {
		o.Codec = CodecGob
	}
	if o.MaxMessageBytes <= 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.HelloTimeout <= 0 {
		o.HelloTimeout = DefaultHelloTimeout
	}
	if o.MessageTimeout <= 0 {
		o.MessageTimeout = DefaultMessageTimeout
	}
	if o.Counters == nil {
		o.Counters = NewCounters()
	}
	if o.Version == 0 {
		o.Version = defaultVersion
	}
	return o
}
