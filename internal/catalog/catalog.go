// Package catalog holds what the operator and the upstreams have announced: routes, services, customers, limits, named model
// versions and the list of upstreams. The types are plain values; the platform adapter fills them and links carry them.
package catalog

import "time"

// Kind tells what may be repeated for requests of a route.
type Kind uint8

// Kinds of requests.
const (
	// AtMostOnce requests run at most once for each attempt of a caller.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They count as AtMostOnce unless the route is resumable.
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

// Config is one configuration as the operator wrote it. It is immutable once published.
type Config struct {
	// Version is the operator's number. It grows in uneven steps.
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Route maps a host and a path prefix to the services that may run its requests.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued on another upstream after the last event that the caller has.
	Resumable bool
	// Public routes take requests without a key.
	Public bool
	// Generates tells that the requests are generations of a model.
	Generates bool
	// Timeout is the longest time that a caller is kept waiting for the whole answer; 0 is unlimited.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a stream, earns its full benefit.
	LatencyTarget time.Duration `msgpack:"Target"`
	// MaxPause is the longest pause between two events of a stream that still counts as in time.
	MaxPause time.Duration
	// Priority is the rank, 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams to which one attempt of a caller is sent.
	MaxAttempts int
	// Targets has one element unless requests are split by weight.
	Targets []Target
}

// MayRepeat tells whether a request that may have run can be sent again.
func (r *Route) MayRepeat() bool { return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable) }

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of equal upstreams, or the origin of weights.
type Service struct {
	Name string
	// MaxConns bounds the connections that one upstream accepts from all nodes together; 0 is unknown.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
	// Origin is set for the service that hands out weights.
	Origin *Origin
}

// Engine holds the published cost figures of a model engine.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// KVTokens is the memory for requests in tokens.
	KVTokens int64
	// StepTime is the time of one token step, StepTimePerSequence what each writing request adds to it, StepTimePer1KContext what each 1,000 tokens
	// of context of a writing request add.
	StepTime             time.Duration
	StepTimePerSequence  time.Duration `msgpack:"PerSequence"`
	StepTimePer1KContext time.Duration `msgpack:"PerContextK"`
	// PrefillTokensPerSecond is the number of prompt tokens read in a second.
	PrefillTokensPerSecond float64 `msgpack:"ReadPerSecond"`
	// PrefillTimePerMillionPairs is the time that one million pairs of a prompt token and an earlier token add.
	PrefillTimePerMillionPairs time.Duration `msgpack:"PairsPerMillion"`
	// PrefillChunkTokens bounds the prompt tokens of one step.
	PrefillChunkTokens int `msgpack:"ReadChunk"`
	// StepsPerPass is the number of steps in a pass that has writers.
	StepsPerPass int `msgpack:"Stride"`
	// ReportLag is the age of a report that is not asked for from the upstream's own instance.
	ReportLag time.Duration
	// Layers is the number of layers of the model.
	Layers int
	// LoadTime is the time that loading all layers takes.
	LoadTime time.Duration
	// MeanPromptTokens and MeanAnswerTokens are mean token counts.
	MeanPromptTokens float64 `msgpack:"UsualPrompt"`
	MeanAnswerTokens float64 `msgpack:"UsualAnswer"`
	// Chunks and ChunkBytes describe the weights of one version.
	Chunks, ChunkBytes int
	// Models are the names of the models that the engine serves.
	Models []string
}

// Origin is where weights come from. It is on no list of upstreams.
type Origin struct {
	Address    string
	DataCentre string
	// LinkMbps is the bandwidth of the origin's link in Mbit/s.
	LinkMbps float64
	// MaxConns bounds connections of all nodes together.
	MaxConns int
}

// Limits bound what a caller may send. A zero field is unlimited.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Customer owns API keys.
type Customer struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// State of an upstream as it announces it.
type State uint8

// States of an upstream. Only Ready takes new requests.
const (
	Ready State = iota + 1
	Draining
)

// Upstream is one entry of the list of upstreams.
type Upstream struct {
	// ID names one start of an upstream, mostly.
	ID         string
	Service    string
	Address    string
	DataCentre string
	State      State
	Slots      int
	// Born is the start of the upstream in milliseconds since the epoch, 0 if it is not known. It tells two starts with the same
	// ID apart.
	Born int64
	// Sequence counts the announcements since the start. It tells an old announcement that arrives late.
	Sequence int64 `msgpack:"Beat"`
	Models   []LoadedLayers
}

// LoadedLayers describes the layers of a model version that an upstream holds.
type LoadedLayers struct {
	Model   string
	Version int64
	// From and To bound the layers, To exclusive. Both are 0 if the upstream holds none or does not say.
	From, To int
}

// NamedVersion is the newest version of a model's weights that the operator has named.
type NamedVersion struct {
	Model   string
	Version int64
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// WeightsOrigin returns the first origin of the configuration, or nil.
func (c *Config) WeightsOrigin() *Origin {
	for i := range c.Services {
		if c.Services[i].Origin != nil {
			return c.Services[i].Origin
		}
	}
	return nil
}
