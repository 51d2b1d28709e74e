package straight

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
)

const (
	// entriesPrefix is where entries announce their link addresses in the store.
	entriesPrefix = "pimentohead/entries/"
	// registryLease is how long an announcement outlives its entry. Links tell sooner that an entry is gone.
	registryLease = 5 * time.Minute
	registryRenew = 2 * time.Minute
	// registryRetry is the pause after a failed call.
	registryRetry = 700 * time.Millisecond
	// isolationCheck is how often a node without links looks for entries in the store.
	isolationCheck = time.Second
)

// registry announces this node in the store and finds others there.
type registry struct {
	store store.Store
	list  store.Lister
	mesh  *mesh.Mesh
	self  message.Hello
	log   logr.Logger
}

// announce keeps the announcement of an entry alive until ctx ends, then removes it.
func (r *registry) announce(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = r.put(ctx)
		} else {
			_, err = r.store.KeepAlive(ctx, lease)
			if errors.Is(err, store.ErrLeaseNotFound) {
				lease = 0
			}
		}
		if err != nil {
			pause.For(ctx, registryRetry)
			continue
		}
		pause.For(ctx, registryRenew)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), registryRetry)
		defer cancel()
		if err := r.store.Revoke(ctx, lease); err != nil {
			r.log.V(1).Info("announcement could not be removed", "cause", err.Error())
		}
	}
}

func (r *registry) put(ctx context.Context) (store.LeaseID, error) {
	value, err := json.Marshal(message.Member{NodeID: r.self.NodeID, Role: r.self.Role, DataCentre: r.self.DataCentre,
		Region: r.self.Region, Address: r.self.Address, Incarnation: r.self.Incarnation})
	if err != nil {
		return 0, errors.Wrap(err, "straight: encode announcement")
	}
	lease, err := r.store.Grant(ctx, registryLease)
	if err != nil {
		return 0, err
	}
	put := store.Op{Put: &store.Put{Key: entriesPrefix + r.self.NodeID, Value: value, Lease: lease}}
	if _, err := r.store.Txn(ctx, store.Txn{Then: []store.Op{put}}); err != nil {
		return 0, err
	}
	return lease, nil
}

// discover looks for entries at the start and whenever this node has no link to one.
func (r *registry) discover(ctx context.Context) {
	first := r.self.Role == message.RoleEntry
	for ctx.Err() == nil {
		if first || r.mesh.LinkedEntryCount() == 0 {
			if err := r.find(ctx); err != nil {
				r.log.V(1).Info("entries could not be listed", "cause", err.Error())
			} else {
				first = false
			}
		}
		pause.For(ctx, isolationCheck)
	}
}

func (r *registry) find(ctx context.Context) error {
	listing, err := r.list.List(ctx, entriesPrefix)
	if err != nil {
		return err
	}
	var members []message.Member
	for _, kv := range listing.KVs {
		var m message.Member
		if err := json.Unmarshal(kv.Value, &m); err != nil {
			r.log.Info("announcement cannot be read", "key", kv.Key, "cause", err.Error())
			continue
		}
		members = append(members, m)
	}
	r.mesh.AddMembers(members)
	return nil
}
