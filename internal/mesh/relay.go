package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/pause"
)

// maxQueuedRefusals bounds the messages of refusals that wait to be passed on. Further ones are dropped: callers that come back then count as
// new at some entries.
const maxQueuedRefusals = 1024

// relayQueue collects what this entry passes on to the others of its data centre. It is safe for concurrent use.
type relayQueue struct {
	mu sync.Mutex
	// loads is keyed by the address of the upstream, rateShares by node ID.
	loads      map[string]queuedLoad
	rateShares map[string]message.RateShares
	refusals   []message.Refusals
}

// queuedLoad is a load and when it was received.
type queuedLoad struct {
	message.UpstreamLoad
	receivedAt time.Time
}

// addLoads queues loads. A load replaces the queued one of the same upstream unless it is older.
func (q *relayQueue) addLoads(loads []message.UpstreamLoad) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.loads == nil {
		q.loads = map[string]queuedLoad{}
	}
	now := time.Now()
	for _, l := range loads {
		if queued, ok := q.loads[l.Address]; !ok || !precedes(l, queued.UpstreamLoad) {
			q.loads[l.Address] = queuedLoad{UpstreamLoad: l, receivedAt: now}
		}
	}
}

// precedes reports whether a load is older than another one of the same upstream, as far as that is known.
func precedes(l, other message.UpstreamLoad) bool {
	if order, ok := message.CompareSeq(l.Seq, other.Seq); ok {
		return order < 0
	}
	return l.StartedAtMillis < other.StartedAtMillis
}

// addRateShares queues a report. It replaces the queued one of the same entry unless it is older.
func (q *relayQueue) addRateShares(report message.RateShares) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.rateShares == nil {
		q.rateShares = map[string]message.RateShares{}
	}
	if order, ok := message.CompareSeq(report.Seq, q.rateShares[report.NodeID].Seq); !ok || order > 0 {
		q.rateShares[report.NodeID] = report
	}
}

// addRefusals queues a message.
func (q *relayQueue) addRefusals(msg message.Refusals) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.refusals) < maxQueuedRefusals {
		q.refusals = append(q.refusals, msg)
	}
}

// take returns what is queued, with the ages that loads have now, and empties the queue.
func (q *relayQueue) take() *message.Relayed {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := &message.Relayed{Refusals: q.refusals}
	for _, l := range q.loads {
		l.AgeMillis += time.Since(l.receivedAt).Milliseconds()
		out.Loads = append(out.Loads, l.UpstreamLoad)
	}
	for _, report := range q.rateShares {
		out.RateShares = append(out.RateShares, report)
	}
	clear(q.loads)
	clear(q.rateShares)
	q.refusals = nil
	return out
}

// relayMessages passes on what this entry has received, in one message for each entry of the data centre at each report interval, until ctx
// ends. Where all entries are linked to each other it sends the sums of work less often, for entries whose link to another one is cut.
func (m *Mesh) relayMessages(ctx context.Context) {
	var last []message.UpstreamWork
	var workSentAt time.Time
	for {
		r := m.localRanking()
		pause.For(ctx, r.reportInterval())
		if ctx.Err() != nil {
			return
		}
		batch := m.relayed.take()
		var seqs map[string]uint64
		if r.isRelay() && (!r.direct || time.Since(workSentAt) >= workRepeatInterval) {
			sum := m.cfg.PeerWork.Sum(func(string) bool { return true })
			totals := plusWork(sum.Work, m.cfg.OwnWork())
			if now := time.Now(); !slices.Equal(totals, last) || now.Sub(workSentAt) >= workRepeatInterval {
				last, workSentAt, seqs = totals, now, sum.Seqs
				batch.Work = &message.WorkTotals{Work: totals, Reports: len(sum.Seqs) + 1}
			}
		}
		for _, p := range m.peers(m.isLocalEntry) {
			if msg := batchFor(p.hello.NodeID, batch, seqs); msg != nil {
				m.broadcast(msg, only(p))
			}
		}
	}
}

// batchFor returns the part of a batch that an entry needs, nil if there is none. It leaves out the messages of the entry itself. seqs are the
// sequence numbers of the reports in the sum of work.
func batchFor(nodeID string, batch *message.Relayed, seqs map[string]uint64) *message.Relayed {
	out := &message.Relayed{Loads: batch.Loads}
	for _, msg := range batch.Refusals {
		if msg.NodeID != nodeID {
			out.Refusals = append(out.Refusals, msg)
		}
	}
	for _, report := range batch.RateShares {
		if report.NodeID != nodeID {
			out.RateShares = append(out.RateShares, report)
		}
	}
	if batch.Work != nil {
		work := *batch.Work
		work.ReceiverSeq = seqs[nodeID]
		out.Work = &work
	}
	if out.Work == nil && len(out.Loads) == 0 && len(out.Refusals) == 0 && len(out.RateShares) == 0 {
		return nil
	}
	return out
}

// handleRelayed merges what a relay has passed on.
func (m *Mesh) handleRelayed(p *peer, msg *message.Relayed) {
	m.cfg.Loads.Apply(msg.Loads)
	for _, report := range msg.RateShares {
		if m.cfg.RateLimits != nil {
			m.cfg.RateLimits.Merge(&report)
		}
	}
	for _, refusals := range msg.Refusals {
		m.mergeRefusals(&refusals)
	}
	if msg.Work == nil || m.cfg.PeerWork == nil {
		return
	}
	var own *message.EntryWork
	if msg.Work.ReceiverSeq != 0 {
		var kept bool
		if own, kept = m.sentWork.at(msg.Work.ReceiverSeq); !kept {
			return // Its own work cannot be subtracted; the next message contains a newer report.
		}
	}
	m.cfg.PeerWork.ApplyTotals(p.hello.NodeID, msg.Work, own)
}
