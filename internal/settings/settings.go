// Package settings reads and validates the settings file of a pimentoheadd process.
//
// Settings describe one process: its identity, addresses and platform endpoints. They are not part of the fleet configuration in
// package config, which all nodes share and whose changes operators approve.
package settings

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Settings is a parsed settings file.
type Settings struct {
	// Role is the role of the process. Required. Allowed: "entry", "agent".
	Role message.Role `toml:"role"`
	// ID is the name of the process, unique in the fleet. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".".
	ID string `toml:"id"`
	// DataCentre is the data centre in which the process runs. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".".
	DataCentre string `toml:"data_centre"`
	// Region is the region of the data centre. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".".
	Region string `toml:"region"`
	// LogLevel is the lowest severity that is logged. Default "info". Allowed: "debug", "info", "error".
	LogLevel string `toml:"log_level"`

	Listen   Listen   `toml:"listen"`
	Link     Link     `toml:"link"`
	Platform Platform `toml:"platform"`
	Entry    Entry    `toml:"entry"`
	Agent    Agent    `toml:"agent"`
	Shutdown Shutdown `toml:"shutdown"`
}

// Listen holds the addresses on which the process listens and the TLS files of its HTTP listeners.
type Listen struct {
	// Caller is the HTTP address for callers. Required for entries, not allowed for agents. Allowed: IP:port.
	Caller string `toml:"caller"`
	// Admin is the HTTP address for operators, health, readiness and metrics. Required. Allowed: IP:port.
	Admin string `toml:"admin"`
	// Link is the address for links from other nodes: on an entry from agents and other entries, on an agent from agents that
	// fetch chunks. Required for entries and agents of model pools. Allowed: IP:port.
	Link string `toml:"link"`
	// Weights is the HTTP address from which the engine reads verified weights. Required for agents of model pools, not allowed
	// for other processes. Allowed: loopback IP:port.
	Weights string `toml:"weights"`
	// TLSCertFile is the PEM file of the certificate chain for the caller and admin listeners; if empty, they serve plain HTTP.
	// After a change of the file, new connections use the new certificate without a restart. Optional. Allowed: a path, together
	// with tls_key_file.
	TLSCertFile string `toml:"tls_cert_file"`
	// TLSKeyFile is the PEM file of the certificate's private key. Optional. Allowed: a path, together with tls_cert_file.
	TLSKeyFile string `toml:"tls_key_file"`
}

// Link holds the parameters of links, which are the connections between nodes. The secret and the times must be equal on all
// nodes.
type Link struct {
	// Secret authenticates nodes to each other. Required unless secret_file is set. Allowed: at least 16 bytes.
	Secret string `toml:"secret"`
	// SecretFile is the file that contains the secret. Required unless secret is set. Allowed: a path, relative to the working
	// directory of the process.
	SecretFile string `toml:"secret_file"`
	// AdvertiseAddress is the address at which other nodes reach listen.link. Default: the value of listen.link. Allowed:
	// host:port.
	AdvertiseAddress string `toml:"advertise_address"`
	// HeartbeatInterval is the time between heartbeats. Default "1s". Allowed: a positive duration.
	HeartbeatInterval Duration `toml:"heartbeat_interval"`
	// SilenceTimeout is the time without received data after which a link is closed. Default "3s". Allowed: a duration of at
	// least twice heartbeat_interval.
	SilenceTimeout Duration `toml:"silence_timeout"`
}

// Platform holds the endpoints of the platform's services.
type Platform struct {
	// Store is the key-value store. Required. Allowed: http or https URL.
	Store string `toml:"store"`
	// StoreCallsPerSecond is the maximum rate of calls from the process to the store. Default 20 for an entry, 60 for an agent.
	// Unit: calls a second. Allowed: more than 0.
	StoreCallsPerSecond float64 `toml:"store_calls_per_second"`
	// InstanceList is the service that lists live and leaving instances. Optional. Allowed: http or https URL.
	InstanceList string `toml:"instance_list"`
	// Origin is the server from which weights are downloaded. Required for agents of a model pool. Allowed: http or https URL.
	Origin string `toml:"origin"`
	// WeightStore is the rate-limited store of weights that is used when the origin fails. Optional. Allowed: http or https URL.
	WeightStore string `toml:"weight_store"`
}

// Entry holds settings of the entry role.
type Entry struct {
	// Peers are the link addresses of the other entries in all data centres. The list may contain the address of the process
	// itself. Default []: there are no other entries. Allowed: list of IP:port.
	Peers []string `toml:"peers"`
	// OperatorTokensSHA256 maps the name of each operator to the hex SHA-256 of the operator's admin token. Required: at least
	// one. Allowed: 64 hex digits for each name.
	OperatorTokensSHA256 map[string]string `toml:"operator_tokens_sha256"`
	// MaxConnections is the maximum number of open connections from callers. Default 10000. Unit: connections. Allowed: at least
	// 1.
	MaxConnections int `toml:"max_connections"`
	// QuarantineRetention is the time for which a crash of an upstream counts against the request that it was running. Default
	// "10m". Allowed: a positive duration.
	QuarantineRetention Duration `toml:"quarantine_retention"`
	// BaselineRouting selects upstreams by load only, without prefix affinity. It is the baseline in benchmarks. Default false.
	BaselineRouting bool `toml:"baseline_routing"`
}

