package loader

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// Errors of an Engine.
var (
	// ErrRefused means that the upstream refused a load order and has not started the load.
	ErrRefused = errors.New("loader: load order refused")
	// ErrUnknownOutcome means that a load order may or may not have been accepted, for example because its answer was lost.
	ErrUnknownOutcome = errors.New("loader: outcome of load order unknown")
	// ErrSessionEnded means that the connection of a Session ended before a call was sent. The process may have ended with it.
	ErrSessionEnded = errors.New("loader: session with the upstream ended")
)

// Report is the state that an upstream reports.
type Report struct {
	// Models lists the ranges of layers that are loaded, with their versions.
	Models []catalog.LoadedLayers
	// OrderRunning is set while a load order is in progress.
	OrderRunning bool
	// OrdersAccepted counts the load orders accepted since the start of the upstream.
	OrdersAccepted int64
	// StartedAtMillis is the start time of the upstream in milliseconds since the Unix epoch.
	StartedAtMillis int64
	// Queued and Active count requests. KVUsed and KVTotal are the used and total size of the KV cache in tokens times layers.
	Queued, Active  int
	KVUsed, KVTotal int64
	// Slowdown is greater than 1 if the upstream is slow, and 0 if the upstream does not report it.
	Slowdown float64
}

// HasVersion reports whether all layers of a version are loaded.
func (r Report) HasVersion(model string, version int64, layers int) bool {
	return CountLoadedLayers(r.Models, model, version) >= max(layers, 1)
}

// NewestCompleteVersion returns the newest version of a model of which all layers are loaded, 0 if there is none.
func (r Report) NewestCompleteVersion(model string, layers int) int64 {
	var newest int64
	for _, m := range r.Models {
		if m.Model == model && m.Version > newest && r.HasVersion(model, m.Version, layers) {
			newest = m.Version
		}
	}
	return newest
}

// CountLoadedLayers returns the number of layers of a version that are loaded. A model that is reported at the version without a
// range of layers counts as fully loaded; the result is then larger than the number of layers of any model.
func CountLoadedLayers(models []catalog.LoadedLayers, model string, version int64) int {
	const allLayers = 1 << 20
	n := 0
	for _, m := range models {
		if m.Model != model || m.Version != version {
			continue
		}
		if m.From == 0 && m.To == 0 {
			return allLayers
		}
		n += m.To - m.From
	}
	return n
}

// Order asks an upstream to load the staged chunks.
type Order struct {
	Model   string
	Version int64
	// Interrupt makes the upstream load at once; otherwise it finishes the requests in progress first.
	Interrupt bool
	// OrdersAccepted is a precondition: the upstream refuses the order if its own count differs.
	OrdersAccepted int64
}

// Engine is the control interface of the agent's upstream, a model server.
type Engine interface {
	// Report requests the current state of the upstream.
	Report(ctx context.Context) (Report, error)
	// NewSession returns a session with the process of the upstream that answers its first call. It has to be closed.
	NewSession() Session
	// Stage stores a chunk beside the upstream for a later load. It replaces the chunk that is staged under the same number.
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	// ReadStaged returns the staged bytes of a chunk, or nil if the chunk is not staged.
	ReadStaged(ctx context.Context, model string, chunk int) ([]byte, error)
}

// Session makes calls to one process of the upstream over one connection. Calls after the end of that connection return ErrSessionEnded:
// another process, which counts orders anew and may lack the staged chunks, must not get an order that was meant for its predecessor.
type Session interface {
	// Report requests the current state of the upstream.
	Report(ctx context.Context) (Report, error)
	// Load sends a load order and returns nil once the upstream has accepted it. Errors match ErrRefused, ErrUnknownOutcome or
	// ErrSessionEnded.
	Load(ctx context.Context, order Order) error
	Close()
}
