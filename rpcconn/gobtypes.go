package rpcconn

import (
	"bytes"
	"encoding/gob"

	"github.com/ansel1/merry/v2"
)

// Identifiers of types in a gob stream.
const (
	gobWireTypeID = 16 // of the definition of a type
	lastGobBasic  = 7  // bool, int, uint, float, bytes, string and complex, from 1
	firstGobUser  = 64 // types that the stream defines
)

// gobTypes holds the types that a gob stream has defined. It refuses a type that
// contains itself and one that contains interfaces. The messages of package wire
// have neither. gob calls itself for each level of a value that it skips, so that
// 4 MB of a type that contains itself overflowed the stack of 1 GB, which ends the
// process and cannot be recovered from. An interface could carry the definition of
// such a type where check does not see it.
type gobTypes struct {
	in          bytes.Buffer
	definitions *gob.Decoder    // of the definitions of types, from in
	elements    map[int64][]int // types of the fields or elements of a type
	finite      map[int64]bool  // types that do not contain themselves
}

func newGobTypes() *gobTypes {
	g := &gobTypes{elements: map[int64][]int{}, finite: map[int64]bool{}}
	g.definitions = gob.NewDecoder(&g.in)
	return g
}

// gobDefinition is the definition of a type in a gob stream, with all its fields:
// gob can skip none of them.
type gobDefinition struct {
	ArrayT *struct {
		CommonType gobCommon
		Elem, Len  int
	}
	SliceT *struct {
		CommonType gobCommon
		Elem       int
	}
	StructT *struct {
		CommonType gobCommon
		Field      []gobCommon
	}
	MapT *struct {
		CommonType gobCommon
		Key, Elem  int
	}
	GobEncoderT, BinaryMarshalerT, TextMarshalerT *struct{ CommonType gobCommon }
}

// gobCommon has the name of a type and its identifier, or those of a field.
type gobCommon struct {
	Name string
	Id   int //nolint:revive // gob's spelling
}

// check reads the definitions of types in a frame and returns an error that matches
// ErrProtocol if the frame has a value of a type that is refused. It returns nil for
// a frame that is cut off, which the decoder finds.
func (g *gobTypes) check(frame []byte) error {
	for len(frame) > 0 {
		size, head := gobUint(frame)
		if head == 0 || size > uint64(len(frame)-head) {
			return nil
		}
		message := frame[head : head+int(size)]
		frame = frame[head+int(size):]
		encoded, head := gobUint(message)
		if head == 0 {
			return nil
		}
		id := int64(encoded >> 1)
		if encoded&1 == 0 {
			if !g.isFinite(id, 0) {
				return merry.Prepend(ErrProtocol, "a gob value of a type that contains itself or is not defined")
			}
			continue
		}
		if err := g.define(^id, message[head:]); err != nil {
			return err
		}
	}
	return nil
}

// define adds the type with the negative identifier that its definition has.
func (g *gobTypes) define(id int64, definition []byte) error {
	var d gobDefinition
	g.in.Reset()
	message := append([]byte{gobWireTypeID << 1}, definition...)
	g.in.Write(appendGobUint(nil, uint64(len(message))))
	g.in.Write(message)
	if err := recovered(func() error { return g.definitions.Decode(&d) }); err != nil {
		g.definitions = gob.NewDecoder(&g.in) // it decodes nothing after an error
		return err
	}
	var elements []int
	switch {
	case d.ArrayT != nil:
		elements = []int{d.ArrayT.Elem}
	case d.SliceT != nil:
		elements = []int{d.SliceT.Elem}
	case d.MapT != nil:
		elements = []int{d.MapT.Key, d.MapT.Elem}
	case d.StructT != nil:
		for _, f := range d.StructT.Field {
			elements = append(elements, f.Id)
		}
	}
	if _, ok := g.elements[-id]; !ok { // gob refuses a second definition
		g.elements[-id] = elements
	}
	return nil
}

// isFinite reports whether all types within the type are defined and none contains
// itself. depth is the number of types that contain it.
func (g *gobTypes) isFinite(id int64, depth int) bool {
	if id >= 1 && id <= lastGobBasic || g.finite[id] {
		return true
	}
	elements, ok := g.elements[id]
	if !ok || id < firstGobUser || depth == maxNesting {
		return false
	}
	for _, e := range elements {
		if !g.isFinite(int64(e), depth+1) {
			return false
		}
	}
	g.finite[id] = true
	return true
}

// gobUint returns the unsigned number with which b begins and its size; size 0 means
// that it is cut off or invalid.
func gobUint(b []byte) (n uint64, size int) {
	if len(b) == 0 {
		return 0, 0
	}
	if b[0] <= 0x7f {
		return uint64(b[0]), 1
	}
	size = 1 + 0x100 - int(b[0])
	if size > 9 || size > len(b) {
		return 0, 0
	}
	for _, c := range b[1:size] {
		n = n<<8 | uint64(c)
	}
	return n, size
}

// appendGobUint appends an unsigned number as gob encodes it.
func appendGobUint(b []byte, n uint64) []byte {
	if n <= 0x7f {
		return append(b, byte(n))
	}
	b = append(b, 0xf8) // 8 bytes follow
	for shift := 56; shift >= 0; shift -= 8 {
		b = append(b, byte(n>>shift))
	}
	return b
}
