// Package residency decides in which data centres a request may run, from the regions that its route and its customer allow.
//
// It does not access the network. The lists come from the operator's configuration, which may change while a request is in progress. A
// data centre has to be allowed both by the configuration under which the request was admitted and by the one in force.
package residency

import (
	"slices"
	"strings"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// Reason states why a data centre is not allowed for a request. Its value is a label in logs and metrics.
type Reason string

// Reasons for which a data centre is not allowed.
const (
	// Allowed means that the request may run in the data centre.
	Allowed Reason = ""
	// UnknownRegion means that the request is restricted and the region of the data centre is not known.
	UnknownRegion Reason = "unknown-region"
	// OutsideRoute means that the route does not allow the region, OutsideCustomer that the customer does not.
	OutsideRoute    Reason = "route"
	OutsideCustomer Reason = "customer"
)

// Rule holds the regions that one request may use. The zero Rule allows all data centres. It is not safe for concurrent use.
type Rule struct {
	// regions maps each data centre to its region. A data centre without one is not allowed for a restricted request.
	regions         map[string]string
	route, customer restriction
	// inForce is the configuration from which the lists in force were taken last.
	inForce *catalog.Index
}

// restriction holds the lists of a route or a customer. An empty list sets no restriction.
type restriction struct {
	name string
	// admitted is the list under which the request was admitted. inForce holds the lists, in a later configuration, of all that have the
	// same name; it is nil while there is none.
	admitted []string
	inForce  [][]string
}

// NewRule returns the rule for a request that is admitted under the configuration index. regions maps each data centre to its region. customer is
// nil for a request without one.
func NewRule(regions map[string]string, index *catalog.Index, route *catalog.Route, customer *catalog.Customer) Rule {
	r := Rule{regions: regions, inForce: index, route: restriction{name: route.Name, admitted: route.AllowedRegions}}
	if customer != nil {
		r.customer = restriction{name: customer.Name, admitted: customer.AllowedRegions}
	}
	return r
}

// Update replaces the lists in force by those of index. Route and customer are looked up by name. One that no longer exists keeps the
// lists that it had.
func (r *Rule) Update(index *catalog.Index) {
	if index == nil || index == r.inForce {
		return
	}
	r.inForce = index
	if routes := index.RoutesNamed(r.route.name); len(routes) > 0 {
		r.route.inForce = nil
		for _, route := range routes {
			r.route.inForce = append(r.route.inForce, route.AllowedRegions)
		}
	}
	if customers := index.CustomersNamed(r.customer.name); r.customer.name != "" && len(customers) > 0 {
		r.customer.inForce = nil
		for _, customer := range customers {
			r.customer.inForce = append(r.customer.inForce, customer.AllowedRegions)
		}
	}
}

// Restricted reports whether the rule may exclude a data centre.
func (r *Rule) Restricted() bool {
	return r.route.restricted() || r.customer.restricted()
}

// Check returns Allowed if the request may run in a data centre, otherwise the reason why not.
func (r *Rule) Check(dataCentre string) Reason {
	if !r.Restricted() {
		return Allowed
	}
	region := r.Region(dataCentre)
	switch {
	case region == "":
		return UnknownRegion
	case !r.route.allows(region):
		return OutsideRoute
	case !r.customer.allows(region):
		return OutsideCustomer
	default:
		return Allowed
	}
}

// Region returns the region of a data centre, empty if it is not known.
func (r *Rule) Region(dataCentre string) string { return r.regions[dataCentre] }

// RouteLists and CustomerLists describe the lists of the route and of the customer for logs: first the one under which the request was
// admitted, then those of a later configuration.
func (r *Rule) RouteLists() string { return r.route.describe() }

// CustomerLists is described at RouteLists.
func (r *Rule) CustomerLists() string { return r.customer.describe() }

func (t *restriction) restricted() bool {
	return len(t.admitted) > 0 || slices.ContainsFunc(t.inForce, func(list []string) bool { return len(list) > 0 })
}

// allows reports whether all lists allow a region.
func (t *restriction) allows(region string) bool {
	excludes := func(list []string) bool { return len(list) > 0 && !slices.Contains(list, region) }
	return !excludes(t.admitted) && !slices.ContainsFunc(t.inForce, excludes)
}

// maxDescribedBytes bounds a description in a log line: a list may have any length.
const maxDescribedBytes = 300

func (t *restriction) describe() string {
	text := strings.Join(t.admitted, ",")
	for _, list := range t.inForce {
		text += " / " + strings.Join(list, ",")
	}
	if len(text) > maxDescribedBytes {
		return strings.ToValidUTF8(text[:maxDescribedBytes], "") + "..."
	}
	return text
}
