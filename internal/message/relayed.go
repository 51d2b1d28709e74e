package message

// Relayed carries what a relay has received from other nodes since its last message of this type, for an entry of the relay's data centre.
// See package overlay.
type Relayed struct {
	// Work is the work in progress of all entries that report to the relay; nil if it has not changed.
	Work *WorkTotals `msgpack:"w,omitempty"`
	// Loads are the loads that agents have reported, and those from other data centres.
	Loads []UpstreamLoad `msgpack:"l,omitempty"`
	// Refusals and RateShares are messages of other entries.
	Refusals   []Refusals   `msgpack:"r,omitempty"`
	RateShares []RateShares `msgpack:"s,omitempty"`
}

// WorkTotals is the sum of the work that several entries have in progress, at each upstream.
type WorkTotals struct {
	Work []UpstreamWork `msgpack:"w,omitempty"`
	// Reports counts the reports in the sum. ReceiverSeq is the sequence number of the receiver's own report in it, 0 if there is none.
	Reports     int    `msgpack:"n"`
	ReceiverSeq uint64 `msgpack:"s,omitempty"`
}

// MessageType implements Message.
func (*Relayed) MessageType() Type { return TypeRelayed }
