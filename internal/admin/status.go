package admin

import "github.com/pimentohead/pimentohead/internal/message"

// Status is the answer to GET /v1/status.
type Status struct {
	// Node is the entry that answered. Other data centres appear as far as it can see them.
	Node string `json:"node"`
	// Revision and Digest are of the configuration in force on the entry, 0 and empty for none.
	Revision uint64       `json:"revision"`
	Digest   string       `json:"digest"`
	Nodes    []NodeStatus `json:"nodes"`
	Rollouts []Rollout    `json:"rollouts"`
}

// NodeStatus describes one node.
type NodeStatus struct {
	ID         string       `json:"id"`
	Role       message.Role `json:"role"`
	DataCentre string       `json:"data_centre"`
	// State is that of the upstream on agents, "serving" or "leaving" on entries.
	State    message.State `json:"state"`
	Revision uint64        `json:"revision"`
	Pool     string        `json:"pool,omitempty"`
	// Model is the model of the pool, empty for services.
	Model string `json:"model,omitempty"`
	// Version is loaded, ReadyVersion is complete in the agent's memory.
	Version      string `json:"version,omitempty"`
	ReadyVersion string `json:"ready_version,omitempty"`
	LoadError    string `json:"load_error,omitempty"`
	// Progress is the fraction of the target version held, 0..1.
	Progress float64 `json:"progress"`
	Queued   int     `json:"queued"`
	InFlight int     `json:"in_flight"`
	Limit    int     `json:"limit"`
}

// RolloutState is where a rollout stands in one data centre.
type RolloutState string

// States of a rollout.
const (
	RolloutIdle    RolloutState = "idle"    // no version is set
	RolloutRunning RolloutState = "running" // replicas load the version
	RolloutPaused  RolloutState = "paused"  // stopped by the operator
	RolloutStopped RolloutState = "stopped" // stopped because a load failed
	RolloutDone    RolloutState = "done"    // every replica serves the version
)

// Rollout describes the rollout of one model in one data centre.
type Rollout struct {
	Model      string       `json:"model"`
	DataCentre string       `json:"data_centre"`
	Version    string       `json:"version"`
	State      RolloutState `json:"state"`
	// Loaded of Replicas serve the version.
	Loaded   int `json:"loaded"`
	Replicas int `json:"replicas"`
	// Message gives the reason for RolloutStopped.
	Message string `json:"message,omitempty"`
	// Holder is the entry that grants swap permits and Epoch its epoch, as far as the answering entry knows.
	Holder string `json:"holder,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"`
}
