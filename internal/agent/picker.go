package agent

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEntryLinks bounds the entries that an agent links to, so that the cost of an agent does not grow with their number.
	maxEntryLinks = 8
	// avoidTime is how long an entry that was not reached comes after all others.
	avoidTime = 10 * time.Second
)

// picker gives out addresses of entries, each at most once at a time, in the rendezvous order of the agent: agents spread
// evenly over the entries, and a change of the list moves few of them.
type picker struct {
	ranked []string
	now    func() time.Time
	// mu guards used and avoid.
	mu    sync.Mutex
	used  map[string]bool
	avoid map[string]time.Time
}

func newPicker(agent string, addresses []string) *picker {
	p := &picker{now: time.Now, used: make(map[string]bool), avoid: make(map[string]time.Time)}
	weights := make(map[string]uint64)
	for _, address := range addresses {
		if _, repeated := weights[address]; !repeated {
			weights[address] = xxhash.Sum64String("entry-link\x00" + agent + "\x00" + address)
			p.ranked = append(p.ranked, address)
		}
	}
	sort.Slice(p.ranked, func(i, j int) bool { return weights[p.ranked[i]] > weights[p.ranked[j]] })
	return p
}

// links returns how many links the agent keeps.
func (p *picker) links() int { return min(len(p.ranked), maxEntryLinks) }

// take returns the first address that is not in use. Addresses that were not reached recently come last, in the order in which
// they are tried again.
func (p *picker) take() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, best := p.now(), ""
	for _, address := range p.ranked {
		if p.used[address] {
			continue
		}
		if !now.Before(p.avoid[address]) {
			best = address
			break
		}
		if best == "" || p.avoid[address].Before(p.avoid[best]) {
			best = address
		}
	}
	p.used[best] = true
	return best
}

// release gives an address back and tells whether it was reached.
func (p *picker) release(address string, reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.used, address)
	delete(p.avoid, address)
	if !reached {
		p.avoid[address] = p.now().Add(avoidTime)
	}
}
