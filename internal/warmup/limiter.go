// Package warmup keeps the requests of all entries together within the rate that a cold upstream takes.
//
// An upstream is cold for some time after its start, and may turn cold again at any time. Its limit applies to any one second, so that
// reports of demand between entries would come too late. Every entry takes an equal share of the rate instead, as permits at fixed intervals
// that begin at a random moment and expire soon if they are not used. Entries exchange no messages for it. The package needs no network:
// what is known of upstreams and entries comes in as values.
package warmup

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// permitLife is how long a permit that is not used stays valid. With a longer one, a burst of callers that reaches all entries at the
	// same time would use more permits at once than a cold upstream takes.
	permitLife = 150 * time.Millisecond
	// SendTime is the time after Take within which the request has to be sent. Requests that wait for a connection for longer would reach the
	// upstream together when its link comes back. A connection opens within a few ms.
	SendTime = 50 * time.Millisecond
	// missingRetention is how long the state of an upstream that is missing from the list is kept.
	missingRetention = 2 * time.Minute
)

// Upstream identifies a process of an upstream and names its service and data centre.
type Upstream struct {
	ID                  string
	StartedAtMillis     int64
	Service, DataCentre string
}

// Settings are the settings of a service.
type Settings struct {
	// ColdStart is how long an upstream is cold after its start.
	ColdStart time.Duration
	// PerSecond is the number of requests a second that a cold upstream takes; 0 sets no limit.
	PerSecond float64
}

// Config holds the dependencies and settings of a Limiter.
type Config struct {
	// Settings returns the settings of a service.
	Settings func(service string) Settings
	// Entries returns the number of entries of the fleet, linked or not, including this one. known is false until this entry has got a list
	// of them. It is not called while the limiter is locked.
	Entries func() (count int, known bool)
	// EvacuationEndedAt returns when this entry learned of the end of the last evacuation of a data centre, zero if there was none. nil stands
	// for no evacuations.
	EvacuationEndedAt func(dataCentre string) time.Time
	// In any one second, all entries together may send Overrun times Settings.PerSecond, plus Slack requests.
	Overrun, Slack float64
	// Observe is called when an upstream turns cold or warm, with the limiter locked. It must neither block nor call the limiter. nil selects
	// none.
	Observe func(Event)
	// Now is the clock, Random returns a random number from 0 to 1. nil selects time.Now and rand.Float64.
	Now    func() time.Time
	Random func() float64
}

// Permit is the permission to send one request to a cold upstream. The zero value stands for a request to a warm one.
type Permit struct {
	// takenAt is when it was taken, openedAt when it became valid, nextAt when the next one does.
	takenAt, openedAt, nextAt time.Time
}

// Limiter decides whether this entry may send a request to an upstream that may be cold. It is safe for concurrent use.
type Limiter struct {
	cfg     Config
	entries *entryCount

	// mu guards the fields below.
	mu     sync.Mutex
	states map[string]*state
	// rates caches the usable rates.
	rates  map[rateKey]float64
	events eventBudget
}

// New returns a limiter that knows no upstreams.
func New(cfg Config) *Limiter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.EvacuationEndedAt == nil {
		cfg.EvacuationEndedAt = func(string) time.Time { return time.Time{} }
	}
	if cfg.Observe == nil {
		cfg.Observe = func(Event) {}
	}
	if !(cfg.Overrun >= 1 && cfg.Overrun <= maxOverrun) {
		cfg.Overrun = 1
	}
	if !(cfg.Slack >= 0 && cfg.Slack <= maxSlack) {
		cfg.Slack = 0
	}
	return &Limiter{cfg: cfg, entries: &entryCount{current: cfg.Entries}, states: map[string]*state{}, rates: map[rateKey]float64{}}
}

const (
	// maxOverrun and maxSlack bound the settings: above them they are taken for malformed, and the lowest limit applies.
	maxOverrun = 1000
	maxSlack   = 1e6
)

// KnowsEntries reports whether this entry knows the other entries of the fleet.
func (l *Limiter) KnowsEntries() bool {
	return l.entries.isKnown() || l.updateEntries()
}

