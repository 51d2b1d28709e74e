package agent

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against agents whose cost grows with the number of entries, against two links to one entry, and against an agent that
// waits for an entry that is gone while others are free.
func TestPickerSpreadsOverReachableEntries(t *testing.T) {
	g := NewWithT(t)
	var addresses []string
	for i := range 40 {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:1", i))
	}
	share := make(map[string]int)
	const agents = 400
	for agent := range agents {
		p := newPicker(fmt.Sprintf("agent-%d", agent), append(addresses, addresses[0]))
		g.Expect(p.links()).To(Equal(maxEntryLinks))
		for range p.links() {
			share[p.take()]++
		}
	}
	g.Expect(share).To(HaveLen(len(addresses)))
	for _, n := range share {
		g.Expect(n).To(BeNumerically("~", agents*maxEntryLinks/len(addresses), 40))
	}

	now := time.Unix(1, 0)
	p := newPicker("agent-1", addresses)
	p.now = func() time.Time { return now }
	first := p.take()
	p.release(first, false)
	second := p.take()
	g.Expect(second).NotTo(Equal(first))
	now = now.Add(avoidTime)
	g.Expect(p.take()).To(Equal(first))
}

// Guards against an agent that gives up its only entry.
func TestPickerComesBackToTheOnlyEntry(t *testing.T) {
	g := NewWithT(t)
	p := newPicker("agent-1", []string{"10.0.0.1:1"})
	g.Expect(p.links()).To(Equal(1))
	g.Expect(p.take()).To(Equal("10.0.0.1:1"))
	p.release("10.0.0.1:1", false)
	g.Expect(p.take()).To(Equal("10.0.0.1:1"))
}
