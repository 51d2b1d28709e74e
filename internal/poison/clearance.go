package poison

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// maxClearedParts and maxClearedRequests bound the parts and the whole requests whose last answer is remembered. Most requests are
	// answered once and are not repeated, so they must not displace parts.
	maxClearedParts    = 20000
	maxClearedRequests = 5000
)

// clearance records when a subject last had an answer.
type clearance struct {
	at time.Time
	// sharedAt is the newest of these times that other entries know; zero if they know none.
	sharedAt time.Time
	// received maps the origins of statements of other entries to their newest sequence numbers.
	received map[uint64]uint64
}

// newClearances returns an empty cache. size is a positive constant.
func newClearances(size int) *lru.Cache[string, *clearance] {
	cache, err := lru.New[string, *clearance](size)
	if err != nil {
		panic(err)
	}
	return cache
}

// cleared returns the cache of the last answers to subjects of the same kind. The caller holds mu.
func (l *Ledger) cleared(subject string) *lru.Cache[string, *clearance] {
	if isPart(subject) {
		return l.clearedParts
	}
	return l.clearedRequests
}

// Clear records that requests with the subjects have been answered by an upstream that is still running.
func (l *Ledger) Clear(subjects []string) {
	if len(subjects) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, s := range subjects {
		if c, ok := l.cleared(s).Get(s); ok {
			c.at = now
		} else {
			l.cleared(s).Add(s, &clearance{at: now})
		}
	}
	if len(l.crashes) == 0 {
		return
	}
	l.share(&message.CrashEvidence{}, subjects)
}

// mergeClearance merges an answer that another entry has seen, and reports whether this ledger has to pass it on: whether it receives the
// statement for the first time. Other entries then know of the answer too. Ages are no criterion, as each hop adds to them. The caller
// holds mu.
func (l *Ledger) mergeClearance(received message.ClearedSubject, now time.Time) bool {
	at := now.Add(-time.Duration(max(received.AgeMillis, 0)) * time.Millisecond)
	if received.Subject == "" || now.Sub(at) >= Retention || received.Origin == l.origin {
		return false
	}
	c, ok := l.cleared(received.Subject).Get(received.Subject)
	if !ok {
		c = &clearance{}
		l.cleared(received.Subject).Add(received.Subject, c)
	}
	if received.Origin != 0 {
		if c.received[received.Origin] >= received.Seq {
			return false
		}
		if c.received == nil {
			c.received = map[uint64]uint64{}
		}
		c.received[received.Origin] = received.Seq
	}
	if at.After(c.sharedAt) {
		c.sharedAt = at
	}
	if at.After(c.at) {
		c.at = at
	}
	return received.Origin != 0 || !ok
}
