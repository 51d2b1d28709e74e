package swap

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/message"
)

// Versions provides the versions whose weights the agent stores for the engine. Package weights implements it.
type Versions interface {
	// Holds reports whether the weights of version are complete and verified.
	Holds(version string) bool
	// SetLoaded sets the version that the engine serves and the one that it is loading, each empty if there is none. The chunks of
	// the latter are not evicted, and those of the former only for chunks of the target or of the version that is being loaded.
	SetLoaded(loaded, loading string)
}

// Config holds the parameters of a Swapper. The zero value of a duration selects its default.
type Config struct {
	Gate     Gate
	Engine   Engine
	Versions Versions
	// Source is the base URL from which the engine reads weights.
	Source string
	// PollInterval is the time between status reads while the Swapper waits for a load or for the engine to start. Default 50 ms.
	PollInterval time.Duration
	// CheckInterval is the time between status reads while the upstream is serving or has no version to load. Default 500 ms.
	CheckInterval time.Duration
	// CallTimeout limits one call to the engine. Default 2 s.
	CallTimeout time.Duration
	// RetryInterval is the time between a failed load and the next load on an engine that serves no version. Default 5 s.
	RetryInterval time.Duration
	// Now returns the current time for permit and retry deadlines. Default time.Now, whose readings are monotonic.
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

// Status is the state of the upstream that the agent announces.
type Status struct {
	State message.State
	// LoadedVersion is the version that the gate was opened for last, empty when the engine has none.
	LoadedVersion string
	// FailedVersion is the version that failed to load and LoadError the reason; both are empty if none has failed since the
	// target was set.
	FailedVersion string
	LoadError     string
	// Epoch is the highest epoch of the accepted permits.
	Epoch uint64
	// Incarnation is the engine's incarnation when the gate was opened last or the engine was found empty.
	Incarnation uint64
	// EngineFailedVersion is the failed version that the engine reported when the gate was opened last.
	EngineFailedVersion string
}
