package fake

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// prefixBlockBytes is the block size of the prefix cache. The help text of the flag -prefix-blocks of pimentofake repeats it.
	prefixBlockBytes = 256
	// bytesPerToken is the number of prompt bytes that count as one token.
	bytesPerToken = 4
	// versionDigits is the number of hex digits of a version that each generated token carries.
	versionDigits = 8
)

// generation is the state of one request in the engine.
type generation struct {
	// priority 0 is the most urgent.
	priority int
	// arrival numbers requests in order of arrival.
	arrival uint64
	prompt  string
	// remaining is the number of tokens still to be generated.
	remaining int
	// readyAt is the end of the prefill.
	readyAt time.Time
	// tokens has capacity for all tokens, so that the step loop never blocks. It is closed after the last token.
	tokens chan string
}

// submit adds a request to the queue behind all requests that are at least as urgent.
func (e *Engine) submit(priority int, prompt string, maxTokens int) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	g := &generation{
		priority: priority, arrival: e.arrivals, prompt: prompt, remaining: maxTokens, tokens: make(chan string, maxTokens),
	}
	index := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].priority > priority })
	e.waiting = append(e.waiting[:index], append([]*generation{g}, e.waiting[index:]...)...)
	select {
	case e.workAdded <- struct{}{}:
	default: // A wake-up is pending already.
	}
	return g
}

// cancel removes a request from the queue or the batch.
func (e *Engine) cancel(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting, e.running = removeGeneration(e.waiting, g), removeGeneration(e.running, g)
}

// removeGeneration returns a copy of list without g.
func removeGeneration(list []*generation, g *generation) []*generation {
	rest := make([]*generation, 0, len(list))
	for _, other := range list {
		if other != g {
			rest = append(rest, other)
		}
	}
	return rest
}

// runSteps is the step loop. Each step generates one token for every request in the batch whose prefill has ended.
func (e *Engine) runSteps() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		untilNextStep := e.step()
		if untilNextStep == 0 {
			select {
			case <-e.workAdded:
				continue
			case <-e.done:
				return
			}
		}
		timer.Reset(untilNextStep)
		select {
		case <-timer.C:
		case <-e.done:
			return
		}
	}
}

// step emits tokens, then admits waiting requests to the batch. It returns the time until the next step, or 0 when there is no
// work.
func (e *Engine) step() time.Duration {
	fault, _ := e.faults.get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if fault.Freeze {
		return e.config.TokenTime
	}
	now := time.Now()
	stillRunning := make([]*generation, 0, e.config.MaxBatch)
	for _, g := range e.running {
		if now.Before(g.readyAt) || !e.emitToken(g) {
			stillRunning = append(stillRunning, g)
		}
	}
	e.running = stillRunning
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

// emitToken sends the next token and reports whether it was the last one. The caller holds mu.
func (e *Engine) emitToken(g *generation) bool {
	g.tokens <- e.servingVersion() + " "
	g.remaining--
	if g.remaining > 0 {
		return false
	}
	close(g.tokens)
	return true
}

// servingVersion returns the short form of the version that generates the next token. While a load is pending it picks the loaded
// or the pending version at random: an engine may mix versions during a load, so agents must not send it requests then. The
// caller holds mu.
func (e *Engine) servingVersion() string {
	version := e.status.LoadedVersion
	if e.status.PendingVersion != "" && rand.IntN(2) == 0 {
		version = e.status.PendingVersion
	}
	return ShortVersion(version)
}

// ShortVersion returns the first digits of a version, which each token of an answer carries.
func ShortVersion(version string) string { return fmt.Sprintf("%.*s", versionDigits, version) }

// prefillTime returns the prefill time of the part of the prompt that is not in the prefix cache, and adds all complete blocks of
// the prompt to the cache. The caller holds mu.
func (e *Engine) prefillTime(prompt string) time.Duration {
	cached, prefixCached := 0, true
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		sum := sha256.Sum256([]byte(prompt[:end]))
		key := string(sum[:])
		if _, ok := e.prefixCache.Get(key); ok && prefixCached {
			cached = end
			continue
		}
		prefixCached = false
		e.prefixCache.Add(key, struct{}{})
	}
	e.cacheStats.PromptBytes += len(prompt)
	e.cacheStats.CachedBytes += cached
	tokens := (len(prompt) - cached + bytesPerToken - 1) / bytesPerToken
	return time.Duration(tokens) * e.config.PrefillTime
}
