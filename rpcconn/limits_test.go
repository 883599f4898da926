package rpcconn

import (
	"bytes"
	"errors"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// panicking is a value that cannot be decoded without a panic.
type panicking struct{ B byte }

func (p panicking) MarshalBinary() ([]byte, error) { return []byte{p.B}, nil }

func (*panicking) UnmarshalBinary([]byte) error { panic("decoder fault") }

// Guards against a panic of a decoder that ends the process, at either side of a call.
func TestPanicOfADecoder(t *testing.T) {
	c := qt.New(t)
	for _, name := range []Codec{CodecGob, CodecMsgpack} {
		o := Options{Codec: name}.withDefaults()
		f := newFrameConn(nil, nil, o)
		data, err := f.encode(header{Method: "Agent.Run"}, panicking{1})
		c.Assert(err, qt.IsNil)
		f.reader.Reset(bytes.NewReader(data))
		_, _, err = f.read()
		c.Assert(err, qt.IsNil)
		c.Check(f.readBody(&panicking{}), qt.ErrorIs, ErrProtocol, qt.Commentf("%s", name))
	}
	c.Check(recovered(func() error { panic(errors.New("decoder fault")) }), qt.ErrorIs, ErrProtocol)
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a message of some bytes that makes its receiver allocate memory for
// the length that it states.
func TestStatedLengthsAllocateNothing(t *testing.T) {
	const stated, limit = 256 << 20, 8 << 20
	list := []byte("\x93\x00\xa9Agent.Run\xa0\x91\xdd\x10\x00\x00\x00") // 2^28 started tasks
	for name, data := range map[string][]byte{
		"frame": {stated >> 24, 0, 0, 0, flagReset}, "list": frameOf(list), "text": frameOf([]byte("\x93\x00\xdb\x10\x00\x00\x00A")),
	} {
		o := Options{Codec: CodecMsgpack, MaxMessageBytes: 2 * stated}.withDefaults()
		n := allocated(func() {
			f := newFrameConn(nil, nil, o)
			f.reader.Reset(bytes.NewReader(data))
			if _, _, err := f.read(); err == nil {
				err = f.readBody(&wire.CancelLeasedRequest{})
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
			}
		})
		qt.Check(t, n < limit, qt.IsTrue, qt.Commentf("%s: %d bytes", name, n))
	}
}
