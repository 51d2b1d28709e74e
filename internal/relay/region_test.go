package relay_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/relay"
)

// newRegionalEntry is newEntryWithCodec with regions for the data centre of the entry, z, and for y. That of x is not known.
func newRegionalEntry(t testing.TB, c codec, upstreams ...*upstream) *entry {
	return newEntryWithConfig(t, c, func(cfg *relay.Config) { cfg.Regions = map[string]string{"z": "home", "y": "away"} }, upstreams...)
}

// in sets the data centre of an upstream.
func (u *upstream) in(dataCentre string) *upstream {
	u.dataCentre = dataCentre
	return u
}

// restrict puts a configuration in force in which all routes and the customer have these lists.
func (e *entry) restrict(route, customer []string) {
	config := *e.state.Snapshot().Index.Config
	config.Version++
	config.Routes, config.Customers = slices.Clone(config.Routes), slices.Clone(config.Customers)
	for i := range config.Routes {
		config.Routes[i].AllowedRegions = route
	}
	config.Customers[0].AllowedRegions = customer
	e.state.ApplyConfig(&config, config.Version)
}

// Guards against a request that reaches an upstream in a region that is not allowed or not known, and against a refusal that is held or names
// another reason.
func TestRequestStaysInItsRegions(t *testing.T) {
	g := NewWithT(t)
	home, away, unknown := newUpstream(t, "u1", respondOK), newUpstream(t, "u2", respondOK).in("y"), newUpstream(t, "u3", respondOK).in("x")
	e := newRegionalEntry(t, codec{}, home, away, unknown)
	e.restrict([]string{"home", "away"}, []string{"away", "north"})
	for _, path := range []string{"/order/", "/look/", "/order/", "/look/"} {
		g.Expect(e.send(context.Background(), path, nil).status).To(Equal(http.StatusOK))
	}
	g.Expect(totalRequests(home, unknown)).To(BeZero())
	served := len(away.requests())
	for _, route := range [][]string{{"home"}, {"north"}, {catalog.UnreadableRegion}} {
		e.restrict(route, []string{"away"})
		a := e.send(context.Background(), "/look/", nil)
		g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(a.body).To(ContainSubstring(`"code":"no-allowed-region","outcome":"not-run"`))
		g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(a.elapsed).To(BeNumerically("<", 200*time.Millisecond))
	}
	g.Expect(totalRequests(home, away, unknown)).To(Equal(served))
}

// Guards against an explanation that names an upstream in a region that is not allowed.
func TestExplanationKeepsToAllowedRegions(t *testing.T) {
	g := NewWithT(t)
	e := newRegionalEntry(t, codec{}, newUpstream(t, "u2", respondOK).in("y"))
	e.restrict([]string{"home"}, nil)
	r := explain(t, e, url.Values{"host": {"h"}, "path": {"/look/"}, "customer": {"tailor"}})
	g.Expect(r.Services[0].Selected).To(BeEmpty())
	g.Expect(r.Services[0].Reason).To(BeEquivalentTo("no-allowed-region"))
}

// Guards against retries, hedged connections and takeovers in another region while the upstream in the allowed one declines, accepts no
// connection or is silent, and against a refusal that names the region then.
func TestNoPathLeavesTheRegions(t *testing.T) {
	late := func(t *testing.T) *upstream {
		return serveUpstream(t, "u1", listenLate(t, 700*time.Millisecond), respondOK)
	}
	script := func(script func(net.Conn, *http.Request)) func(*testing.T) *upstream {
		return func(t *testing.T) *upstream { return newUpstream(t, "u1", script) }
	}
	for name, c := range map[string]struct {
		path string
		home func(*testing.T) *upstream
		want int
	}{
		"retry of an order":  {"/order/", script(decline), http.StatusServiceUnavailable},
		"retry":              {"/look/", script(decline), http.StatusServiceUnavailable},
		"hedged connections": {"/look/", late, http.StatusOK},
		"takeover":           {"/stream/", script(pauseAfter(event(1))), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			home, away := c.home(t), newUpstream(t, "u2", streamUpTo(2)).in("y")
			e := newRegionalEntry(t, codec{}, home, away)
			e.restrict(nil, []string{"home"})
			a := e.send(context.Background(), c.path, nil)
			g.Expect(a.status).To(Equal(c.want))
			g.Expect(a.body).NotTo(ContainSubstring("no-allowed-region"))
			g.Expect(home.requests()).NotTo(BeEmpty())
			g.Expect(away.requests()).To(BeEmpty())
		})
	}
}

