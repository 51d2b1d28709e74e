package catalog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// Guards against requests that are matched with the route of a shorter prefix or of another host, and so sent to the wrong service.
func TestRouteHasLongestPrefixOfHost(t *testing.T) {
	g := NewWithT(t)
	x := catalog.NewIndex(&catalog.Config{Routes: []catalog.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long", "/x/y": "short"} {
		g.Expect(x.Route("A.example:8080", path).Name).To(Equal(want), path)
	}
	g.Expect(x.Route("a.example", "/x")).To(BeNil())
	g.Expect(x.Route("c.example", "/x/")).To(BeNil())
}

// Guards against requests without a key that count as those of a customer because an empty text is among its keys: they would get its priority
// and its regions on public routes.
func TestEmptyKeyNamesNoCustomer(t *testing.T) {
	g := NewWithT(t)
	x := catalog.NewIndex(&catalog.Config{Customers: []catalog.Customer{{Name: "t", Keys: []string{"", "k"}}}})
	g.Expect(x.Customer("")).To(BeNil())
	g.Expect(x.Customer("k").Name).To(Equal("t"))
}

// Guards against a split that ignores the weights or finds no service at the upper end of the range.
func TestSplitFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	r := catalog.Route{Targets: []catalog.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	g.Expect(r.PickService(0)).To(Equal("a"))
	g.Expect(r.PickService(0.899)).To(Equal("a"))
	g.Expect(r.PickService(0.901)).To(Equal("b"))
	g.Expect(r.PickService(0.999999)).To(Equal("b"))
	g.Expect((&catalog.Route{}).PickService(0.5)).To(BeEmpty())
}

// Guards against repeating requests that may run only once, and streams that cannot be resumed.
func TestOnlyIdempotentAndResumableRequestsMayRepeat(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&catalog.Route{Kind: catalog.AtMostOnce}).MayRepeat()).To(BeFalse())
	g.Expect((&catalog.Route{Kind: catalog.AtMostOnce, Resumable: true}).MayRepeat()).To(BeFalse())
	g.Expect((&catalog.Route{Kind: catalog.Stream}).MayRepeat()).To(BeFalse())
	g.Expect((&catalog.Route{Kind: catalog.Stream, Resumable: true}).MayRepeat()).To(BeTrue())
	g.Expect((&catalog.Route{Kind: catalog.Idempotent}).MayRepeat()).To(BeTrue())
}
