package testbed

import (
	"golang.org/x/time/rate"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
)

// placedProxy is a proxy with the place of its target.
type placedProxy struct {
	*faultproxy.Proxy
	place place
}

// ProxyName names the proxy between a node and a stand-in, for example ("agent-1", StoreName) or ("agent-1", "engine-1").
func ProxyName(node, target string) string { return node + ">" + target }

// LinkProxyName names the proxy in front of a node's link listener. Its sources are told apart by their node ID.
func LinkProxyName(node string) string { return ">" + node }

// FromNode matches the connections of one node.
func FromNode(id string) func(faultproxy.Source) bool {
	return func(s faultproxy.Source) bool { return s.Node == id }
}

// Proxy returns a proxy by name, or nil.
func (b *Bed) Proxy(name string) *faultproxy.Proxy {
	if p, ok := b.proxies[name]; ok {
		return p.Proxy
	}
	return nil
}

// addProxy registers a proxy and gives it the delays and limits of the fleet's distances.
func (b *Bed) addProxy(name string, proxy *faultproxy.Proxy, where place) {
	b.proxies[name] = placedProxy{proxy, where}
	if d := b.fleet.DataCentreDelay; d > 0 {
		proxy.Set("data centre delay", func(s faultproxy.Source) bool {
			return s.DataCentre != where.dataCentre && s.Region == where.region
		}, faultproxy.Fault{Delay: d})
	}
	if d := b.fleet.RegionDelay; d > 0 {
		proxy.Set("region delay", func(s faultproxy.Source) bool { return s.Region != where.region }, faultproxy.Fault{Delay: d})
	}
	if b.fleet.RegionBytesPerSecond <= 0 {
		return
	}
	for _, dc := range b.fleet.DataCentres {
		if dc.Region == where.region {
			continue
		}
		fault := faultproxy.Fault{Up: b.regionLimiter(dc.Region, where.region), Down: b.regionLimiter(where.region, dc.Region)}
		proxy.Set("region link "+dc.Region, func(s faultproxy.Source) bool { return s.Region == dc.Region }, fault)
	}
}

// regionLimiter returns the limiter that all traffic from one region to another shares.
func (b *Bed) regionLimiter(from, to string) *rate.Limiter {
	key := from + ">" + to
	if b.regionLinks[key] == nil {
		b.regionLinks[key] = faultproxy.Bandwidth(b.fleet.RegionBytesPerSecond)
	}
	return b.regionLinks[key]
}

// PartitionDataCentre partitions a data centre from all others and, unless they are in it, from the platform's services: connections
// across the boundary, existing and new, carry nothing until HealDataCentre. Needs Fleet.Proxies.
func (b *Bed) PartitionDataCentre(dataCentre string) {
	for _, proxy := range b.proxies {
		inside := proxy.place.dataCentre == dataCentre
		proxy.Set("cut "+dataCentre, func(s faultproxy.Source) bool {
			return (s.DataCentre == dataCentre) != inside
		}, faultproxy.Fault{Hold: true})
	}
}

// HealDataCentre ends CutDataCentre.
func (b *Bed) HealDataCentre(dataCentre string) {
	for _, proxy := range b.proxies {
		proxy.Clear("cut " + dataCentre)
	}
}
