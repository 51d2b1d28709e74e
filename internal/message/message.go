// Package message defines the typed messages that entries and agents exchange over links, and their encoding.
//
// Every message is encoded as one type byte followed by the msgpack encoding of its struct. Unknown fields are ignored so
// that nodes of adjacent releases interoperate.
package message

import (
	"bytes"
	"reflect"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Type is the wire code of a message. The codes of removed messages are never reused.
type Type uint8

// Wire codes of the messages. They are numbered in this order, so a new code goes to the end.
const (
	TypeHello Type = iota + 1
	TypeHeartbeat
	TypeAnnounce
	TypePeerView
	TypeConfigRequest
	TypeConfigReply
	TypeSubmit
	TypeReject
	TypeResponseHead
	TypeResponseBody
	TypeResponseEnd
	TypeCredit
	TypeCancel
	TypeQuery
	TypeQueryReply
	TypeCrashReport
	TypeSwapPermit
	TypeSwapRevoke
	TypeManifestRequest
	TypeManifestReply
	TypeChunkRequest
	TypeChunkReply
	TypeHelloProof
	TypeFleetState
	TypeMembers
	TypeUpstreamLoads
	TypeWeightsRequest
	TypeWeightsReply
	TypeEntryWork
	TypeCrashEvidence
	TypeRateShares
	TypeRefusals
	TypeRelayed

	// TypeCount is one more than the highest wire code.
	TypeCount
)

// Errors returned by Decode.
var (
	ErrEmpty       = errors.New("message: empty frame")
	ErrUnknownType = errors.New("message: unknown type")
	ErrMalformed   = errors.New("message: malformed body")
)

// Message is implemented by pointers to the structs of this package.
type Message interface {
	// MessageType returns the wire code.
	MessageType() Type
}

// Encode appends the encoding of m to dst and returns the extended slice.
func Encode(dst []byte, m Message) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	body := bytes.NewBuffer(append(dst, byte(m.MessageType())))
	encoder.Reset(body)
	// Without compact integers, each integer takes nine bytes, which is half of a heartbeat.
	encoder.UseCompactInts(true)
	if err := encoder.Encode(m); err != nil {
		return nil, errors.Wrapf(err, "message: encode type %d", m.MessageType())
	}
	return body.Bytes(), nil
}

// Decode parses one frame without its length prefix. It returns ErrEmpty, ErrUnknownType or ErrMalformed, and never panics on
// any input.
func Decode(frame []byte) (Message, error) {
	if len(frame) == 0 {
		return nil, ErrEmpty
	}
	m := newMessage(Type(frame[0]))
	if m == nil {
		return nil, errors.Wrapf(ErrUnknownType, "code %d", frame[0])
	}
	if err := checkBounds(frame[1:]); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "message: decode type %d", frame[0]), ErrMalformed)
	}
	if err := msgpack.Unmarshal(frame[1:], m); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "message: decode type %d", frame[0]), ErrMalformed)
	}
	return m, nil
}

// constructors maps each wire code to a function that returns an empty message of its type.
var constructors = map[Type]func() Message{
	TypeHello:           func() Message { return new(Hello) },
	TypeHelloProof:      func() Message { return new(HelloProof) },
	TypeHeartbeat:       func() Message { return new(Heartbeat) },
	TypeAnnounce:        func() Message { return new(Announce) },
	TypePeerView:        func() Message { return new(PeerView) },
	TypeConfigRequest:   func() Message { return new(ConfigRequest) },
	TypeConfigReply:     func() Message { return new(ConfigReply) },
	TypeSubmit:          func() Message { return new(Submit) },
	TypeReject:          func() Message { return new(Reject) },
	TypeResponseHead:    func() Message { return new(ResponseHead) },
	TypeResponseBody:    func() Message { return new(ResponseBody) },
	TypeResponseEnd:     func() Message { return new(ResponseEnd) },
	TypeCredit:          func() Message { return new(Credit) },
	TypeCancel:          func() Message { return new(Cancel) },
	TypeQuery:           func() Message { return new(Query) },
	TypeQueryReply:      func() Message { return new(QueryReply) },
	TypeCrashReport:     func() Message { return new(CrashReport) },
	TypeSwapPermit:      func() Message { return new(SwapPermit) },
	TypeSwapRevoke:      func() Message { return new(SwapRevoke) },
	TypeManifestRequest: func() Message { return new(ManifestRequest) },
	TypeManifestReply:   func() Message { return new(ManifestReply) },
	TypeChunkRequest:    func() Message { return new(ChunkRequest) },
	TypeChunkReply:      func() Message { return new(ChunkReply) },
	TypeFleetState:      func() Message { return new(FleetState) },
	TypeMembers:         func() Message { return new(Members) },
	TypeUpstreamLoads:   func() Message { return new(UpstreamLoads) },
	TypeWeightsRequest:  func() Message { return new(WeightsRequest) },
	TypeWeightsReply:    func() Message { return new(WeightsReply) },
	TypeEntryWork:       func() Message { return new(EntryWork) },
	TypeCrashEvidence:   func() Message { return new(CrashEvidence) },
	TypeRateShares:      func() Message { return new(RateShares) },
	TypeRefusals:        func() Message { return new(Refusals) },
	TypeRelayed:         func() Message { return new(Relayed) },
}

// String returns the name of the message, such as "Heartbeat", or the wire code if it is unknown.
func (t Type) String() string {
	m := newMessage(t)
	if m == nil {
		return strconv.Itoa(int(t))
	}
	return reflect.TypeOf(m).Elem().Name()
}

// newMessage returns an empty message of type t, or nil if the type is unknown.
func newMessage(t Type) Message {
	construct, ok := constructors[t]
	if !ok {
		return nil
	}
	return construct()
}
