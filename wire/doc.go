// Package wire defines the messages that chicorytray's processes exchange.
//
// All types are plain structs that both codecs (gob and msgpack) can encode.
// Durations are relative, never wall-clock times, because the clocks of two
// workers may differ. Every field that one side may omit has a zero value that
// means "nothing to report".
package wire

// ProtocolVersion is checked in the hello that precedes the first call on a
// connection. Processes with different versions refuse to talk to each other.
// Within a version, fields are only added, and at the end of their struct: the
// msgpack codec tells fields apart by their order alone.
const ProtocolVersion = 1
