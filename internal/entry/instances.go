package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/telemetry"
)

// instancePoll is the mean interval between reads of the instance list; each is jittered by a fifth.
const instancePoll = time.Second

// runInstances keeps the set of leaving instances. While the list is down, the last set stays in force.
func (e *Entry) runInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		read, stop := context.WithTimeout(ctx, instancePoll)
		leaving, err := e.hooks.LeavingInstances(read)
		stop()
		if err == nil {
			e.table.SetListedLeaving(leaving)
		} else {
			telemetry.Debug(e.log).Info("instance list not read", "cause", err.Error())
		}
		pause(ctx, instancePoll*4/5+rand.N(instancePoll*2/5))
	}
	return nil
}
