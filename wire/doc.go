// Package wire defines the messages that chicorytray's processes exchange.
//
// All types are plain structs that both codecs (gob and msgpack) can encode.
// Times are sent as durations, never as wall-clock times, because the clocks of
// two workers may differ. Every field that one side may omit has a zero value
// that means "nothing to report".
package wire

// ProtocolVersion is checked in the hello that precedes the first call on a
// connection. A process refuses a connection from a process of another version.
// Within a version, fields may only be added, and only at the end of a struct,
// because the msgpack codec identifies fields by their order alone.
const ProtocolVersion = 1
