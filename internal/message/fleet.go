package message

import (
	"cmp"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// FleetState carries the sender's configuration and its records of upstreams and of named model versions. An entry sends all its
// records on a new link and after its queue of changes has overflowed, and otherwise only those that changed. An agent sends only its
// records of versions, on a new link: entries that have restarted may not know when a version was named.
type FleetState struct {
	// Config is the configuration as encoded by PackConfig, or nil if the message does not carry it. ConfigVersion is the version of the
	// sender's configuration in either case, and orders configurations. ConfigRevision is the revision of the store at which it was
	// written: nodes of earlier releases order configurations by it.
	Config         []byte `msgpack:"cz,omitempty"`
	ConfigVersion  int64  `msgpack:"cv,omitempty"`
	ConfigRevision int64  `msgpack:"cr,omitempty"`
	// RequestConfig asks the receiver to send its configuration.
	RequestConfig bool            `msgpack:"p,omitempty"`
	Upstreams     []FleetUpstream `msgpack:"u,omitempty"`
	Versions      []FleetVersion  `msgpack:"v,omitempty"`
	// Checkpoints are the records of checkpoints of the sender. Only entries send and use them.
	Checkpoints []FleetCheckpoint `msgpack:"cp,omitempty"`
	// Evacuations are the records of data centres that are or were evacuated. Nodes of earlier releases ignore them.
	Evacuations []FleetEvacuation `msgpack:"ev,omitempty"`
	// Era is the highest era of the store that the sender knows, 0 if it knows none.
	Era int64 `msgpack:"er,omitempty"`
	// StalenessMillis is the time since the sender's state was last known to be up to date. HasStaleness reports whether it is
	// set.
	HasStaleness    bool  `msgpack:"f,omitempty"`
	StalenessMillis int64 `msgpack:"fa,omitempty"`
	// UpstreamsComplete is set when the sender has received a complete list of upstreams.
	UpstreamsComplete bool `msgpack:"l,omitempty"`
}

// FleetUpstream is the record of one upstream. Announcement is nil if the upstream is gone. Era and Revision order the records of an
// upstream.
type FleetUpstream struct {
	ID           string            `msgpack:"id"`
	Era          int64             `msgpack:"er,omitempty"`
	Revision     int64             `msgpack:"r"`
	Announcement *catalog.Upstream `msgpack:"e,omitempty"`
}

// FleetVersion is the record of a version that the operator named for a model. Revision is the revision of the store at which it
// was named, and AgeMillis is the time since then. AgeAssumed is set if the sender only assumes this time.
type FleetVersion struct {
	Model      string `msgpack:"m"`
	Version    int64  `msgpack:"v"`
	Revision   int64  `msgpack:"r"`
	AgeMillis  int64  `msgpack:"a"`
	AgeAssumed bool   `msgpack:"aa,omitempty"`
}

// FleetCheckpoint records that a checkpoint of the operator's document with the given number is stored under a key, in an era of the store.
type FleetCheckpoint struct {
	Key    string `msgpack:"k"`
	Number int64  `msgpack:"n"`
	Era    int64  `msgpack:"er,omitempty"`
}

// FleetEvacuation is the record of a data centre that is evacuated, or was. Era, Revision, Observed and Written are as in
// fleet.EvacuationRecord.
type FleetEvacuation struct {
	DataCentre string `msgpack:"dc"`
	Active     bool   `msgpack:"a,omitempty"`
	Era        int64  `msgpack:"er,omitempty"`
	Revision   int64  `msgpack:"r"`
	Observed   bool   `msgpack:"o,omitempty"`
	Written    int64  `msgpack:"w,omitempty"`
	// EndAgeMillis is the time since the sender learned of the end of the last evacuation. HasEnd reports whether it is set.
	HasEnd       bool  `msgpack:"he,omitempty"`
	EndAgeMillis int64 `msgpack:"ea,omitempty"`
}

// Members lists the nodes that the sender knows.
type Members struct {
	Members []Member `msgpack:"m"`
}

// Member is a node that accepts links. Address is its link address, and Incarnation is as in Hello.
type Member struct {
	NodeID      string `msgpack:"id"`
	Role        Role   `msgpack:"ro"`
	DataCentre  string `msgpack:"dc"`
	Region      string `msgpack:"rg"`
	Address     string `msgpack:"a"`
	Incarnation uint64 `msgpack:"i"`
}

// UpstreamLoads carries loads of upstreams as reported by their agents.
type UpstreamLoads struct {
	Loads []UpstreamLoad `msgpack:"l"`
}

// UpstreamLoad is the load of one upstream.
type UpstreamLoad struct {
	Address string `msgpack:"a"`
	// Seq numbers the reports of one process of the agent, see CompareSeq; 0 from agents of earlier releases.
	Seq uint64 `msgpack:"sq,omitempty"`
	// StartedAtMillis is the time at which the upstream started, in milliseconds since the Unix epoch, or 0 if unknown.
	StartedAtMillis int64 `msgpack:"b,omitempty"`
	// AgeMillis is the time since the agent queried the upstream. Each node that forwards the load adds the time it held it.
	AgeMillis int64 `msgpack:"g,omitempty"`
	// Down is set when the agent gets no answer from its upstream.
	Down bool `msgpack:"d,omitempty"`
	// Swapping is set when the upstream loads weights, or is about to, and accepts no new requests until it has finished.
	Swapping bool `msgpack:"s,omitempty"`
	// TurnInMillis is the time from the query until the upstream interrupts its requests to load another version, 0 if none is to be loaded.
	TurnInMillis int64 `msgpack:"t,omitempty"`
	// Active and Queued count the requests that the upstream runs and those that wait there.
	Active int `msgpack:"n,omitempty"`
	Queued int `msgpack:"q,omitempty"`
	// KVUsed and KVTotal are the used and total size of the KV cache in tokens times layers.
	KVUsed  int64 `msgpack:"ku,omitempty"`
	KVTotal int64 `msgpack:"kt,omitempty"`
	// Slowdown is the factor by which the upstream is slower than normal, 0 if the upstream does not report it.
	Slowdown float64 `msgpack:"p,omitempty"`
	// Models lists the layers of each model that the upstream has loaded.
	Models []catalog.LoadedLayers `msgpack:"m,omitempty"`
	// DataCentreWork is the work that the entries of the upstream's data centre have in progress at the upstream. It is sent
	// only between data centres. HasDataCentreWork reports whether it is set.
	DataCentreWork    UpstreamWork `msgpack:"e,omitempty"`
	HasDataCentreWork bool         `msgpack:"he,omitempty"`
}

// maxSeqDistance is the largest difference between the numbers of reports of one process. The first number of a process is random, so that
// numbers of different processes are further apart.
const maxSeqDistance = 1 << 32

// CompareSeq compares the numbers of two reports of one node: the order is positive if a was made later than b. ok is false if they are not
// known to be of one process of the node.
func CompareSeq(a, b uint64) (order int, ok bool) {
	if a == 0 || b == 0 {
		return 0, false
	}
	distance := int64(a - b) // Right also for numbers that have wrapped around.
	return cmp.Compare(distance, 0), -maxSeqDistance < distance && distance < maxSeqDistance
}

// EntryWork lists the work that one entry has in progress at each upstream, or the entries of one data centre at those of another. Each
// message replaces the previous one with the same NodeID.
type EntryWork struct {
	NodeID string         `msgpack:"id"`
	Work   []UpstreamWork `msgpack:"w,omitempty"`
	// Seq numbers the reports of an entry, from 1.
	Seq uint64 `msgpack:"s,omitempty"`
}

// UpstreamWork is the work in progress at one upstream, identified by ID.
type UpstreamWork struct {
	ID string `msgpack:"i,omitempty"`
	// Running counts all requests in progress, Waiting those without a first event of their response yet, and WaitingTokens the
	// prompt tokens of the latter.
	Running       int `msgpack:"r,omitempty"`
	Waiting       int `msgpack:"w,omitempty"`
	WaitingTokens int `msgpack:"t,omitempty"`
	// StartDelayMillis is the time that an attempt takes at least to begin, see placement.Tracker.StartDelay. It is 0 if unknown.
	StartDelayMillis int64 `msgpack:"d,omitempty"`
}

// Plus returns the work of two entries, or groups of entries, at the same upstream. The shorter start delay counts, as an entry
// whose requests are less urgent sees longer ones.
func (w UpstreamWork) Plus(other UpstreamWork) UpstreamWork {
	w.Running += other.Running
	w.Waiting += other.Waiting
	w.WaitingTokens += other.WaitingTokens
	if w.StartDelayMillis == 0 || other.StartDelayMillis > 0 && other.StartDelayMillis < w.StartDelayMillis {
		w.StartDelayMillis = other.StartDelayMillis
	}
	return w
}

// WholeManifest is the value of WeightsRequest.Chunk that requests the digests of all chunks.
const WholeManifest = -1

// WeightsRequest asks a node for one chunk of a version, or for the digests of all its chunks if Chunk is WholeManifest. Seq
// matches the reply to the request. Package chunkcache uses it on the direct request path, where versions are numbered; package
// weights, where a digest names a version, uses ManifestRequest and ChunkRequest.
type WeightsRequest struct {
	Seq     uint64 `msgpack:"s"`
	Model   string `msgpack:"m"`
	Version int64  `msgpack:"v"`
	Chunk   int    `msgpack:"c"`
	// HeldOnly asks the receiver to answer only from what it holds already, without fetching anything for the sender.
	HeldOnly bool `msgpack:"h,omitempty"`
}

// WeightsReply answers a WeightsRequest. Data is the chunk, Digest its hex SHA-256 digest in the manifest of the sender, Digests are those of all
// chunks. Error is empty on success.
type WeightsReply struct {
	Seq     uint64   `msgpack:"s"`
	Data    []byte   `msgpack:"d,omitempty"`
	Digest  string   `msgpack:"h,omitempty"`
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
