// Package ratelimit keeps the requests of all entries together within the rate that an upstream names in its responses.
//
// No node divides a limit. Every entry takes the share that its own demand has in the demand of all entries, which they tell each other
// while a limit is in force. An entry that loses its links keeps the last known demand of the others, and so stays within its share. The
// package needs no network: messages go in and out as values.
package ratelimit

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// window is the time over which the requests of all entries to one upstream are counted.
	window = 4 * time.Second
	// liftMargin is how much later than the newest response with a limit one without a limit has to arrive to lift it: responses overtake
	// each other, and other entries report the age of theirs with the latency of a link.
	liftMargin = 250 * time.Millisecond
	// limitRetention is how long a limit holds without a response from its upstream, liftedRetention how long other entries are told
	// that it was lifted.
	limitRetention  = time.Minute
	liftedRetention = 5 * time.Second
	// maxBurstTime bounds the requests that an entry may send at once to those of this time, but at least one.
	maxBurstTime = 500 * time.Millisecond
	// maxIdleEntries, plus the requests of maxIdleTime at the full rate, is the number of entries that may each keep an unused token: a burst
	// of callers reaches all entries at the same time. Where there are more entries, a token that is not used for idleTokenTime expires.
	maxIdleEntries = 3
	maxIdleTime    = 2 * time.Second
	idleTokenTime  = time.Second
	// maxLimits bounds the upstreams whose limits are kept.
	maxLimits = 4096
)

// Upstream identifies a process of an upstream and names its service.
type Upstream struct {
	ID              string
	StartedAtMillis int64
	Service         string
}

// limit is what an upstream has named, and this entry's use of it.
type limit struct {
	startedAtMillis int64
	service         string
	// perSecond is the rate for all entries together. lifted is set if the upstream names none any more.
	perSecond float64
	lifted    bool
	// seenAt is when the response that said so arrived at the entry that received it.
	seenAt time.Time
	// tokens are the requests that this entry may send, as of refilledAt. idleSince is when the newest request went out or, later, the
	// first one could have.
	tokens     float64
	refilledAt time.Time
	idleSince  time.Time
	// sent are the times of its requests within the window, oldest first.
	sent []time.Time
}

// Config holds the dependencies of a Limiter.
type Config struct {
	// Self is the ID of this entry. Members returns the IDs of the other entries of the fleet, whether or not they are linked.
	Self    string
	Members func() []string
	// Now is the clock, Random returns a random number from 0 to 1. nil selects time.Now and rand.Float64.
	Now    func() time.Time
	Random func() float64
}

// Limiter decides whether this entry may send a request to an upstream. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	// mu guards the fields below.
	mu     sync.Mutex
	limits map[string]*limit
	demand map[string]*rateMeter
	peers  map[string]peerReport
	// exported is the number of the last report to other entries, 0 before the first one.
	exported  uint64
	observers []func(message.RateLimit)
}

// New returns a limiter without limits.
func New(cfg Config) *Limiter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Limiter{cfg: cfg, limits: map[string]*limit{}, demand: map[string]*rateMeter{}, peers: map[string]peerReport{}}
}

// Observe registers a function that is called when a limit is new, changed or lifted, with the limiter locked. It must neither block nor
// call the limiter.
func (l *Limiter) Observe(observer func(message.RateLimit)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observers = append(l.observers, observer)
}

// RecordDemand records a caller's request for a service, wherever it is then sent.
func (l *Limiter) RecordDemand(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.demand[service]
	if m == nil {
		m = &rateMeter{}
		l.demand[service] = m
	}
	m.record(l.cfg.Now())
}

// RecordResponse records what a response of an upstream says: a limit, or none.
func (l *Limiter) RecordResponse(u Upstream, perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !limited && l.limits[u.ID] == nil {
		return
	}
	l.merge(message.RateLimit{Upstream: u.ID, StartedAtMillis: u.StartedAtMillis, Service: u.Service, PerSecond: perSecond,
		Lifted: !limited}, l.cfg.Now())
}

// merge merges what a response that arrived at seenAt says. The caller holds mu.
func (l *Limiter) merge(r message.RateLimit, seenAt time.Time) {
	now := l.cfg.Now()
	current := l.limits[r.Upstream]
	switch {
	case r.Upstream == "" || r.PerSecond < 0 || now.Sub(seenAt) >= limitRetention:
		return
	case current == nil || r.StartedAtMillis > current.startedAtMillis:
		if len(l.limits) >= maxLimits || current == nil && r.Lifted {
			return
		}
		// The first request goes out after a random part of the interval between two, so that entries do not all send at once.
		current = &limit{startedAtMillis: r.StartedAtMillis, service: r.Service, tokens: l.cfg.Random(), refilledAt: now, seenAt: seenAt,
			perSecond: -1}
		l.limits[r.Upstream] = current
	case r.StartedAtMillis < current.startedAtMillis || seenAt.Before(current.seenAt):
		return
	case r.Lifted && !current.lifted && seenAt.Sub(current.seenAt) < liftMargin:
		return
	}
	current.seenAt = seenAt
	if current.perSecond == r.PerSecond && current.lifted == r.Lifted {
		return
	}
	l.refill(current, now)
	current.perSecond, current.lifted = r.PerSecond, r.Lifted
	for _, observer := range l.observers {
		observer(r)
	}
}

