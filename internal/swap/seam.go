// Package swap takes an upstream from one model version to another without serving a mix of versions.
package swap

import "context"

// Gate controls admission to the upstream. The agent implements it.
type Gate interface {
	// Close stops admission and waits until no request is in progress or ctx ends. Queued requests are answered as not run.
	// When ctx ends first, admission stays closed.
	Close(ctx context.Context) error
	// Open admits requests again; version is the version that the engine serves.
	Open(version string)
}

// EngineStatus is what the engine reports about itself.
type EngineStatus struct {
	LoadedVersion  string `json:"loaded_version"`
	PendingVersion string `json:"pending_version"`
	// FailedVersion and LoadError describe the last load that failed.
	FailedVersion string `json:"failed_version"`
	LoadError     string `json:"load_error"`
	// Incarnation changes each time the engine process restarts.
	Incarnation uint64 `json:"incarnation"`
	// Fence is the highest fencing number that the engine has accepted, 0 when it reports none.
	Fence uint64 `json:"fence"`
	// MaxBatch is the number of requests that the engine runs at once, 0 when it reports none.
	MaxBatch int `json:"max_batch"`
}

// Engine gives load orders to a model engine. Package engine implements it.
type Engine interface {
	// Load orders the engine to load version from source, a base URL that serves /versions/{digest}/manifest and
	// /chunks/{hash}. It returns when the order was accepted, not when it is done.
	Load(ctx context.Context, version, source string, fence uint64) error
	// Status reads the engine's status.
	Status(ctx context.Context) (EngineStatus, error)
}
