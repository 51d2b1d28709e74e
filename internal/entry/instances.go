package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// instancePollInterval is the mean interval between reads of the instance list. Each interval has a jitter of 20% either way.
const instancePollInterval = time.Second

// pollInstances keeps the set of leaving instances in the table up to date until ctx ends. While the instance list is unavailable,
// the last set remains in force.
func (e *Entry) pollInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		readCtx, stop := context.WithTimeout(ctx, instancePollInterval)
		leaving, err := e.hooks.LeavingInstances(readCtx)
		stop()
		if err == nil {
			e.table.SetListedLeaving(leaving)
		} else {
			telemetry.Debug(e.log).Info("cannot read the instance list", "cause", err.Error())
		}
		pause(ctx, instancePollInterval*4/5+rand.N(instancePollInterval*2/5))
	}
	return nil
}
