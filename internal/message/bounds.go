package message

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

const (
	// maxElements bounds the elements of one array or map. The largest array is that of a PeerView of 5,000 agents.
	maxElements = 1 << 16
	// maxDepth bounds the nesting depth, because the decoder recurses once per level. The deepest message is a FleetState with six levels.
	maxDepth = 16
)

var errBounds = errors.New("array, map or string exceeds the frame or its bounds")

// checkBounds walks the first msgpack value of data and returns errBounds if an announced length exceeds what data can hold, or
// if the value exceeds maxElements or maxDepth.
//
// The decoder allocates slices of structs by their announced length before it reads an element: without this check, 50 bytes
// from any sender could make it allocate gigabytes.
func checkBounds(data []byte) error {
	// remaining holds the number of values still to be read at each nesting level.
	remaining := make([]int, 1, maxDepth)
	remaining[0] = 1
	for len(remaining) > 0 {
		level := len(remaining) - 1
		if remaining[level] == 0 {
			remaining = remaining[:level]
			continue
		}
		remaining[level]--
		size, children, ok := valueSize(data)
		if !ok || size > len(data) {
			return errBounds
		}
		data = data[size:]
		if children == 0 {
			continue
		}
		if children > maxElements || children > len(data) || len(remaining) == maxDepth {
			return errBounds
		}
		remaining = append(remaining, children)
	}
	return nil
}

// valueSize returns the size in bytes of the value at the start of data without its children, and the number of children. ok is
// false if the value's type code or length field is truncated, and for 0xc1, which msgpack does not use.
func valueSize(data []byte) (size, children int, ok bool) {
	if len(data) == 0 {
		return 0, 0, false
	}
	switch code := data[0]; {
	case code < 0x80 || code >= 0xe0: // small integers
		return 1, 0, true
	case code < 0x90: // map of up to 15 pairs
		return 1, 2 * int(code&0x0f), true
	case code < 0xa0: // array of up to 15 elements
		return 1, int(code & 0x0f), true
	case code < 0xc0: // string of up to 31 bytes
		return 1 + int(code&0x1f), 0, true
	default:
		return longValueSize(data)
	}
}

// fixedSizes maps the type code of each value of fixed size to that size in bytes, code included.
var fixedSizes = map[byte]int{
	0xc0: 1, 0xc2: 1, 0xc3: 1, // nil, false, true
	0xca: 5, 0xcb: 9, // floats
	0xcc: 2, 0xcd: 3, 0xce: 5, 0xcf: 9, 0xd0: 2, 0xd1: 3, 0xd2: 5, 0xd3: 9, // integers
	0xd4: 3, 0xd5: 4, 0xd6: 6, 0xd7: 10, 0xd8: 18, // extensions
}

// longValueSize is valueSize for the values whose type code is a byte of its own.
func longValueSize(data []byte) (size, children int, ok bool) {
	code := data[0]
	if size, fixed := fixedSizes[code]; fixed {
		return size, 0, true
	}
	switch code {
	case 0xc4, 0xc5, 0xc6: // binary
		n, head, ok := readLength(data, code-0xc4)
		return head + n, 0, ok
	case 0xc7, 0xc8, 0xc9: // extension, with one byte for its type
		n, head, ok := readLength(data, code-0xc7)
		return head + 1 + n, 0, ok
	case 0xd9, 0xda, 0xdb: // string
		n, head, ok := readLength(data, code-0xd9)
		return head + n, 0, ok
	case 0xdc, 0xdd: // array
		n, head, ok := readLength(data, code-0xdc+1)
		return head, n, ok
	case 0xde, 0xdf: // map
		n, head, ok := readLength(data, code-0xde+1)
		return head, 2 * n, ok
	default:
		return 0, 0, false
	}
}

// readLength reads the big-endian length that follows a type code. The length has 1<<width bytes, width being 0, 1 or 2. head
// is the size of the type code and the length in bytes. ok is false if data is too short.
func readLength(data []byte, width byte) (n, head int, ok bool) {
	head = 1 + 1<<width
	if len(data) < head {
		return 0, 0, false
	}
	switch width {
	case 0:
		return int(data[1]), head, true
	case 1:
		return int(binary.BigEndian.Uint16(data[1:])), head, true
	default:
		return int(binary.BigEndian.Uint32(data[1:])), head, true
	}
}
