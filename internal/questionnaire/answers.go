// Package questionnaire generates a fleet configuration from a team's answers to a questionnaire, with a reason for each
// generated value.
package questionnaire

import "github.com/pimentohead/pimentohead/internal/config"

// Answers holds the answers of one team.
type Answers struct {
	// Team is the name of the team; it becomes the name of the fleet.
	Team string `toml:"team"`
	// DataCentres lists the names of the data centres in which the workloads run.
	DataCentres []string  `toml:"data_centres"`
	Tolerance   Tolerance `toml:"tolerance"`
	// Priorities lists the priorities, the most urgent first.
	Priorities []Priority `toml:"priority"`
	Workloads  []Workload `toml:"workload"`
	Callers    []Caller   `toml:"caller"`
}

// Tolerance holds the limits within which the team accepts outages, delays and load.
type Tolerance struct {
	// ReplicasOutOfService is the number of replicas of a model that may be out of service in one data centre during a rollout.
	ReplicasOutOfService int `toml:"replicas_out_of_service"`
	// CanaryReplicas is the number of replicas that must load a new version before the others do.
	CanaryReplicas int `toml:"canary_replicas"`
	// LongestAnswer is the time after which a response is of no use to anyone. It becomes the request timeout.
	LongestAnswer config.Duration `toml:"longest_answer"`
	// LargestRequestBytes is the size of the largest legitimate request body, such as one that contains a photo.
	LargestRequestBytes int64 `toml:"largest_request_bytes"`
	// KeptInFlood is the fraction of the capacity that is guaranteed to all priorities together, however many requests of one of
	// them arrive. It is divided equally among the floors of the priorities.
	KeptInFlood float64 `toml:"kept_in_flood"`
	// Burst is the multiple of its expected rate that a caller may reach for a while. The caller's rate limit is
	// RequestsPerSecond times Burst.
	Burst float64 `toml:"burst"`
}

// Priority is a priority class of requests.
type Priority struct {
	Name string `toml:"name"`
	// Target is the time to the first byte of a response that users expect.
	Target config.Duration `toml:"target"`
	// Worth is the value of a timely response relative to the other priorities. The reserved shares are proportional to it.
	Worth float64 `toml:"worth"`
	// Examples describes the requests that have this priority. Optional.
	Examples string `toml:"examples"`
}

// Workload is a set of interchangeable servers and the requests that they serve. It becomes a pool and its routes.
type Workload struct {
	Name string          `toml:"name"`
	Kind config.PoolKind `toml:"kind"`
	// Model is the name of the model. Required for workloads of kind "model", not allowed for others.
	Model string `toml:"model"`
	// Servers is the number of servers in all data centres together.
	Servers  int       `toml:"servers"`
	Requests []Request `toml:"request"`
}

// Request describes the requests to one path. It becomes a route.
type Request struct {
	Path     string   `toml:"path"`
	Methods  []string `toml:"methods"`
	Priority string   `toml:"priority"`
	// Repeatable is set when a request may safely run twice. It sets the key idempotent of the route.
	Repeatable bool `toml:"repeatable"`
}

// Caller is a client of the fleet.
type Caller struct {
	Name string `toml:"name"`
	// KeySHA256 is the hex SHA-256 of the caller's API key. Only the caller has the key itself.
	KeySHA256 string `toml:"key_sha256"`
	// RequestsPerSecond is the expected rate at a busy time.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	// Priorities lists the priorities that the caller may use; an empty list allows all.
	Priorities []string `toml:"priorities"`
}
