package fake

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// prefixBlockBytes is the unit of the prefix cache.
	prefixBlockBytes = 256
	// bytesPerToken converts a prompt's length into tokens.
	bytesPerToken = 4
	// versionDigits is the number of hex digits of the version in each token.
	versionDigits = 8
)

// generation is one request in the engine.
type generation struct {
	priority int
	arrival  uint64
	prompt   string
	left     int
	readyAt  time.Time
	// tokens has room for all tokens, so that the step loop never blocks. It is closed after the last one.
	tokens chan string
}

// submit puts a request into the waiting list, which is in order of priority and arrival.
func (e *Engine) submit(priority int, prompt string, maxTokens int) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	g := &generation{
		priority: priority, arrival: e.arrivals, prompt: prompt, left: maxTokens, tokens: make(chan string, maxTokens),
	}
	at := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].priority > priority })
	e.waiting = append(e.waiting[:at], append([]*generation{g}, e.waiting[at:]...)...)
	select {
	case e.wake <- struct{}{}:
	default: // A notification is pending.
	}
	return g
}

// cancel removes a request.
func (e *Engine) cancel(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting, e.running = without(e.waiting, g), without(e.running, g)
}

func without(list []*generation, g *generation) []*generation {
	out := make([]*generation, 0, len(list))
	for _, other := range list {
		if other != g {
			out = append(out, other)
		}
	}
	return out
}

// run is the step loop: each step gives one token to every request of the batch.
func (e *Engine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		pause := e.step()
		if pause == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.done:
				return
			}
		}
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-e.done:
			return
		}
	}
}

// step admits waiting requests, emits tokens and returns the time until the next step, or 0 when there is no work.
func (e *Engine) step() time.Duration {
	fault, _ := e.faults.get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if fault.Freeze {
		return e.config.TokenTime
	}
	now := time.Now()
	keep := make([]*generation, 0, e.config.MaxBatch)
	for _, g := range e.running {
		if now.Before(g.readyAt) || !e.emit(g) {
			keep = append(keep, g)
		}
	}
	e.running = keep
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		g.readyAt = now.Add(e.prefillTime(g.prompt))
		e.running = append(e.running, g)
	}
	if len(e.running) == 0 {
		return 0
	}
	slowdown := 1 + e.config.BatchSlowdown*float64(len(e.running)-1)
	return time.Duration(float64(e.config.TokenTime) * slowdown)
}

// emit sends the next token. It returns true after the last one. The caller holds mu.
func (e *Engine) emit(g *generation) bool {
	g.tokens <- e.servingVersion() + " "
	g.left--
	if g.left > 0 {
		return false
	}
	close(g.tokens)
	return true
}

// servingVersion returns the first digits of the version that produces the next token. While a load is pending it is the old
// or the new version unpredictably: this is the hazard that agents have to avoid. The caller holds mu.
func (e *Engine) servingVersion() string {
	version := e.status.LoadedVersion
	if e.status.PendingVersion != "" && rand.IntN(2) == 0 {
		version = e.status.PendingVersion
	}
	return ShortVersion(version)
}

// ShortVersion returns the digits of a version that each token of an answer carries.
func ShortVersion(version string) string { return fmt.Sprintf("%.*s", versionDigits, version) }

// prefillTime returns the time for the part of the prompt that is not cached, and caches the prompt. The caller holds mu.
func (e *Engine) prefillTime(prompt string) time.Duration {
	cached, hit := 0, true
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		sum := sha256.Sum256([]byte(prompt[:end]))
		key := string(sum[:])
		if _, ok := e.prefix.Get(key); ok && hit {
			cached = end
			continue
		}
		hit = false
		e.prefix.Add(key, struct{}{})
	}
	e.cache.PromptBytes += len(prompt)
	e.cache.CachedBytes += cached
	tokens := (len(prompt) - cached + bytesPerToken - 1) / bytesPerToken
	return time.Duration(tokens) * e.config.PrefillTime
}
