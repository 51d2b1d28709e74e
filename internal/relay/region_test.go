package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/relay"
)

// testRegions maps the data centre of the entry, z, and another one to regions of their own. The region of data centre x is not known.
var testRegions = map[string]string{"z": "home", "y": "away"}

func withRegions(cfg *relay.Config) { cfg.Regions = testRegions }

// newRegionalEntry is newEntry with testRegions.
func newRegionalEntry(t testing.TB, upstreams ...*upstream) *entry {
	return newEntryWithConfig(t, codec{}, withRegions, upstreams...)
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

// Guards against a request that reaches an upstream in a region that its route or its customer does not allow, or whose region is not known,
// against a refusal that is held or names another reason, and against restrictions without regions in the settings.
func TestRequestStaysInItsRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, customer []string
		regions         map[string]string
		// served names the data centres at which the request may be served; none if it is refused.
		served []string
	}{
		"no list":                      {nil, nil, testRegions, []string{"z", "y", "x"}},
		"empty list":                   {[]string{}, nil, testRegions, []string{"z", "y", "x"}},
		"route":                        {[]string{"away"}, nil, testRegions, []string{"y"}},
		"customer":                     {nil, []string{"away"}, testRegions, []string{"y"}},
		"both":                         {[]string{"home", "away"}, []string{"away", "north"}, testRegions, []string{"y"}},
		"nothing in common":            {[]string{"home"}, []string{"away"}, testRegions, nil},
		"region without a data centre": {[]string{"north"}, nil, testRegions, nil},
		"unreadable list":              {[]string{catalog.UnreadableRegion}, nil, testRegions, nil},
		"no regions in the settings":   {[]string{"north"}, nil, nil, []string{"z", "y", "x"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			all := []*upstream{newUpstream(t, "u1", respondOK).in("z"), newUpstream(t, "u2", respondOK).in("y"),
				newUpstream(t, "u3", respondOK).in("x")}
			e := newEntryWithConfig(t, codec{}, func(cfg *relay.Config) { cfg.Regions = c.regions }, all...)
			e.restrict(c.route, c.customer)
			for i, path := range []string{"/order/", "/look/", "/order/", "/look/"} {
				a := e.send(context.Background(), path, nil)
				g.Expect(a.err).NotTo(HaveOccurred())
				if c.served != nil {
					g.Expect(a.status).To(Equal(http.StatusOK))
					continue
				}
				g.Expect(a.status).To(Equal(http.StatusServiceUnavailable), "request %d", i)
				g.Expect(a.body).To(ContainSubstring(`"code":"no-allowed-region","outcome":"not-run"`))
				g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
				g.Expect(a.elapsed).To(BeNumerically("<", 200*time.Millisecond))
			}
			for _, u := range all {
				if !slices.Contains(c.served, u.dataCentre) {
					g.Expect(u.requests()).To(BeEmpty(), u.dataCentre)
				}
			}
		})
	}
}

// Guards against refusals that name the region although an upstream in an allowed one only cannot take the request now, and against retries
// in another region.
func TestAllowedUpstreamThatDeclinesIsNoMissingRegion(t *testing.T) {
	for name, path := range map[string]string{"at most once": "/order/", "idempotent": "/look/", "stream": "/stream/"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			home, away := newUpstream(t, "u1", decline), newUpstream(t, "u2", streamUpTo(2)).in("y")
			e := newRegionalEntry(t, home, away)
			e.restrict([]string{"home"}, nil)
			a := e.send(context.Background(), path, nil)
			g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
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
		resumed           string
	}{
		"narrowed":                          {nil, []string{"away"}, "away"},
		"narrowed and the customer differs": {[]string{"home", "away"}, []string{"away", "north"}, "away"},
		"widened":                           {[]string{"home"}, []string{"home", "away"}, "home"},
		"nothing left":                      {nil, []string{"north"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			begun, narrowed := make(chan struct{}), make(chan struct{})
			start := sync.OnceFunc(func() { close(begun) })
			breakOnce := startOrResume(func(nc net.Conn, req *http.Request) {
				streamHead(nc, req)
				chunk(nc, event(1))
				start()
				<-narrowed
				chunk(nc, event(2))
				_ = nc.Close()
			}, streamUpTo(4))
			home, other := newUpstream(t, "u1", breakOnce), newUpstream(t, "u2", breakOnce)
			away := newUpstream(t, "u3", streamUpTo(4)).in("y")
			e := newRegionalEntry(t, home, other, away)
			e.restrict(c.admitted, nil)
			go func() {
				<-begun
				e.restrict(c.inForce, nil)
				close(narrowed)
			}()
			a := e.send(context.Background(), "/stream/", nil)
			whole := event(1) + event(2) + event(3) + event(4)
			switch c.resumed {
			case "":
				g.Expect(a.err).To(HaveOccurred())
				g.Expect(a.body).To(Equal(event(1) + event(2)))
				g.Expect(totalRequests(home, other, away)).To(Equal(1))
			case "home":
				g.Expect(a.body).To(Equal(whole))
				g.Expect(away.requests()).To(BeEmpty())
			default:
				g.Expect(a.body).To(Equal(whole))
				g.Expect(totalRequests(home, other)).To(Equal(1))
			}
		})
	}
}