// updateEntries updates the number of entries and reports whether they are known.
func (l *Limiter) updateEntries() (known bool) {
	_, known = l.entries.assumed(l.cfg.Now())
	return known
}

// IsCold reports whether an upstream is cold and takes a limited rate.
func (l *Limiter) IsCold(u Upstream) bool {
	settings := l.cfg.Settings(u.Service)
	if settings.PerSecond <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCold(l.stateOf(u), settings)
}

// isCold reports whether an upstream is cold, and reports a change. The caller holds mu.
func (l *Limiter) isCold(s *state, settings Settings) bool {
	now := l.cfg.Now()
	until, cause := s.coldUntil(settings, l.cfg.EvacuationEndedAt(s.upstream.DataCentre))
	cold := now.Before(until)
	if cold != s.reportedCold {
		s.reportedCold = cold
		l.report(Event{Upstream: s.upstream, Cold: cold, Cause: cause, Left: max(until.Sub(now), 0), Settings: settings}, now)
	}
	return cold
}

// Available reports whether this entry may send a request to an upstream now. If not, wait is the time until its next permit.
func (l *Limiter) Available(u Upstream) (ok bool, wait time.Duration) {
	_, ok, wait = l.permit(u, false)
	return ok, wait
}

// Take takes a permit for a request to an upstream, and reports false if there is none. The request has to be sent within SendTime.
func (l *Limiter) Take(u Upstream) (Permit, bool) {
	p, ok, _ := l.permit(u, true)
	return p, ok
}

// permit returns the permit that is valid now, and takes it if take is set.
func (l *Limiter) permit(u Upstream, take bool) (p Permit, ok bool, wait time.Duration) {
	settings := l.cfg.Settings(u.Service)
	if !l.IsCold(u) {
		return Permit{}, true, 0
	}
	now := l.cfg.Now()
	entries, _ := l.entries.assumed(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	s, interval := l.stateOf(u), l.interval(settings, entries)
	s.expire(now, interval, l.cfg.Random)
	if wait := s.nextAt.Sub(now); wait > 0 {
		return Permit{}, false, wait
	}
	p = Permit{takenAt: now, openedAt: s.nextAt, nextAt: s.nextAt.Add(interval)}
	if take {
		s.nextAt = p.nextAt
	}
	return p, true, 0
}

// Return returns a permit whose request was not sent. It is valid again until it expires, unless a later one was taken meanwhile.
func (l *Limiter) Return(u Upstream, p Permit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[u.ID]; s != nil && !p.takenAt.IsZero() && s.nextAt.Equal(p.nextAt) {
		s.nextAt = p.openedAt
	}
}

// MaySend reports whether a request that took p may be sent now. It may if the upstream is warm, or if p was taken within SendTime.
func (l *Limiter) MaySend(u Upstream, p Permit) bool {
	return !p.takenAt.IsZero() && l.cfg.Now().Sub(p.takenAt) <= SendTime || !l.IsCold(u)
}

// Cold returns the number of cold upstreams for each service that limits their rate.
func (l *Limiter) Cold() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int{}
	for _, s := range l.states {
		settings := l.cfg.Settings(s.upstream.Service)
		if settings.PerSecond <= 0 || !s.missingAt.IsZero() {
			continue
		}
		count := out[s.upstream.Service]
		if l.isCold(s, settings) {
			count++
		}
		out[s.upstream.Service] = count
	}
	return out
}

// Sweep drops what is known of upstreams that are gone, and reports upstreams that have turned warm. It is to be called about once a second.
func (l *Limiter) Sweep() {
	now := l.cfg.Now()
	l.updateEntries()
	l.Cold()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.states {
		// A late attempt may begin the state of an upstream again that is gone; no removal follows for that one.
		unlisted := !s.hasRecord && now.Sub(s.seenAt) > missingRetention
		if unlisted || !s.missingAt.IsZero() && now.Sub(s.missingAt) > missingRetention {
			delete(l.states, id)
		}
	}
}
