package membudget

import (
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

const (
	// firstBuffer is the size of the first buffer for data of unknown length, in bytes.
	firstBuffer = 4 << 10
	// unlimitedFirstBuffer bounds the first buffer without a budget, in bytes: a sender may announce much and send nothing.
	unlimitedFirstBuffer = 64 << 10
)

// Reservation is the part of a budget that one body or response holds. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve returns an empty reservation. The caller releases it.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Release gives all bytes back. The reservation is empty then and may be used again.
func (r *Reservation) Release() {
	r.budget.release(r.bytes)
	r.bytes = 0
}

// Append appends data to buf. A larger buffer is allocated only within the budget; otherwise buf is returned unchanged, with ErrExhausted.
// While data is copied from one buffer to another, both count.
func (r *Reservation) Append(buf, data []byte) ([]byte, error) {
	size := len(buf) + len(data)
	if size <= cap(buf) {
		return append(buf, data...), nil
	}
	next, err := r.resize(buf, max(size, 2*cap(buf)))
	if err != nil {
		return buf, err
	}
	return append(next, data...), nil
}

// ReadAll reads from source until its end into a buffer within the budget. expected is the length of the data, negative if it is unknown; most
// is the length that source does not exceed, so that no larger buffer is taken. On a failure it returns what it has read before; the error is
// ErrExhausted if the next part does not fit. With a known length, nothing is read unless all of it fits.
func (r *Reservation) ReadAll(source io.Reader, expected, most int) ([]byte, error) {
	most = min(most, math.MaxInt/2)
	size := min(firstBuffer, most+1) // The last read, which finds the end, needs space too.
	if expected >= 0 {
		size = min(expected, most) + 1
	}
	if r.budget == nil {
		size = min(size, unlimitedFirstBuffer)
	}
	buf, err := r.resize(nil, size)
	for err == nil {
		if len(buf) == cap(buf) {
			if buf, err = r.resize(buf, max(min(2*cap(buf), most+1), cap(buf)+1)); err != nil {
				break
			}
		}
		var n int
		n, err = source.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return buf, err
}

// resize returns a copy of buf with the capacity size, or buf and ErrExhausted. The reservation is that of the new buffer then.
func (r *Reservation) resize(buf []byte, size int) ([]byte, error) {
	if !r.budget.acquire(int64(size)) {
		return buf, errors.WithStack(ErrExhausted)
	}
	next := append(make([]byte, 0, size), buf...)
	r.budget.release(r.bytes)
	r.bytes = int64(size)
	return next, nil
}