// Guards against a stream that is resumed in a region that the configuration has stopped allowing while it was in progress, against an
// attempt in progress that ends with its region, and against a wider list that takes effect for a request that was admitted before.
func TestStreamResumesInTheRegionsInForce(t *testing.T) {
	for name, c := range map[string]struct {
		admitted, inForce []string
		// home and away are the numbers of attempts there.
		home, away int
	}{
		"narrowed":     {nil, []string{"away"}, 1, 1},
		"widened":      {[]string{"home"}, []string{"home", "away"}, 2, 0},
		"nothing left": {nil, []string{"north"}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var e *entry
			breakOnce := startOrResume(func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				chunk(nc, event(1))
				e.restrict(c.inForce, nil)
				chunk(nc, event(2))
				_ = nc.Close()
			}, streamUpTo(4))
			home, other := newUpstream(t, "u1", breakOnce), newUpstream(t, "u2", breakOnce)
			away := newUpstream(t, "u3", streamUpTo(4)).in("y")
			e = newRegionalEntry(t, codec{}, home, other, away)
			e.restrict(c.admitted, nil)
			a := e.send(context.Background(), "/stream/", nil)
			g.Expect(a.body).To(HavePrefix(event(1) + event(2)))
			g.Expect(strings.HasSuffix(a.body, event(3)+event(4))).To(Equal(c.home+c.away == 2))
			g.Expect([]int{totalRequests(home, other), len(away.requests())}).To(Equal([]int{c.home, c.away}))
		})
	}
}

// Guards against a request that is sent although the configuration has stopped allowing the region after the upstream was selected, for example
// while its connection opened, and against a refusal of a request that another upstream may serve.
func TestRegionIsCheckedRightBeforeSending(t *testing.T) {
	for region, status := range map[string]int{"away": http.StatusOK, "north": http.StatusServiceUnavailable} {
		g := NewWithT(t)
		home, away := newUpstream(t, "u1", respondOK), newUpstream(t, "u2", respondOK).in("y")
		var e *entry
		narrow := sync.OnceFunc(func() { e.restrict([]string{region}, nil) })
		e = newRegionalEntry(t, codec{prepared: func(http.Header) { narrow() }}, home, away)
		g.Expect(e.send(context.Background(), "/order/", nil).status).To(Equal(status))
		g.Expect(home.requests()).To(BeEmpty())
		g.Expect(len(away.requests()) == 1).To(Equal(status == http.StatusOK))
	}
}

// Guards against a body in what other entries, which may be in regions that are not allowed, learn about a request: evidence on crashes and
// refusals.
func TestOtherEntriesLearnNoBody(t *testing.T) {
	g := NewWithT(t)
	const secret = "confidential text"
	_, upstreams := newMortalUpstreams(t, 8)
	e := newRegionalEntry(t, codec{}, upstreams...)
	send := func(parts string) callResult {
		return e.send(context.Background(), "/stream/1", func(r *http.Request) {
			r.Header.Set("Parts", parts)
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(secret)), int64(len(secret))
		})
	}
	for i := range 6 {
		send("first," + deadlyPart + ",own" + strconv.Itoa(i))
	}
	config := *e.state.Snapshot().Index.Config // Refusals are shared for services with an engine.
	config.Version, config.Services = config.Version+1, []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 1}}}
	e.state.ApplyConfig(&config, config.Version)
	e.restrict([]string{"away"}, nil)
	g.Expect(send("first,other").body).To(ContainSubstring("no-allowed-region"))
	evidence, refusals := e.poison.Export(), e.refusals.Pending()
	g.Expect(evidence.Crashes).NotTo(BeEmpty())
	g.Expect(refusals.Refusals).NotTo(BeEmpty())
	for _, m := range []message.Message{evidence, refusals} {
		encoded, err := message.Encode(nil, m)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Contains(encoded, []byte(secret))).To(BeFalse(), "%T", m)
	}
}
