package loadview

import (
	"sync"
	"time"
)

// Observation is the load that an upstream stated in the head of a response to this entry.
type Observation struct {
	// Running and Waiting are the numbers of requests, Slots is the number of requests that run at the same time.
	Running, Waiting, Slots int
	// Slowdown is the factor by which work takes longer than normal on the instance of the upstream, 0 if the upstream does not state it.
	Slowdown float64
	// ArrivedAt is when the response arrived; it is set by ObservedTable.
	ArrivedAt time.Time
}

// unreadableInterval is the shortest time between two reports of unreadable loads of one upstream. Responses arrive many times a second.
const unreadableInterval = time.Minute

// ObservedTable holds the newest observation of each upstream. It is safe for concurrent use; nil holds none.
type ObservedTable struct {
	now func() time.Time
	// mu guards upstreams, which is indexed by the ID of the upstream.
	mu        sync.Mutex
	upstreams map[string]*observed
}

// observed is what is known of one upstream. startedAtMillis identifies its process.
type observed struct {
	startedAtMillis int64
	observation     Observation
	// unreadableAt is when an unreadable load was last reported.
	unreadableAt time.Time
}

// NewObservedTable returns an empty table. now is the clock; nil selects time.Now.
func NewObservedTable(now func() time.Time) *ObservedTable {
	if now == nil {
		now = time.Now
	}
	return &ObservedTable{now: now, upstreams: map[string]*observed{}}
}

// Record records an observation that has just arrived from the process of an upstream that started at startedAtMillis. One from an earlier
// process than the known one is ignored.
func (t *ObservedTable) Record(upstream string, startedAtMillis int64, o Observation) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o.ArrivedAt = t.now()
	if u := t.getOrCreate(upstream); startedAtMillis >= u.startedAtMillis {
		u.startedAtMillis, u.observation = startedAtMillis, o
	}
}

// Get returns the newest observation of the process of an upstream, and its age. It reports whether there is one.
func (t *ObservedTable) Get(upstream string, startedAtMillis int64) (o Observation, age time.Duration, ok bool) {
	if t == nil {
		return Observation{}, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[upstream]
	if u == nil || u.startedAtMillis != startedAtMillis || u.observation.ArrivedAt.IsZero() {
		return Observation{}, 0, false
	}
	age = t.now().Sub(u.observation.ArrivedAt)
	return u.observation, age, age <= retention
}

// RecordUnreadable records that a load of an upstream could not be read. It reports true if this has to be logged: once in
// unreadableInterval for each upstream.
func (t *ObservedTable) RecordUnreadable(upstream string) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, u := t.now(), t.getOrCreate(upstream)
	if !u.unreadableAt.IsZero() && now.Sub(u.unreadableAt) < unreadableInterval {
		return false
	}
	u.unreadableAt = now
	return true
}

// getOrCreate returns the state of an upstream and creates it if there is none; it then drops what has expired. The caller holds mu.
func (t *ObservedTable) getOrCreate(upstream string) *observed {
	if u := t.upstreams[upstream]; u != nil {
		return u
	}
	now := t.now()
	for id, u := range t.upstreams {
		if now.Sub(u.observation.ArrivedAt) > retention && now.Sub(u.unreadableAt) > retention {
			delete(t.upstreams, id)
		}
	}
	u := &observed{}
	t.upstreams[upstream] = u
	return u
}
