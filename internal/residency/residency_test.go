package residency_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/residency"
)

var regions = map[string]string{"dc-1": "east", "dc-2": "west", "dc-4": ""}

// configure returns the index of a configuration with the route r and the customer c that have these lists.
func configure(route, customer []string) *catalog.Index {
	return catalog.NewIndex(&catalog.Config{Version: 1, Routes: []catalog.Route{{Name: "r", AllowedRegions: route}},
		Customers: []catalog.Customer{{Name: "c", Keys: []string{"k"}, AllowedRegions: customer}}})
}

func newRule(index *catalog.Index) residency.Rule {
	return residency.NewRule(regions, index, index.RoutesNamed("r")[0], index.Customer("k"))
}

// Guards against a wrong reason, against a request that gains a region by a later configuration, against a name that loses its list when it is
// removed, and against settings without regions that lift the restrictions of requests. Load covered: configurations that change while requests
// are in progress.
func TestLaterConfigurations(t *testing.T) {
	g := NewWithT(t)
	rule := newRule(configure(nil, nil))
	rule.Update(configure([]string{"west"}, nil))
	g.Expect(rule.Check("dc-1")).To(Equal(residency.OutsideRoute))
	g.Expect(rule.Check("dc-4")).To(Equal(residency.UnknownRegion))
	g.Expect(rule.Check("dc-9")).To(Equal(residency.UnknownRegion))
	rule.Update(catalog.NewIndex(&catalog.Config{Version: 3}))
	g.Expect(rule.Check("dc-1")).To(Equal(residency.OutsideRoute), "a removed route keeps its list")
	rule.Update(configure(nil, []string{"east"}))
	g.Expect(rule.Check("dc-1")).To(Equal(residency.Allowed), "admitted without a list")
	g.Expect(rule.Check("dc-2")).To(Equal(residency.OutsideCustomer))
	rule.Update(catalog.NewIndex(&catalog.Config{Version: 4, Routes: []catalog.Route{{Name: "r", AllowedRegions: []string{"east"}},
		{Name: "r", Prefix: "/b", AllowedRegions: []string{"west"}}}}))
	g.Expect(rule.Check("dc-1")).To(Equal(residency.OutsideRoute), "two routes have the name")

	index := configure([]string{"east"}, nil)
	unmapped := residency.NewRule(nil, index, index.RoutesNamed("r")[0], nil)
	g.Expect(unmapped.Check("dc-1")).To(Equal(residency.UnknownRegion))
	g.Expect(unmapped.Check("dc-2")).To(Equal(residency.UnknownRegion))
	index = configure(nil, nil)
	unrestricted := residency.NewRule(nil, index, index.RoutesNamed("r")[0], nil)
	g.Expect(unrestricted.Check("dc-2")).To(Equal(residency.Allowed))
}

// Guards against lists after which a rule allows what one that applies excludes, or excludes what all allow, and against lists that are lost on
// the way to other nodes. Load covered: deployments K and T, each entry with every request and every upstream.
func TestRuleIsTheIntersection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.SampledFrom([]string{"east", "west", "north", catalog.UnreadableRegion}), 0, 3)
		applied := [][]string{lists.Draw(t, "route"), lists.Draw(t, "customer"), nil, nil}
		rule := newRule(configure(applied[0], applied[1]))
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			applied[2], applied[3] = lists.Draw(t, "route"), lists.Draw(t, "customer")
			packed, err := message.PackConfig(configure(applied[2], applied[3]).Config)
			received, unpackErr := message.UnpackConfig(packed)
			if err != nil || unpackErr != nil {
				t.Fatal(err, unpackErr)
			}
			rule.Update(catalog.NewIndex(received))
		}
		excludes := func(region string) func([]string) bool {
			return func(list []string) bool { return len(list) > 0 && (region == "" || !slices.Contains(list, region)) }
		}
		for dataCentre, region := range regions {
			if got := rule.Check(dataCentre) == residency.Allowed; got == slices.ContainsFunc(applied, excludes(region)) {
				t.Fatalf("%s: allowed is %v with %v", dataCentre, got, applied)
			}
		}
	})
}

// Guards against a summary that calls a region unmatched which a data centre has.
func TestSummarise(t *testing.T) {
	config := configure([]string{"east", "north"}, []string{"south", catalog.UnreadableRegion, "north"}).Config
	NewWithT(t).Expect(residency.Summarise(config, regions)).To(Equal(residency.Summary{Routes: 1, Customers: 1, Unmatched: []string{"north", "south"}}))
}
