// Package testbed starts real processes on loopback for tests and the bench: the stand-ins of the platform and of upstreams,
// entries and agents, with fault proxies between them.
package testbed

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// DataCentre places processes.
type DataCentre struct {
	Name   string
	Region string
	// Entries, Models and Services count entries, agents with a model engine, and agents with a plain service.
	Entries, Models, Services int
}

// Engine holds the parameters of the model engines; zero values select the defaults of pimentofake.
type Engine struct {
	MaxBatch                         int
	TokenTime, PrefillTime, LoadTime time.Duration
	Fencing                          bool
	// Token is required on /control and given to the agents.
	Token string
}

// Fleet describes what Start starts. The platform's services are in the first data centre.
type Fleet struct {
	DataCentres []DataCentre
	// Proxies puts fault proxies between the parts.
	Proxies bool
	// InitialVersion is loaded in all engines at the start and named by the default configuration. Default 4 chunks of 64 KiB.
	InitialVersion *fake.VersionSpec
	// Config builds the first configuration from the initial version. Default DefaultConfig. NoConfig submits none.
	Config   func(version string) string
	NoConfig bool

	// ServicePool is the pool of the plain services. Default ServicePool.
	ServicePool string

	Engine Engine
	// ServiceDuration is the time that an order takes. Default 5 ms.
	ServiceDuration time.Duration
	// StoreWrites and StoreReads are the store's limits a second. Defaults 400 and 2000.
	StoreWrites, StoreReads float64
	// ListLag is the lag of the instance list.
	ListLag time.Duration

	// OriginBytesPerSecond limits the origin's link; 0 is unlimited.
	OriginBytesPerSecond int64
	// RegionBytesPerSecond limits the links between each two regions, each way. DataCentreDelay and RegionDelay are the one-way
	// delays between data centres of one region and between regions. All need Proxies.
	RegionBytesPerSecond         int64
	DataCentreDelay, RegionDelay time.Duration

	// BaselineRouting switches prefix affinity off in all entries.
	BaselineRouting bool
	// Agent holds settings of all agents; identity, addresses and pool are filled in.
	Agent settings.Agent
	// StoreCallsPerSecond caps the store calls of each process; 0 selects the default of the settings.
	StoreCallsPerSecond float64
	// ShutdownTimeout bounds a graceful shutdown. Default of the settings.
	ShutdownTimeout time.Duration
	// QuarantineRetention is how long crashes count on entries. Default of the settings.
	QuarantineRetention time.Duration
	// LogLevel of entries and agents. Default "info".
	LogLevel string
	// ReadyTimeout bounds the start. Default 30 s.
	ReadyTimeout time.Duration
}

const (
	defaultReadyTimeout = 30 * time.Second
	defaultStoreWrites  = 400
	defaultStoreReads   = 2000
	defaultServiceTime  = 5 * time.Millisecond
	defaultChunks       = 4
	defaultChunkBytes   = 64 << 10
)

func (f *Fleet) setDefaults() {
	setDefault(&f.ReadyTimeout, defaultReadyTimeout)
	setDefault(&f.StoreWrites, defaultStoreWrites)
	setDefault(&f.StoreReads, defaultStoreReads)
	setDefault(&f.ServiceDuration, defaultServiceTime)
	setDefault(&f.LogLevel, "info")
	setDefault(&f.ServicePool, ServicePool)
	if f.InitialVersion == nil {
		f.InitialVersion = &fake.VersionSpec{Model: ModelName, Seed: 1, Chunks: defaultChunks, ChunkBytes: defaultChunkBytes}
	}
	if f.Config == nil {
		f.Config = DefaultConfig
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
