// Package poison finds out what requests that crash upstreams have in common, and decides which requests are refused for it.
//
// A subject is something that requests may share: a part of a prompt, or a whole request that is repeated. Entries record which attempts
// were in progress when the process of an upstream ended, and which subjects have had an answer. They share both, so that the
// crashes seen by one entry count at all of them, and every entry derives the same verdicts from the same evidence.
package poison

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	// Retention is how long a crash, an answer or a verdict counts.
	Retention = 10 * time.Minute
	// maxCrashes bounds the processes of upstreams whose crashes are kept. The oldest are dropped.
	maxCrashes = 256
	// maxAttempts bounds the attempts that are kept for one crash. Model servers run at most a few dozen at the same time.
	maxAttempts = 64
	// maxSubjects bounds the subjects that one attempt may name.
	maxSubjects = 64
)

// PartSubject returns the subject of a part of prompts.
func PartSubject(id string) string { return partPrefix + id }

// RequestSubject returns the subject of a whole request, identified by its fingerprint.
func RequestSubject(fingerprint string) string { return requestPrefix + fingerprint }

const (
	partPrefix    = "part:"
	requestPrefix = "request:"
)

// process identifies one process of an upstream.
type process struct {
	upstream        string
	startedAtMillis int64
}

// crash is the end of the process of an upstream while attempts were in progress there.
type crash struct {
	at time.Time
	// attempts maps the ID of each request to its attempt.
	attempts map[string]attempt
}

// attempt is a request that was in progress when its upstream ended.
type attempt struct {
	subjects []string
	begun    bool
}

// Ledger holds the evidence and the verdicts that follow from it. It is safe for concurrent use.
type Ledger struct {
	now func() time.Time
	// origin identifies the statements of this ledger.
	origin uint64
	// current is the set of verdicts in force.
	current atomic.Pointer[verdictSet]

	// mu guards the fields below.
	mu sync.Mutex
	// sequence is the number of the last statement about an answer.
	sequence uint64
	crashes  map[process]*crash
	// clearedParts and clearedRequests hold the last answers, see cleared.
	clearedParts, clearedRequests *lru.Cache[string, *clearance]
	// lastCrash maps the subjects of crashes to the time of the newest crash that involved them.
	lastCrash map[string]time.Time
	// stored maps the keys of verdicts that were read from durable storage to their ends.
	stored map[string]storedVerdict
	// disprovedAt maps the keys of verdicts that answers have disproved, but that durable storage may still have, to the time at which that was
	// noticed.
	disprovedAt map[string]time.Time
	observers   []func(*message.CrashEvidence)
	onVerdict   []func([]Verdict)
}

// storedVerdict is a verdict that was reached by entries that may all have been restarted since.
type storedVerdict struct {
	verdict Verdict
	until   time.Time
	// era is the latest era of the store in which the verdict is known to be stored.
	era int64
}

// New returns an empty ledger. now is the clock; nil selects time.Now.
func New(now func() time.Time) *Ledger {
	if now == nil {
		now = time.Now
	}
	l := &Ledger{now: now, origin: rand.Uint64() | 1, crashes: map[process]*crash{}, clearedParts: newClearances(maxClearedParts),
		clearedRequests: newClearances(maxClearedRequests), lastCrash: map[string]time.Time{}, stored: map[string]storedVerdict{},
		disprovedAt: map[string]time.Time{}}
	l.current.Store(&verdictSet{})
	return l
}

// Observe registers a function that receives evidence to be sent to other entries. It is called with the ledger locked and must neither
// block nor call the ledger.
func (l *Ledger) Observe(observer func(*message.CrashEvidence)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observers = append(l.observers, observer)
}

// ObserveVerdicts registers a function that receives the verdicts after each change. It is called with the ledger locked and must
// neither block nor call the ledger except Refusing.
func (l *Ledger) ObserveVerdicts(observer func([]Verdict)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onVerdict = append(l.onVerdict, observer)
}

// Record adds an attempt of this entry that was in progress when the process of its upstream ended.
func (l *Ledger) Record(a message.CrashedAttempt) {
	l.Merge(&message.CrashEvidence{Crashes: []message.CrashedAttempt{a}})
}

// Merge adds the evidence of a message. What was new to this ledger goes to the observers.
func (l *Ledger) Merge(m *message.CrashEvidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	news := &message.CrashEvidence{}
	var subjects []string
	for _, a := range m.Crashes {
		if l.addAttempt(a, now) {
			news.Crashes = append(news.Crashes, a)
			subjects = append(subjects, a.Subjects...)
		}
	}
	for _, c := range m.Cleared {
		if l.mergeClearance(c, now) {
			news.Cleared = append(news.Cleared, c)
			subjects = append(subjects, c.Subject)
		}
	}
	for _, v := range m.Verdicts {
		if l.addStored(v, now) {
			news.Verdicts = append(news.Verdicts, v)
		}
	}
	if len(news.Crashes)+len(news.Cleared)+len(news.Verdicts) > 0 {
		l.share(news, subjects)
	}
}

