// Package config defines the fleet configuration: one TOML document that operators approve and that every node applies.
package config

import (
	"encoding"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxDocumentBytes bounds the text of a configuration, so that it and its envelope fit into one value of the store.
const MaxDocumentBytes = 512 << 10

// Config is a parsed fleet configuration.
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

// Fleet names the fleet.
type Fleet struct {
	// Name appears in reports. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".".
	Name string `toml:"name"`
}

// Limits bounds every request.
type Limits struct {
	// MaxBodyBytes bounds a request body. Default 1048576, which is 1 MiB. Unit: bytes. Allowed: 1 to 8388608.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeaderBytes bounds the request header. Default 16384, which is 16 KiB. Unit: bytes. Allowed: 1024 to 1048576.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// RequestTimeout bounds a whole request including its answer. Default "30s". Allowed: a positive duration of at most 1 h.
	RequestTimeout Duration `toml:"request_timeout"`
}

// Priority is one rank of work. The position in the list is its urgency, the first is the most urgent.
type Priority struct {
	// Name is what routes, callers and the header Pimentohead-Priority refer to. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".", used once.
	Name string `toml:"name"`
	// Target is the time to the first byte of an answer. Required. Allowed: a positive duration of at most 1 h.
	Target Duration `toml:"target"`
	// Share is the reserved share of an upstream while others wait. Default 0. Unit: fraction. Allowed: 0 to 1.
	Share float64 `toml:"share"`
	// Floor is the share that the priority keeps in a flood of any other. Default 0. Unit: fraction. Allowed: 0 to 1; floors
	// sum to at most 1.
	Floor float64 `toml:"floor"`
}

// Model is a model whose versions are rolled out.
type Model struct {
	// Name is what pools refer to. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".", used once.
	Name string `toml:"name"`
	// Version is the SHA-256 digest of the target manifest, empty when none is set yet. Default "". Allowed: 64 lower-case hex
	// digits.
	Version string `toml:"version"`
	// MaxUnavailable bounds upstreams out of service for a swap per data centre. Default 1. Unit: upstreams. Allowed: 1 to 10000.
	MaxUnavailable int `toml:"max_unavailable"`
	// Canary is the number of replicas that must load the version before the rest. Default 1. Unit: replicas. Allowed: 1 to 10000.
	Canary int `toml:"canary"`
	// Paused stops new swaps; transfers go on. Default false.
	Paused bool `toml:"paused"`
}

// PoolKind tells what the upstreams of a pool are.
type PoolKind string

// Kinds of pools.
const (
	KindModel   PoolKind = "model"
	KindService PoolKind = "service"
)

// Pool is a set of equal upstreams.
type Pool struct {
	// Name is what routes and the settings of agents refer to. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".", used once.
	Name string `toml:"name"`
	// Kind tells what the upstreams are. Required. Allowed: "model", "service".
	Kind PoolKind `toml:"kind"`
	// Model is the model that the upstreams run. Required for kind "model". Allowed: name of a model; empty for kind "service".
	Model string `toml:"model"`
}

// Route maps a path to a pool.
type Route struct {
	// Path matches exactly, or as a prefix when it ends in "/". Required. Allowed: starts with "/", at most 256 bytes, no spaces,
	// braces, "?" or "#", used once for each method.
	Path string `toml:"path"`
	// Methods lists the accepted methods; empty accepts GET and POST. Default []. Allowed: list of "GET", "HEAD", "POST", "PUT",
	// "PATCH", "DELETE".
	Methods []string `toml:"methods"`
	// Pool answers the requests. Required. Allowed: name of a pool.
	Pool string `toml:"pool"`
	// Priority applies unless the caller asks for another one it is allowed. Required. Allowed: name of a priority.
	Priority string `toml:"priority"`
	// Idempotent requests may be retried after they may have run. Default false.
	Idempotent bool `toml:"idempotent"`
}

// Caller is a client of the fleet.
type Caller struct {
	// Name appears in metrics and in order keys. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".", used once.
	Name string `toml:"name"`
	// KeySHA256 is the SHA-256 of the caller's API key. Required. Allowed: 64 lower-case hex digits, used once.
	KeySHA256 string `toml:"key_sha256"`
	// Priorities lists the priorities the caller may use; empty allows all. Default []. Allowed: list of names of priorities.
	Priorities []string `toml:"priorities"`
	// Weight is the caller's weight in fair queueing. Default 1. Allowed: 1 to 1000.
	Weight int `toml:"weight"`
	// Rate is the limit over all entries, 0 for none. Default 0. Unit: requests a second. Allowed: 0 to 1000000.
	Rate float64 `toml:"rate"`
	// MaxInFlight bounds requests in progress on one entry, 0 for none. Default 0. Unit: requests. Allowed: 0 to 1048576.
	MaxInFlight int `toml:"max_in_flight"`
}

// Drain takes one upstream out of service as a planned leave.
type Drain struct {
	// Agent is the ID of the agent. Required. Allowed: 1 to 64 letters, digits, "-", "_" or ".", used once.
	Agent string `toml:"agent"`
}

// Duration is a time.Duration that is written in TOML as a string such as "1.5s".
type Duration time.Duration

var _ encoding.TextUnmarshaler = (*Duration)(nil)

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"500ms\" or \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Envelope is what the store and the links carry: a document with its place in the history.
type Envelope struct {
	// Revision counts accepted configurations from 1.
	Revision uint64 `msgpack:"rev" json:"revision"`
	// Base is the revision that the change was made on.
	Base uint64 `msgpack:"base" json:"base"`
	// Digest is the hex SHA-256 of Text: what the review board approved.
	Digest       string    `msgpack:"dg" json:"digest"`
	SubmissionID string    `msgpack:"sid" json:"submission_id"`
	Author       string    `msgpack:"au" json:"author"`
	Time         time.Time `msgpack:"at" json:"time"`
	Text         string    `msgpack:"tx" json:"text"`
}
