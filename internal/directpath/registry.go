package directpath

import (
	"context"
	"encoding/json"
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

	// onFirst, unless nil, is called once the entry has announced itself and the store held no announcement of an earlier process. Those of
	// processes that crashed stay for announcementTTL.
	onFirst func()

	// onListed, unless nil, is called after each listing of the entries.
	onListed func()

	// announced is what announce knows about its key in the store. No other goroutine uses it.
	announced announcedKey
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
	if r.onListed != nil {
		r.onListed()
	}
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
