package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// explain asks an entry where it would send a request.
func explain(t *testing.T, e *entry, parameters url.Values) placement.Explanation {
	recorder := httptest.NewRecorder()
	e.relay.ExplanationHandler("e1").ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/?"+parameters.Encode(), nil))
	var result placement.Explanation
	if err := json.Unmarshal(recorder.Body.Bytes(), &result); err != nil {
		t.Fatalf("status %d: %v", recorder.Code, err)
	}
	return result
}

// sayOnce returns a script that adds a header line to its first response.
func sayOnce(line string) func(net.Conn, *http.Request) {
	return func(nc net.Conn, req *http.Request) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 x\r\nId: %s\r\nStamp: s\r\n%s\r\nContent-Length: 4\r\n\r\nfine", req.Header.Get("Id"), line)
	}
}

// Guards against an explanation that differs from what requests meet, that lacks the reason for an upstream, or that takes from what upstreams
// take: 100 explanations must leave the request that an upstream takes in this second.
func TestExplanationShowsWhyUpstreamsAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	limited := newUpstream(t, "limited", sayOnce("Limit: 0.5"))
	e := newEntry(t, limited)
	g.Expect(e.send(context.Background(), "/look/", nil).status).To(Equal(200))
	g.Eventually(func() bool {
		return explain(t, e, url.Values{"host": {"h"}, "path": {"/look/"}, "customer": {"tailor"}}).Services[0].Selected == "limited"
	}, "4s").Should(BeTrue())
	for range 100 {
		r := explain(t, e, url.Values{"host": {"h"}, "path": {"/look/x?y=1"}, "customer": {"tailor"}, "prompt_tokens": {"100"}})
		g.Expect(r.Entry + " " + r.Route + " " + r.Kind + " " + r.Customer).To(Equal("e1 look idempotent tailor"))
		g.Expect(r.Services).To(HaveLen(1))
		g.Expect(r.Services[0].Selected).To(Equal("limited"))
	}
	g.Expect(e.send(context.Background(), "/look/", nil).status).To(Equal(200))
	refused := e.send(context.Background(), "/look/", nil)
	g.Expect(refused.status).To(Equal(503))
	r := explain(t, e, url.Values{"host": {"h"}, "path": {"/look/"}, "customer": {"tailor"}})
	g.Expect(refused.body).To(ContainSubstring(string(r.Services[0].Reason)))
	g.Expect(r.Services[0].Upstreams[0].LeftOut).To(BeEquivalentTo("rate-limit"))
	g.Expect(r.Services[0].Upstreams[0].WaitMS).To(BeNumerically(">", 0))

	var list []fleet.UpstreamRecord
	for i, u := range []catalog.Upstream{{ID: "limited", Address: limited.addr, State: catalog.Ready},
		{ID: "draining", Address: "127.0.0.1:1", State: catalog.Draining}, {ID: "free", Address: "127.0.0.1:2", State: catalog.Ready}} {
		u.Service, u.DataCentre, u.Slots = "s", "z", 6
		list = append(list, fleet.UpstreamRecord{ID: u.ID, Revision: int64(20 + i), Announcement: &u})
	}
	e.state.ApplyListing(fleet.Listing{Upstreams: list, Revision: 30})
	r = explain(t, e, url.Values{"host": {"h"}, "path": {"/look/"}, "customer": {"tailor"}})
	g.Expect(r.Services[0].Selected).To(Equal("free"))
	left := map[string]string{}
	for _, u := range r.Services[0].Upstreams {
		left[u.ID] = fmt.Sprint(u.State, " ", u.LeftOut, " ", u.Selected)
	}
	g.Expect(left).To(Equal(map[string]string{"limited": "ready rate-limit false", "draining": "draining no-upstream false",
		"free": "ready  true"}))
}

// Guards against an explanation that takes an empty list of customers for none, and says that a request would be sent which is refused.
func TestExplanationWithoutCustomers(t *testing.T) {
	e := newEntry(t, newUpstream(t, "u1", respondOK))
	for _, c := range []struct {
		keysRequired bool
		customer     string
		refused      string
	}{{true, "", "unknown-key"}, {true, "tailor", "unknown-customer"}, {false, "", ""}, {false, "tailor", "unknown-customer"}} {
		config := *e.state.Snapshot().Index.Config
		config.Version++
		config.Customers, config.KeysRequired = nil, c.keysRequired
		e.state.ApplyConfig(&config, config.Version)
		NewWithT(t).Expect(explain(t, e, url.Values{"host": {"h"}, "path": {"/look/"}, "customer": {c.customer}}).Refused).To(Equal(c.refused))
	}
}

// Guards against a failure of the entry, or an answer without a reason, for a request that reaches no upstream.
func TestExplanationOfARequestThatIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	e := newEntry(t, newUpstream(t, "u1", respondOK))
	for want, parameters := range map[string]url.Values{
		"no-route":         {"host": {"h"}, "path": {"/nowhere"}},
		"unknown-customer": {"host": {"h"}, "path": {"/look/"}, "customer": {"x"}},
		"unknown-key":      {"host": {"h"}, "path": {"/look/"}},
	} {
		g.Expect(explain(t, e, parameters).Refused).To(Equal(want))
	}
	recorder := httptest.NewRecorder()
	e.relay.ExplanationHandler("e1").ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/?prompt_tokens=x", nil))
	g.Expect(recorder.Code).To(Equal(http.StatusBadRequest))
}
