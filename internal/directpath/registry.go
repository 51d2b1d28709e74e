package directpath

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/poison"
)

const (
	// rootPrefix is the key prefix of everything that entries write into the store, entriesPrefix that under which they announce their
	// link addresses.
	rootPrefix    = "pimentohead/"
	entriesPrefix = rootPrefix + "entries/"
	// announcementTTL is the lease time of an announcement, and so how long it outlives an entry that crashed. Broken links show
	// earlier that an entry is gone.
	announcementTTL = 5 * time.Minute
	// announcementRenewal is the time between renewals of the lease.
	announcementRenewal = 2 * time.Minute
	// storeRetryPause is the pause before a retry after a failed call to the store. It is also the timeout of the call that removes
	// the announcement on shutdown.
	storeRetryPause = 700 * time.Millisecond
	// nanosPerMilli is the number of nanoseconds in a millisecond, the units of incarnations and start times.
	nanosPerMilli = uint64(time.Millisecond)
	// isolationCheckInterval is the time between checks whether the node has links to entries. A node without any lists the
	// entries in the store.
	isolationCheckInterval = time.Second
)

// memberSet is the part of mesh.Mesh that the registry uses.
type memberSet interface {
	AddMembers(members []message.Member)
	LinkedEntryCount() int
}

// registry announces an entry in the store and finds the entries announced there.
type registry struct {
	store  store.Store
	lister store.Lister
	mesh   memberSet
	self   message.Hello
	// ledger receives the stored verdicts on requests that crash upstreams.
	ledger *poison.Ledger
	log    logr.Logger
}

// announce stores the announcement of an entry and renews its lease until ctx ends, then removes it.
func (r *registry) announce(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = r.putAnnouncement(ctx)
		} else {
			_, err = r.store.KeepAlive(ctx, lease)
			if errors.Is(err, store.ErrLeaseNotFound) {
				lease = 0
			}
		}
		if err != nil {
			pause.For(ctx, storeRetryPause)
			continue
		}
		pause.For(ctx, announcementRenewal)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), storeRetryPause)
		defer cancel()
		if err := r.store.Revoke(ctx, lease); err != nil {
			r.log.V(1).Info("announcement could not be removed", "cause", err.Error())
		}
	}
}

// putAnnouncement stores the announcement under a new lease and returns the lease.
func (r *registry) putAnnouncement(ctx context.Context) (store.LeaseID, error) {
	value, err := json.Marshal(message.Member{NodeID: r.self.NodeID, Role: r.self.Role, DataCentre: r.self.DataCentre,
		Region: r.self.Region, Address: r.self.Address, Incarnation: r.self.Incarnation})
	if err != nil {
		return 0, errors.Wrap(err, "directpath: encode announcement")
	}
	lease, err := r.store.Grant(ctx, announcementTTL)
	if err != nil {
		return 0, err
	}
	put := store.Op{Put: &store.Put{Key: entriesPrefix + r.self.NodeID, Value: value, Lease: lease}}
	if _, err := r.store.Txn(ctx, store.Txn{Then: []store.Op{put}}); err != nil {
		return 0, err
	}
	return lease, nil
}

// discover lists the entries in the store while this node has no link to one, until ctx ends. An entry also does so at its start,
// until a listing succeeds.
func (r *registry) discover(ctx context.Context) {
	initialListing := r.self.Role == message.RoleEntry
	for ctx.Err() == nil {
		if initialListing || r.mesh.LinkedEntryCount() == 0 {
			if err := r.findEntries(ctx); err != nil {
				r.log.V(1).Info("entries could not be listed", "cause", err.Error())
			} else {
				initialListing = false
			}
		}
		pause.For(ctx, isolationCheckInterval)
	}
}

// findEntries lists the announced entries and passes them to the mesh, which links to them. Announcements that are not those of
// entries are logged and skipped. The same listing brings the verdicts that other entries have stored.
func (r *registry) findEntries(ctx context.Context) error {
	listing, err := r.lister.List(ctx, rootPrefix)
	if err != nil {
		return err
	}
	var members []message.Member
	for _, kv := range listing.KVs {
		if strings.HasPrefix(kv.Key, verdictsPrefix) {
			readVerdict(r.ledger, r.log, kv)
			continue
		}
		if !strings.HasPrefix(kv.Key, entriesPrefix) {
			continue
		}
		m, err := decodeAnnouncement(kv)
		if err != nil {
			r.log.Info("announcement cannot be read", "key", kv.Key, "cause", err.Error())
			continue
		}
		members = append(members, m)
	}
	r.mesh.AddMembers(members)
	return nil
}

// decodeAnnouncement decodes the announcement of an entry. It returns an error if another writer may have left it: the mesh would replace
// the announcement of a real entry by one with a later incarnation.
func decodeAnnouncement(kv store.KV) (message.Member, error) {
	var m message.Member
	if err := json.Unmarshal(kv.Value, &m); err != nil {
		return m, errors.Wrap(err, "directpath: decode announcement")
	}
	switch {
	case entriesPrefix+m.NodeID != kv.Key || m.Role != message.RoleEntry || m.DataCentre == "":
		return m, errors.New("directpath: announcement of another node")
	case !catalog.IsDialable(m.Address):
		return m, errors.New("directpath: announcement with an invalid address")
	case !catalog.IsStartTime(int64(m.Incarnation / nanosPerMilli)):
		return m, errors.New("directpath: announcement from the future")
	}
	return m, nil
}
