package directpath

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/mesh"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/poison"
	"github.com/pimentohead/pimentohead/platform/standin"
)

// Guards against verdicts on requests that crash upstreams which are gone with the last entry that knows them, because a restore of the store
// has lost them and no entry stores them again.
func TestVerdictIsStoredAgainAfterARestore(t *testing.T) {
	g := NewWithT(t)
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	r := newRegistry("a", strings.TrimPrefix(server.URL, "http://"))
	ledger := poison.New(nil)
	ledger.Merge(&message.CrashEvidence{Verdicts: []message.PoisonVerdict{{Subjects: []string{"deadly"}}}})
	r.state.ObserveEra(1)
	writer := &verdictWriter{store: r.store, state: r.state, mesh: r.mesh.(*mesh.Mesh), ledger: ledger, log: logr.Discard(), era: 1}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); writer.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	g.Consistently(func() []string { return s.Keys(verdictsPrefix) }, "1500ms").Should(BeEmpty(), "the verdict counts as stored")
	s.Restore(s.Copy())
	r.state.ObserveEra(2)
	g.Eventually(func() []string { return s.Keys(verdictsPrefix) }, "5s").Should(HaveLen(1))
}
