package entry_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/entry"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// Guards against an entry that does not run the rollout controller, does not send its permits to agents, or keeps the lease when it
// shuts down.
func TestEntryGrantsSwapPermits(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(fake.NewStore(fake.StoreConfig{}))
	defer server.Close()
	client := store.NewClient(server.URL, 100, logr.Discard())
	s := &settings.Settings{
		Role: message.RoleEntry, ID: "entry-1", DataCentre: "a", Region: "prairie",
		Listen: settings.Listen{Caller: "127.0.0.1:0", Admin: "127.0.0.1:0", Link: "127.0.0.1:0"},
		Link:   settings.Link{Secret: secret, SilenceTimeout: settings.Duration(time.Minute)},
		Entry:  settings.Entry{MaxConnections: 100},
	}
	s.Shutdown.Timeout = settings.Duration(waitTimeout)
	e, err := entry.New(entry.Options{Settings: s, Log: logr.Discard(), Store: client, ShutdownDelay: time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	fleet := fleetConfig()
	fleet.Models = []config.Model{{Name: "hemline", Version: "v2", MaxUnavailable: 1, Canary: 1}}
	fleet.Pools[0].Model = "hemline"
	g.Expect(e.Holder().Apply(&config.Active{Envelope: config.Envelope{Revision: 1}, Config: fleet})).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	agent := newAgent(t, "agent-1", "a", "assistant", 1)
	agent.announce.Kind, agent.announce.ReadyVersion = "model", "v2"
	agent.connect(e, nil)
	var permit *message.SwapPermit
	for permit == nil {
		permit, _ = agent.nextMessage().m.(*message.SwapPermit)
	}
	g.Expect(permit.Version).To(Equal("v2"))
	g.Expect(e.Status().Rollouts[0].Epoch).To(Equal(permit.Epoch))
	cancel()
	g.Expect(<-done).To(Succeed())
	_, err = client.Get(context.Background(), "/pimentohead/rollout/a")
	g.Expect(err).To(MatchError(store.ErrNotFound))
}
