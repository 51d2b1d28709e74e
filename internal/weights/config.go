// Package weights transfers model versions between the origin and the agents of a fleet, and serves complete, verified
// versions to the engine.
//
// Each chunk has a rendezvous order over the live agents. The first agent of a region reads the chunk from the origin, the
// first of each data centre reads it from there, and the others read it from the first of their data centre. In data centres of
// more than three agents the first serves two, which serve the rest, so that uploads are even.
package weights

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/metric"

	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/message"
)

// Source is a place from which versions can be read, such as the origin or the weight store.
type Source interface {
	// Manifest returns the manifest of a version.
	Manifest(ctx context.Context, version string) ([]byte, error)
	// Chunk returns a chunk of at most maxBytes.
	Chunk(ctx context.Context, hash string, maxBytes int64) ([]byte, error)
}

// Config holds the parameters of a Manager. The zero value of a field selects its default.
type Config struct {
	// Self identifies the agent on peer links. Required.
	Self message.Hello
	// Link holds the parameters of peer links.
	Link link.Config
	// Origin is the origin of weights. Required. WeightStore is the fallback; optional.
	Origin      Source
	WeightStore Source
	// MemoryBytes bounds the chunks held. Default 4 GiB.
	MemoryBytes int64
	// BytesPerSecond bounds weight traffic in each direction, 0 is unlimited.
	BytesPerSecond int64
	// Floor is the fraction of BytesPerSecond that is kept while live requests are in progress. Default 0.8.
	MinRateFraction float64
	// InFlight returns the number of live requests in progress; optional.
	InFlight func() int
	// Baseline makes the agent read every chunk from the origin.
	Baseline bool
	// ChunkOrder is OrderInOrder, OrderRarest or OrderRendezvous. Default OrderRendezvous.
	ChunkOrder string
	// Window is the number of chunks that are fetched at once. Default 16.
	Window int
	// Wait is how long a peer may hold a request. Default 2 s.
	HoldTimeout time.Duration
	// ReplyTimeout marks a peer as stalled that answers none of the outstanding requests for so long. Default 8 s.
	ReplyTimeout time.Duration
	// SourceTimeout bounds one read from the origin or the weight store. Default 20 s.
	SourceTimeout time.Duration
	// PendingLimit bounds how long one chunk is awaited from a peer that reports progress. Default 30 s.
	PendingTimeout time.Duration
	// AvoidFor is how long a stalled peer is not asked. Default 5 s.
	AvoidDuration time.Duration
	// Backoff is the first retry delay; delays double up to 16 times as much and are jittered. Default 50 ms.
	Backoff time.Duration
	// OriginDelay bounds the jittered delay before an agent that is not the reader turns to the origin. Default 500 ms.
	OriginDelay time.Duration
	// ViewWait is how long a transfer waits for the first view of peers, without which an agent that just started would read
	// the whole version from the origin. Default 2 s.
	FirstViewTimeout time.Duration
	// ViewSettle is how long the view of peers has to stay the same before the first transfers, for ViewWait after the first view
	// at most: an entry that was just linked does not know the agents of other data centres yet, and sends its next view
	// 500 ms later. Default 700 ms.
	ViewSettleTime time.Duration
	// MaxPeerLinks bounds links that this agent dials. Default 64. Unused links are closed after IdleTimeout, default 30 s.
	MaxPeerLinks int
	IdleTimeout  time.Duration
	// OnChange is called after progress, without locks held. It must not block.
	OnChange func()
	// OnComplete is called when a target is complete and verified. It must not block.
	OnComplete func()
	// Meter receives metrics; optional.
	Meter metric.Meter
	Log   logr.Logger
}

// setDefault replaces the zero value of a field.
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
