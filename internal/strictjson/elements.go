package strictjson

import (
	"encoding/json"
	"fmt"
)

// MaxList is the largest number of elements of a List. A job has at most 1,500 tasks, and
// each of its steps at least one.
const MaxList = 1500

// maxDepth is the nesting at which encoding/json gives up.
const maxDepth = 10_000

// List is a list that is not decoded if it has more than MaxList elements. Decoding
// otherwise takes memory for each element, which may be 2 bytes of the document, also if
// none has the right type.
type List[T any] []T

// UnmarshalJSON implements json.Unmarshaler.
func (l *List[T]) UnmarshalJSON(data []byte) error {
	if n := LargestArray(data); n > MaxList {
		return fmt.Errorf("a list of %d elements; the limit is %d", n, MaxList)
	}
	return json.Unmarshal(data, (*[]T)(l))
}

// LargestArray returns the number of elements of the largest array in a JSON document,
// at any depth. It allocates nothing for documents of ordinary depth. The result for
// what is not JSON has no meaning.
func LargestArray(data []byte) int {
	var stack [32]int // elements of the open arrays so far; -1 for an object
	open, largest, inString := stack[:0], 0, false
	for i := 0; i < len(data) && len(open) <= maxDepth; i++ {
		switch c := data[i]; {
		case inString:
			switch c {
			case '\\':
				i++
			case '"':
				inString = false
			}
			continue
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			continue
		case c == ']' || c == '}':
			if len(open) > 0 {
				open = open[:len(open)-1]
			}
			continue
		case c == ',':
			if n := len(open); n > 0 && open[n-1] > 0 {
				open[n-1]++
				largest = max(largest, open[n-1])
			}
			continue
		}
		if n := len(open); n > 0 && open[n-1] == 0 { // the first element
			open[n-1] = 1
			largest = max(largest, 1)
		}
		switch data[i] {
		case '"':
			inString = true
		case '[':
			open = append(open, 0)
		case '{':
			open = append(open, -1)
		}
	}
	return largest
}
