package testbed

import (
	"golang.org/x/time/rate"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
)

// locatedProxy is a proxy with the location of its target.
type locatedProxy struct {
	*faultproxy.Proxy
	target location
}

// ProxyName returns the name of the proxy between a node and a fake, for example ("agent-1", StoreName) or ("agent-1",
// "engine-1").
func ProxyName(node, target string) string { return node + ">" + target }

// LinkProxyName returns the name of the proxy in front of a node's link listener. All nodes that dial the node connect through
// this proxy, which distinguishes them by node ID.
func LinkProxyName(node string) string { return ">" + node }

// FromNode returns a function that reports whether a connection comes from the node with an ID.
func FromNode(id string) func(faultproxy.Source) bool {
	return func(s faultproxy.Source) bool { return s.Node == id }
}

// Proxy returns the proxy with a name, or nil if there is none.
func (c *Cluster) Proxy(name string) *faultproxy.Proxy {
	if p, ok := c.proxies[name]; ok {
		return p.Proxy
	}
	return nil
}

// addProxy registers a proxy whose target is at loc and sets the delays and bandwidth limits of connections from other locations.
func (c *Cluster) addProxy(name string, proxy *faultproxy.Proxy, loc location) {
	c.proxies[name] = locatedProxy{proxy, loc}
	if d := c.fleet.DataCentreDelay; d > 0 {
		proxy.Set("data centre delay", func(s faultproxy.Source) bool {
			return s.DataCentre != loc.dataCentre && s.Region == loc.region
		}, faultproxy.Fault{Delay: d})
	}
	if d := c.fleet.RegionDelay; d > 0 {
		proxy.Set("region delay", func(s faultproxy.Source) bool { return s.Region != loc.region }, faultproxy.Fault{Delay: d})
	}
	if c.fleet.RegionBytesPerSecond <= 0 {
		return
	}
	for _, dc := range c.fleet.DataCentres {
		if dc.Region == loc.region {
			continue
		}
		fault := faultproxy.Fault{Up: c.regionLimiter(dc.Region, loc.region), Down: c.regionLimiter(loc.region, dc.Region)}
		proxy.Set("region link "+dc.Region, func(s faultproxy.Source) bool { return s.Region == dc.Region }, fault)
	}
}

// regionLimiter returns the bandwidth limiter that all connections share for traffic from one region to another.
func (c *Cluster) regionLimiter(from, to string) *rate.Limiter {
	key := from + ">" + to
	if c.regionLimiters[key] == nil {
		c.regionLimiters[key] = faultproxy.Bandwidth(c.fleet.RegionBytesPerSecond)
	}
	return c.regionLimiters[key]
}

// PartitionDataCentre separates a data centre from all others, and from the platform services unless they are in it. Existing and
// new connections across the boundary transfer no data until HealDataCentre is called. It requires Fleet.Proxies.
func (c *Cluster) PartitionDataCentre(dataCentre string) {
	for _, proxy := range c.proxies {
		inside := proxy.target.dataCentre == dataCentre
		proxy.Set("partition "+dataCentre, func(s faultproxy.Source) bool {
			return (s.DataCentre == dataCentre) != inside
		}, faultproxy.Fault{Hold: true})
	}
}

// HealDataCentre ends the partition that PartitionDataCentre started.
func (c *Cluster) HealDataCentre(dataCentre string) {
	for _, proxy := range c.proxies {
		proxy.Clear("partition " + dataCentre)
	}
}
