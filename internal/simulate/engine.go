package simulate

import (
	"sort"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/placement"
)

// job is a request at an engine.
type job struct {
	req *request
	// rank and arrived order the queue.
	rank    int
	arrived time.Duration
	// unread are prompt tokens that are not read yet, unwritten answer tokens that are not written yet.
	unread, unwritten float64
	gone              bool
}

// engine runs the published pass: it admits by rank, reads prompts in chunks beside the steps, and writes Stride tokens of each
// running answer in a pass.
type engine struct {
	id     string
	centre int
	spec   *catalog.Engine
	// loaded is when it holds weights.
	loaded  time.Duration
	waiting []*job
	running []*job
	busy    bool
	// reported counts are those of the end of the newest pass.
	reportedRunning, reportedWaiting int
	reportedAt                       time.Duration
	// queueLimit bounds waiting requests; more are declined.
	queueLimit int
}

// offer takes a job, or declines it.
func (e *engine) offer(j *job) bool {
	if len(e.waiting) >= e.queueLimit {
		return false
	}
	e.waiting = append(e.waiting, j)
	return true
}

// plan starts a pass and returns its duration with what has to happen at its end; false if there is nothing to do.
func (e *engine) plan() (time.Duration, func(now time.Duration), bool) {
	e.waiting, e.running = present(e.waiting), present(e.running)
	sort.SliceStable(e.waiting, func(i, k int) bool { return e.waiting[i].rank < e.waiting[k].rank })
	for len(e.running) < e.spec.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return 0, nil, false
	}
	var writers []*job
	for _, j := range e.running {
		if j.unread <= 0 {
			writers = append(writers, j)
		}
	}
	steps := 1
	if len(writers) > 0 {
		steps = e.spec.StepsPerPass
	}
	read := e.read(float64(e.spec.PrefillChunkTokens * steps))
	took := time.Duration(read / e.spec.PrefillTokensPerSecond * float64(time.Second))
	took += time.Duration(float64(placement.PassTime(e.spec, float64(len(writers)))) * float64(steps) / float64(max(e.spec.StepsPerPass, 1)))
	return took, func(now time.Duration) { e.finish(writers, now) }, true
}

// read reads prompts in the order in which they were admitted, up to budget tokens, and returns the tokens read.
func (e *engine) read(budget float64) float64 {
	left := budget
	for _, j := range e.running {
		if n := min(j.unread, left); n > 0 {
			j.unread -= n
			left -= n
		}
	}
	return budget - left
}

// finish writes the events of a pass.
func (e *engine) finish(writers []*job, now time.Duration) {
	for _, j := range writers {
		if j.gone {
			continue
		}
		j.unwritten -= float64(e.spec.StepsPerPass)
		j.req.event(j, now)
		if j.unwritten <= 0 {
			j.gone = true
			j.req.complete(j, now)
		}
	}
	e.running = present(e.running)
	e.reportedRunning, e.reportedWaiting, e.reportedAt = len(e.running), len(e.waiting), now
}

// present leaves out jobs whose callers have left or that have ended.
func present(list []*job) []*job {
	out := list[:0]
	for _, j := range list {
		if !j.gone {
			out = append(out, j)
		}
	}
	return out
}
