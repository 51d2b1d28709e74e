// Package rollout grants swap permits to the upstreams of one data centre.
//
// One entry per data centre holds the key /pimentohead/rollout/<data centre> under a lease; the key's mod revision is the epoch
// of its permits. Across data centres the canary is in the first data centre by name, whose holder records its success once
// per model and version under /pimentohead/canary/<model>/<version>, where the other holders read it.
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

// Table is the view of live nodes. membership.Table implements it.
type Table interface {
	Upstreams() []membership.Upstream
	Entries() []membership.Entry
	Subscribe() (<-chan struct{}, func())
}

// Sender sends a message to an agent. It must not block for long.
type Sender interface {
	Send(conn *link.Conn, m message.Message) error
}

// Config holds the parameters of a Controller. The zero value of a duration selects its default.
type Config struct {
	// Self identifies the entry.
	Self   message.Hello
	Store  store.Store
	ConfigHolder *config.Holder
	Table  Table
	Sender Sender
	// RemoteAgents returns the agents that other entries have reported, optional. A load that failed at one of them stops the rollout
	// here too.
	RemoteAgents func() []message.Peer
	// LeaseTTL is the lifetime of the holder's lease. Default 10 s.
	LeaseTTL time.Duration
	// LeaseMargin is how long before the possible end of the lease the holder stops granting. Default LeaseTTL / 5.
	LeaseMargin time.Duration
	// PermitLifetime is the lifetime of a permit. Default 15 s.
	PermitLifetime time.Duration
	// TakeoverWait is how long a holder waits for the permits of an earlier one that did not release. Default PermitLifetime
	// plus LeaseMargin.
	TakeoverWait time.Duration
	// StartWait is how long a started entry waits for agents to connect before it grants. Default 2 s.
	StartWait time.Duration
	// ReconcileInterval is the time between checks when nothing changes. Default 500 ms.
	ReconcileInterval time.Duration
	// ElectionInterval is the mean time between attempts to become the holder. Default 3 s.
	ElectionInterval time.Duration
	// CanaryPollInterval is the time between reads of another data centre's canary. Default 500 ms.
	CanaryPollInterval time.Duration
	// CanaryGrace is how long the first data centre may show no upstream of a model before the others run a canary of their
	// own. Default 10 s.
	CanaryGrace time.Duration
	// Now is the clock. Default time.Now, whose readings are monotonic.
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
	// Counts of upstreams.
	Total       int `json:"total"`
	AtTarget    int `json:"at_target"`
	Ready       int `json:"ready"`
	Swapping    int `json:"swapping"`
	Unavailable int `json:"unavailable"`
	Permits     int `json:"permits"`
	// CanaryPassed tells whether upstreams beyond the canary may be swapped.
	CanaryPassed bool `json:"canary_passed"`
	// Holder is the ID of the entry that grants, as far as this entry knows, and Epoch its epoch.
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// HaltedReason tells why the rollout stopped, empty when it goes on.
	HaltedReason string `json:"halted_reason"`
}
