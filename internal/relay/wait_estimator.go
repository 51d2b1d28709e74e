package relay

import (
	"sync"
	"time"
)

const (
	// maxVotes is the number of votes at which those of all timeouts of a route are halved, so that a new typical timeout is adopted
	// after as many requests.
	maxVotes = 50
	// minVotes is the number of votes from which a timeout counts as typical. Timeouts of returning callers, which are all different,
	// do not reach it.
	minVotes = 5
	// maxTimeouts bounds the timeouts of a route that have votes. The typical one keeps its votes while more than one in maxTimeouts
	// requests has it.
	maxTimeouts = 8
)

// waitEstimator estimates how long a caller has waited before its current request, per route. A caller that retries
// after a refusal sends only the time that remains as its timeout, so the difference from the typical timeout of the route is the time
// already waited. The typical timeout is the most frequent one; a few callers with other timeouts do not change it. It is safe for
// concurrent use.
type waitEstimator struct {
	mu sync.Mutex
	// routes is guarded by mu.
	routes map[string]timeoutVotes
}

// timeoutVotes counts the requests of a route by their timeout (the frequent-items algorithm of Misra and Gries).
type timeoutVotes map[time.Duration]int

// priorWait returns the estimated time that a caller has waited before this request, 0 if unknown. remaining is the timeout that the
// request carries, 0 if none.
func (e *waitEstimator) priorWait(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.routes == nil {
		e.routes = map[string]timeoutVotes{}
	}
	votes := e.routes[route]
	if votes == nil {
		votes = timeoutVotes{}
		e.routes[route] = votes
	}
	votes.add(remaining)
	typical, count := votes.mostFrequent()
	if count < minVotes {
		return 0
	}
	return max(typical-remaining, 0)
}

// add gives a vote to a timeout. A timeout that finds no place takes a vote from all others instead.
func (v timeoutVotes) add(timeout time.Duration) {
	if _, known := v[timeout]; !known && len(v) >= maxTimeouts {
		for other := range v {
			v.setVotes(other, v[other]-1)
		}
		return
	}
	v[timeout]++
	if v[timeout] < maxVotes {
		return
	}
	for other := range v {
		v.setVotes(other, v[other]/2)
	}
}

// setVotes sets the votes of a timeout and drops one without votes.
func (v timeoutVotes) setVotes(timeout time.Duration, votes int) {
	if votes <= 0 {
		delete(v, timeout)
		return
	}
	v[timeout] = votes
}

// mostFrequent returns the timeout with the most votes, the longer one of two with as many.
func (v timeoutVotes) mostFrequent() (timeout time.Duration, votes int) {
	for t, n := range v {
		if n > votes || n == votes && t > timeout {
			timeout, votes = t, n
		}
	}
	return timeout, votes
}
