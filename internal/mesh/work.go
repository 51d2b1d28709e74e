package mesh

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
)

const (
	// directReportInterval is the time between checks of the work in progress while all entries of a data centre are linked; changed work
	// is sent at each.
	directReportInterval = 40 * time.Millisecond
	// With relays, a report takes two intervals, and entries that do not know each other's newest requests choose the same upstreams. The
	// interval is therefore minReportInterval up to 20 entries, and grows by reportIntervalPerEntry for each entry up to
	// maxReportInterval, so that the messages of a node grow less than the number of entries.
	minReportInterval      = 20 * time.Millisecond
	reportIntervalPerEntry = time.Millisecond
	maxReportInterval      = 200 * time.Millisecond
	// workRepeatInterval is the time after which unchanged work is sent again.
	workRepeatInterval = 600 * time.Millisecond
	// remoteWorkInterval is the time between work messages to other data centres.
	remoteWorkInterval = 300 * time.Millisecond
)

// dataCentrePrefix starts the NodeID of work messages that contain the work of all entries of a data centre.
const dataCentrePrefix = "data-centre/"

// reportInterval returns the time between reports to the entries of a data centre.
func (r ranking) reportInterval() time.Duration {
	if r.direct {
		return directReportInterval
	}
	return min(max(time.Duration(len(r.ids))*reportIntervalPerEntry, minReportInterval), maxReportInterval)
}

// sentWorkKept is the number of reports that a workHistory keeps. Relays answer to a report within a few report intervals.
const sentWorkKept = 64

// workHistory holds the newest work reports that this entry has sent, so that it can subtract its own work from the sums of the relays.
type workHistory struct {
	mu  sync.Mutex
	seq uint64
	// reports is indexed by the sequence number modulo its length.
	reports [sentWorkKept]*message.EntryWork
}

// add numbers a report and records it. The first number is random: a relay may still know reports of an earlier process of this entry.
func (h *workHistory) add(report *message.EntryWork) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seq == 0 {
		h.seq = rand.Uint64()>>1 + 1
	}
	h.seq++
	report.Seq = h.seq
	h.reports[h.seq%sentWorkKept] = report
}

// at returns the report with a sequence number, and false if it is not kept.
func (h *workHistory) at(seq uint64) (*message.EntryWork, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	report := h.reports[seq%sentWorkKept]
	return report, report != nil && report.Seq == seq
}

// shareWork sends the requests in progress at this entry to those that have to know them, until ctx ends.
func (m *Mesh) shareWork(ctx context.Context) {
	var lastWork []message.UpstreamWork
	var sentAt time.Time
	for {
		pause.For(ctx, m.localRanking().reportInterval())
		if ctx.Err() != nil {
			return
		}
		now, work := time.Now(), m.cfg.OwnWork()
		if slices.Equal(work, lastWork) && now.Sub(sentAt) < workRepeatInterval {
			continue
		}
		lastWork, sentAt = work, now
		report := &message.EntryWork{NodeID: m.cfg.Self.NodeID, Work: work}
		m.sentWork.add(report)
		m.broadcast(report, m.reportReceivers())
	}
}

// shareRemoteWork sends other data centres what the entries of this one have in progress at upstreams there, until ctx ends. The first
// relay does so for all of them. A data centre gets one empty message when there is no work any more.
func (m *Mesh) shareRemoteWork(ctx context.Context) {
	lastSent := map[string]bool{}
	for {
		pause.For(ctx, remoteWorkInterval)
		if ctx.Err() != nil {
			return
		}
		if m.localRanking().relays[0] != m.cfg.Self.NodeID {
			clear(lastSent)
			continue
		}
		work := m.remoteWork()
		receives := m.remoteReceivers()
		for _, p := range m.peers(func(p *peer) bool { return m.isRemoteEntry(p) && receives(p) }) {
			there := work[p.hello.DataCentre]
			if len(there) == 0 && !lastSent[p.hello.DataCentre] {
				continue
			}
			lastSent[p.hello.DataCentre] = len(there) > 0
			m.broadcast(&message.EntryWork{NodeID: dataCentrePrefix + m.cfg.Self.DataCentre, Work: there}, only(p))
		}
	}
}

// remoteWork returns the work of the entries of this data centre at upstreams in other data centres, by data centre of the upstream.
func (m *Mesh) remoteWork() map[string][]message.UpstreamWork {
	snap := m.cfg.State.Snapshot()
	reported := m.cfg.PeerWork.Sum(func(nodeID string) bool { return !strings.HasPrefix(nodeID, dataCentrePrefix) })
	out := map[string][]message.UpstreamWork{}
	for _, w := range plusWork(reported.Work, m.cfg.OwnWork()) {
		if u := snap.ByID(w.ID); u != nil && u.DataCentre != m.cfg.Self.DataCentre {
			out[u.DataCentre] = append(out[u.DataCentre], w)
		}
	}
	return out
}

// plusWork returns the sum of work at each upstream, ordered by upstream.
func plusWork(sums map[string]message.UpstreamWork, list []message.UpstreamWork) []message.UpstreamWork {
	for _, w := range list {
		sum := sums[w.ID].Plus(w)
		sum.ID = w.ID
		sums[w.ID] = sum
	}
	out := make([]message.UpstreamWork, 0, len(sums))
	for _, w := range sums {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b message.UpstreamWork) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// forwardLocally forwards a report of another data centre to the entries of the own data centre, or to the relays.
func (m *Mesh) forwardLocally(p *peer, msg message.Message) {
	if m.isRemoteEntry(p) {
		go m.broadcast(msg, m.reportReceivers())
	}
}
