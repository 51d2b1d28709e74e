package relay

import (
	"bytes"
	"strconv"
)

// eventSize returns the length of the event at the start of data including the blank line that ends it, 0 if it is incomplete.
func eventSize(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	default:
		return 0
	}
}

// eventID returns the number in the first id line of an event, and false if there is no such line or it holds no number above 0: events are
// numbered from 1.
func eventID(event []byte) (int64, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil && n > 0
	}
	return 0, false
}
