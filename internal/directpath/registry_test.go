package directpath

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/platform"
	"github.com/pimentohead/pimentohead/platform/standin"
)

// newRegistry returns the registry of an entry without links.
func newRegistry(id, storeAddress string) *registry {
	self := message.Hello{NodeID: id, Role: message.RoleEntry, DataCentre: "z"}
	state, client := fleet.NewState(nil), platform.NewStore(storeAddress)
	return &registry{store: client, lister: client, state: state, self: self, log: logr.Discard(),
		mesh: mesh.New(mesh.Config{Self: self, State: state, Log: logr.Discard()})}
}

// Guards against an entry that stops after a restore of the store and, by the ID of a lease that it had before, takes back the announcement of
// another entry, to which the restored store has granted a lease with the same ID.
func TestStoppedEntryDoesNotRemoveTheAnnouncementOfAnother(t *testing.T) {
	g := NewWithT(t)
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	stopping, other := newRegistry("stopping", address), newRegistry("other", address)
	ctx := context.Background()
	copied := s.Copy()
	before, err := stopping.putAnnouncement(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	s.Restore(copied)
	after, err := other.putAnnouncement(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after.id).To(Equal(before.id), "the restored store gives out the ID again")
	g.Expect(stopping.removeAnnouncement(ctx, before)).To(Succeed())
	g.Expect(s.Keys(entriesPrefix)).To(Equal([]string{entriesPrefix + "other"}))
	g.Expect(other.removeAnnouncement(ctx, after)).To(Succeed())
	g.Expect(s.Keys(entriesPrefix)).To(BeEmpty())
}

// fixedListing is a store.Lister with a fixed listing.
type fixedListing struct{ kvs []store.KV }

func (l fixedListing) List(context.Context, string) (store.Listing, error) {
	return store.Listing{KVs: l.kvs, Cursor: store.Cursor{Revision: 1}}, nil
}

func (fixedListing) Poll(_ context.Context, _ string, after store.Cursor, _ time.Duration) ([]store.Event, store.Cursor, error) {
	return nil, after, store.ErrUnavailable
}

// collector collects the members that a registry passes to the mesh.
type collector struct{ members []message.Member }

func (c *collector) AddMembers(members []message.Member) { c.members = append(c.members, members...) }

func (*collector) LinkedEntryCount() int { return 0 }

func (*collector) EntryCount() int { return 1 }

// Guards against an announcement of another writer that replaces that of a real entry, with an address where no entry is or with an
// incarnation after which later announcements of the entry count as outdated, and against one that hides the others.
func TestOddAnnouncementsAreSkipped(t *testing.T) {
	sound := message.Member{NodeID: "edge-1", Role: message.RoleEntry, DataCentre: "z", Region: "r", Address: "10.0.0.1:7700",
		Incarnation: uint64(time.Now().UnixNano())}
	with := func(change func(*message.Member)) string {
		m := sound
		change(&m)
		value, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return string(value)
	}
	for name, value := range map[string]string{
		"empty": ``, "null": `null`, "list": `[]`, "number too large": `{"Incarnation":1e400}`, "no UTF-8": "\xff",
		"far incarnation":  with(func(m *message.Member) { m.Incarnation = 1 << 63 }),
		"other node":       with(func(m *message.Member) { m.NodeID = "edge-2" }),
		"agent":            with(func(m *message.Member) { m.Role = message.RoleAgent }),
		"no data centre":   with(func(m *message.Member) { m.DataCentre = "" }),
		"no address":       with(func(m *message.Member) { m.Address = "" }),
		"port too large":   with(func(m *message.Member) { m.Address = "10.0.0.1:70000" }),
		"port 0":           with(func(m *message.Member) { m.Address = "10.0.0.1:0" }),
		"unspecified host": with(func(m *message.Member) { m.Address = "0.0.0.0:7700" }),
		"no IP":            with(func(m *message.Member) { m.Address = "somewhere:7700" }),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			last := sound
			last.NodeID = "edge-9"
			lastValue, err := json.Marshal(last)
			g.Expect(err).NotTo(HaveOccurred())
			found := &collector{}
			r := &registry{mesh: found, log: logr.Discard(), ledger: poison.New(nil), lister: fixedListing{kvs: []store.KV{
				{Key: entriesPrefix + "edge-1", Value: []byte(value)}, {Key: entriesPrefix + "edge-9", Value: lastValue},
				{Key: verdictsPrefix + "odd", Value: []byte(value)}}}}
			g.Expect(r.findEntries(context.Background())).To(Succeed())
			g.Expect(found.members).To(Equal([]message.Member{last}))
			g.Expect(r.ledger.Verdicts()).To(BeEmpty())
		})
	}
}

// Guards against calls that are thrown away, and add to the load of a store that has just been restored, because the first call of an entry after
// the restore, which tells the era, grants the lease.
func TestFirstCallAfterARestoreMayGrantTheLease(t *testing.T) {
	g := NewWithT(t)
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	r := newRegistry("a", strings.TrimPrefix(server.URL, "http://"))
	ctx := context.Background()
	_, err := r.putAnnouncement(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	s.Restore(s.Copy())
	r.state.ObserveEra(2)
	before := s.Calls()
	current, err := r.putAnnouncement(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(int64(current.id)).To(Equal(s.LeaseOf(entriesPrefix + "a")))
	g.Expect(current.era).To(Equal(int64(2)))
	g.Expect(s.Calls() - before).To(BeNumerically("<=", 3))
}
