package ratelimit

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

// peerReport is the newest report of another entry.
type peerReport struct {
	// seq is its number, 0 if it has none.
	seq        uint64
	receivedAt time.Time
	// demand is indexed by service, sent by the ID of the upstream.
	demand map[string]float64
	sent   map[string]int
}

// Export returns the report of this entry to the others, or nil while no limit is known.
func (l *Limiter) Export() *message.RateShares {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.exportLimits()
	if len(limits) == 0 {
		return nil
	}
	now := l.cfg.Now()
	if l.exported == 0 {
		l.exported = rand.Uint64() >> 1 // Other entries may still know reports of an earlier process of this entry.
	}
	l.exported++
	out := &message.RateShares{NodeID: l.cfg.Self, Seq: l.exported, Limits: limits}
	services := map[string]bool{}
	for _, r := range limits {
		current := l.limits[r.Upstream]
		l.refill(current, now)
		if n := len(current.sent); n > 0 {
			out.Sent = append(out.Sent, message.SentRequests{Upstream: r.Upstream, Count: n})
		}
		services[r.Service] = true
	}
	for service := range services {
		out.Demand = append(out.Demand, message.ServiceDemand{Service: service, PerSecond: l.ownDemand(service)})
	}
	slices.SortFunc(out.Demand, func(a, b message.ServiceDemand) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// Merge merges the report of another entry.
func (l *Limiter) Merge(m *message.RateShares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	for _, r := range m.Limits {
		l.merge(r, now.Add(-time.Duration(max(r.AgeMillis, 0))*time.Millisecond))
	}
	if m.NodeID == "" || m.NodeID == l.cfg.Self {
		return
	}
	if order, ok := message.CompareSeq(m.Seq, l.peers[m.NodeID].seq); ok && order <= 0 {
		return // It came over a slower path.
	}
	report := peerReport{seq: m.Seq, receivedAt: now, demand: map[string]float64{}, sent: map[string]int{}}
	for _, d := range m.Demand {
		if d.PerSecond >= 0 && !math.IsInf(d.PerSecond, 0) {
			report.demand[d.Service] = d.PerSecond
		}
	}
	for _, s := range m.Sent {
		report.sent[s.Upstream] = max(s.Count, 0)
	}
	l.peers[m.NodeID] = report
	l.dropDeparted(now)
}

// departedRetention is how long the report of an entry that is no member any more is kept.
const departedRetention = time.Minute

// dropDeparted drops the reports of entries that have left the fleet. The caller holds mu.
func (l *Limiter) dropDeparted(now time.Time) {
	members := l.cfg.Members()
	for id, report := range l.peers {
		if now.Sub(report.receivedAt) > departedRetention && !slices.Contains(members, id) {
			delete(l.peers, id)
		}
	}
}

// sentByOthers returns the requests that other entries have sent to an upstream within the window, as far as they have reported. The
// caller holds mu.
func (l *Limiter) sentByOthers(upstream string, now time.Time) (n int) {
	for _, report := range l.peers {
		if now.Sub(report.receivedAt) < window {
			n += report.sent[upstream]
		}
	}
	return n
}

// meterTime is the time over which a rateMeter averages.
const meterTime = 2 * time.Second

// rateMeter measures a rate as an exponential moving average over meterTime.
type rateMeter struct {
	perSecond float64
	at        time.Time
}

// record counts one event.
func (m *rateMeter) record(now time.Time) {
	m.perSecond = m.rate(now) + 1/meterTime.Seconds()
	m.at = now
}

// rate returns the rate in events a second.
func (m *rateMeter) rate(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.perSecond * math.Exp(-float64(now.Sub(m.at))/float64(meterTime))
}
