// Package config defines the fleet configuration: one TOML document that operators approve and that every node applies.
package config

import (
	"encoding"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxDocumentBytes is the maximum size of a configuration text. A text of this size and its envelope fit into one value of the
// store.
const MaxDocumentBytes = 512 << 10

// Config is a parsed fleet configuration. Each field is one TOML table.
type Config struct {
	Fleet      Fleet      `toml:"fleet"`
	Limits     Limits     `toml:"limits"`
	Priorities []Priority `toml:"priority"`
	Models     []Model    `toml:"model"`
	Pools      []Pool     `toml:"pool"`
	Routes     []Route    `toml:"route"`
	Callers    []Caller   `toml:"caller"`
	Drains     []Drain    `toml:"drain"`
}

// Fleet identifies the fleet.
type Fleet struct {
	// Name is the name of the fleet in reports. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".".
	Name string `toml:"name"`
}

// Limits holds the limits for every request.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body. Default 1048576, which is 1 MiB. Unit: bytes. Allowed: 1 to 8388608.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of the request header. Default 16384, which is 16 KiB. Unit: bytes. Allowed: 1024 to
	// 1048576.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// RequestTimeout is the maximum duration of a request including its response. Default "30s". Allowed: a positive duration of
	// at most 1 h.
	RequestTimeout Duration `toml:"request_timeout"`
}

// Priority is a priority class of requests. The order of the list defines the urgency; the first class is the most urgent.
type Priority struct {
	// Name is the name by which routes, callers and the header Pimentohead-Priority refer to the priority. Required. Allowed: 1
	// to 64 letters, digits, "-", "_" or ".", used once.
	Name string `toml:"name"`
	// Target is the target time to the first byte of a response. Required. Allowed: a positive duration of at most 1 h.
	Target Duration `toml:"target"`
	// Share is the fraction of an upstream's capacity that is reserved for the priority while others wait: below it, the priority
	// goes before all priorities that exceed their share and before less urgent ones. Default 0. Unit: fraction. Allowed: 0 to 1.
	Share float64 `toml:"share"`
	// Floor is the minimum fraction of an upstream's capacity that the priority gets, however many requests of other priorities
	// arrive: below it, the priority goes before all that have reached their floor, more urgent ones included. Default 0. Unit:
	// fraction. Allowed: 0 to 1; floors sum to at most 1.
	Floor float64 `toml:"floor"`
}

// Model is a model whose versions are rolled out to its upstreams.
type Model struct {
	// Name is the name by which pools refer to the model. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".", used once.
	Name string `toml:"name"`
	// Version is the SHA-256 digest of the manifest of the target version; empty until a version is set. Default "". Allowed: 64
	// lower-case hex digits.
	Version string `toml:"version"`
	// MaxUnavailable is the maximum number of upstreams per data centre that are out of service at the same time to load another
	// version. Upstreams that are out of service for another reason count too. Default 1. Unit: upstreams. Allowed: 1 to 10000.
	MaxUnavailable int `toml:"max_unavailable"`
	// Canary is the number of replicas that must load a new version before the others do. They are in the data centre whose name
	// sorts first; if it has no replica of the model, each data centre runs its own canary. Default 1. Unit: replicas. Allowed: 1
	// to 10000.
	Canary int `toml:"canary"`
	// Paused prevents further replicas from loading another version; transfers of its weights to the agents continue. Default
	// false.
	Paused bool `toml:"paused"`
}

// PoolKind is the type of the upstreams of a pool.
type PoolKind string

// Kinds of pools.
const (
	// KindModel is a pool of engines that run a model.
	KindModel PoolKind = "model"
	// KindService is a pool of upstreams without a model.
	KindService PoolKind = "service"
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	// Name is the name by which routes and the settings of agents refer to the pool. Required. Allowed: 1 to 64 letters, digits,
	// "-", "_" or ".", used once.
	Name string `toml:"name"`
	// Kind is the type of the upstreams. Required. Allowed: "model", "service".
	Kind PoolKind `toml:"kind"`
	// Model is the model that the upstreams run. Required for kind "model". Allowed: name of a model; empty for kind "service".
	Model string `toml:"model"`
}

// Route maps a path to a pool.
type Route struct {
	// Path is the path that the route matches exactly, or as a prefix when it ends in "/". Required. Allowed: starts with "/", at
	// most 256 bytes, no spaces, braces, "?" or "#", used once for each method.
	Path string `toml:"path"`
	// Methods lists the accepted HTTP methods; an empty list accepts GET and POST. Default []. Allowed: list of "GET", "HEAD",
	// "POST", "PUT", "PATCH", "DELETE".
	Methods []string `toml:"methods"`
	// Pool is the pool that serves the requests. Required. Allowed: name of a pool.
	Pool string `toml:"pool"`
	// Priority is the priority of the requests, unless the caller asks for another one that it is allowed to use. Required.
	// Allowed: name of a priority.
	Priority string `toml:"priority"`
	// Idempotent allows requests to be retried even if an earlier attempt may have run. Default false.
	Idempotent bool `toml:"idempotent"`
}

// Caller is a client of the fleet.
type Caller struct {
	// Name is the name of the caller in metrics and in the store keys of its orders, the requests that are not idempotent.
	// Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".", used once.
	Name string `toml:"name"`
	// KeySHA256 is the SHA-256 of the caller's API key. Required. Allowed: 64 lower-case hex digits, used once.
	KeySHA256 string `toml:"key_sha256"`
	// Priorities lists the priorities that the caller may use; an empty list allows all. Default []. Allowed: list of names of
	// priorities.
	Priorities []string `toml:"priorities"`
	// Weight is the caller's weight in fair queueing. Default 1. Allowed: 1 to 1000.
	Weight int `toml:"weight"`
	// Rate is the rate limit of the caller over all entries together; 0 means no limit. Default 0. Unit: requests a second.
	// Allowed: 0 to 1000000.
	Rate float64 `toml:"rate"`
	// MaxInFlight is the maximum number of the caller's requests in progress on one entry; 0 means no limit. Default 0. Unit:
	// requests. Allowed: 0 to 1048576.
	MaxInFlight int `toml:"max_in_flight"`
}

// Drain takes one upstream out of service in a planned way.
type Drain struct {
	// Agent is the ID of the upstream's agent. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".", used once.
	Agent string `toml:"agent"`
}

// Duration is a time.Duration that is a string such as "1.5s" in TOML.
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"500ms\" or \"30s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Envelope is one revision of the configuration: its text and metadata. The store and links carry it in msgpack, the admin interface
// in JSON.
type Envelope struct {
	// Revision is the number of the accepted configuration, counted from 1.
	Revision uint64 `msgpack:"rev" json:"revision"`
	// Base is the revision on which the change is based.
	Base uint64 `msgpack:"base" json:"base"`
	// Digest is the hex SHA-256 of Text. It equals the approved digest of the submission.
	Digest string `msgpack:"dg" json:"digest"`
	// SubmissionID is the ID of the submission that was accepted.
	SubmissionID string `msgpack:"sid" json:"submission_id"`
	// Author is the name of the operator who submitted the text.
	Author string `msgpack:"au" json:"author"`
	// Time is the time in UTC, by the clock of the entry that processed the submission.
	Time time.Time `msgpack:"at" json:"time"`
	// Text is the TOML text of the configuration.
	Text string `msgpack:"tx" json:"text"`
}
