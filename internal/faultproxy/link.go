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
	helloTimeout       = 5 * time.Second
	frameHeaderBytes   = 4
	maxHelloFrameBytes = 4 << 10
)

// NewLink starts a proxy for a listener of package link. The source of a connection is read from its Hello.
func NewLink(listen, target string) (*Proxy, error) { return start(listen, target, identifyLink) }

// identifyLink reads the first frame and returns it for relaying.
func identifyLink(nc net.Conn) (Source, []byte, error) {
	if err := nc.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Source{}, nil, err
	}
	frame := make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(nc, frame); err != nil {
		return Source{}, nil, err
	}
	size := binary.BigEndian.Uint32(frame)
	if size > maxHelloFrameBytes {
		return Source{}, nil, errors.Newf("faultproxy: first frame has %d bytes", size)
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
		return Source{}, nil, errors.New("faultproxy: first message is not Hello")
	}
	source := Source{Node: hello.NodeID, DataCentre: hello.DataCentre, Region: hello.Region}
	return source, frame, nc.SetReadDeadline(time.Time{})
}
