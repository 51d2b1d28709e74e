// Package catalog defines what the operator configures and what upstreams announce: routes, services, customers, limits, named
// model versions and the list of upstreams. The types are plain values: the platform adapter fills them in, and links carry
// them between nodes.
//
// The types are encoded with msgpack. The wire name of a field is its tag or, without one, the name of the field.
package catalog

import "time"

// Kind classifies the requests of a route by whether they may run more than once.
type Kind uint8

// Kinds of requests.
const (
	// AtMostOnce requests run at most once per attempt of the caller.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events. They run at most once per attempt of the caller unless the route is
	// resumable.
	Stream
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "at-most-once"
	}
}

// Config is one version of the operator's configuration. It is immutable once published.
type Config struct {
	// Version is the number that the operator gave to the configuration. It increases, with gaps.
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// KeysRequired is set if the configuration has a list of customers, even an empty one. Without a list, no request needs a key. Whether a key
	// is needed is decided by RequiresKey.
	KeysRequired bool `msgpack:",omitempty"`
	Limits       Limits
}

// Route maps a host and a path prefix to the services that may run its requests.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable is set when a stream may be continued on another upstream after the last event that the caller received.
	Resumable bool
	// Public is set when requests need no API key.
	Public bool
	// Generates is set when the requests are generations by a model.
	Generates bool
	// Timeout bounds the time until the caller has the whole response; 0 sets no bound. Independently of it, the timeout that the caller
	// gives and a default of package relay apply.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a stream, has to arrive to be of full value to the
	// caller.
	LatencyTarget time.Duration `msgpack:"Target"`
	// MaxPause is the longest pause between two events of a stream that still counts as on time.
	MaxPause time.Duration
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams on which one attempt of a caller may run. Upstreams that decline it do not count, and package
	// relay allows one more if the last one has probably terminated or was cut off.
	MaxAttempts int
	// Targets are the services that run the requests. It has one element unless requests are split by weight.
	Targets []Target
	// AllowedRegions are the regions in which the requests may run; an empty list sets no restriction. See UnreadableRegion.
	AllowedRegions []string `msgpack:",omitempty"`
}

// UnreadableRegion is the only element of a list of allowed regions in which no element can be read. It is the name of no region, so that
// the list allows none. An empty list would lift the restriction.
const UnreadableRegion = ""

// MayRepeat reports whether a request that may have run already can be sent again.
func (r *Route) MayRepeat() bool { return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable) }

// Target is a service and the weight of its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable upstreams, or the origin of weights.
type Service struct {
	Name string
	// MaxConns bounds the connections that one upstream accepts from all nodes together; 0 means unknown.
	MaxConns int
	// Engine is nil for services that run no model.
	Engine *Engine
	// Origin is set only for a service that serves weights.
	Origin *Origin
	// ColdStart is how long an upstream is cold after its start. While it is cold it takes ColdPerSecond requests a second from all
	// entries together; 0 sets no limit. See package warmup.
	ColdStart     time.Duration `msgpack:",omitempty"`
	ColdPerSecond float64       `msgpack:",omitempty"`
}

