package rpcconn

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/ugorji/go/codec"
)

// Codec names an encoding of messages.
type Codec string

// The codecs that both sides of a connection may use.
const (
	CodecGob     Codec = "gob"
	CodecMsgpack Codec = "msgpack"
)

// maxInitialLength is the largest number of elements that the msgpack decoder
// allocates because of a length prefix, before it has read the elements.
const maxInitialLength = 1024

// The numbers that identify the codecs in the hello.
const (
	codecNumberGob     = 1
	codecNumberMsgpack = 2
)

func (c Codec) number() (byte, error) {
	switch c {
	case CodecGob:
		return codecNumberGob, nil
	case CodecMsgpack:
		return codecNumberMsgpack, nil
	}
	return 0, fmt.Errorf("rpcconn: codec %q is not one of gob, msgpack", string(c))
}

// encoder appends encoded values to a buffer.
type encoder interface{ Encode(v any) error }

// decoder decodes the values of one frame at a time.
type decoder interface {
	reset(frame []byte)
	decode(v any) error
	skip() error
	release()    // drops the references to the frame, which was decoded
	unread() int // bytes of the frame that are not decoded yet; -1 if the codec cannot tell
}

func newEncoder(c Codec, out *bytes.Buffer) encoder {
	if c == CodecMsgpack {
		return codec.NewEncoder(out, msgpackHandle())
	}
	return gob.NewEncoder(out)
}

func newDecoder(c Codec) decoder {
	if c == CodecMsgpack {
		return &msgpackDecoder{dec: codec.NewDecoderBytes(nil, msgpackHandle())}
	}
	d := &gobDecoder{types: newGobTypes()}
	d.dec = gob.NewDecoder(&d.in)
	return d
}

func msgpackHandle() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{WriteExt: true}
	// Structs are sent as arrays, because field names would double the size of
	// heartbeats. The protocol version guarantees the order of the fields.
	h.StructToArray = true
	h.MaxInitLen = maxInitialLength
	return h
}

type gobDecoder struct {
	in      bytes.Reader
	dec     *gob.Decoder
	types   *gobTypes
	refused error // of types for the frame
}

func (d *gobDecoder) reset(frame []byte) {
	d.refused = recovered(func() error { return d.types.check(frame) })
	d.in.Reset(frame)
}

func (d *gobDecoder) decode(v any) error {
	if d.refused != nil {
		return d.refused
	}
	return recovered(func() error { return d.dec.Decode(v) })
}

// release makes the decoder read an empty message, because it keeps its copy of the
// last one. The error of that is not kept.
func (d *gobDecoder) release() {
	d.in.Reset([]byte{0})
	d.refused = nil
	_ = d.skip()
	d.in.Reset(nil)
}

func (d *gobDecoder) unread() int { return d.in.Len() }

// skip decodes the value nevertheless, because it may define types that later
// messages use.
func (d *gobDecoder) skip() error { return d.decode(nil) }

type msgpackDecoder struct {
	dec     *codec.Decoder
	nesting error // of checkNesting for the frame
}

func (d *msgpackDecoder) reset(frame []byte) {
	d.nesting = recovered(func() error { return checkNesting(frame) })
	d.dec.ResetBytes(frame)
}

func (d *msgpackDecoder) decode(v any) error {
	if d.nesting != nil {
		return d.nesting
	}
	return recovered(func() error { return d.dec.Decode(v) })
}

func (d *msgpackDecoder) release() { d.dec.ResetBytes(nil) }

func (d *msgpackDecoder) unread() int { return -1 }
func (d *msgpackDecoder) skip() error { return nil }

// recovered runs decode and converts a panic into an error, so that a peer
// cannot crash the process with a malformed message.
func recovered(decode func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = merry.Prependf(ErrProtocol, "decoder panic: %v", r)
		}
	}()
	if err := decode(); err != nil {
		return withCause(ErrProtocol, err)
	}
	return nil
}
