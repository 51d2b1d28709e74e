package h1

import "net"

// inputReader reads from a connection. It can limit the number of bytes that it reads.
type inputReader struct {
	nc net.Conn
	// limited is set while remaining is the number of bytes that may still be read.
	limited   bool
	remaining int
}

// limit lets n more bytes be read. Later reads fail with errHeadTooLarge.
func (r *inputReader) limit(n int) { r.limited, r.remaining = true, n }

// removeLimit lets any number of bytes be read.
func (r *inputReader) removeLimit() { r.limited = false }

// Read implements io.Reader.
func (r *inputReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.nc.Read(p)
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.nc.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
