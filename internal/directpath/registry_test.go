package directpath

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
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
	g.Expect(after.lease).To(Equal(before.lease), "the restored store gives out the ID again")
	g.Expect(stopping.removeAnnouncement(ctx, before)).To(Succeed())
	g.Expect(s.Keys(entriesPrefix)).To(Equal([]string{entriesPrefix + "other"}))
	g.Expect(other.removeAnnouncement(ctx, after)).To(Succeed())
	g.Expect(s.Keys(entriesPrefix)).To(BeEmpty())
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
	g.Expect(int64(current.lease)).To(Equal(s.LeaseOf(entriesPrefix + "a")))
	g.Expect(current.era).To(Equal(int64(2)))
	g.Expect(s.Calls() - before).To(BeNumerically("<=", 3))
}
