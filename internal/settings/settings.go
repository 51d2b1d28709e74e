// Package settings reads the process settings of pimentoheadd from a TOML file.
//
// Settings describe one process: its identity, addresses and platform endpoints. What operators approve as a change is the
// fleet configuration in package config, not the settings.
package settings

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Settings is the content of one settings file.
type Settings struct {
	// Role is "entry" or "agent". Required.
	Role message.Role `toml:"role"`
	// ID names the process; it is unique in the fleet. Required.
	ID string `toml:"id"`
	// DataCentre and Region place the process. Required.
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
	// LogLevel is "debug", "info" or "error". Default "info".
	LogLevel string `toml:"log_level"`

	Listen   Listen   `toml:"listen"`
	Link     Link     `toml:"link"`
	Platform Platform `toml:"platform"`
	Entry    Entry    `toml:"entry"`
	Agent    Agent    `toml:"agent"`
	Shutdown Shutdown `toml:"shutdown"`
}

// Listen holds the addresses on which the process listens, as IP:port.
type Listen struct {
	// Caller is the HTTP address for callers. Entry only, required.
	Caller string `toml:"caller"`
	// Admin is the HTTP address for operators, health, readiness and metrics. Required.
	Admin string `toml:"admin"`
	// Link accepts links: of agents and entries on an entry (required), of agents that fetch chunks on an agent (required for
	// model pools).
	Link string `toml:"link"`
	// Weights is the loopback HTTP address from which the engine reads verified weights. Agent of a model pool only.
	Weights string `toml:"weights"`
}

// Link holds the parameters of links. They must be equal on all nodes.
type Link struct {
	// Secret authenticates nodes to each other. At least 16 bytes. Exactly one of Secret and SecretFile is required.
	Secret string `toml:"secret"`
	// SecretFile is a file that holds the secret.
	SecretFile string `toml:"secret_file"`
	// AdvertiseAddress is the link address that others use. Default: Listen.Link.
	AdvertiseAddress string `toml:"advertise_address"`
	// HeartbeatInterval is the time between heartbeats. Default 1 s.
	HeartbeatInterval Duration `toml:"heartbeat_interval"`
	// SilenceTimeout closes a silent link. Default 3 s, at least twice HeartbeatInterval.
	SilenceTimeout Duration `toml:"silence_timeout"`
}

// Platform holds the endpoints of the platform's services, as http URLs.
type Platform struct {
	// Store is the key-value service. Required.
	Store string `toml:"store"`
	// StoreCallsPerSecond caps this process's calls to the store. Default 20 for an entry, 60 for an agent.
	StoreCallsPerSecond float64 `toml:"store_calls_per_second"`
	// InstanceList is the list of live and leaving instances. Optional.
	InstanceList string `toml:"instance_list"`
	// Origin is the origin of weights, WeightStore the rate-limited store. Agent of a model pool: Origin is required.
	Origin      string `toml:"origin"`
	WeightStore string `toml:"weight_store"`
}

// Entry holds settings of the entry role.
type Entry struct {
	// Peers are link addresses of other entries in all data centres. The process's own address may be among them.
	Peers []string `toml:"peers"`
	// OperatorTokensSHA256 maps operator names to the hex SHA-256 of their admin token. At least one is required.
	OperatorTokensSHA256 map[string]string `toml:"operator_tokens_sha256"`
	// MaxConnections bounds open caller connections. Default 10000.
	MaxConnections int `toml:"max_connections"`
}

// Agent holds settings of the agent role.
type Agent struct {
	// Entries are link addresses of the entries in the agent's data centre. At least one is required.
	Entries []string `toml:"entries"`
	// Pool is the pool that the upstream belongs to, Kind is "model" or "service". Required.
	Pool string `toml:"pool"`
	Kind string `toml:"kind"`
	// Upstream is the base URL of the upstream. Required.
	Upstream string `toml:"upstream"`
	// UpstreamToken is sent to upstreams that check who gives them an order. Optional.
	UpstreamToken string `toml:"upstream_token"`
	// MaxConcurrency bounds requests in progress on the upstream. Default 64.
	MaxConcurrency int `toml:"max_concurrency"`
	// QueueLimit bounds waiting requests. Default 1024.
	QueueLimit int `toml:"queue_limit"`
	// WeightsMemoryBytes bounds chunks held in memory. Default 4 GiB.
	WeightsMemoryBytes int64 `toml:"weights_memory_bytes"`
	// PeerBytesPerSecond bounds weight traffic on the instance's link, in each direction; 0 is unlimited.
	PeerBytesPerSecond int64 `toml:"peer_bytes_per_second"`
	// BaselineScheduling replaces the scheduler by one shared first-in first-out queue, for comparison in the bench.
	BaselineScheduling bool `toml:"baseline_scheduling"`
	// BaselineTransfer makes the agent read every chunk from the origin, for comparison in the bench.
	BaselineTransfer bool `toml:"baseline_transfer"`
	// ChunkOrder is the order in which chunks are requested: "in-order", "rarest" or "rendezvous". Default "rendezvous".
	ChunkOrder string `toml:"chunk_order"`
}

// Shutdown holds the parameters of a graceful shutdown.
type Shutdown struct {
	// Timeout bounds how long requests in progress may take to finish. Default 60 s.
	Timeout Duration `toml:"timeout"`
}

// Defaults.
const (
	defaultLogLevel            = "info"
	defaultHeartbeatInterval   = time.Second
	defaultSilenceTimeout      = 3 * time.Second
	defaultShutdownTimeout     = 60 * time.Second
	defaultEntryStoreCalls     = 20
	defaultAgentStoreCalls     = 60
	defaultMaxConnections      = 10000
	defaultMaxConcurrency      = 64
	defaultQueueLimit          = 1024
	defaultWeightsMemoryBytes  = 4 << 30
	defaultChunkOrder          = "rendezvous"
	minSecretBytes             = 16
	minSilencePerHeartbeat     = 2
	maxSettingsFileBytes       = 1 << 20
	sha256HexLength            = 64
	maxIDBytes                 = 64
	kindModel, kindService     = "model", "service"
	orderInOrder, orderRarest  = "in-order", "rarest"
	levelDebug, levelErrorOnly = "debug", "error"
)

func (s *Settings) setDefaults() {
	setDefault(&s.LogLevel, defaultLogLevel)
	setDefault(&s.Link.AdvertiseAddress, s.Listen.Link)
	setDefault(&s.Link.HeartbeatInterval, Duration(defaultHeartbeatInterval))
	setDefault(&s.Link.SilenceTimeout, Duration(defaultSilenceTimeout))
	setDefault(&s.Shutdown.Timeout, Duration(defaultShutdownTimeout))
	if s.Role == message.RoleAgent {
		setDefault(&s.Platform.StoreCallsPerSecond, defaultAgentStoreCalls)
		setDefault(&s.Agent.MaxConcurrency, defaultMaxConcurrency)
		setDefault(&s.Agent.QueueLimit, defaultQueueLimit)
		setDefault(&s.Agent.WeightsMemoryBytes, defaultWeightsMemoryBytes)
		setDefault(&s.Agent.ChunkOrder, defaultChunkOrder)
		return
	}
	setDefault(&s.Platform.StoreCallsPerSecond, defaultEntryStoreCalls)
	setDefault(&s.Entry.MaxConnections, defaultMaxConnections)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