// Guards against a request that is sent although the configuration has stopped allowing the region of its upstream after the upstream was
// selected, for example while its connection opened; and against a refusal of a request that another upstream may serve.
func TestRegionIsCheckedRightBeforeSending(t *testing.T) {
	for name, inForce := range map[string][]string{"another is allowed": {"away"}, "none is allowed": {"north"}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			home, away := newUpstream(t, "u1", respondOK), newUpstream(t, "u2", respondOK).in("y")
			var e *entry
			narrow := sync.OnceFunc(func() { e.restrict(inForce, nil) })
			e = newEntryWithConfig(t, codec{prepared: func(http.Header) { narrow() }}, withRegions, home, away)
			e.restrict([]string{"home", "away", "north"}, nil)
			a := e.send(context.Background(), "/order/", nil)
			g.Expect(home.requests()).To(BeEmpty())
			if inForce[0] == "away" {
				g.Expect(a.status).To(Equal(http.StatusOK))
				return
			}
			g.Expect(a.body).To(ContainSubstring(`"code":"no-allowed-region","outcome":"not-run"`))
			g.Expect(away.requests()).To(BeEmpty())
		})
	}
}

// Guards against hedged connections, and the requests on them, to upstreams in other regions while the allowed one accepts none.
func TestHedgedConnectionsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	home := serveUpstream(t, "u1", listenLate(t, 700*time.Millisecond), respondOK)
	away := newUpstream(t, "u2", respondOK).in("y")
	e := newRegionalEntry(t, home, away)
	e.restrict([]string{"home"}, nil)
	a := e.send(context.Background(), "/look/", nil)
	g.Expect(a.status).To(Equal(http.StatusOK), a.body)
	g.Expect(away.requests()).To(BeEmpty())
}

// Guards against an upstream in another region that takes over from a silent one, which goes on later.
func TestTakeoverStaysInItsRegions(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	home, away := newUpstream(t, "u1", pauseAfter(event(1))), newUpstream(t, "u2", streamUpTo(2)).in("y")
	e := newRegionalEntry(t, home, away)
	e.restrict(nil, []string{"home"})
	a := e.send(context.Background(), "/stream/", nil)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(event(1) + event(2)))
	g.Expect(away.requests()).To(BeEmpty())
}

// Guards against a body in what other entries, which may be in regions that are not allowed, learn about a request: evidence on crashes,
// refusals and work.
func TestOtherEntriesLearnNoBody(t *testing.T) {
	g := NewWithT(t)
	const secret = "confidential text"
	all, upstreams := newMortalUpstreams(t, 8)
	e := newEntryWithConfig(t, codec{}, withRegions, upstreams...)
	e.restrict([]string{"home"}, []string{"home"})
	send := func(parts string) callResult {
		return e.send(context.Background(), "/stream/1", func(r *http.Request) {
			r.Header.Set("Parts", parts)
			r.Header.Set("Id", parts)
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(secret)), int64(len(secret))
		})
	}
	for i := range 6 {
		send(fmt.Sprintf("first,%s,own%d", deadlyPart, i))
	}
	g.Expect(countEnded(all)).NotTo(BeZero())
	config := *e.state.Snapshot().Index.Config // Refusals are shared for services with an engine.
	config.Version, config.Services = config.Version+1, []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 1}}}
	e.state.ApplyConfig(&config, config.Version)
	e.restrict([]string{"away"}, nil)
	g.Expect(send("first,other").body).To(ContainSubstring("no-allowed-region"))
	evidence, refusals := e.poison.Export(), e.refusals.Pending()
	g.Expect(evidence).NotTo(BeNil())
	g.Expect(evidence.Crashes).NotTo(BeEmpty())
	g.Expect(refusals).NotTo(BeNil())
	for _, m := range []message.Message{evidence, refusals} {
		encoded, err := message.Encode(nil, m)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Contains(encoded, []byte(secret))).To(BeFalse(), "%T", m)
	}
}
