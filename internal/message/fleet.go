package message

import "github.com/pimentohead/pimentohead/internal/catalog"

// FleetState carries facts about the catalog. On a new link each side sends all that it knows; afterwards only what changed.
type FleetState struct {
	// Config is made by PackConfig; nil if the message does not carry it. ConfigRevision is the revision that the sender has in
	// any case.
	Config         []byte `msgpack:"cz,omitempty"`
	ConfigRevision int64  `msgpack:"cr,omitempty"`
	// RequestConfig asks for the receiver's configuration.
	RequestConfig bool            `msgpack:"p,omitempty"`
	Upstreams     []FleetUpstream `msgpack:"u,omitempty"`
	Versions      []FleetVersion  `msgpack:"v,omitempty"`
	// HasStaleness tells that FreshAge is known: the time in ms since the sender knew everything.
	HasStaleness    bool  `msgpack:"f,omitempty"`
	StalenessMillis int64 `msgpack:"fa,omitempty"`
	// UpstreamsComplete tells that Upstreams is a complete list.
	UpstreamsComplete bool `msgpack:"l,omitempty"`
}

// FleetUpstream is a fact about one upstream. Entry is nil if the upstream is gone.
type FleetUpstream struct {
	ID           string            `msgpack:"id"`
	Revision     int64             `msgpack:"r"`
	Announcement *catalog.Upstream `msgpack:"e,omitempty"`
}

// FleetVersion is a fact about the named version of a model. Age is the time since it was named, in ms.
type FleetVersion struct {
	Model     string `msgpack:"m"`
	Version   int64  `msgpack:"v"`
	Revision  int64  `msgpack:"r"`
	AgeMillis int64  `msgpack:"a"`
}

// Members lists nodes that the sender knows.
type Members struct {
	Members []Member `msgpack:"m"`
}

// Member is a node that accepts links.
type Member struct {
	NodeID      string `msgpack:"id"`
	Role        Role   `msgpack:"ro"`
	DataCentre  string `msgpack:"dc"`
	Region      string `msgpack:"rg"`
	Address     string `msgpack:"a"`
	Incarnation uint64 `msgpack:"i"`
}

// UpstreamLoads carries loads of upstreams as their agents see them.
type UpstreamLoads struct {
	Loads []UpstreamLoad `msgpack:"l"`
}

// UpstreamLoad is the load of one upstream.
type UpstreamLoad struct {
	Address string `msgpack:"a"`
	// StartedAtMillis is the start of the upstream in milliseconds since the epoch, 0 if it is not known.
	StartedAtMillis int64 `msgpack:"b,omitempty"`
	// AgeMillis is the time since the upstream was asked, in ms, grown by each node that passes the load on.
	AgeMillis int64 `msgpack:"g,omitempty"`
	// Down tells that the upstream does not answer its agent.
	Down bool `msgpack:"d,omitempty"`
	// Swapping tells that the upstream loads weights or is about to, and takes nothing new meanwhile.
	Swapping bool    `msgpack:"s,omitempty"`
	Active   int     `msgpack:"n,omitempty"`
	Queued   int     `msgpack:"q,omitempty"`
	KVUsed   int64   `msgpack:"ku,omitempty"`
	KVTotal  int64   `msgpack:"kt,omitempty"`
	Slowdown float64 `msgpack:"p,omitempty"`
	// Models are the layers that the upstream holds.
	Models []catalog.LoadedLayers `msgpack:"m,omitempty"`
	// DataCentreWork is what the entries of the upstream's data centre have in progress there. It is set between data centres, and
	// HasEntries tells that it is.
	DataCentreWork    UpstreamWork `msgpack:"e,omitempty"`
	HasDataCentreWork bool         `msgpack:"he,omitempty"`
}

// EntryWork lists what one entry has in progress at each upstream. Each message replaces the one before.
type EntryWork struct {
	NodeID string         `msgpack:"id"`
	Work   []UpstreamWork `msgpack:"w,omitempty"`
}

// UpstreamWork is what is in progress at one upstream.
type UpstreamWork struct {
	ID string `msgpack:"i,omitempty"`
	// Running counts all requests, Waiting those that have had no event yet, Tokens are the prompts of the latter.
	Running       int `msgpack:"r,omitempty"`
	Waiting       int `msgpack:"w,omitempty"`
	WaitingTokens int `msgpack:"t,omitempty"`
}

// WholeManifest is the chunk number that asks for the digests of all chunks.
const WholeManifest = -1

// WeightsRequest asks an entry for one chunk of a version, or for its digests if Chunk is WholeManifest.
type WeightsRequest struct {
	Seq     uint64 `msgpack:"s"`
	Model   string `msgpack:"m"`
	Version int64  `msgpack:"v"`
	Chunk   int    `msgpack:"c"`
	// HeldOnly asks for what the node holds already; it reads nothing for the sender.
	HeldOnly bool `msgpack:"h,omitempty"`
}

// WeightsReply answers a WeightsRequest. Error is empty on success.
type WeightsReply struct {
	Seq     uint64   `msgpack:"s"`
	Data    []byte   `msgpack:"d,omitempty"`
	Digests []string `msgpack:"g,omitempty"`
	Error   string   `msgpack:"e,omitempty"`
}

// MessageType implements Message.
func (*FleetState) MessageType() Type { return TypeFleetState }

// MessageType implements Message.
func (*Members) MessageType() Type { return TypeMembers }

// MessageType implements Message.
func (*UpstreamLoads) MessageType() Type { return TypeUpstreamLoads }

// MessageType implements Message.
func (*EntryWork) MessageType() Type { return TypeEntryWork }

// MessageType implements Message.
func (*WeightsRequest) MessageType() Type { return TypeWeightsRequest }

// MessageType implements Message.
func (*WeightsReply) MessageType() Type { return TypeWeightsReply }
