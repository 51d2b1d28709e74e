package message

// Role says whether a node is an entry or an agent.
type Role string

// Roles of a node.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// ProtocolVersion is the version of the link protocol. A node refuses a peer that uses another version.
const ProtocolVersion = 1

// Hello is the first message in both directions. It identifies the sender; Nonce is random and goes into the proofs of both
// sides.
type Hello struct {
	Protocol   int    `msgpack:"v"`
	NodeID     string `msgpack:"id"`
	Role       Role   `msgpack:"role"`
	DataCentre string `msgpack:"dc"`
	Region     string `msgpack:"rg"`
	// Address is the link address at which others reach the node, empty when it accepts no links.
	Address string `msgpack:"addr"`
	// Incarnation is the start time of the process in nanoseconds since the Unix epoch. A connection from a higher incarnation
	// of a node replaces the one from a lower incarnation.
	Incarnation uint64 `msgpack:"inc"`
	Nonce       []byte `msgpack:"n"`
}

// HelloProof is the second message in both directions. Proof is an HMAC-SHA256, keyed with the link secret, over the sender's
// identity and both nonces.
type HelloProof struct {
	Proof []byte `msgpack:"p"`
}

// Heartbeat is sent in both directions on every link.
type Heartbeat struct {
	// Revision is the configuration revision in force on the sender, 0 for none.
	Revision uint64 `msgpack:"rev"`
	// Leaving is set when the sender is shutting down and should receive no new requests.
	Leaving bool `msgpack:"l,omitempty"`
	// Probe asks the peer to answer with a heartbeat at once.
	Probe bool `msgpack:"p,omitempty"`
}

// State is the state of an upstream as its agent announces it.
type State string

// States of an upstream. It accepts new requests only in StateServing.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateSwapping State = "swapping"
	StateLeaving  State = "leaving"
	// StateDown means that the agent cannot reach its upstream.
	StateDown State = "down"
)

// Announce describes an agent and its upstream. An agent sends it on connect, on each change and with load updates.
type Announce struct {
	Pool  string `msgpack:"pool"`
	Kind  string `msgpack:"kind"` // "model" or "service"
	State State  `msgpack:"st"`
	// LoadedVersion is the digest of the version that the engine serves, empty for services and before the first load.
	LoadedVersion string `msgpack:"lv"`
	// ReadyVersion is the newest version that is complete and verified in the agent's memory.
	ReadyVersion string `msgpack:"rv"`
	// FailedVersion is the version that the engine last failed to load, with LoadError as the reason.
	FailedVersion string `msgpack:"fv,omitempty"`
	LoadError     string `msgpack:"le,omitempty"`
	// Progress is the fraction of the target version that the agent holds, from 0 to 1.
	Progress float64 `msgpack:"pg"`
	// PeerAddress is the address at which other agents fetch chunks.
	PeerAddress string `msgpack:"pa"`
	// SwapEpoch is the highest epoch of a swap permit that the agent has accepted.
	SwapEpoch uint64 `msgpack:"se"`
	// Limit is the concurrency limit of the upstream; Queued and InFlight are the requests that wait at the agent and that run.
	Limit    int `msgpack:"lim"`
	Queued   int `msgpack:"q"`
	InFlight int `msgpack:"inf"`
	// UpstreamIncarnation changes each time the upstream restarts.
	UpstreamIncarnation uint64 `msgpack:"ui"`
}

// Peer is one agent in a PeerView.
type Peer struct {
	NodeID     string `msgpack:"id"`
	DataCentre string `msgpack:"dc"`
	Region     string `msgpack:"rg"`
	// Address is the PeerAddress of the agent's Announce.
	Address string `msgpack:"a"`
	// Pool lets an agent find the peers that hold the same model.
	Pool string `msgpack:"pl"`
	// Versions lists the versions that the peer holds completely.
	Versions []string `msgpack:"vs"`
	// Accepting is set when the peer's upstream accepts new requests. Entries use it to forward requests to another data
	// centre.
	Accepting bool `msgpack:"ac,omitempty"`
	// State, LoadedVersion, FailedVersion, LoadError and Revision are as in Announce and Heartbeat, and are sent between entries
	// only. They are part of the status that operators read, and through them a failed load stops the rollout in every data
	// centre.
	State         State  `msgpack:"st,omitempty"`
	LoadedVersion string `msgpack:"lv,omitempty"`
	FailedVersion string `msgpack:"fv,omitempty"`
	LoadError     string `msgpack:"le,omitempty"`
	Revision      uint64 `msgpack:"rev,omitempty"`
	// SameRevision is set instead of Revision when the agent has the same revision as the entry that sends the view, so that a
	// new configuration does not change every view.
	SameRevision bool `msgpack:"sr,omitempty"`
}