// addAttempt adds an attempt and reports whether it was new. The caller holds mu.
func (l *Ledger) addAttempt(a message.CrashedAttempt, now time.Time) bool {
	age := time.Duration(max(a.AgeMillis, 0)) * time.Millisecond
	if a.Upstream == "" || len(a.Subjects) == 0 || len(a.Subjects) > maxSubjects || age >= Retention {
		return false
	}
	key := process{a.Upstream, a.StartedAtMillis}
	c := l.crashes[key]
	if c == nil {
		c = &crash{at: now.Add(-age), attempts: map[string]attempt{}}
		l.crashes[key] = c
		l.dropOldCrashes(now)
	}
	if _, known := c.attempts[a.Request]; known || len(c.attempts) >= maxAttempts {
		return false
	}
	c.attempts[a.Request] = attempt{subjects: slices.Clone(a.Subjects), begun: a.Begun}
	for _, s := range a.Subjects {
		if c.at.After(l.lastCrash[s]) {
			l.lastCrash[s] = c.at
		}
	}
	return true
}

// dropOldCrashes drops crashes past their retention, and the oldest one beyond maxCrashes. The caller holds mu.
func (l *Ledger) dropOldCrashes(now time.Time) {
	for s, at := range l.lastCrash {
		if now.Sub(at) >= Retention {
			delete(l.lastCrash, s)
		}
	}
	var oldest process
	for key, c := range l.crashes {
		if now.Sub(c.at) >= Retention {
			delete(l.crashes, key)
			continue
		}
		if first, ok := l.crashes[oldest]; !ok || c.at.Before(first.at) {
			oldest = key
		}
	}
	if len(l.crashes) > maxCrashes {
		delete(l.crashes, oldest)
	}
}

// addStored adds a verdict from durable storage, unless it was disproved, and reports whether it was new, or known to be stored in an earlier
// era only. The caller holds mu.
func (l *Ledger) addStored(v message.PoisonVerdict, now time.Time) bool {
	age := time.Duration(max(v.AgeMillis, 0)) * time.Millisecond
	if len(v.Subjects) == 0 || len(v.Subjects) > maxSubjects || age >= Retention || len(l.stored) >= maxCrashes {
		return false
	}
	verdict := newVerdict(v.Subjects, 0)
	if known, ok := l.stored[verdict.Key()]; ok {
		isNewer := v.Era > known.era
		known.era = max(known.era, v.Era)
		l.stored[verdict.Key()] = known
		return isNewer
	}
	if at, disproved := l.disprovedAt[verdict.Key()]; disproved && now.Sub(at) < Retention {
		return false
	}
	l.stored[verdict.Key()] = storedVerdict{verdict: verdict, until: now.Add(Retention - age), era: v.Era}
	return true
}

// share evaluates the evidence and sends news to the observers, together with answers to subjects of crashes that the other entries do
// not know. The caller holds mu.
func (l *Ledger) share(news *message.CrashEvidence, subjects []string) {
	now := l.now()
	for _, s := range subjects {
		c, ok := l.cleared(s).Peek(s)
		if !ok || !c.at.After(c.sharedAt) {
			continue
		}
		if last, involved := l.lastCrash[s]; involved && (c.sharedAt.IsZero() || last.After(c.sharedAt)) {
			c.sharedAt = c.at
			l.sequence++
			news.Cleared = append(news.Cleared, message.ClearedSubject{Subject: s, AgeMillis: now.Sub(c.at).Milliseconds(),
				Origin: l.origin, Seq: l.sequence})
		}
	}
	if len(news.Crashes)+len(news.Cleared)+len(news.Verdicts) == 0 {
		return
	}
	l.evaluate(now)
	for _, observer := range l.observers {
		observer(news)
	}
}

// Export returns all evidence, for an entry that has none yet, or nil if there is none.
func (l *Ledger) Export() *message.CrashEvidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := &message.CrashEvidence{}
	subjects := map[string]bool{}
	for key, c := range l.crashes {
		for request, a := range c.attempts {
			out.Crashes = append(out.Crashes, message.CrashedAttempt{Upstream: key.upstream, StartedAtMillis: key.startedAtMillis,
				Request: request, Subjects: a.subjects, Begun: a.begun, AgeMillis: now.Sub(c.at).Milliseconds()})
			for _, s := range a.subjects {
				subjects[s] = true
			}
		}
	}
	for s := range subjects {
		if c, ok := l.cleared(s).Peek(s); ok && now.Sub(c.at) < Retention {
			out.Cleared = append(out.Cleared, message.ClearedSubject{Subject: s, AgeMillis: now.Sub(c.at).Milliseconds()})
		}
	}
	for _, s := range l.stored {
		if left := s.until.Sub(now); left > 0 {
			out.Verdicts = append(out.Verdicts, message.PoisonVerdict{Subjects: s.verdict.Subjects,
				AgeMillis: (Retention - left).Milliseconds(), Era: s.era})
		}
	}
	if len(out.Crashes)+len(out.Verdicts) == 0 {
		return nil
	}
	return out
}

// Unproven reports whether a request with the subjects has to wait for the verdict on its last attempt before it is sent again: a part of
// its prompt was never answered, or an upstream has ended under the same request before.
func (l *Ledger) Unproven(subjects []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range subjects {
		if _, answered := l.cleared(s).Peek(s); answered {
			continue
		}
		if _, crashed := l.lastCrash[s]; crashed || isPart(s) {
			return true
		}
	}
	return false
}
