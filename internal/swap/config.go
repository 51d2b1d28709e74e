package swap

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Versions tells which versions the agent can give to the engine. Package weights implements it.
type Versions interface {
	// Holds tells whether version is complete and verified.
	Holds(version string) bool
	// SetLoaded names the version that the engine serves and the one that it is loading, so that their chunks are kept.
	SetLoaded(loaded, loading string)
}

// Config holds the parameters of a Swapper. The zero value of a duration selects its default.
type Config struct {
	Gate     Gate
	Engine   Engine
	Versions Versions
	// Source is the base URL from which the engine reads weights.
	Source string
	// PollInterval is the time between status reads while a load or a start is awaited. Default 50 ms.
	PollInterval time.Duration
	// CheckInterval is the time between status reads while the upstream serves. Default 500 ms.
	CheckInterval time.Duration
	// CallTimeout bounds one call to the engine. Default 2 s.
	CallTimeout time.Duration
	// RetryInterval is the time before an empty engine is given another load after one failed. Default 5 s.
	RetryInterval time.Duration
	// Now is the clock for permits. Default time.Now, whose readings are monotonic.
	Now func() time.Time
	// OnChange is called after each change of Status. It must not block.
	OnChange func()
	Log      logr.Logger
}

func (c *Config) setDefaults() {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.PollInterval, 50 * time.Millisecond},
		{&c.CheckInterval, 500 * time.Millisecond},
		{&c.CallTimeout, 2 * time.Second},
		{&c.RetryInterval, 5 * time.Second},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnChange == nil {
		c.OnChange = func() {}
	}
	if c.Log.GetSink() == nil {
		c.Log = logr.Discard()
	}
}

// Status is what the agent announces about its upstream.
type Status struct {
	State         message.State
	LoadedVersion string
	FailedVersion string
	LoadError     string
	// Epoch is the highest permit epoch seen.
	Epoch       uint64
	Incarnation uint64
	// EngineFailedVersion is the version that the engine reported as failed when the gate was opened last.
	EngineFailedVersion string
}
