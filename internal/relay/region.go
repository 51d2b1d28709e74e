package relay

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/residency"
)

// noAllowedRegion is the reason for which a request is refused if no upstream of its service is in a region that it may use.
const noAllowedRegion placement.Reason = "no-allowed-region"

// errRegionNotAllowed is the cause of an attempt that was not sent because the request may not run in the region of the upstream any more.
var errRegionNotAllowed = errors.New("relay: region of the upstream is not allowed")

// Stages at which a restricted request is kept from upstreams, a label of the metric.
const (
	stagePlacement = "placement"
	stageSend      = "send"
)

// checkRegion returns the reason for which the request may not run on an upstream, residency.Allowed if it may. Another process may
// have taken the address of the upstream, so the data centre listed for the address has to be allowed too.
func (x *exchange) checkRegion(u *catalog.Upstream, snapshot *fleet.Snapshot) residency.Reason {
	x.regions.Update(snapshot.Index)
	if !x.regions.Restricted() {
		return residency.Allowed
	}
	if reason := x.regions.Check(u.DataCentre); reason != residency.Allowed {
		return reason
	}
	if listed := snapshot.ByAddress(u.Address); listed != nil && listed.DataCentre != u.DataCentre {
		return x.regions.Check(listed.DataCentre)
	}
	return residency.Allowed
}

// mayBeSentTo repeats checkRegion right before the request is sent, with the configuration in force, and logs and counts an
// upstream that is not allowed any more.
func (a *upstreamAttempt) mayBeSentTo() bool {
	x := a.x
	snapshot := x.relay.cfg.State.Snapshot()
	reason := x.checkRegion(a.upstream, snapshot)
	if reason == residency.Allowed {
		return true
	}
	x.relay.cfg.Log.Info("attempt not sent, region not allowed any more", append([]any{"request", x.meta.ID, "upstream", a.upstream.ID,
		"data_centre", a.upstream.DataCentre, "because", string(reason), "config", snapshot.ConfigVersion()}, x.regionValues(a.upstream)...)...)
	x.relay.cfg.Metrics.RecordRegionExclusion(stageSend, string(reason))
	return false
}

// regionValues returns the rule of a restricted request as log keys and values, and the region of an upstream unless that is nil.
func (x *exchange) regionValues(u *catalog.Upstream) []any {
	if !x.regions.Restricted() {
		return nil
	}
	values := []any{"route_regions", x.regions.RouteLists(), "customer_regions", x.regions.CustomerLists()}
	if u != nil {
		values = append(values, "region", x.regions.Region(u.DataCentre))
	}
	return values
}

// logRestrictions logs the restrictions of a configuration that is put in force.
func (r *Relay) logRestrictions(c *catalog.Config) {
	s := residency.Summarise(c, r.cfg.Regions)
	if s.Routes+s.Customers == 0 {
		return
	}
	r.cfg.Log.Info("configuration restricts regions", "version", c.Version, "routes", s.Routes, "customers", s.Customers,
		"unmatched", strings.Join(s.Unmatched, ","))
}

// RecordRegionExclusion counts a restricted request that was refused (stage "placement"), or not sent to the upstream selected for it (stage
// "send"), because of the regions that it may use. reason is that of package residency.
func (m *Metrics) RecordRegionExclusion(stage, reason string) {
	if m == nil || m.regionExclusions == nil {
		return
	}
	m.regionExclusions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("stage", stage), attribute.String("reason", reason)))
}
