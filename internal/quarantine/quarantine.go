// Package quarantine keeps the fingerprints of requests that were in progress on upstreams that crashed, and decides which of them
// are refused.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits of the list.
const (
	// DefaultRetention is the time for which a crash counts.
	DefaultRetention = 10 * time.Minute
	// refuseAfterCrashes is the number of distinct upstream incarnations that have to crash before a request is refused.
	refuseAfterCrashes = 2
	// maxFingerprints bounds the table. The least recently used fingerprint is evicted.
	maxFingerprints = 10000
	// maxCrashes bounds the crashes kept per fingerprint.
	maxCrashes = 4
)

// Level is the degree to which a request is suspected of crashing upstreams.
type Level int

// Levels of suspicion.
const (
	// Clear means that no crash counts against the request.
	Clear Level = iota
	// Suspect means that one upstream crashed while it ran the request.
	Suspect
	// Refused means that the request must not be run.
	Refused
)

// Crash identifies one upstream process that crashed.
type Crash struct {
	AgentID     string
	Incarnation uint64
	// BesideSuspect is set when a suspect ran on the upstream and the request itself was not a suspect. Such a crash makes the
	// request a suspect but does not count towards its refusal. Otherwise a suspect would get the requests that ran beside it
	// refused too.
	BesideSuspect bool
}

// List is a bounded table of suspect requests. It is safe for concurrent use.
type List struct {
	now       func() time.Time
	retention time.Duration
	// mu guards table and the maps in it.
	mu    sync.Mutex
	table *lru.Cache[string, map[Crash]time.Time]
}

// New returns an empty list. now is the clock; nil selects time.Now. Crashes count for retention; 0 selects DefaultRetention.
func New(now func() time.Time, retention time.Duration) *List {
	if now == nil {
		now = time.Now
	}
	if retention <= 0 {
		retention = DefaultRetention
	}
	table, err := lru.New[string, map[Crash]time.Time](maxFingerprints)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &List{now: now, retention: retention, table: table}
}

// Retention returns the time for which a crash counts.
func (l *List) Retention() time.Duration { return l.retention }

// Record adds a crash that happened age ago. It reports whether the crash was added. It is not added if the fingerprint is empty, if
// the crash has expired or is known, if maxCrashes are kept already, or if it is BesideSuspect and another crash is kept.
func (l *List) Record(fingerprint string, crash Crash, age time.Duration) bool {
	if fingerprint == "" || age >= l.retention {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes, ok := l.table.Get(fingerprint)
	if !ok {
		crashes = make(map[Crash]time.Time)
		l.table.Add(fingerprint, crashes)
	}
	l.expire(crashes)
	if _, known := crashes[crash]; known || len(crashes) >= maxCrashes || crash.BesideSuspect && len(crashes) > 0 {
		return false
	}
	crashes[crash] = l.now().Add(-max(age, 0))
	return true
}

// Level returns the level of suspicion of a fingerprint.
func (l *List) Level(fingerprint string) Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes, ok := l.table.Get(fingerprint)
	if !ok {
		return Clear
	}
	l.expire(crashes)
	counted := 0
	for crash := range crashes {
		if !crash.BesideSuspect {
			counted++
		}
	}
	switch {
	case counted >= refuseAfterCrashes:
		return Refused
	case len(crashes) > 0:
		return Suspect
	default:
		l.table.Remove(fingerprint)
		return Clear
	}
}

// expire drops crashes older than the retention. The caller holds mu.
func (l *List) expire(crashes map[Crash]time.Time) {
	for crash, at := range crashes {
		if l.now().Sub(at) >= l.retention {
			delete(crashes, crash)
		}
	}
}

// Fingerprint returns a hash that is the same for equal requests of a caller: the first 16 bytes of a SHA-256 sum in hexadecimal.
func Fingerprint(caller, path string, body []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(caller))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(path))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
