package relay

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/loadview"
	"github.com/pimentohead/pimentohead/internal/placement"
	"github.com/pimentohead/pimentohead/internal/residency"
)

// candidates returns the upstreams that can take the request, and what is known of the others.
func (x *exchange) candidates(now time.Time) (list []placement.Candidate, out leftOut) {
	return x.candidatesAmong(x.snapshot.Upstreams(x.service), now)
}

// candidatesAmong is candidates for some upstreams of the service. It takes no permits, see Relay.Explain. An
// upstream that its load shows as down is presumed cold.
func (x *exchange) candidatesAmong(upstreams []*catalog.Upstream, now time.Time) (list []placement.Candidate, out leftOut) {
	for _, u := range upstreams {
		status := x.relay.availability.Status(processOf(u))
		if reason := x.checkRegion(u, x.snapshot); reason != residency.Allowed {
			out.excluded, out.exclusion = out.excluded+1, reason
			continue
		}
		out.allowed++
		switch {
		case u.State != catalog.Ready || status.Leaving:
			continue
		case x.snapshot.Evacuated(u.DataCentre):
			out.evacuated++
			continue
		case status.Wait > 0:
			out.addWait(upstreamsPause, status.Wait)
			continue
		case x.tried[u.ID]:
			out.tried++
			continue
		}
		c, ok := x.candidate(u, now)
		if !ok {
			out.unqualified++
			continue
		}
		if available, wait := x.relay.cfg.RateLimits.Available(limitedUpstream(u)); !available {
			out.addWait(rateLimitReached, wait)
			continue
		}
		if ok, wait := x.mayUseCold(u); !ok {
			out.addWait(coldUpstream, wait)
			out.cold++
			continue
		}
		list = append(list, c)
	}
	list = x.preferWarm(list, &out)
	return list, out
}

// candidate describes an upstream to package placement. It returns false if the upstream cannot take the request.
func (x *exchange) candidate(u *catalog.Upstream, now time.Time) (placement.Candidate, bool) {
	c := placement.Candidate{Upstream: u, Local: u.DataCentre == x.relay.cfg.DataCentre,
		Suspect: x.relay.cfg.Tracker.IsSuspect(u.ID)}
	if x.relay.cfg.Tracker.IsReplaced(u.ID, u.Sequence) {
		return c, false
	}
	load, age, known := x.relay.cfg.Loads.Get(u.Address)
	if known && age < maxSwapAge && u.StartedAtMillis != 0 && load.StartedAtMillis > u.StartedAtMillis {
		return c, false // The upstream has restarted; its entry in the listing is outdated.
	}
	known = known && isCurrentLoad(load, age, u)
	if known {
		c.Work = placement.Work{HasReport: true, Running: load.Active, Waiting: load.Queued, ReportAge: age, Slowdown: load.Slowdown}
		c.Suspect = x.seemsDown(u, load, c.Local, age) || c.Suspect
	}
	reported := now.Add(-age)
	if !known {
		reported = time.Time{}
	}
	reported = x.addObservation(&c.Work, u, now, reported)
	x.relay.cfg.Tracker.AddOwnWork(&c.Work, u.ID, x.rank, reported)
	peers := x.relay.cfg.PeerWork.Total(u.ID)
	if !c.Local {
		c.Work.Remote = true
		if reportedWork, peerAge, ok := x.relay.cfg.Loads.DataCentreWork(u.Address); ok {
			peers = reportedWork
			c.Work.ReportAge = max(c.Work.ReportAge, peerAge)
		}
	}
	c.Work.OthersRunning, c.Work.OthersWaiting, c.Work.OthersTokens = peers.Running, peers.Waiting, float64(peers.WaitingTokens)
	if x.engine == nil {
		return c, true
	}
	models := u.Models
	if known {
		models = load.Models
		if load.Swapping && age < maxSwapAge {
			return c, false
		}
	}
	delay := max(placement.PredictFirstEvent(x.engine, c.Work, float64(x.meta.PromptTokens)), x.startDelay(u))
	latestStart := now.Add(max(startDelayFactor*delay, MinVersionLead))
	required := x.snapshot.MinVersion(x.meta.Model, latestStart, x.relay.cfg.VersionApplyWindow-VersionMargin)
	return c, hasCompleteVersion(models, x.meta.Model, x.engine.Layers, required)
}

// isCurrentLoad reports whether a load of the given age describes an upstream now: it is recent and not of an earlier process.
func isCurrentLoad(load loadview.Load, age time.Duration, u *catalog.Upstream) bool {
	sameProcess := load.StartedAtMillis == 0 || u.StartedAtMillis == 0 || load.StartedAtMillis == u.StartedAtMillis
	return sameProcess && age < maxLoadAge
}

// unresponsive reports whether neither a report from the agent of an upstream nor an event or answer from the upstream itself has
// arrived for too long, as happens when its instance stalls or is partitioned. An upstream that has lost only its agent keeps
// serving.
func (x *exchange) unresponsive(u *catalog.Upstream, local bool, loadAge time.Duration) bool {
	limit := unresponsiveAfter
	if !local {
		limit = remoteUnresponsiveAfter
	}
	return loadAge > limit && x.relay.cfg.Tracker.TimeSinceActivity(u.ID) > limit
}

const (
	// unresponsiveAfter is longer than an agent's report interval, remoteUnresponsiveAfter longer than that interval plus the
	// time for other entries to pass a report on.
	unresponsiveAfter       = 750 * time.Millisecond
	remoteUnresponsiveAfter = 1500 * time.Millisecond
	// maxLoadAge is the age up to which a load report is used.
	maxLoadAge = 3 * time.Second
	// maxSwapAge is the age up to which a load report is trusted about a restart or about weights being loaded.
	maxSwapAge = time.Second
)
