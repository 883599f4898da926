package rpcconn

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"
)

// maxNesting is the largest number of arrays and maps within each other in a msgpack
// message. The messages of package wire have less than 10. The decoder's own limit
// does not apply to values that it skips: it calls itself for each level, so that
// 4.4 MB of nested arrays overflowed the stack of 1 GB, which ends the process and
// cannot be recovered from.
const maxNesting = 64

// checkNesting returns an error that matches ErrProtocol if the values in data are
// nested deeper than maxNesting, or contain a byte that begins no value. It returns
// nil for values that are cut off, which the decoder finds.
func checkNesting(data []byte) error {
	var left [maxNesting]uint64 // number of values that each open array or map still lacks
	depth := 0
	for len(data) > 0 {
		size, elements, known := msgpackValue(data)
		if !known {
			return merry.Prependf(ErrProtocol, "byte %#x begins no msgpack value", data[0])
		}
		if size > uint64(len(data)) {
			return nil
		}
		data = data[size:]
		if elements > 0 {
			if depth == maxNesting {
				return merry.Prependf(ErrProtocol, "values are nested deeper than %d", maxNesting)
			}
			left[depth] = elements
			depth++
			continue
		}
		for depth > 0 {
			if left[depth-1]--; left[depth-1] > 0 {
				break
			}
			depth--
		}
	}
	return nil
}

// msgpackValue returns the size in bytes of the value with which data begins, and
// for an array or a map the size of its head and the number of values that follow as
// its elements. The size exceeds that of data if the value is cut off.
func msgpackValue(data []byte) (size, elements uint64, known bool) {
	c := data[0]
	switch {
	case c <= 0x7f, c >= 0xe0, c == 0xc0, c == 0xc2, c == 0xc3: // small numbers, nil, false, true
		return 1, 0, true
	case c <= 0x8f:
		return 1, 2 * uint64(c&0xf), true
	case c <= 0x9f:
		return 1, uint64(c & 0xf), true
	case c <= 0xbf:
		return 1 + uint64(c&0x1f), 0, true
	case c == 0xc1:
		return 0, 0, false
	case c <= 0xc6: // bytes, with a length of 1, 2 or 4 bytes
		return blockSize(data, 1<<(c-0xc4), 0)
	case c <= 0xc9: // extensions, of which a byte for the type follows the length
		return blockSize(data, 1<<(c-0xc7), 1)
	case c <= 0xcb:
		return 1 + 4<<(c-0xca), 0, true // floating-point numbers
	case c <= 0xcf:
		return 1 + 1<<(c-0xcc), 0, true // unsigned numbers
	case c <= 0xd3:
		return 1 + 1<<(c-0xd0), 0, true // signed numbers
	case c <= 0xd8:
		return 2 + 1<<(c-0xd4), 0, true // extensions of a fixed size, with their type
	case c <= 0xdb:
		return blockSize(data, 1<<(c-0xd9), 0) // texts
	case c <= 0xdd:
		n, head := length(data, 2<<(c-0xdc))
		return head, n, true
	default: // 0xde and 0xdf
		n, head := length(data, 2<<(c-0xde))
		return head, 2 * n, true
	}
}

// blockSize returns the size of a value whose content of that length, and further
// bytes, follow a length of lengthSize bytes.
func blockSize(data []byte, lengthSize int, further uint64) (size, elements uint64, known bool) {
	n, head := length(data, lengthSize)
	return head + further + n, 0, true
}

// length returns the length of that many bytes after the first byte of data, and the
// size of both together. The length is 0 if it is cut off.
func length(data []byte, size int) (n, head uint64) {
	head = 1 + uint64(size)
	if uint64(len(data)) < head {
		return 0, head
	}
	switch b := data[1:head]; size {
	case 1:
		return uint64(b[0]), head
	case 2:
		return uint64(binary.BigEndian.Uint16(b)), head
	default:
		return uint64(binary.BigEndian.Uint32(b)), head
	}
}
