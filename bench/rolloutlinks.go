package main

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/testbed"
)

// Sizes of the scenario. In a window an instance's link carries 2 copies of the version each way and the origin's link 4. The link
// between the regions has 24 Mbit/s, which is "a few dozen" and carries 3 copies in a window.
const (
	rolloutWindow       = 8 * time.Second
	rolloutChunks       = 256
	rolloutChunkBytes   = 32 << 10
	versionBytes        = rolloutChunks * rolloutChunkBytes
	instanceCopies      = 2
	originCopies        = 4
	instanceBytesPerSec = int64(instanceCopies * versionBytes / (rolloutWindow / time.Second))
	originBytesPerSec   = int64(originCopies * versionBytes / (rolloutWindow / time.Second))
	regionBytesPerSec   = 24_000_000 / 8
	dataCentreDelay     = time.Millisecond
	regionDelay         = 3 * time.Millisecond
	// transferPercent is the part of an instance's link that weight traffic may use; the rest is for live requests.
	transferPercent = 95
	// rolloutHops are the hops of a chunk: origin, region's reader, data centre's reader, another agent.
	rolloutHops = 3
)

func rolloutVersion(seed uint64) fake.VersionSpec {
	return fake.VersionSpec{Model: testbed.ModelName, Seed: seed, Chunks: rolloutChunks, ChunkBytes: rolloutChunkBytes}
}

// lowerBound returns the time below which no transfer to n agents can be: one copy over an instance's link plus one chunk for each
// further hop, or n-1 copies over the sum of the upload capacity, whichever is longer.
func lowerBound(n int) time.Duration {
	seconds := func(bytes, perSecond float64) time.Duration {
		return time.Duration(bytes / perSecond * float64(time.Second))
	}
	copyAndHops := seconds(versionBytes+(rolloutHops-1)*rolloutChunkBytes, float64(instanceBytesPerSec))
	upload := seconds(float64(n-1)*versionBytes, float64(n)*float64(instanceBytesPerSec)+float64(originBytesPerSec))
	return max(copyAndHops, upload)
}

// limitLinks gives each agent one link of limited rate in each direction, which its chunks and its live requests share.
func limitLinks(bed *testbed.Bed) {
	for _, agent := range bed.Nodes(message.RoleAgent) {
		in, out := faultproxy.Bandwidth(instanceBytesPerSec), faultproxy.Bandwidth(instanceBytesPerSec)
		from := testbed.FromNode(agent.ID)
		dialled := []string{testbed.ProxyName(agent.ID, testbed.OriginName), testbed.ProxyName(agent.ID, testbed.WeightStoreName)}
		for _, node := range append(bed.Nodes(message.RoleEntry), bed.Nodes(message.RoleAgent)...) {
			dialled = append(dialled, testbed.LinkProxyName(node.ID))
		}
		for _, name := range dialled {
			if name != testbed.LinkProxyName(agent.ID) {
				bed.Proxy(name).Set("link of "+agent.ID, from, faultproxy.Fault{Up: out, Down: in})
			}
		}
		bed.Proxy(testbed.LinkProxyName(agent.ID)).Set("own link", faultproxy.Any, faultproxy.Fault{Up: in, Down: out})
	}
}

// traffic counts bytes of weights.
type traffic struct {
	// origin is by region of the reader, regions counts what crossed between regions.
	origin  map[string]int64
	regions int64
}

// weightTraffic reads the counters of the proxies. Headers and heartbeats are included, which are under 1% of the chunks.
func weightTraffic(bed *testbed.Bed) traffic {
	t := traffic{origin: make(map[string]int64)}
	agents := bed.Nodes(message.RoleAgent)
	home := agents[0].Region
	for _, agent := range agents {
		t.origin[agent.Region] += bed.Proxy(testbed.ProxyName(agent.ID, testbed.OriginName)).RelayedBytes(faultproxy.Any)
		if agent.Region != home {
			for _, platform := range []string{testbed.OriginName, testbed.WeightStoreName} {
				t.regions += bed.Proxy(testbed.ProxyName(agent.ID, platform)).RelayedBytes(faultproxy.Any)
			}
		}
		t.regions += bed.Proxy(testbed.LinkProxyName(agent.ID)).RelayedBytes(func(s faultproxy.Source) bool { return s.Region != agent.Region })
	}
	return t
}
