package message

// Refusals carries requests that an entry has refused, for the other entries of its data centre, which their callers may try next. See
// package refusal.
type Refusals struct {
	Refusals []Refusal `msgpack:"r"`
	// NodeID is the entry that refused the requests, and Seq numbers its messages from 1. Entries of earlier releases set neither.
	NodeID string `msgpack:"id,omitempty"`
	Seq    uint64 `msgpack:"s,omitempty"`
}

// Refusal is one refused request.
type Refusal struct {
	// Fingerprint identifies the request by the fields that a retry repeats.
	Fingerprint uint64 `msgpack:"f"`
	// WaitedMillis is the time since the caller first sent the request, AgeMillis the time since this refusal.
	WaitedMillis int64 `msgpack:"w,omitempty"`
	AgeMillis    int64 `msgpack:"a,omitempty"`
}

// MessageType implements Message.
func (*Refusals) MessageType() Type { return TypeRefusals }
