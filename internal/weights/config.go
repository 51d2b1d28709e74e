// Package weights transfers model versions from the origin to the agents of a fleet, and serves complete, verified versions to
// the engine. A version is named by the digest of its manifest, which lists the chunks of the weights by their hashes.
//
// Rendezvous hashing ranks the live agents separately for each object, which is a manifest or a chunk. The highest-ranked agent of
// a region, the region reader, reads the object from the origin. The highest-ranked agent of every other data centre of the region,
// its data-centre reader, fetches the object from the region reader, and the remaining agents fetch it from the highest-ranked agent
// of their data centre. In data centres of more than three agents that agent serves only two others, which serve the rest, so that
// the upload traffic is spread evenly.
//
// On the direct request path (see package directpath), package chunkcache is used instead of this one.
package weights

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/metric"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Source supplies manifests and chunks. The origin and the weight store are sources; peers are not.
type Source interface {
	// Manifest returns the manifest of a version. The caller verifies its digest.
	Manifest(ctx context.Context, version string) ([]byte, error)
	// Chunk returns the chunk with the given hash, which may have at most maxBytes. The caller verifies its hash.
	Chunk(ctx context.Context, hash string, maxBytes int64) ([]byte, error)
}

// Config holds the parameters of a Manager. The zero value of a field selects its default.
type Config struct {
	// Self identifies the agent on peer links. Required.
	Self message.Hello
	// Link holds the parameters of peer links.
	Link link.Config
	// Origin is the origin of weights. Required. WeightStore is read when the origin and the peers of other regions fail; optional.
	Origin      Source
	WeightStore Source
	// MemoryBytes bounds the total size of the chunks in memory. Default 4 GiB.
	MemoryBytes int64
	// BytesPerSecond bounds the weight traffic in each direction; 0 is unlimited.
	BytesPerSecond int64
	// MinRateFraction is the smallest fraction of BytesPerSecond to which live requests reduce the rate, 0..1. Default 0.8.
	MinRateFraction float64
	// InFlight returns the number of live requests in progress on this instance; optional.
	InFlight func() int
	// Baseline makes the agent read every manifest and chunk from the origin or the weight store, without peers, for comparisons.
	Baseline bool
	// ChunkOrder is the order in which chunks are fetched: OrderInOrder, OrderRarest or OrderRendezvous. Default OrderRendezvous.
	ChunkOrder string
	// Window bounds the concurrent chunk fetches of each class: chunks for which this agent is the region reader, chunks for which
	// it is only the data-centre reader, and all others. Default 16.
	Window int
	// HoldTimeout bounds how long a request may be held by an agent that does not have the object yet. Default 2 s.
	HoldTimeout time.Duration
	// ReplyTimeout is the time without any reply to the outstanding requests after which a peer counts as stalled. Default 8 s.
	ReplyTimeout time.Duration
	// SourceTimeout bounds one read from the origin or the weight store. Default 20 s.
	SourceTimeout time.Duration
	// PendingTimeout bounds how long an agent waits for one chunk while peers report it as pending. Default 30 s.
	PendingTimeout time.Duration
	// AvoidDuration is how long a peer that stalled or could not be reached receives no requests. It doubles with each failure in
	// a row, up to 16 times as long (maxAvoidDoublings). Default 5 s.
	AvoidDuration time.Duration
	// Backoff is the first retry delay. Delays are jittered and double up to 16 times the first (maxBackoffFactor). Default 50 ms.
	Backoff time.Duration
	// OriginDelay bounds the jittered delay before an agent that is not the region reader falls back to the origin. Default 500 ms.
	OriginDelay time.Duration
	// FirstViewTimeout is how long a transfer waits for the first view of peers, which is the list that SetPeers sets. Without this
	// wait an agent that has just started would read the whole version from the origin. Default 2 s.
	FirstViewTimeout time.Duration
	// ViewSettleTime is how long the view of peers has to stay unchanged before a transfer starts. This wait ends at most
	// FirstViewTimeout after the first view. It is needed because an entry whose link has just opened does not know the agents of
	// other data centres yet and sends its next view 500 ms later. Default 700 ms.
	ViewSettleTime time.Duration
	// MaxPeerLinks bounds the open links that this agent has dialled. Default 64. Idle links are closed after IdleTimeout, default
	// 30 s.
	MaxPeerLinks int
	IdleTimeout  time.Duration
	// OnChange is called when the manifest or a chunk of the target has been stored, without locks held. It must not block.
	OnChange func()
	// OnComplete is called when all chunks of a target are stored and verified. It must not block.
	OnComplete func()
	// Meter receives metrics; optional.
	Meter metric.Meter
	Log   logr.Logger
}

// setDefault sets a field that has its zero value to the given value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.MemoryBytes, 4<<30)
	setDefault(&c.MinRateFraction, 0.8)
	setDefault(&c.ChunkOrder, OrderRendezvous)
	setDefault(&c.Window, 16)
	setDefault(&c.HoldTimeout, 2*time.Second)
	setDefault(&c.ReplyTimeout, 8*time.Second)
	setDefault(&c.SourceTimeout, 20*time.Second)
	setDefault(&c.PendingTimeout, 30*time.Second)
	setDefault(&c.AvoidDuration, 5*time.Second)
	setDefault(&c.Backoff, 50*time.Millisecond)
	setDefault(&c.OriginDelay, 500*time.Millisecond)
	setDefault(&c.FirstViewTimeout, 2*time.Second)
	setDefault(&c.ViewSettleTime, 700*time.Millisecond)
	setDefault(&c.MaxPeerLinks, 64)
	setDefault(&c.IdleTimeout, 30*time.Second)
	if c.OnComplete == nil {
		c.OnComplete = func() {}
	}
	if c.OnChange == nil {
		c.OnChange = func() {}
	}
	if c.Log.GetSink() == nil {
		c.Log = logr.Discard()
	}
}