// Available reports whether this entry may send a request to an upstream now. If not, wait is the time until it may, as far as known.
func (l *Limiter) Available(u Upstream) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.available(u)
}

// available implements Available. The caller holds mu.
func (l *Limiter) available(u Upstream) (ok bool, wait time.Duration) {
	current := l.inForce(u)
	if current == nil {
		return true, 0
	}
	now := l.cfg.Now()
	l.refill(current, now)
	if current.tokens < 1 {
		return false, secondsToDuration((1 - current.tokens) / max(l.share(current), minShare))
	}
	// Buckets that filled while there was little demand would otherwise all be emptied at once when demand rises.
	if total := len(current.sent) + l.sentByOthers(u.ID, now); float64(total+1) > current.perSecond*window.Seconds()+1 {
		return false, window / 4
	}
	return true, 0
}

// minShare is the rate that is assumed for the time until a request may be sent, in requests a second, if the share is lower.
const minShare = 0.01

// Take takes a request to an upstream from the limit, and reports false if there is none left.
func (l *Limiter) Take(u Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok, _ := l.available(u); !ok {
		return false
	}
	if current := l.inForce(u); current != nil {
		current.tokens--
		current.idleSince = l.cfg.Now()
		current.sent = append(current.sent, l.cfg.Now())
	}
	return true
}

// Return returns a request that was taken and not sent.
func (l *Limiter) Return(u Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current := l.inForce(u); current != nil && len(current.sent) > 0 {
		current.tokens++
		current.sent = current.sent[:len(current.sent)-1]
	}
}

// inForce returns the limit of an upstream's process, nil if there is none. The caller holds mu.
func (l *Limiter) inForce(u Upstream) *limit {
	current := l.limits[u.ID]
	if current == nil || current.lifted || u.StartedAtMillis > current.startedAtMillis {
		return nil
	}
	return current
}

// refill adds the tokens since the last refill and drops requests before the window. The caller holds mu.
func (l *Limiter) refill(current *limit, now time.Time) {
	if elapsed := now.Sub(current.refilledAt); elapsed > 0 && current.perSecond > 0 {
		share := l.share(current)
		if current.tokens < 1 {
			current.idleSince = now
		}
		current.tokens = min(current.tokens+elapsed.Seconds()*share, max(1, share*maxBurstTime.Seconds()))
		idle := now.Sub(current.idleSince)
		if idle > idleTokenTime && float64(len(l.cfg.Members())+1) > maxIdleEntries+current.perSecond*maxIdleTime.Seconds() {
			current.tokens, current.idleSince = l.cfg.Random(), now
		}
	}
	current.refilledAt = now
	expired := 0
	for expired < len(current.sent) && now.Sub(current.sent[expired]) >= window {
		expired++
	}
	current.sent = slices.Delete(current.sent, 0, expired)
}

// share returns this entry's part of a limit, in requests a second. Entries that have not reported count with the mean demand of those
// that have. The caller holds mu.
func (l *Limiter) share(current *limit) float64 {
	own := l.ownDemand(current.service)
	known, reported := own, 1
	others := l.cfg.Members()
	for _, id := range others {
		if report, ok := l.peers[id]; ok {
			known += report.demand[current.service]
			reported++
		}
	}
	total := known * float64(len(others)+1) / float64(reported)
	if total <= 0 {
		return current.perSecond / float64(len(others)+1)
	}
	return current.perSecond * own / total
}

// ownDemand returns the requests a second that this entry receives for a service. The caller holds mu.
func (l *Limiter) ownDemand(service string) float64 {
	if m := l.demand[service]; m != nil {
		return m.rate(l.cfg.Now())
	}
	return 0
}

// Limits returns the limits in force, sorted by upstream, for logs and metrics.
func (l *Limiter) Limits() []message.RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []message.RateLimit
	for _, r := range l.exportLimits() {
		if !r.Lifted {
			out = append(out, r)
		}
	}
	return out
}

// exportLimits returns the limits that other entries should know, sorted by upstream, and drops expired ones. The caller holds mu.
func (l *Limiter) exportLimits() []message.RateLimit {
	now := l.cfg.Now()
	var out []message.RateLimit
	for id, current := range l.limits {
		age := now.Sub(current.seenAt)
		if age >= limitRetention || current.lifted && age >= liftedRetention {
			delete(l.limits, id)
			continue
		}
		out = append(out, message.RateLimit{Upstream: id, StartedAtMillis: current.startedAtMillis, Service: current.service,
			PerSecond: current.perSecond, Lifted: current.lifted, AgeMillis: age.Milliseconds()})
	}
	slices.SortFunc(out, func(a, b message.RateLimit) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// secondsToDuration converts seconds to a duration of at most an hour.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}
