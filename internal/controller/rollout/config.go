// Package rollout grants swap permits to the upstreams of one data centre. A swap permit allows an agent to replace the version of
// the model that its upstream serves by the target version.
//
// One entry per data centre, the holder, owns the key /pimentohead/rollout/<data centre> under a lease. The key's mod revision
// is the epoch of its permits, unless agents have accepted permits of a later epoch. The canary of the whole fleet runs in the first data centre by name. The holder there records
// its success once per model and version under /pimentohead/canary/<model>/<version>, where the holders of the other data
// centres read it.
package rollout

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/link"
	"github.com/pimentohead/pimentohead/internal/membership"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

// Table lists the live nodes of the fleet. membership.Table implements it.
type Table interface {
	Upstreams() []membership.Upstream
	Entries() []membership.Entry
	// Subscribe returns a channel that signals changes and a function that ends the subscription.
	Subscribe() (<-chan struct{}, func())
}

// Sender sends messages to agents. Send must not block for long.
type Sender interface {
	Send(conn *link.Conn, m message.Message) error
}

// Config holds the parameters of a Controller. The zero value of a duration selects its default.
type Config struct {
	// Self identifies the entry that runs the controller.
	Self         message.Hello
	Store        store.Store
	ConfigHolder *config.Holder
	Table        Table
	Sender       Sender
	// RemoteAgents returns the agents that other entries have reported, and may be nil. A load that failed at one of them
	// halts the rollout in this data centre too.
	RemoteAgents func() []message.Peer
	// LeaseTTL is the time to live of the holder's lease. Default 10 s.
	LeaseTTL time.Duration
	// LeaseMargin is how long before the earliest possible expiry of the lease the holder stops granting permits. Default
	// LeaseTTL / 5.
	LeaseMargin time.Duration
	// PermitLifetime is the lifetime of a permit. Default 15 s.
	PermitLifetime time.Duration
	// TakeoverWait is how long a new holder waits for the permits of a previous holder to expire if that one did not release its
	// lease. Default PermitLifetime plus LeaseMargin.
	TakeoverWait time.Duration
	// StartWait is how long an entry waits after its start for agents to connect before it grants permits. Default 2 s.
	StartWait time.Duration
	// ReconcileInterval is the maximum time between two reconciliations when no change is signalled. Default 500 ms.
	ReconcileInterval time.Duration
	// ElectionInterval is the mean time between attempts to acquire the lease. Default 3 s.
	ElectionInterval time.Duration
	// CanaryPollInterval is the time between store calls for canary results that are not read or written yet. Default 500 ms.
	CanaryPollInterval time.Duration
	// CanaryGrace is how long the first data centre may have no upstream of a model before every data centre runs its own
	// canary. Default 10 s.
	CanaryGrace time.Duration
	// Now returns the current time. Default time.Now, whose readings are monotonic.
	Now func() time.Time
	Log logr.Logger
}

func (c *Config) setDefaults() {
	setDefault(&c.LeaseTTL, 10*time.Second)
	setDefault(&c.LeaseMargin, c.LeaseTTL/5)
	setDefault(&c.PermitLifetime, 15*time.Second)
	setDefault(&c.TakeoverWait, c.PermitLifetime+c.LeaseMargin)
	setDefault(&c.StartWait, 2*time.Second)
	setDefault(&c.ReconcileInterval, 500*time.Millisecond)
	setDefault(&c.ElectionInterval, 3*time.Second)
	setDefault(&c.CanaryPollInterval, 500*time.Millisecond)
	setDefault(&c.CanaryGrace, 10*time.Second)
	if c.RemoteAgents == nil {
		c.RemoteAgents = func() []message.Peer { return nil }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log.GetSink() == nil {
		c.Log = logr.Discard()
	}
}

// setDefault sets *field to value unless it is positive.
func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// ModelStatus describes the rollout of one model in this data centre as this entry sees it.
type ModelStatus struct {
	Model      string `json:"model"`
	DataCentre string `json:"data_centre"`
	Version    string `json:"version"`
	Paused     bool   `json:"paused"`
	// Total to Unavailable count upstreams of this data centre that are not leaving: AtTarget those that serve Version, Ready those
	// that have its weights, Swapping those that announce that they swap, and Unavailable those that are not serving or have a
	// permit. Unavailable also counts the permits of agents that are no longer listed. Permits counts the permits for Version that
	// may be in force.
	Total       int `json:"total"`
	AtTarget    int `json:"at_target"`
	Ready       int `json:"ready"`
	Swapping    int `json:"swapping"`
	Unavailable int `json:"unavailable"`
	Permits     int `json:"permits"`
	// CanaryPassed reports whether the model has no canary or its canary has passed, as far as this entry knows. It does not report
	// the canaries that the data centres run on their own when the first one has no upstream of the model.
	CanaryPassed bool `json:"canary_passed"`
	// Holder is the node ID of the lease holder that this entry saw last, and Epoch the epoch of its permits.
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// HaltedReason names the agent and the load error that halted the rollout; it is empty while it is not halted.
	HaltedReason string `json:"halted_reason"`
}
