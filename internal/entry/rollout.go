package entry

import (
	"context"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/controller/rollout"
	"github.com/pimentohead/pimentohead/internal/message"
)

// newRollout returns the rollout controller, or nil without a store, because the permits are fenced by means of the store.
func (e *Entry) newRollout(options Options) *rollout.Controller {
	if options.Store == nil {
		return nil
	}
	return rollout.New(rollout.Config{
		Self: e.self, Store: options.Store, ConfigHolder: e.holder, Table: e.table, Sender: e,
		RemoteAgents: func() []message.Peer { return e.peerViews.Merge(nil, nil) }, Log: options.Log.WithName("rollout"),
	})
}

// runRollout runs the rollout controller, if there is one, until ctx ends.
func (e *Entry) runRollout(ctx context.Context) error {
	if e.rollout == nil {
		return nil
	}
	return e.rollout.Run(ctx)
}

// addRolloutState adds the state of this data centre's rollout controller to rollouts: the holder of the lease, its epoch, and the
// reason for a halt.
func (e *Entry) addRolloutState(rollouts []admin.Rollout) {
	if e.rollout == nil {
		return
	}
	for _, status := range e.rollout.Status() {
		for i := range rollouts {
			summary := &rollouts[i]
			if summary.Model != status.Model || summary.DataCentre != status.DataCentre || summary.Version != status.Version {
				continue
			}
			summary.Holder, summary.Epoch = status.Holder, status.Epoch
			if status.HaltedReason != "" {
				summary.State, summary.Message = admin.RolloutStopped, status.HaltedReason
			}
		}
	}
}
