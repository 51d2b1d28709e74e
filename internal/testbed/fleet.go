// Package testbed starts a fleet of real processes on loopback for tests, the benchmarks and the demo: entries, agents, and fakes
// of the platform services and the upstreams, optionally with fault proxies between them.
package testbed

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// DataCentre describes the processes of one data centre.
type DataCentre struct {
	Name   string
	Region string
	// Entries is the number of entries, Models that of agents with a model engine, and Services that of agents with a plain
	// service.
	Entries, Models, Services int
}

// Engine holds the parameters of the fake model engines, which fake.EngineConfig describes. Zero values select the defaults of
// pimentofake.
type Engine struct {
	MaxBatch                         int
	TokenTime, PrefillTime, LoadTime time.Duration
	// Fencing is set if the engines refuse load orders with an outdated fencing token.
	Fencing bool
	// Token is the bearer token that the engines require on /control paths and that the agents send.
	Token string
}

// Fleet describes the fleet that Start and Launch start. The platform services are in the first data centre.
type Fleet struct {
	DataCentres []DataCentre
	// Proxies puts a fault proxy into each connection between nodes and from a node to a fake.
	Proxies bool
	// InitialVersion is the model version that all engines have loaded at the start and that the first configuration names. The
	// default has 4 chunks of 64 KiB.
	InitialVersion *fake.VersionSpec
	// Config returns the text of the first configuration for the digest of the initial version. The default is DefaultConfig.
	Config func(version string) string
	// NoConfig is set to submit no configuration.
	NoConfig bool

	// ServicePool is the pool of the plain services. The default is the constant ServicePool.
	ServicePool string

	Engine Engine
	// ServiceDuration is the time that a plain service takes to execute an order. The default is 5 ms.
	ServiceDuration time.Duration
	// StoreWrites and StoreReads are the store's rate limits in calls per second. The defaults are 400 and 2000.
	StoreWrites, StoreReads float64
	// ListLag is the delay with which the instance list shows changes.
	ListLag time.Duration

	// OriginBytesPerSecond limits the bandwidth of the origin; 0 means no limit.
	OriginBytesPerSecond int64
	// RegionBytesPerSecond limits the bandwidth between any two regions, separately for each direction. DataCentreDelay and
	// RegionDelay are the one-way delays between data centres of one region and between regions. All three require Proxies.
	RegionBytesPerSecond         int64
	DataCentreDelay, RegionDelay time.Duration

	// BaselineRouting disables prefix affinity in all entries.
	BaselineRouting bool
	// Agent holds the settings of all agents. The test cluster sets Entries, Pool, Kind, Upstream and UpstreamToken itself.
	Agent settings.Agent
	// StoreCallsPerSecond limits the store calls of each node; 0 selects the default of the settings.
	StoreCallsPerSecond float64
	// ShutdownTimeout limits the time of a graceful shutdown; 0 selects the default of the settings.
	ShutdownTimeout time.Duration
	// QuarantineRetention is how long entries count a crash of an upstream against the request that it was running; 0 selects the
	// default of the settings.
	QuarantineRetention time.Duration
	// LogLevel is the log level of entries and agents. The default is "info".
	LogLevel string
	// ReadyTimeout limits the time until all processes are ready. The default is 30 s.
	ReadyTimeout time.Duration
}

const (
	defaultReadyTimeout    = 30 * time.Second
	defaultStoreWrites     = 400
	defaultStoreReads      = 2000
	defaultServiceDuration = 5 * time.Millisecond
	defaultChunks          = 4
	defaultChunkBytes      = 64 << 10
)

func (f *Fleet) setDefaults() {
	setDefault(&f.ReadyTimeout, defaultReadyTimeout)
	setDefault(&f.StoreWrites, defaultStoreWrites)
	setDefault(&f.StoreReads, defaultStoreReads)
	setDefault(&f.ServiceDuration, defaultServiceDuration)
	setDefault(&f.LogLevel, "info")
	setDefault(&f.ServicePool, ServicePool)
	if f.InitialVersion == nil {
		f.InitialVersion = &fake.VersionSpec{Model: ModelName, Seed: 1, Chunks: defaultChunks, ChunkBytes: defaultChunkBytes}
	}
	if f.Config == nil {
		f.Config = DefaultConfig
	}
}

// setDefault sets a field to value if it has the zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
