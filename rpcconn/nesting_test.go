package rpcconn

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/wire"
)

// chain is a type that contains itself.
type chain struct{ Next *chain }

// unknownField has a field that RunRequest lacks. gob refuses a value none of whose
// fields is known.
type unknownField struct {
	Extra    *chain
	Sequence uint64
}

// nestedFrames returns frames whose values are nested to a depth, by name. Each
// stands for a request with an unknown or mistyped part.
func nestedFrames(depth int) map[string][]byte {
	join := func(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
	arrays, maps := bytes.Repeat([]byte{0x91}, depth), bytes.Repeat([]byte{0x81, 0xa1, 'x'}, depth)
	head := []byte("\x93\x00\xa9Agent.Run\xa0")
	frames := map[string][]byte{
		"arrays": arrays, "maps": maps, "body of arrays": join(head, arrays), "body of maps": join(head, maps),
		"element after the last field": join(head, []byte{0xdc, 0, 64}, bytes.Repeat([]byte{0xc0}, 63), arrays),
		"keys":                         join(head, bytes.Repeat([]byte{0x81}, depth)),
	}
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	for _, v := range []any{header{Method: "Agent.Run"}, unknownField{&chain{&chain{}}, 1}} {
		if err := e.Encode(v); err != nil {
			panic(err)
		}
	}
	// The last message is the value, of which each 1 begins the next level.
	rest, last, id := b.Bytes(), 0, []byte(nil)
	for i := 0; i < len(rest); {
		size, n := gobUint(rest[i:])
		last, id = i, rest[i+n:i+n+2] // 2 bytes, because it is above 63
		i += n + int(size)
	}
	value := append(bytes.Clone(id), bytes.Repeat([]byte{1}, 3*depth)...) // 1 byte for a level, as 3 in maps
	frames["gob"] = join(rest[:last], appendGobUint(nil, uint64(len(value))), value)
	return frames
}

// frameOf returns the frame with the body, in which the types begin anew.
func frameOf(body []byte) []byte {
	return append(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+1)), flagReset), body...)
}

// Guards against a message whose values are nested so deep that decoding it
// overflows the stack, which ends the process and cannot be recovered from.
func TestDeeplyNestedMessage(t *testing.T) {
	for name, body := range nestedFrames(5 << 20) {
		qt.New(t).Run(name, func(c *qt.C) {
			o := Options{Codec: CodecMsgpack, MaxMessageBytes: 16 << 20}.withDefaults()
			if name == "gob" {
				o.Codec = CodecGob
			}
			s := NewServer(o)
			calls := 0
			Handle(s, "Agent.Run", func(context.Context, *wire.RunRequest, *wire.RunReply) error { calls++; return nil })
			h, err := o.hello(verdictNone)
			c.Assert(err, qt.IsNil)
			s.ServeConn(context.Background(), &scriptedConn{Reader: io.MultiReader(bytes.NewReader(h.encode()), bytes.NewReader(frameOf(body)))})
			c.Assert(s.Drain(context.Background()), qt.IsNil)
			c.Check(calls, qt.Equals, 0)
		})
	}
}

// Guards against a message of this version that the check of the nesting refuses or
// reads past, and against a value that is nested as deep as allowed and refused.
func TestNestingOfValidMessages(t *testing.T) {
	c := qt.New(t)
	c.Check(checkNesting(bytes.Repeat([]byte{0x91}, maxNesting)), qt.IsNil)
	c.Check(checkNesting(bytes.Repeat([]byte{0x91}, maxNesting+1)), qt.ErrorIs, ErrProtocol)
	c.Check(checkNesting(bytes.Repeat([]byte{0x91, 0x80}, 1000)), qt.IsNil, qt.Commentf("ended values do not count"))
	// A value of every kind that holds bytes which begin arrays, in an array of 2:
	// reading past its end would miss the levels that follow.
	for _, value := range []string{
		"\x05", "\xe0", "\xc0", "\xc2", "\xc3", "\xa2\x91\x91", "\xc4\x02\x91\x91", "\xc5\x00\x02\x91\x91", "\xc6\x00\x00\x00\x02\x91\x91",
		"\xc7\x02\x01\x91\x91", "\xc8\x00\x02\x01\x91\x91", "\xc9\x00\x00\x00\x02\x01\x91\x91", "\xca\x91\x91\x91\x91", "\xcb\x91\x91\x91\x91\x91\x91\x91\x91",
		"\xcc\x91", "\xcd\x91\x91", "\xce\x91\x91\x91\x91", "\xcf\x91\x91\x91\x91\x91\x91\x91\x91", "\xd0\x91", "\xd1\x91\x91", "\xd2\x91\x91\x91\x91",
		"\xd3\x91\x91\x91\x91\x91\x91\x91\x91", "\xd4\x01\x91", "\xd5\x01\x91\x91", "\xd6\x01\x91\x91\x91\x91", "\xd7\x01\x91\x91\x91\x91\x91\x91\x91\x91",
		"\xd8\x01\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91", "\xd9\x02\x91\x91", "\xda\x00\x02\x91\x91", "\xdb\x00\x00\x00\x02\x91\x91",
		"\xdc\x00\x01\xc0", "\xdd\x00\x00\x00\x01\xc0", "\xde\x00\x01\xc0\xc0", "\xdf\x00\x00\x00\x01\xc0\xc0", "\x90", "\x80", "\xdc\x00\x00",
	} {
		levels := bytes.Repeat(append([]byte{0x92}, value...), maxNesting-1)
		c.Check(checkNesting(levels), qt.IsNil, qt.Commentf("%x", value))
		c.Check(checkNesting(append(levels, 0x91, 0x91, 0xc0)), qt.ErrorIs, ErrProtocol, qt.Commentf("%x", value))
	}
	c.Check(checkNesting([]byte{0xc1}), qt.ErrorIs, ErrProtocol)
	for _, end := range []string{"\xd9", "\xda\x00", "\xdc\x00", "\xdf\xff\xff\xff", "\xcf\x01", "\xc9\xff\xff\xff\xff\x01"} {
		c.Check(checkNesting([]byte(end)), qt.IsNil, qt.Commentf("%x is cut off", end))
	}
}
