package message

// RateShares carries what an entry knows of the rates that upstreams limit, and its own demand, from which all entries derive their shares
// of each limit. It is sent only while a limit is in force. See package ratelimit.
type RateShares struct {
	NodeID string `msgpack:"id"`
	// Seq numbers the reports of one process of the entry, see CompareSeq; 0 from entries of earlier releases.
	Seq uint64 `msgpack:"sq,omitempty"`
	// Limits are the limits of upstreams, including those lifted a short time ago.
	Limits []RateLimit `msgpack:"l,omitempty"`
	// Demand is the demand of the entry at each service with a limited upstream, Sent the requests that it sent to each limited upstream.
	Demand []ServiceDemand `msgpack:"d,omitempty"`
	Sent   []SentRequests  `msgpack:"s,omitempty"`
}

// RateLimit is the rate that a process of an upstream takes from all entries together.
type RateLimit struct {
	Upstream        string `msgpack:"u"`
	StartedAtMillis int64  `msgpack:"b,omitempty"`
	Service         string `msgpack:"s"`
	// PerSecond is in requests a second. Lifted is set if the upstream has named no limit in its newest response.
	PerSecond float64 `msgpack:"r"`
	Lifted    bool    `msgpack:"x,omitempty"`
	// AgeMillis is the time since the upstream received the request whose response said so.
	AgeMillis int64 `msgpack:"a,omitempty"`
}

// ServiceDemand is the number of requests for a service that an entry receives, in requests a second.
type ServiceDemand struct {
	Service   string  `msgpack:"s"`
	PerSecond float64 `msgpack:"r"`
}

// SentRequests is the number of requests that an entry has sent to an upstream within the window of package ratelimit.
type SentRequests struct {
	Upstream string `msgpack:"u"`
	Count    int    `msgpack:"n"`
}

// MessageType implements Message.
func (*RateShares) MessageType() Type { return TypeRateShares }
