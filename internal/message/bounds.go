package message

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

const (
	// maxElements bounds one array or map. The largest is a PeerView of 5,000 agents.
	maxElements = 1 << 16
	// maxDepth bounds nesting. The decoder recurses for each level, and no message has more than five.
	maxDepth = 16
)

var errBounds = errors.New("array, map or text exceeds the frame or its bounds")

// checkBounds walks the first msgpack value of data and refuses lengths that data cannot hold.
//
// The decoder allocates slices of structs by the announced length before it reads an element: without this check 50 bytes
// from any sender make it allocate gigabytes.
func checkBounds(data []byte) error {
	// open holds the number of values that are still to come, for each level.
	open := make([]int, 1, maxDepth)
	open[0] = 1
	for len(open) > 0 {
		top := len(open) - 1
		if open[top] == 0 {
			open = open[:top]
			continue
		}
		open[top]--
		size, children, ok := valueSize(data)
		if !ok || size > len(data) {
			return errBounds
		}
		data = data[size:]
		if children == 0 {
			continue
		}
		if children > maxElements || children > len(data) || len(open) == maxDepth {
			return errBounds
		}
		open = append(open, children)
	}
	return nil
}

// valueSize returns the bytes of the value at the start of data without its children, and the number of these. It is false
// for truncated heads and the unused code.
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
	case code < 0xc0: // text of up to 31 bytes
		return 1 + int(code&0x1f), 0, true
	default:
		return longValueSize(data)
	}
}

// fixedSizes holds the sizes of values whose code determines them.
var fixedSizes = map[byte]int{
	0xc0: 1, 0xc2: 1, 0xc3: 1, // nil, false, true
	0xca: 5, 0xcb: 9, // floats
	0xcc: 2, 0xcd: 3, 0xce: 5, 0xcf: 9, 0xd0: 2, 0xd1: 3, 0xd2: 5, 0xd3: 9, // integers
	0xd4: 3, 0xd5: 4, 0xd6: 6, 0xd7: 10, 0xd8: 18, // extensions
}

func longValueSize(data []byte) (size, children int, ok bool) {
	code := data[0]
	if size, fixed := fixedSizes[code]; fixed {
		return size, 0, true
	}
	switch code {
	case 0xc4, 0xc5, 0xc6: // binary
		n, head, ok := length(data, code-0xc4)
		return head + n, 0, ok
	case 0xc7, 0xc8, 0xc9: // extension with one byte of type
		n, head, ok := length(data, code-0xc7)
		return head + 1 + n, 0, ok
	case 0xd9, 0xda, 0xdb: // text
		n, head, ok := length(data, code-0xd9)
		return head + n, 0, ok
	case 0xdc, 0xdd: // array
		n, head, ok := length(data, code-0xdc+1)
		return head, n, ok
	case 0xde, 0xdf: // map
		n, head, ok := length(data, code-0xde+1)
		return head, 2 * n, ok
	default:
		return 0, 0, false
	}
}

// length reads the length behind a code: one, two or four bytes for the widths 0, 1 and 2. head counts the code too.
func length(data []byte, width byte) (n, head int, ok bool) {
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
