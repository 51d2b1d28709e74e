// Package turns orders the upstreams of a data centre in the rollout of a version of the weights. An upstream interrupts its requests to
// load a version when it is its turn. All agents compute the same turns from the list of upstreams.
package turns

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// StagingTime is how long it takes to stage a version, that is, to store its chunks beside all upstreams. The first turn comes that
	// long after the version was named.
	StagingTime = 2500 * time.Millisecond
	// maxInterval is the longest time between consecutive turns of one data centre.
	maxInterval = 650 * time.Millisecond
	// loadMargin is the part at the end of the window in which no turn begins, so that the last upstream has loaded by then. New turns
	// leave twice that.
	loadMargin = 600 * time.Millisecond
)

// Turn is the turn of one upstream. The zero value comes as soon as the upstream is ready.
type Turn struct {
	// Index is the position among the upstreams of the data centre.
	Index int
	// Delay is the time after the naming of the version at which the turn comes, Interval the time between consecutive turns.
	Delay, Interval time.Duration
	// Window is the time after the naming in which all upstreams have to load the version.
	Window time.Duration
}

// Of returns the turn of the upstream at address. addresses are those of the upstreams of its data centre; their order is that of a hash of
// address and version. An upstream that is not among them is the first.
func Of(addresses []string, address string, version int64, window time.Duration) Turn {
	hash := func(a string) uint64 { return xxhash.Sum64String(a + string(rune(version))) }
	order := slices.Clone(addresses)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(hash(a), hash(b)) })
	t := Turn{Index: max(slices.Index(order, address), 0), Window: window,
		Interval: min(maxInterval, (window-StagingTime-loadMargin)/time.Duration(max(len(order), 1)))}
	t.Delay = StagingTime + time.Duration(t.Index)*t.Interval
	return t
}

// At returns when an upstream that is ready to load the version at the given time may do so. Upstreams become ready together where the
// weights were late, so that the turns of several have passed. These take new turns from then on, in the same order, as far as the window
// leaves time for that.
func (t Turn) At(named, ready time.Time) time.Time {
	if at := named.Add(t.Delay); at.After(ready) || t.Interval <= 0 {
		return later(at, ready)
	}
	passed := int(ready.Sub(named.Add(StagingTime))/t.Interval) + 1
	left := named.Add(t.Window - 2*loadMargin).Sub(ready)
	interval := max(min(left/time.Duration(passed), t.Interval), 0)
	return ready.Add(time.Duration(t.Index) * interval)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
