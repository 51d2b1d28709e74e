package link

import (
	"sync/atomic"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Traffic counts the frames and their bytes of all links of a process. Data messages are those of requests, responses and weights; all
// others are control messages. The zero value is ready to use. Traffic is safe for concurrent use.
type Traffic struct {
	ControlSent, ControlReceived atomic.Uint64
	DataSent, DataReceived       atomic.Uint64
	// sentByType and receivedByType are indexed by the wire code of the message.
	sentByType, receivedByType [message.TypeCount]frameCounter
}

// frameCounter counts frames and their bytes.
type frameCounter struct{ frames, bytes atomic.Uint64 }

func (c *frameCounter) add(bytes int) {
	c.frames.Add(1)
	c.bytes.Add(uint64(bytes))
}

// FrameCount is the number of frames of one type of message and the sum of their bytes.
type FrameCount struct {
	Type          message.Type
	Frames, Bytes uint64
}

// Sent returns the frames sent so far, one entry for each type of message that was sent.
func (t *Traffic) Sent() []FrameCount { return frameCounts(&t.sentByType) }

// Received returns the frames received so far, one entry for each type of message that was received.
func (t *Traffic) Received() []FrameCount { return frameCounts(&t.receivedByType) }

func frameCounts(counters *[message.TypeCount]frameCounter) []FrameCount {
	var out []FrameCount
	for code := range counters {
		if frames := counters[code].frames.Load(); frames > 0 {
			out = append(out, FrameCount{Type: message.Type(code), Frames: frames, Bytes: counters[code].bytes.Load()})
		}
	}
	return out
}

// sent counts a sent message of the given frame size. It does nothing on a nil Traffic.
func (t *Traffic) sent(m message.Message, bytes int) {
	if t == nil {
		return
	}
	t.sentByType[m.MessageType()].add(bytes)
	if isData(m) {
		t.DataSent.Add(uint64(bytes))
	} else {
		t.ControlSent.Add(uint64(bytes))
	}
}

// received counts a received message of the given frame size. It does nothing on a nil Traffic.
func (t *Traffic) received(m message.Message, bytes int) {
	if t == nil {
		return
	}
	t.receivedByType[m.MessageType()].add(bytes)
	if isData(m) {
		t.DataReceived.Add(uint64(bytes))
	} else {
		t.ControlReceived.Add(uint64(bytes))
	}
}

// isData reports whether m counts as a data message. The types differ from those of usesDataQueue: requests for weights and short
// messages about a request count as data but are sent through the control queue. A ConfigReply counts as a control message but is
// sent through the data queue.
func isData(m message.Message) bool {
	switch m.MessageType() {
	case message.TypeSubmit, message.TypeReject, message.TypeResponseHead, message.TypeResponseBody, message.TypeResponseEnd,
		message.TypeCredit, message.TypeCancel, message.TypeQuery, message.TypeQueryReply,
		message.TypeManifestRequest, message.TypeManifestReply, message.TypeChunkRequest, message.TypeChunkReply,
		message.TypeWeightsRequest, message.TypeWeightsReply:
		return true
	default:
		return false
	}
}
