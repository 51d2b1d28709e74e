// Package swap replaces the model version of an upstream without serving a mix of versions. It closes admission, orders the
// engine to load the new version and opens admission again when the engine serves one version.
package swap

import "context"

// Gate controls the admission of requests to the upstream. The agent implements it.
type Gate interface {
	// Close stops admission and waits until no request is in progress. Queued requests are answered as not run. It returns an
	// error when ctx ends first; admission stays closed then.
	Close(ctx context.Context) error
	// Open admits requests again; version is the version that the engine serves.
	Open(version string)
}

// EngineStatus is the status that the engine reports.
type EngineStatus struct {
	// LoadedVersion is the version that the engine serves, empty when it serves none.
	LoadedVersion string `json:"loaded_version"`
	// PendingVersion is the version that the engine is loading, empty when it loads none.
	PendingVersion string `json:"pending_version"`
	// FailedVersion and LoadError describe the last load that failed.
	FailedVersion string `json:"failed_version"`
	LoadError     string `json:"load_error"`
	// Incarnation changes each time the engine process restarts.
	Incarnation uint64 `json:"incarnation"`
	// Fence is the highest fencing token that the engine has accepted, 0 when it does not report it.
	Fence uint64 `json:"fence"`
	// MaxBatch is the number of requests that the engine runs at once, 0 when it does not report it.
	MaxBatch int `json:"max_batch"`
}

// Engine is the control interface of a model engine. Package engine implements it.
type Engine interface {
	// Load orders the engine to load version from source, a base URL that serves /versions/{digest}/manifest and
	// /chunks/{hash}. It returns once the engine has accepted the order, before the load has ended. An engine that supports
	// fencing refuses a fencingToken lower than the highest one that it has accepted.
	Load(ctx context.Context, version, source string, fencingToken uint64) error
	// Status reads the engine's status.
	Status(ctx context.Context) (EngineStatus, error)
}
