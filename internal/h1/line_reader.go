package h1

import (
	"bufio"
	"bytes"
	"io"
)

// lineReader returns the lines of a response body as soon as they have arrived. The reader of chunks in net/http, once it has data, waits for
// the rest of a chunk of which a part has arrived.
type lineReader struct {
	body io.Reader
	// br is the buffer from which body reads.
	br *bufio.Reader
}

// LineReader returns a reader of a response body for answers of which each line counts, such as streams.
func (c *Conn) LineReader(body io.Reader) io.Reader { return lineReader{body: body, br: c.br} }

// Read implements io.Reader. Its first read from the body may wait, the others do not.
func (r lineReader) Read(p []byte) (n int, err error) {
	first := 1
	if r.arrived() == 0 {
		first = max(r.br.Buffered(), first) // A part of a line, or of the size of a chunk.
	}
	n, err = r.body.Read(p[:min(first, len(p))])
	for err == nil && n < len(p) {
		arrived := r.arrived()
		if arrived == 0 {
			break
		}
		var m int
		m, err = r.body.Read(p[n:min(n+arrived, len(p))])
		n += m
	}
	return n, err
}

// arrived returns how many bytes of the body have certainly arrived: up to the end of the first line in the buffer, 0 if there is none. After a
// read, a buffer with a line begins with data, because the end of a chunk and the size of the next one are read together with the last byte of
// the chunk if they have arrived. The first line that ends with CR and LF may be the last one of its chunk.
func (r lineReader) arrived() int {
	waiting, _ := r.br.Peek(r.br.Buffered())
	end := bytes.IndexByte(waiting, '\n')
	switch {
	case end > 0 && waiting[end-1] == '\r':
		return max(end-1, 1)
	default:
		return end + 1
	}
}
