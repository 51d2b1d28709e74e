package warmup

import (
	"math"
	"sync"
	"time"
)

const (
	// unknownEntries is the number of entries that is assumed while the others are not known. It is well above the 36 to 41 of known
	// deployments.
	unknownEntries = 64
	// settleTime is the time after the first list of entries in which unknownEntries is the lowest number that is assumed. When all entries
	// start together, the first lists hold only some of them; links are up within a second.
	settleTime = 3 * time.Second
	// entriesRetention is how long the largest number of entries is kept. Entries that cannot reach each other forget each other after 2 minutes.
	entriesRetention = 10 * time.Minute
	// deviations is the number of standard deviations above the mean up to which the sum of the permits of all entries in one second has to
	// stay below the limit. A sum above it has a probability of about 1 in 10,000.
	deviations = 4
	// minPart is the smallest part of the rate that is used. With a very low limit the sum may then exceed it; a part of 0 would serve nothing.
	minPart = 0.02
	// maxInterval bounds the time between two permits of an entry.
	maxInterval = time.Hour
	// maxRates bounds the cached rates.
	maxRates = 256
)

// entryCount is the number of entries among which a rate is shared.
type entryCount struct {
	// current is Config.Entries.
	current func() (count int, known bool)

	// mu guards the fields below.
	mu sync.Mutex
	// knownSince is when the first list of entries was there.
	knownSince time.Time
	// largest holds falling numbers of entries and when each was last known, oldest first.
	largest []countAt
}

type countAt struct {
	count int
	at    time.Time
}

// isKnown reports whether the entries were known at the last update. Once they are, they stay known.
func (e *entryCount) isKnown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.knownSince.IsZero()
}

// assumed updates and returns the number of entries to assume, and whether the other entries are known.
func (e *entryCount) assumed(now time.Time) (count int, known bool) {
	count, known = e.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !known && e.knownSince.IsZero() {
		return max(unknownEntries, count), false
	}
	if e.knownSince.IsZero() {
		e.knownSince = now
	}
	for len(e.largest) > 0 && e.largest[len(e.largest)-1].count <= count {
		e.largest = e.largest[:len(e.largest)-1]
	}
	e.largest = append(e.largest, countAt{count: max(count, 1), at: now})
	for now.Sub(e.largest[0].at) > entriesRetention {
		e.largest = e.largest[1:]
	}
	count = e.largest[0].count
	if now.Sub(e.knownSince) < settleTime {
		count = max(count, unknownEntries)
	}
	return count, true
}

// rateKey is what the usable rate depends on.
type rateKey struct {
	perSecond float64
	entries   int
}

// interval returns the time between two permits of this entry. The caller holds mu.
func (l *Limiter) interval(settings Settings, entries int) time.Duration {
	key := rateKey{settings.PerSecond, entries}
	rate, ok := l.rates[key]
	if !ok {
		if len(l.rates) >= maxRates {
			clear(l.rates)
		}
		rate = usableRate(settings.PerSecond, settings.PerSecond*l.cfg.Overrun+l.cfg.Slack, entries)
		l.rates[key] = rate
	}
	seconds := min(float64(entries)/rate, maxInterval.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), time.Microsecond)
}

// usableRate returns the largest part of a rate of which all entries together stay below limit requests in any one second.
func usableRate(perSecond, limit float64, entries int) float64 {
	const step = 0.01
	part := 1.0
	for part > minPart && largestSum(perSecond*part, entries) > limit {
		part -= step
	}
	return perSecond * part
}

// largestSum returns the largest likely number of requests in one second at the given rate of all entries together. A permit can be used from
// when it opens until it expires, so that one second may hold the permits of that much longer. The permits of entries open at independent
// random moments: each entry has the whole part of its number in that time, and one more with the probability of the rest.
func largestSum(rate float64, entries int) float64 {
	n := float64(entries)
	whole, rest := math.Modf(rate * (time.Second + permitLife + SendTime).Seconds() / n)
	return n*whole + min(n*math.Ceil(rest), n*rest+deviations*math.Sqrt(n*rest*(1-rest)))
}
