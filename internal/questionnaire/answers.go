// Package questionnaire generates a fleet configuration from a team's answers, with the reason for each generated value.
package questionnaire

import "github.com/pimentohead/pimentohead/internal/config"

// Answers is a filled-in questionnaire.
type Answers struct {
	// Team names the fleet.
	Team string `toml:"team"`
	// DataCentres lists where the workloads run.
	DataCentres []string   `toml:"data_centres"`
	Tolerance   Tolerance  `toml:"tolerance"`
	Priorities  []Priority `toml:"priority"`
	Workloads   []Workload `toml:"workload"`
	Callers     []Caller   `toml:"caller"`
}

// Tolerance tells what the team can bear.
type Tolerance struct {
	// ReplicasOutOfService is how many replicas of a model may be out of service in one data centre during a rollout.
	ReplicasOutOfService int `toml:"replicas_out_of_service"`
	// CanaryReplicas must load a new version before the others do.
	CanaryReplicas int `toml:"canary_replicas"`
	// LongestAnswer is the time after which an answer is of no use to anyone.
	LongestAnswer config.Duration `toml:"longest_answer"`
	// LargestRequestBytes is the size of the largest legitimate request, such as one with a photo.
	LargestRequestBytes int64 `toml:"largest_request_bytes"`
	// KeptInFlood is the fraction of the capacity that all priorities together keep when one of them floods.
	KeptInFlood float64 `toml:"kept_in_flood"`
	// Burst is how many times its expected rate a caller may reach for a while.
	Burst float64 `toml:"burst"`
}

// Priority is a kind of work by urgency, the most urgent first.
type Priority struct {
	Name string `toml:"name"`
	// Target is the time to the first byte that users expect.
	Target config.Duration `toml:"target"`
	// Worth is what an answer in time is worth, relative to the other priorities.
	Worth float64 `toml:"worth"`
	// Examples tells what work belongs here.
	Examples string `toml:"examples"`
}

// Workload is a set of equal servers and the requests that they answer.
type Workload struct {
	Name string          `toml:"name"`
	Kind config.PoolKind `toml:"kind"`
	// Model is required for workloads of kind "model".
	Model string `toml:"model"`
	// Servers counts the servers in all data centres.
	Servers  int       `toml:"servers"`
	Requests []Request `toml:"request"`
}

// Request is a kind of request.
type Request struct {
	Path     string   `toml:"path"`
	Methods  []string `toml:"methods"`
	Priority string   `toml:"priority"`
	// Repeatable requests do no harm when they run twice.
	Repeatable bool `toml:"repeatable"`
}

// Caller is a client.
type Caller struct {
	Name string `toml:"name"`
	// KeySHA256 is the hash of the caller's API key. The key itself stays with the caller.
	KeySHA256 string `toml:"key_sha256"`
	// RequestsPerSecond is the expected rate at a busy time.
	RequestsPerSecond float64  `toml:"requests_per_second"`
	Priorities        []string `toml:"priorities"`
}
