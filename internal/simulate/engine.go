package simulate

import (
	"sort"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// job is one attempt of a request at an engine.
type job struct {
	req *request
	// rank orders the queue, lowest first; jobs of the same rank keep the order in which they arrived.
	rank    int
	arrived time.Duration
	// promptRemaining are the prompt tokens still to prefill, answerRemaining the answer tokens still to generate.
	promptRemaining, answerRemaining float64
	// done is set when the answer is complete, was interrupted, or the caller has left.
	done bool
}

// engine models one engine by the cost model in spec. In each pass it admits jobs by rank, prefills prompts in chunks and generates
// StepsPerPass tokens of each answer whose prompt was prefilled before the pass.
type engine struct {
	id         string
	dataCentre int
	spec       *catalog.Engine
	// availableAt is the time from which requests are placed at the engine. For an added engine it is initially the time at which the
	// engine first has weights. When the drain before the load of a new version starts, it is set to the end of that load.
	availableAt time.Duration
	waiting     []*job
	running     []*job
	busy        bool
	// reportedRunning, reportedWaiting and reportedAt describe the end of the latest pass.
	reportedRunning, reportedWaiting int
	reportedAt                       time.Duration
	// queueLimit bounds the number of waiting jobs.
	queueLimit int
	// slowdown is the factor by which a pass that starts now takes longer than normal.
	slowdown float64
}

// enqueue adds a job to the queue and reports whether there was space for it.
func (e *engine) enqueue(j *job) bool {
	if len(e.waiting) >= e.queueLimit {
		return false
	}
	e.waiting = append(e.waiting, j)
	return true
}

// startPass starts a pass and returns its duration and the function to call at its end. The last result is false if the engine has no
// jobs.
func (e *engine) startPass() (time.Duration, func(now time.Duration), bool) {
	e.waiting, e.running = withoutDone(e.waiting), withoutDone(e.running)
	sort.SliceStable(e.waiting, func(i, k int) bool { return e.waiting[i].rank < e.waiting[k].rank })
	for len(e.running) < e.spec.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return 0, nil, false
	}
	var decoding []*job
	for _, j := range e.running {
		if j.promptRemaining <= 0 {
			decoding = append(decoding, j)
		}
	}
	steps := 1 // The number of steps of a pass that only prefills.
	if len(decoding) > 0 {
		steps = e.spec.StepsPerPass
	}
	prefilled, pairs := e.prefill(float64(e.spec.PrefillChunkTokens * steps))
	duration := time.Duration(prefilled/e.spec.PrefillTokensPerSecond*float64(time.Second) +
		pairs/1e6*float64(e.spec.PrefillTimePerMillionPairs))
	// PassTime is the duration of StepsPerPass steps.
	duration += time.Duration(float64(placement.PassTime(e.spec, float64(len(decoding)))) *
		float64(steps) / float64(max(e.spec.StepsPerPass, 1)))
	duration = time.Duration(float64(duration) * e.slowdown)
	return duration, func(now time.Duration) { e.finishPass(decoding, now) }, true
}

// prefill prefills up to budget prompt tokens in the order of admission. It returns the number of tokens prefilled and of pairs of one of
// them and an earlier token of its prompt.
func (e *engine) prefill(budget float64) (tokens, pairs float64) {
	left := budget
	for _, j := range e.running {
		if n := min(j.promptRemaining, left); n > 0 {
			earlier := max(j.req.prompt-j.promptRemaining, 0)
			pairs += n * (earlier + n/2)
			j.promptRemaining -= n
			left -= n
		}
	}
	return budget - left, pairs
}

// finishPass delivers one event of the answer to the request of each decoding job, completes finished answers and updates the reported
// counts.
func (e *engine) finishPass(decoding []*job, now time.Duration) {
	for _, j := range decoding {
		if j.done {
			continue
		}
		j.answerRemaining -= float64(e.spec.StepsPerPass)
		j.req.recordEvent(j, now)
		if j.answerRemaining <= 0 {
			j.done = true
			j.req.complete(j, now)
		}
	}
	e.running = withoutDone(e.running)
	e.reportedRunning, e.reportedWaiting, e.reportedAt = len(e.running), len(e.waiting), now
}

// withoutDone removes the jobs that are done, in place.
func withoutDone(list []*job) []*job {
	out := list[:0]
	for _, j := range list {
		if !j.done {
			out = append(out, j)
		}
	}
	return out
}
