package directpath

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
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
	// eraCheckInterval is the time between checks whether the store has been restored from an earlier copy.
	eraCheckInterval = time.Second
	// minReannounceSpread is the shortest time over which the entries spread their announcements after a restore of the store.
	// reannounceSpreadPerEntry lengthens it with the number of entries, so that two calls each stay far below the store's limits.
	minReannounceSpread      = 2 * time.Second
	reannounceSpreadPerEntry = 20 * time.Millisecond
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
	EntryCount() int
}

// registry announces an entry in the store and finds the entries announced there.
type registry struct {
	store  Store
	lister store.Lister
	state  *fleet.State
	mesh   memberSet
	self   message.Hello
	// startWait is the time after the start in which the node waits for links before it lists the entries.
	startWait time.Duration
	// ledger receives the stored verdicts on requests that crash upstreams.
	ledger *poison.Ledger
	log    logr.Logger
}

// leasedKey is a key that this entry has written under a lease.
type leasedKey struct {
	lease store.LeaseID
	// revision is that of the store at which the key was written.
	revision int64
	// era is the highest era of the store that was known then. In a later one, the key may be lost and the ID of its lease may belong to another
	// node.
	era int64
}

// announce stores the announcement of an entry and renews its lease until ctx ends, then removes it. After a restore of the store, it stores
// the announcement again under a new lease.
func (r *registry) announce(ctx context.Context) {
	var current leasedKey
	for ctx.Err() == nil {
		var err error
		if current.lease == 0 || r.era() > current.era {
			current, err = r.putAnnouncement(ctx)
		} else {
			_, err = r.store.KeepAlive(ctx, current.lease)
			if errors.Is(err, store.ErrLeaseNotFound) {
				current = leasedKey{}
			}
		}
		if err != nil {
			pause.For(ctx, storeRetryPause)
			continue
		}
		r.awaitRenewal(ctx, current)
	}
	if current.lease != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), storeRetryPause)
		defer cancel()
		if err := r.removeAnnouncement(ctx, current); err != nil {
			r.log.V(1).Info("announcement could not be removed", "cause", err.Error())
		}
	}
}

// era returns the highest era of the store that this node knows, from its own calls or from other nodes.
func (r *registry) era() int64 { return max(r.store.Era(), r.state.Era()) }

// awaitRenewal returns when the lease of an announcement has to be renewed, or at a random time after the era of the announcement has ended.
func (r *registry) awaitRenewal(ctx context.Context, current leasedKey) {
	for renewAt := time.Now().Add(announcementRenewal); ctx.Err() == nil && time.Now().Before(renewAt); pause.For(ctx, eraCheckInterval) {
		if era := r.era(); era > current.era {
			r.log.Info("announcement may be lost, storing it again", "era", era, "era_before", current.era)
			pause.For(ctx, rand.N(max(minReannounceSpread, time.Duration(r.mesh.EntryCount())*reannounceSpreadPerEntry)))
			return
		}
	}
}

// putAnnouncement stores the announcement under a new lease.
func (r *registry) putAnnouncement(ctx context.Context) (leasedKey, error) {
	value, err := json.Marshal(message.Member{NodeID: r.self.NodeID, Role: r.self.Role, DataCentre: r.self.DataCentre,
		Region: r.self.Region, Address: r.self.Address, Incarnation: r.self.Incarnation})
	if err != nil {
		return leasedKey{}, errors.Wrap(err, "directpath: encode announcement")
	}
	return putLeased(ctx, r.store, r.state, entriesPrefix+r.self.NodeID, value, announcementTTL)
}

// removeAnnouncement removes an announcement unless it has been replaced. It does not revoke the lease, which may belong to another node after
// a restore of the store that this node has not heard of.
func (r *registry) removeAnnouncement(ctx context.Context, current leasedKey) error {
	key := entriesPrefix + r.self.NodeID
	_, err := r.store.Txn(ctx, store.Txn{If: []store.Compare{{Key: key, Target: store.CompareMod, Revision: current.revision}},
		Then: []store.Op{{Delete: &store.Delete{Key: key}}}})
	return err
}

// putLeased writes a key under a new lease. It fails with ErrRestored if the store was restored meanwhile: the lease may then be lost, or the
// key bound to a lease of another node. The key is written in the highest era that the state knew before, or in a later one.
func putLeased(ctx context.Context, s Store, state *fleet.State, key string, value []byte, ttl time.Duration) (leasedKey, error) {
	knownEra := state.Era()
	lease, era, err := grantInEra(ctx, s, ttl)
	if err != nil {
		return leasedKey{}, err
	}
	result, err := s.Txn(ctx, store.Txn{Then: []store.Op{{Put: &store.Put{Key: key, Value: value, Lease: lease}}}})
	if err != nil {
		return leasedKey{}, err
	}
	if s.Era() != era {
		return leasedKey{}, errors.Wrapf(store.ErrRestored, "put %s", key)
	}
	return leasedKey{lease: lease, revision: result.Revision, era: max(knownEra, era)}, nil
}

// grantInEra creates a lease and returns it with the era of the store in which it was granted. It creates another one if the store states a new
// era meanwhile, since the era of the first one is not known then, and fails with ErrRestored if that happens again.
func grantInEra(ctx context.Context, s Store, ttl time.Duration) (store.LeaseID, int64, error) {
	for range 2 {
		era := s.Era()
		lease, err := s.Grant(ctx, ttl)
		if err != nil {
			return 0, 0, err
		}
		if after := s.Era(); after == era || era == 0 {
			return lease, after, nil
		}
	}
	return 0, 0, errors.Wrap(store.ErrRestored, "grant lease")
}

// discover lists the entries in the store while this node has no link to one, until ctx ends. An entry also does so at its start,
// until a listing succeeds, unless it has waited for links and got some: then all that is in the store comes over the links.
func (r *registry) discover(ctx context.Context) {
	pause.For(ctx, r.startWait)
	initialListing := r.self.Role == message.RoleEntry && (r.startWait == 0 || r.mesh.LinkedEntryCount() == 0)
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