// PeerView lists live agents. A view sent to an agent lists those with an Address, of all data centres that the sending entry
// knows. A view sent to another entry lists only agents with a link to the sender, so that views do not circulate among entries.
//
// The first view on a link is complete. Each later one has Delta set and lists new and changed agents in Peers and the IDs of
// agents that are gone in Removed.
type PeerView struct {
	Peers   []Peer   `msgpack:"p"`
	Delta   bool     `msgpack:"d,omitempty"`
	Removed []string `msgpack:"r,omitempty"`
}

// ConfigRequest asks for the newest configuration.
type ConfigRequest struct {
	// Have is the revision that the requester holds, 0 for none; HaveDigest is the digest of that configuration.
	Have       uint64 `msgpack:"h"`
	HaveDigest string `msgpack:"hd"`
}

// ConfigReply carries the newest configuration of the sender, either whole in Envelope or as a change in Delta, both encoded by
// package config. Neither is set when the sender has nothing newer.
type ConfigReply struct {
	Revision uint64 `msgpack:"rev"`
	Envelope []byte `msgpack:"e,omitempty"`
	Delta    []byte `msgpack:"d,omitempty"`
}

// SwapPermit allows an agent to take its upstream out of service and load a version. Epoch grows each time an entry acquires the
// rollout lease; an agent ignores a permit whose epoch is below the highest that it has accepted.
type SwapPermit struct {
	Epoch   uint64 `msgpack:"ep"`
	Version string `msgpack:"v"`
	// LifetimeMillis counts from receipt, so that the clocks of nodes need not be synchronised.
	LifetimeMillis int64 `msgpack:"ms"`
}

// SwapRevoke revokes a permit. An agent that has already stopped admission completes the swap or returns to its old version.
type SwapRevoke struct {
	Epoch   uint64 `msgpack:"ep"`
	Version string `msgpack:"v"`
}

// ManifestRequest asks a peer for the manifest of a version. ID matches the reply to the request.
type ManifestRequest struct {
	ID      uint64 `msgpack:"i"`
	Version string `msgpack:"v"`
}

// ManifestReply carries a manifest in its canonical encoding. NotFound is set when the peer does not have it.
type ManifestReply struct {
	ID       uint64 `msgpack:"i"`
	Manifest []byte `msgpack:"m,omitempty"`
	NotFound bool   `msgpack:"nf,omitempty"`
}

// ChunkRequest asks a peer for the chunk with the given hash. ID matches the reply to the request.
type ChunkRequest struct {
	ID   uint64 `msgpack:"i"`
	Hash string `msgpack:"h"`
	// WaitMillis is how long the peer may delay its reply while it is still fetching the chunk.
	WaitMillis int64 `msgpack:"w"`
}

// ChunkReply carries the whole chunk. NotFound is set when the peer does not have it.
type ChunkReply struct {
	ID       uint64 `msgpack:"i"`
	Data     []byte `msgpack:"d,omitempty"`
	NotFound bool   `msgpack:"nf,omitempty"`
	// Pending is set when the peer is still fetching the chunk and making progress, so that the requester asks it again.
	Pending bool `msgpack:"p,omitempty"`
}

// MessageType implements Message.
func (*Hello) MessageType() Type { return TypeHello }

// MessageType implements Message.
func (*HelloProof) MessageType() Type { return TypeHelloProof }

// MessageType implements Message.
func (*Heartbeat) MessageType() Type { return TypeHeartbeat }

// MessageType implements Message.
func (*Announce) MessageType() Type { return TypeAnnounce }

// MessageType implements Message.
func (*PeerView) MessageType() Type { return TypePeerView }

// MessageType implements Message.
func (*ConfigRequest) MessageType() Type { return TypeConfigRequest }

// MessageType implements Message.
func (*ConfigReply) MessageType() Type { return TypeConfigReply }

// MessageType implements Message.
func (*SwapPermit) MessageType() Type { return TypeSwapPermit }

// MessageType implements Message.
func (*SwapRevoke) MessageType() Type { return TypeSwapRevoke }

// MessageType implements Message.
func (*ManifestRequest) MessageType() Type { return TypeManifestRequest }

// MessageType implements Message.
func (*ManifestReply) MessageType() Type { return TypeManifestReply }

// MessageType implements Message.
func (*ChunkRequest) MessageType() Type { return TypeChunkRequest }

// MessageType implements Message.
func (*ChunkReply) MessageType() Type { return TypeChunkReply }