// Agent holds settings of the agent role.
type Agent struct {
	// Entries are the link addresses of the entries in the agent's data centre. Required: at least one. Allowed: list of IP:port.
	Entries []string `toml:"entries"`
	// Pool is the pool that the upstream belongs to. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".".
	Pool string `toml:"pool"`
	// Kind is the type of the upstream. Required. Allowed: "model", "service".
	Kind string `toml:"kind"`
	// Upstream is the base URL of the upstream. Required. Allowed: http or https URL.
	Upstream string `toml:"upstream"`
	// UpstreamToken is the token that the agent sends to upstreams that authenticate control requests. Optional. Allowed: any
	// text.
	UpstreamToken string `toml:"upstream_token"`
	// MaxConcurrency is the maximum number of requests in progress on the upstream. Default 64. Unit: requests. Allowed: at least
	// 1.
	MaxConcurrency int `toml:"max_concurrency"`
	// QueueLimit is the maximum number of waiting requests. Default 1024. Unit: requests. Allowed: at least 1.
	QueueLimit int `toml:"queue_limit"`
	// WeightsMemoryBytes is the maximum total size of the chunks of weights that the agent keeps in memory. Default 4294967296,
	// which is 4 GiB. Unit: bytes. Allowed: at least 1.
	WeightsMemoryBytes int64 `toml:"weights_memory_bytes"`
	// PeerBytesPerSecond is the maximum rate of weight traffic on the instance's network link, in each direction; 0 is unlimited.
	// Default 0. Unit: bytes a second. Allowed: at least 0.
	PeerBytesPerSecond int64 `toml:"peer_bytes_per_second"`
	// BaselineScheduling replaces the scheduler by one shared first-in first-out queue. It is the baseline in benchmarks. Default
	// false.
	BaselineScheduling bool `toml:"baseline_scheduling"`
	// BaselineTransfer makes the agent read every chunk from the origin. It is the baseline in benchmarks. Default false.
	BaselineTransfer bool `toml:"baseline_transfer"`
	// ChunkOrder is the order in which chunks of weights are requested: "in-order" is the order of the manifest; "rendezvous" requests
	// each chunk at about the time at which the region's reader of the chunk reads it from the origin; "rarest" is "rendezvous" but
	// prefers the chunks that the largest number of other agents currently request from this one. Default "rendezvous". Allowed:
	// "in-order", "rarest", "rendezvous".
	ChunkOrder string `toml:"chunk_order"`
}

// Shutdown holds the parameters of a graceful shutdown.
type Shutdown struct {
	// Timeout is the maximum time for requests in progress to finish. Default "60s". Allowed: a positive duration.
	Timeout Duration `toml:"timeout"`
}

// Default values, limits and allowed values.
const (
	defaultLogLevel                 = "info"
	defaultHeartbeatInterval        = time.Second
	defaultSilenceTimeout           = 3 * time.Second
	defaultShutdownTimeout          = 60 * time.Second
	defaultEntryStoreCallsPerSecond = 20
	defaultAgentStoreCallsPerSecond = 60
	defaultMaxConnections           = 10000
	defaultQuarantineRetention      = 10 * time.Minute
	defaultMaxConcurrency           = 64
	defaultQueueLimit               = 1024
	defaultWeightsMemoryBytes       = 4 << 30
	defaultChunkOrder               = "rendezvous"
	minSecretBytes                  = 16
	minHeartbeatsPerSilenceTimeout  = 2 // a heartbeat may be late by up to one interval
	maxSettingsFileBytes            = 1 << 20
	sha256HexLength                 = 64
	maxIDBytes                      = 64
	kindModel, kindService          = "model", "service"
	orderInOrder, orderRarest       = "in-order", "rarest"
	levelDebug, levelError          = "debug", "error"
)

// setDefaults sets the default of each key that is missing or zero and that applies to the role.
func (s *Settings) setDefaults() {
	setDefault(&s.LogLevel, defaultLogLevel)
	setDefault(&s.Link.AdvertiseAddress, s.Listen.Link)
	setDefault(&s.Link.HeartbeatInterval, Duration(defaultHeartbeatInterval))
	setDefault(&s.Link.SilenceTimeout, Duration(defaultSilenceTimeout))
	setDefault(&s.Shutdown.Timeout, Duration(defaultShutdownTimeout))
	if s.Role == message.RoleAgent {
		setDefault(&s.Platform.StoreCallsPerSecond, defaultAgentStoreCallsPerSecond)
		setDefault(&s.Agent.MaxConcurrency, defaultMaxConcurrency)
		setDefault(&s.Agent.QueueLimit, defaultQueueLimit)
		setDefault(&s.Agent.WeightsMemoryBytes, defaultWeightsMemoryBytes)
		setDefault(&s.Agent.ChunkOrder, defaultChunkOrder)
		return
	}
	setDefault(&s.Platform.StoreCallsPerSecond, defaultEntryStoreCallsPerSecond)
	setDefault(&s.Entry.MaxConnections, defaultMaxConnections)
	setDefault(&s.Entry.QuarantineRetention, Duration(defaultQuarantineRetention))
}

// setDefault sets field to value if field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
