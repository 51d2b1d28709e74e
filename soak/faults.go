package main

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"time"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
)

// fault is something that goes wrong for some time. It returns how it ends.
type fault struct {
	name string
	do   func(w *world, rng *rand.Rand) (end func())
}

// faults are drawn at random; several may be in force at once.
var faults = []fault{
	{"entry killed", func(w *world, rng *rand.Rand) func() { return killed(w.entries[rng.IntN(len(w.entries))]) }},
	{"agent killed", func(w *world, rng *rand.Rand) func() { return killed(w.agents[rng.IntN(len(w.agents))]) }},
	{"entry stopped", func(w *world, rng *rand.Rand) func() {
		n := w.entries[rng.IntN(len(w.entries))]
		ended := n.Ended()
		go func() { _ = n.Stop(stopPatience) }()
		return again(n, ended)
	}},
	{"entry paused", func(w *world, rng *rand.Rand) func() {
		n := w.entries[rng.IntN(len(w.entries))]
		n.Pause()
		return n.Resume
	}},
	{"agent paused", func(w *world, rng *rand.Rand) func() {
		n := w.agents[rng.IntN(len(w.agents))]
		n.Pause()
		return n.Resume
	}},
	{"store refuses", func(w *world, _ *rand.Rand) func() {
		w.store.SetFailStatus(http.StatusServiceUnavailable)
		return func() { w.store.SetFailStatus(0) }
	}},
	{"store slow", func(w *world, _ *rand.Rand) func() {
		w.store.SetDelay(300 * time.Millisecond)
		return func() { w.store.SetDelay(0) }
	}},
	{"store silent", func(w *world, _ *rand.Rand) func() { return held(w, "store") }},
	{"store forgets", func(w *world, _ *rand.Rand) func() { w.store.Compact(); return func() {} }},
	{"store resets", func(w *world, _ *rand.Rand) func() { w.proxies["store"].Break(faultproxy.Any); return func() {} }},
	{"origin away", func(w *world, _ *rand.Rand) func() {
		w.origin.SetDown(true)
		return func() { w.origin.SetDown(false) }
	}},
	{"origin spoils", func(w *world, rng *rand.Rand) func() { w.origin.CorruptNext(1 + rng.IntN(3)); return func() {} }},
	{"server resets", func(w *world, rng *rand.Rand) func() {
		w.proxies[w.server(rng)].Break(faultproxy.Any)
		return func() {}
	}},
	{"server silent", func(w *world, rng *rand.Rand) func() { return held(w, w.server(rng)) }},
	{"server away", func(w *world, rng *rand.Rand) func() {
		p := w.proxies[w.server(rng)]
		p.Cut()
		return func() { _ = p.Listen() }
	}},
	{"server delayed", func(w *world, rng *rand.Rand) func() {
		p := w.proxies[w.server(rng)]
		p.Set("delay", faultproxy.Any, faultproxy.Fault{Delay: 150 * time.Millisecond})
		return func() { p.Clear("delay") }
	}},
	{"server restarted", func(w *world, rng *rand.Rand) func() {
		w.models[rng.IntN(len(w.models))].Restart()
		return func() {}
	}},
	{"answers lost", func(w *world, rng *rand.Rand) func() {
		d := w.desks[rng.IntN(len(w.desks))]
		d.LoseEveryNthAnswer(3)
		return func() { d.LoseEveryNthAnswer(0) }
	}},
	{"configuration", func(w *world, _ *rand.Rand) func() { w.configure(); return func() {} }},
	{"version", func(w *world, _ *rand.Rand) func() { w.nameVersion(); return func() {} }},
}

// server draws a model or a desk.
func (w *world) server(rng *rand.Rand) string {
	names := make([]string, 0, len(w.proxies))
	for name := range w.proxies {
		if name != "store" && name != "origin" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names[rng.IntN(len(names))]
}

func killed(n *node) func() {
	ended := n.Ended()
	n.Kill()
	return again(n, ended)
}

// stopPatience is how long a process may take to stop before it is killed.
const stopPatience = 4 * time.Second

// again starts a process once the life that was ended is over. Another fault may have started it before.
func again(n *node, ended <-chan struct{}) func() {
	return func() {
		<-ended
		if !n.Running() {
			_ = n.Start() // Lost against another fault that starts it at the same moment.
		}
	}
}

// held stops data on existing and new connections.
func held(w *world, name string) func() {
	w.proxies[name].Set("hold", faultproxy.Any, faultproxy.Fault{Hold: true})
	return func() { w.proxies[name].Clear("hold") }
}

// nameVersion names the next version of the model.
func (w *world) nameVersion() {
	w.version.Lock()
	defer w.version.Unlock()
	w.newest++
	w.store.Put("op/version/m", map[string]any{"model": "m", "version": w.newest})
}

// disturb injects faults until the time is over, then ends all of them. It returns their names in order.
func (w *world) disturb(rng *rand.Rand, length time.Duration) []string {
	const (
		pauseMin, pauseSpread = 200 * time.Millisecond, 1200 * time.Millisecond
		lastMin, lastSpread   = 300 * time.Millisecond, 2500 * time.Millisecond
	)
	var names []string
	done := make(chan struct{})
	running := 0
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		f := faults[rng.IntN(len(faults))]
		names = append(names, f.name)
		end := f.do(w, rng)
		lasts := lastMin + time.Duration(rng.Int64N(int64(lastSpread)))
		running++
		go func() {
			time.Sleep(lasts)
			end()
			done <- struct{}{}
		}()
		time.Sleep(pauseMin + time.Duration(rng.Int64N(int64(pauseSpread))))
	}
	for range running {
		<-done
	}
	for _, n := range append(append([]*node(nil), w.entries...), w.agents...) {
		if !n.Running() {
			_ = n.Start()
		}
	}
	return names
}
