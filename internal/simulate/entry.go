package simulate

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// entry places requests with the production placement and admission code.
type entry struct {
	sim        *simulation
	dataCentre int
	tracker    *placement.Tracker
	limiter    *placement.PriorityLimiter
	// peerWork holds the outstanding work that the other entries of the data centre have published.
	peerWork *loadview.WorkTable
	reports  map[*engine]report
	slowness *placement.SlownessTable
}

// report is the latest load report of an engine that an entry has received.
type report struct {
	running, waiting int
	sentAt           time.Duration
	// slowdown is that of the engine at sentAt.
	slowdown float64
	// remote is set if the report comes from another data centre and has the work of the entries there in entryWork.
	remote    bool
	entryWork message.UpstreamWork
}

// candidates describes the available engines as the entry sees them: by their latest load reports, its own outstanding work and the
// work that other entries have published.
func (n *entry) candidates(rank int) []placement.Candidate {
	var out []placement.Candidate
	for _, e := range n.sim.engines {
		if n.sim.now < e.availableAt {
			continue
		}
		r, hasReport := n.reports[e]
		c := placement.Candidate{Upstream: &catalog.Upstream{ID: e.id, Slots: n.sim.scenario.Engine.Slots},
			Local: e.dataCentre == n.dataCentre,
			Work: placement.Work{HasReport: hasReport, Running: r.running, Waiting: r.waiting,
				ReportAge: n.sim.now - r.sentAt, Slowdown: r.slowdown, Remote: r.remote}}
		n.tracker.AddOwnWork(&c.Work, e.id, rank, startTime.Add(r.sentAt))
		others := n.peerWork.Total(e.id)
		if r.remote {
			others = r.entryWork
		}
		c.Work.OthersRunning, c.Work.OthersWaiting, c.Work.OthersTokens = others.Running, others.Waiting, float64(others.WaitingTokens)
		out = append(out, c)
	}
	return out
}
