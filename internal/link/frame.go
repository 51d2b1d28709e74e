package link

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

// lengthBytes is the size of the length prefix of a frame.
const lengthBytes = 4

// ReadFrame reads one frame and returns its message and its size in bytes, length prefix included. It returns ErrFrameTooLarge
// for a frame over maxBytes, before it allocates memory for the frame, and the error of message.Decode for an invalid message.
func ReadFrame(r io.Reader, maxBytes int) (message.Message, int, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(maxBytes) {
		return nil, 0, errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", size, maxBytes)
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, 0, errors.Wrap(err, "link: truncated frame")
	}
	m, err := message.Decode(frame)
	return m, lengthBytes + int(size), err
}

// AppendFrame appends m as a frame, length prefix included, to dst and returns the extended slice. It returns ErrFrameTooLarge
// if the encoded message exceeds maxBytes.
func AppendFrame(dst []byte, m message.Message, maxBytes int) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, lengthBytes)...)
	dst, err := message.Encode(dst, m)
	if err != nil {
		return nil, err
	}
	size := len(dst) - start - lengthBytes
	if size > maxBytes {
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", size, maxBytes)
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(size))
	return dst, nil
}
