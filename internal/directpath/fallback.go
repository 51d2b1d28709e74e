package directpath

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/fleet"
	"github.com/pimentohead/pimentohead/internal/loader"
	"github.com/pimentohead/pimentohead/internal/relay"
	"github.com/pimentohead/pimentohead/internal/turns"
)

const (
	// stalledAfter is the time without a new chunk after which a version counts as unavailable for now.
	stalledAfter = 800 * time.Millisecond
	// fallbackShare is the fraction of the previous version's chunks that must be cached for it to be loaded instead.
	fallbackShare = 0.5
	// minFallbackUse is the shortest time of use for which the previous version is loaded, and the time before its end in which entries
	// send nothing to it any more. A load costs the upstream loader.LoadDuration, and another one follows when the newest version is
	// available.
	minFallbackUse = 500*time.Millisecond + relay.MinVersionLead
)

// rollout describes how far an agent has got with the newest version of a model and with the one named before it. The agent uses it
// to choose which of the two to load first.
type rollout struct {
	newest fleet.VersionRecord
	// newestShare and previousShare are the fractions of the versions' chunks that are cached.
	newestShare, previousShare float64
	// lastChunkAt is when a chunk of the newest version was last cached.
	lastChunkAt time.Time
	// fallingBack is set if the agent last began to stage the previous version because the newest one was unavailable.
	fallingBack bool
	// loaded is set if the upstream has loaded layers of either version.
	loaded bool
	// previousTurn is the time before which the upstream must not load the previous version, zero if it need not wait.
	previousTurn time.Time
	// previousUsableUntil is the time from which no request may begin on the previous version.
	previousUsableUntil time.Time
}

// shouldFallBack reports whether the previous version should be loaded first: the newest one is unavailable for now, for example
// while the origin is unreachable, the upstream has loaded neither of the two, so that it would soon have no version that may be
// used, and the previous one can be loaded early enough to be of use.
//
// An agent that has begun to fall back continues until the newest version is cached completely, even if its chunks arrive again. The
// chunks of one version replace those of the other beside the upstream, so that alternating would complete neither.
func (r rollout) shouldFallBack(now time.Time) bool {
	if r.newestShare >= 1 || r.loaded || !r.previousServesInTime(now) {
		return false
	}
	if r.fallingBack {
		return true
	}
	stalled := now.Sub(r.newest.NamedAt) >= stalledAfter && now.Sub(r.lastChunkAt) >= stalledAfter
	return stalled && r.previousShare >= fallbackShare
}

// previousServesInTime reports whether the upstream, if it loads the previous version next, can use it for minFallbackUse.
func (r rollout) previousServesInTime(now time.Time) bool {
	start := now.Add(time.Duration((1 - r.previousShare) * float64(turns.StagingTime)))
	if start.Before(r.previousTurn) {
		start = r.previousTurn
	}
	return !start.Add(loader.LoadDuration + minFallbackUse).After(r.previousUsableUntil)
}

// rollout returns the state of the agent's rollout of the newest version of a model.
func (a *Agent) rollout(model string, newest, previous fleet.VersionRecord) rollout {
	r := rollout{newest: newest, previousUsableUntil: a.endOfUse(newest),
		loaded: a.loader.ServesVersion(model, previous.Version) || a.loader.ServesVersion(model, newest.Version)}
	last := a.loader.LastTarget()
	r.fallingBack = last.Model == model && last.Version == previous.Version && last.NextVersion == newest.Version
	r.newestShare, r.lastChunkAt = a.cache.Progress(model, newest.Version)
	r.previousShare, _ = a.cache.Progress(model, previous.Version)
	if a.loader.ServesAnyVersion(model) {
		r.previousTurn = a.turn(previous.Version).At(previous.NamedAt, time.Now())
	}
	return r
}

// endOfUse returns the time from which entries begin no request on versions older than newest.
func (a *Agent) endOfUse(newest fleet.VersionRecord) time.Time {
	return newest.NamedAt.Add(a.VersionApply - relay.VersionMargin)
}
