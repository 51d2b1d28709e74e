package relay

import (
	"sync"
	"time"
)

// maxVotes bounds how many requests of another patience it takes until a new one is believed.
const maxVotes = 50

// patience learns how long callers of each kind of request wait in all. A caller that was refused says on its return only what is left, so
// the time that it has waited is the difference. The usual patience is the value that most requests have, found by majority vote: a
// few callers with other values do not move it. It is safe for concurrent use.
type patience struct {
	mu sync.Mutex
	// kinds is guarded by mu.
	kinds map[string]*vote
}

type vote struct {
	value time.Duration
	count int
}

// waited returns how long a caller has waited before this request of a kind, as far as is known.
func (p *patience) waited(kind string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kinds == nil {
		p.kinds = map[string]*vote{}
	}
	v := p.kinds[kind]
	switch {
	case v == nil:
		p.kinds[kind] = &vote{value: left, count: 1}
		return 0
	case v.value == left:
		v.count = min(v.count+1, maxVotes)
		return 0
	case v.count == 0:
		v.value, v.count = left, 1
		return 0
	}
	v.count--
	return max(v.value-left, 0)
}
