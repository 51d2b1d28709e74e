package entry

import (
	"context"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/controller/rollout"
	"github.com/pimentohead/pimentohead/internal/message"
)

// newRollout composes the rollout controller. There is none without a store, because nothing could fence its permits.
func (e *Entry) newRollout(o Options) *rollout.Controller {
	if o.Store == nil {
		return nil
	}
	return rollout.New(rollout.Config{
		Self: e.self, Store: o.Store, ConfigHolder: e.holder, Table: e.table, Sender: e,
		RemoteAgents: func() []message.Peer { return e.views.Merge(nil, nil) }, Log: o.Log.WithName("rollout"),
	})
}

func (e *Entry) runRollout(ctx context.Context) error {
	if e.rollout == nil {
		return nil
	}
	return e.rollout.Run(ctx)
}

// addRolloutState adds what the controller of this data centre knows to the status.
func (e *Entry) addRolloutState(rollouts []admin.Rollout) {
	if e.rollout == nil {
		return
	}
	for _, s := range e.rollout.Status() {
		for i := range rollouts {
			r := &rollouts[i]
			if r.Model != s.Model || r.DataCentre != s.DataCentre || r.Version != s.Version {
				continue
			}
			r.Holder, r.Epoch = s.Holder, s.Epoch
			if s.HaltedReason != "" {
				r.State, r.Message = admin.RolloutStopped, s.HaltedReason
			}
		}
	}
}
