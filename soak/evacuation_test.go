package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// Guards against a check of evacuations that misses a late request, and against one that reports those that are allowed.
func TestCheckOfEvacuations(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	e := evacuation{acknowledgedAt: start, removedAt: start.Add(8 * time.Second)}
	for after, late := range map[time.Duration]int{0: 0, evacuateBound: 0, evacuateBound + time.Millisecond: 1, 7 * time.Second: 1, 8 * time.Second: 0} {
		g.Expect(e.countLate([]standin.Arrival{{At: start.Add(after)}})).To(Equal(late), "%s", after)
		g.Expect(e.countLate([]standin.Arrival{{At: start.Add(after), Misdirected: true}})).To(BeZero())
	}
}
