package agent

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/order"
	"github.com/pimentohead/pimentohead/internal/settings"
)

// Guards against a second release of the claim of a revoked attempt: it would free the key while the order that reused the claim
// runs.
func TestRevokedAttemptReleasesItsClaimOnce(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(fake.NewStore(fake.StoreConfig{}))
	defer server.Close()
	s, err := settings.Parse("agent.toml", fmt.Appendf(nil, "role = \"agent\"\nid = \"a\"\ndata_centre = \"d\"\nregion = \"r\"\n"+
		"[listen]\nadmin = \"127.0.0.1:0\"\n[link]\nsecret = \"0123456789abcdef\"\n[platform]\nstore = %q\n[agent]\npool = \"desk\"\n"+
		"kind = \"service\"\nupstream = \"http://127.0.0.1:9\"\nentries = [\"127.0.0.1:9\"]\n", server.URL))
	g.Expect(err).NotTo(HaveOccurred())
	agent, err := New(Options{Settings: s, Log: logr.Discard()})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = agent.adminListener.Close() }()

	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); agent.ledger.Run(ctx) }()
	submit := &message.Submit{Attempt: message.Attempt{RequestID: "r1", Number: 1}, Caller: "caller", IdempotencyKey: "key"}
	begin := func() order.Result {
		result, err := agent.ledger.Begin(context.Background(), "caller", "key", requestDigest(submit))
		g.Expect(err).NotTo(HaveOccurred())
		return result
	}
	att := &attempt{id: submit.Attempt, submit: submit, cancel: func(error) {}, claim: begin().Claim}
	stop() // With the ledger stopped, the release stays pending and the next order reuses the claim.
	<-stopped

	g.Expect(agent.revokeAttempt(att)).To(BeTrue())
	next := begin()
	g.Expect(next.Verdict).To(Equal(order.Run))
	agent.enqueue(att)
	agent.ledger.Finish(next.Claim, &order.Response{Status: 201})
	g.Expect(begin().Verdict).To(Equal(order.Replay))
}
