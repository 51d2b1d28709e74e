package faultproxy

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// helloTimeout bounds how long a dialer may take to send its Hello.
	helloTimeout = 5 * time.Second
	// frameHeaderBytes is the size of the big-endian length that precedes each frame.
	frameHeaderBytes = 4
	// maxHelloFrameBytes bounds the first frame, without its header.
	maxHelloFrameBytes = 4 << 10
)

// NewLink starts a proxy on the address listen in front of a link listener (package link) at the address target. The source of each
// connection is read from its Hello message.
func NewLink(listen, target string) (*Proxy, error) { return start(listen, target, readHello) }

// readHello reads the first frame, which must be a Hello, and returns the source that it names and the raw frame for relaying.
func readHello(nc net.Conn) (Source, []byte, error) {
	if err := nc.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Source{}, nil, err
	}
	frame := make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(nc, frame); err != nil {
		return Source{}, nil, err
	}
	size := binary.BigEndian.Uint32(frame)
	if size > maxHelloFrameBytes {
		return Source{}, nil, errors.Newf("faultproxy: first frame of %d bytes exceeds the limit for a Hello", size)
	}
	frame = append(frame, make([]byte, size)...)
	if _, err := io.ReadFull(nc, frame[frameHeaderBytes:]); err != nil {
		return Source{}, nil, err
	}
	m, err := message.Decode(frame[frameHeaderBytes:])
	if err != nil {
		return Source{}, nil, err
	}
	hello, ok := m.(*message.Hello)
	if !ok {
		return Source{}, nil, errors.New("faultproxy: first message of the link is not a Hello")
	}
	source := Source{Node: hello.NodeID, DataCentre: hello.DataCentre, Region: hello.Region}
	return source, frame, nc.SetReadDeadline(time.Time{})
}