// Engine holds the published performance figures of a model engine. An engine works in passes, in which it prefills prompts and
// decodes tokens.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// KVTokens is the capacity of the KV cache in tokens.
	KVTokens int64
	// StepTime is the time of one decode step, StepTimePerSequence the time that each decoding request adds to it, and
	// StepTimePer1KContext the time that each 1,000 context tokens of a decoding request add.
	StepTime             time.Duration
	StepTimePerSequence  time.Duration `msgpack:"PerSequence"`
	StepTimePer1KContext time.Duration `msgpack:"PerContextK"`
	// PrefillTokensPerSecond is the number of prompt tokens processed per second.
	PrefillTokensPerSecond float64 `msgpack:"ReadPerSecond"`
	// PrefillTimePerMillionPairs is the time that one million pairs of a prompt token and an earlier token add to the prefill.
	PrefillTimePerMillionPairs time.Duration `msgpack:"PairsPerMillion"`
	// PrefillChunkTokens bounds the prompt tokens processed in one step.
	PrefillChunkTokens int `msgpack:"ReadChunk"`
	// StepsPerPass is the number of decode steps in a pass that has decoding requests.
	StepsPerPass int `msgpack:"Stride"`
	// ReportLag is the age of the engine's report when it is requested from another instance than the upstream's own.
	ReportLag time.Duration
	// Layers is the number of layers of the model.
	Layers int
	// LoadTime is the time to load all layers.
	LoadTime time.Duration
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and answers in tokens.
	MeanPromptTokens float64 `msgpack:"UsualPrompt"`
	MeanAnswerTokens float64 `msgpack:"UsualAnswer"`
	// Chunks is the number of chunks in the weights of one version, ChunkBytes the size of a chunk.
	Chunks, ChunkBytes int
	// Models are the names of the models that the engine serves.
	Models []string
}

// Origin is the server from which weights are read. It is not in the list of upstreams.
type Origin struct {
	Address    string
	DataCentre string
	// LinkMbps is the bandwidth of the origin's link in Mbit/s.
	LinkMbps float64
	// MaxConns bounds the connections of all nodes together.
	MaxConns int
}

// Limits bound the requests of callers. Entries enforce only MaxBodyBytes, for which 0 selects a default of package relay, and
// IdleTimeout, for which 0 sets no limit.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Customer is an owner of API keys.
type Customer struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// AllowedRegions are as in Route. Where both the route and the customer have a list, both apply.
	AllowedRegions []string `msgpack:",omitempty"`
}

// State is the state that an upstream announces.
type State uint8

// States of an upstream. Only Ready takes new requests.
const (
	Ready State = iota + 1
	Draining
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	default:
		return "unknown"
	}
}

// Upstream is an announcement of one upstream, an element of the list of upstreams.
type Upstream struct {
	// ID identifies the upstream. It usually, but not always, changes when the upstream restarts.
	ID      string
	Service string
	// Address is the host and port at which the upstream serves requests.
	Address    string
	DataCentre string
	State      State
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int
	// StartedAtMillis is the time at which the upstream started, in milliseconds since the Unix epoch, or 0 if unknown. It
	// distinguishes two starts with the same ID.
	StartedAtMillis int64 `msgpack:"Born"`
	// Sequence counts the announcements since the start. It identifies an outdated announcement that arrives late.
	Sequence int64 `msgpack:"Beat"`
	Models   []LoadedLayers
	// ColdLeft is how long the upstream stays cold from when the announcement was made, 0 if it is warm or says nothing about it, and
	// UnreadableColdLeft if that cannot be read.
	ColdLeft time.Duration `msgpack:",omitempty"`
}

// UnreadableColdLeft is the ColdLeft of an announcement that names a time which cannot be right. It says neither that the upstream is cold
// nor that it is warm.
const UnreadableColdLeft time.Duration = -1

// LoadedLayers is the range of layers of a model version that an upstream has loaded.
type LoadedLayers struct {
	Model   string
	Version int64
	// From and To bound the layers, To exclusive. Both are 0 if the upstream has loaded none or does not report them.
	From, To int
}

// NamedVersion is a version of a model's weights that the operator has named for use.
type NamedVersion struct {
	Model   string
	Version int64
}

// RequiresKey reports whether requests on routes that are not public need the API key of a customer. Nodes of earlier releases do not send
// KeysRequired.
func (c *Config) RequiresKey() bool { return c.KeysRequired || len(c.Customers) > 0 }

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// WeightsOrigin returns the first origin of weights in the configuration, or nil.
func (c *Config) WeightsOrigin() *Origin {
	for i := range c.Services {
		if c.Services[i].Origin != nil {
			return c.Services[i].Origin
		}
	}
	return nil
}
