package admin

import "github.com/pimentohead/pimentohead/internal/message"

// Status is the response to GET /v1/status.
type Status struct {
	// Node is the ID of the entry that responded. The status covers other data centres only as far as this entry sees them.
	Node string `json:"node"`
	// Revision and Digest identify the configuration in force on the entry. They are 0 and empty when there is none.
	Revision uint64       `json:"revision"`
	Digest   string       `json:"digest"`
	Nodes    []NodeStatus `json:"nodes"`
	Rollouts []Rollout    `json:"rollouts"`
}

// NodeStatus describes one node: an entry or an agent.
type NodeStatus struct {
	ID         string       `json:"id"`
	Role       message.Role `json:"role"`
	DataCentre string       `json:"data_centre"`
	// State is the state of the agent's upstream. On entries it is "serving" or "leaving".
	State message.State `json:"state"`
	// Revision is the revision of the configuration in force on the node.
	Revision uint64 `json:"revision"`
	// Pool is the pool of the agent, empty for entries.
	Pool string `json:"pool,omitempty"`
	// Model is the model that the pool serves, empty for services.
	Model string `json:"model,omitempty"`
	// Version is the version that the engine has loaded. ReadyVersion is the one that is complete in the agent's memory.
	Version      string `json:"version,omitempty"`
	ReadyVersion string `json:"ready_version,omitempty"`
	// LoadError is the reason why the engine last failed to load a version.
	LoadError string `json:"load_error,omitempty"`
	// Progress is the fraction of the target version that the agent holds, 0 to 1.
	Progress float64 `json:"progress"`
	// Queued and InFlight are the numbers of requests that wait on the agent and that its upstream runs.
	Queued   int `json:"queued"`
	InFlight int `json:"in_flight"`
	// Limit is the maximum of InFlight, 0 when the load of the node is unknown.
	Limit int `json:"limit"`
}

// RolloutState is the state of a rollout in one data centre.
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
	// Loaded is the number of replicas that serve the version, out of Replicas.
	Loaded   int `json:"loaded"`
	Replicas int `json:"replicas"`
	// Message gives the reason for RolloutStopped.
	Message string `json:"message,omitempty"`
	// Holder is the ID of the entry that grants swap permits and Epoch the epoch of its permits, as far as the responding entry knows.
	Holder string `json:"holder,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"`
}
