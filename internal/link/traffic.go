package link

import (
	"sync/atomic"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Traffic counts the frame bytes of all links of a process. Data messages are those of requests, responses and weights; all
// others are control messages. The zero value is ready to use. Traffic is safe for concurrent use.
type Traffic struct {
	ControlSent, ControlReceived atomic.Uint64
	DataSent, DataReceived       atomic.Uint64
}

// sent counts a sent message of the given frame size. It does nothing on a nil Traffic.
func (t *Traffic) sent(m message.Message, bytes int) {
	if t == nil {
		return
	}
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
