package residency_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/residency"
)

var regions = map[string]string{"dc-1": "east", "dc-2": "west", "dc-3": "east", "dc-4": ""}

// configure returns the index of a configuration with the route r and the customer c that have these lists.
func configure(route, customer []string) *catalog.Index {
	return catalog.NewIndex(&catalog.Config{Version: 1, Routes: []catalog.Route{{Name: "r", AllowedRegions: route}},
		Customers: []catalog.Customer{{Name: "c", Keys: []string{"k"}, AllowedRegions: customer}}})
}

func newRule(index *catalog.Index) residency.Rule {
	return residency.NewRule(regions, index, index.RoutesNamed("r")[0], index.Customer("k"))
}

// Guards against a data centre that is allowed although a list, or a region that is not known, excludes it, and against a wrong reason.
// Load covered: deployments K and T, each entry with every request and every upstream.
func TestCheck(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		route, customer []string
		// want holds the reasons for dc-1, dc-2, dc-4 and a data centre that is not in the settings.
		want [4]residency.Reason
	}{
		{nil, nil, [4]residency.Reason{}},
		{[]string{}, []string{}, [4]residency.Reason{}},
		{[]string{"east"}, nil, [4]residency.Reason{"", residency.OutsideRoute, residency.UnknownRegion, residency.UnknownRegion}},
		{nil, []string{"west"}, [4]residency.Reason{residency.OutsideCustomer, "", residency.UnknownRegion, residency.UnknownRegion}},
		{[]string{"east", "west"}, []string{"north", "west"},
			[4]residency.Reason{residency.OutsideCustomer, "", residency.UnknownRegion, residency.UnknownRegion}},
		{[]string{"East"}, nil, [4]residency.Reason{residency.OutsideRoute, residency.OutsideRoute, residency.UnknownRegion, residency.UnknownRegion}},
		{[]string{catalog.UnreadableRegion}, nil,
			[4]residency.Reason{residency.OutsideRoute, residency.OutsideRoute, residency.UnknownRegion, residency.UnknownRegion}},
	} {
		rule := newRule(configure(c.route, c.customer))
		for i, dataCentre := range []string{"dc-1", "dc-2", "dc-4", "dc-9"} {
			g.Expect(rule.Check(dataCentre)).To(Equal(c.want[i]), "%v %v %s", c.route, c.customer, dataCentre)
		}
	}
	index := configure([]string{"east"}, nil)
	off := residency.NewRule(nil, index, index.RoutesNamed("r")[0], nil)
	g.Expect(off.Check("dc-2")).To(Equal(residency.Allowed))
}

// Guards against a request that gains a region by a later configuration, and against a name that loses its list when it is removed.
// Load covered: a storm of configurations while requests are in progress.
func TestLaterConfigurations(t *testing.T) {
	g := NewWithT(t)
	rule := newRule(configure(nil, nil))
	rule.Update(configure([]string{"west"}, nil))
	g.Expect(rule.Check("dc-1")).To(Equal(residency.OutsideRoute))
	rule.Update(catalog.NewIndex(&catalog.Config{Version: 3}))
	g.Expect(rule.Check("dc-1")).To(Equal(residency.OutsideRoute), "a removed route keeps its list")
	rule.Update(configure(nil, []string{"east"}))
	g.Expect(rule.Check("dc-1")).To(Equal(residency.Allowed), "admitted without a list")
	g.Expect(rule.Check("dc-2")).To(Equal(residency.OutsideCustomer))

	admitted := newRule(configure([]string{"east"}, nil))
	admitted.Update(configure([]string{"east", "west"}, nil))
	g.Expect(admitted.Check("dc-2")).To(Equal(residency.OutsideRoute))

	doubled := newRule(configure(nil, nil))
	doubled.Update(catalog.NewIndex(&catalog.Config{Version: 4, Routes: []catalog.Route{{Name: "r", Prefix: "/a", AllowedRegions: []string{"east"}},
		{Name: "r", Prefix: "/b", AllowedRegions: []string{"west"}}}}))
	g.Expect(doubled.Check("dc-1")).To(Equal(residency.OutsideRoute))
	g.Expect(doubled.Check("dc-2")).To(Equal(residency.OutsideRoute))
}

// Guards against sequences of configurations after which a rule allows what a list that applies excludes, or excludes what all lists allow.
// Load covered: a storm of configurations while requests are in progress.
func TestRuleIsTheIntersection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.SampledFrom([]string{"east", "west", "north"}), 0, 3)
		admittedRoute, admittedCustomer := lists.Draw(t, "route"), lists.Draw(t, "customer")
		rule := newRule(configure(admittedRoute, admittedCustomer))
		applied := [][]string{admittedRoute, admittedCustomer}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			route, customer := lists.Draw(t, "route"), lists.Draw(t, "customer")
			rule.Update(configure(route, customer))
			applied = [][]string{admittedRoute, admittedCustomer, route, customer}
		}
		for dataCentre, region := range regions {
			allowed, restricted := true, false
			for _, list := range applied {
				in := len(list) == 0
				for _, name := range list {
					restricted = true
					in = in || name == region
				}
				allowed = allowed && in
			}
			allowed = allowed && (!restricted || region != "")
			if got := rule.Check(dataCentre) == residency.Allowed; got != allowed {
				t.Fatalf("%s: allowed is %v with %v", dataCentre, got, applied)
			}
		}
	})
}

// Guards against lists that are lost or turn into "no restriction" on the way to other nodes.
func TestListsReachOtherNodes(t *testing.T) {
	g := NewWithT(t)
	config := &catalog.Config{Version: 2, Routes: []catalog.Route{{Name: "r", AllowedRegions: []string{catalog.UnreadableRegion}}, {Name: "s"}},
		Customers: []catalog.Customer{{Name: "c", AllowedRegions: []string{"east", "west"}}}}
	packed, err := message.PackConfig(config)
	g.Expect(err).NotTo(HaveOccurred())
	received, err := message.UnpackConfig(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received.Routes[0].AllowedRegions).To(Equal([]string{catalog.UnreadableRegion}))
	g.Expect(received.Routes[1].AllowedRegions).To(BeEmpty())
	g.Expect(received.Customers[0].AllowedRegions).To(Equal([]string{"east", "west"}))
}

// Guards against a summary that calls a region unmatched which a data centre has, and against log lines of any length.
func TestSummarise(t *testing.T) {
	g := NewWithT(t)
	config := &catalog.Config{
		Routes:    []catalog.Route{{AllowedRegions: []string{"east", "north"}}, {AllowedRegions: []string{catalog.UnreadableRegion}}, {}},
		Customers: []catalog.Customer{{AllowedRegions: []string{"south", "north"}}},
	}
	g.Expect(residency.Summarise(config, regions)).To(Equal(residency.Summary{Routes: 2, Customers: 1, Unmatched: []string{"north", "south"}}))
	for i := range 100 {
		config.Routes[0].AllowedRegions = append(config.Routes[0].AllowedRegions, fmt.Sprintf("region-%d", i))
	}
	g.Expect(residency.Summarise(config, regions).Unmatched).To(HaveLen(20))
	rule := residency.NewRule(regions, catalog.NewIndex(config), &config.Routes[0], nil)
	g.Expect(len(rule.RouteLists())).To(BeNumerically("<=", 303))
}
