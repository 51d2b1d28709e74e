package relay

import (
	"sync"
	"time"
)

// maxVotes bounds the votes for the typical timeout, and so the number of requests with another timeout after which it is replaced.
const maxVotes = 50

// waitEstimator estimates how long a caller has waited before its current request, per traffic class. A caller that retries
// after a refusal sends only the time that remains as its timeout, so the difference from the typical timeout of the class is the time
// already waited. The typical timeout is the one that most requests have, found by majority vote, so that a few callers with other
// timeouts do not change it. It is safe for concurrent use.
type waitEstimator struct {
	mu sync.Mutex
	// classes is guarded by mu.
	classes map[string]*majorityVote
}

// majorityVote is the state of a majority vote (Boyer-Moore) on the typical timeout of a class.
type majorityVote struct {
	value time.Duration
	count int
}

// priorWait returns the estimated time that a caller has waited before this request, 0 if unknown. remaining is the timeout that the
// request carries, 0 if none.
func (e *waitEstimator) priorWait(class string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.classes == nil {
		e.classes = map[string]*majorityVote{}
	}
	v := e.classes[class]
	switch {
	case v == nil:
		e.classes[class] = &majorityVote{value: remaining, count: 1}
		return 0
	case v.value == remaining:
		v.count = min(v.count+1, maxVotes)
		return 0
	case v.count == 0:
		v.value, v.count = remaining, 1
		return 0
	}
	v.count--
	return max(v.value-remaining, 0)
}
