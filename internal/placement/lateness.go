package placement

import (
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

const (
	// lateSpread is the difference of scores at which a candidate is not chosen beside the best one any more. The probability falls linearly
	// up to there. All entries choose with information that is 20 to 200 ms old, and engines turn slow after it: in package simulate, 0.1
	// makes 1.4 times as many first events late as 0.4 to 1.
	lateSpread = 0.6
	// maxRisk is the probability of a late first event up to which a request is accepted. It is lower for upstreams in other data centres,
	// maxRemoteRisk: reports of those arrive later.
	maxRisk       = 0.5
	maxRemoteRisk = 0.18
	// maxLateStreams is the expected number of late streams up to which a request is accepted: more would be late than it serves.
	maxLateStreams = 1
	// maxLateOthers is that number for a request that is late already and has only part of its value.
	maxLateOthers = 0.3
	// remoteDelay is added to predictions for upstreams in other data centres. In a burst of the longest prompts in package simulate, 19 of
	// 100 served streams are late with 80 ms and 15 of 100 with 120 ms; with 200 ms, fewer are served while one data centre has more
	// callers than others.
	remoteDelay = 120 * time.Millisecond
)

// sharedPassShare is the share of the unread prompt tokens at an upstream that it reads in the same pass as the next prompt. A prompt
// counts as unread for about 2.5 passes: the rest of the pass in which it arrives, the one that reads it, and the one that writes the first
// event.
const sharedPassShare = 0.4

// Lateness is the expected effect of a placement on the streams at the upstream.
type Lateness struct {
	// Known is set if the request was placed by its lateness.
	Known bool
	// Risk is the probability that the first event of the stream is late.
	Risk float64
	// Others is the expected number of other streams that the prompt makes late: running ones by a pause, waiting ones at their first event.
	Others float64
	// Unfinished is the probability that the stream is not complete when its caller times out.
	Unfinished float64
	// UnreadTokens are the prompt tokens that entries know to be unread at the upstream.
	UnreadTokens float64
	// SlowShare is the probability with which the upstream was assumed to be slow, SlowFactor its slowdown then.
	SlowShare, SlowFactor float64
}

// Streams returns the expected number of streams that the placement makes late.
func (l Lateness) Streams() float64 { return l.Risk + l.Others }

// weighsLateness reports whether the request is placed by the expected number of late streams.
func (q *Query) weighsLateness() bool {
	return q.Engine != nil && q.Target > 0 && q.MaxPause > 0 && q.Slow.Uneven
}

// ratedCandidate is a candidate with the expected effect of the placement.
type ratedCandidate struct {
	*Candidate
	// wait is the mean predicted time to the first event.
	wait     time.Duration
	lateness Lateness
	// score orders candidates, the best first: the predicted wait as a share of the target plus the expected numbers of late streams and of
	// streams that are not completed.
	score float64
}

// chooseByLateness selects an upstream of this data centre by the expected number of late streams or, if even the best of them would make
// too many streams late, one of all.
func chooseByLateness(q *Query, candidates []Candidate) Decision {
	list := rateAll(q, candidates)
	if !q.MustPlace {
		local := list[:0:0]
		for _, r := range list {
			if r.Local {
				local = append(local, r)
			}
		}
		if len(local) > 0 && len(local) < len(list) {
			if d := admitBest(q, local); d.Upstream != nil {
				return d
			}
		}
	}
	return admitBest(q, list)
}

// rateAll rates the candidates.
func rateAll(q *Query, candidates []Candidate) []ratedCandidate {
	list := make([]ratedCandidate, len(candidates))
	for i := range candidates {
		list[i] = rate(q, &candidates[i], q.PromptTokens)
	}
	return list
}

// rate predicts the effect of a prompt of the given length at a candidate.
func rate(q *Query, c *Candidate, promptTokens float64) ratedCandidate {
	w := c.Work
	w.Slowdown = 1
	normal := PredictFirstEvent(q.Engine, w, promptTokens)
	slow, factor := q.Slow.slowProbability(&c.Work, normal/2)
	r := ratedCandidate{Candidate: c, wait: time.Duration(float64(normal) * (1 + slow*(factor-1))),
		lateness: Lateness{Known: true, UnreadTokens: w.OwnTokens + w.OthersTokens, SlowShare: slow, SlowFactor: factor}}
	delay := time.Duration(0)
	if !c.Local {
		delay = remoteDelay
	}
	timing := newTiming(q, &w, float64(normal), promptTokens)
	timing.untilLate -= float64(delay)
	r.lateness.Risk = (1-slow)*timing.risk(1) + slow*timing.risk(factor)
	r.lateness.Others = (1-slow)*timing.lateOthers(1) + slow*timing.lateOthers(factor)
	// An upstream that is slow now may stay so. Without this term, long answers time out at slow upstreams that are otherwise idle.
	duration := float64(r.wait) + timing.writing(q)*(1+slow*(factor-1))
	r.lateness.Unfinished = lateProbability(duration, float64(q.Remaining))
	r.score = float64(r.wait+delay)/float64(max(q.Target, 1)) + r.lateness.Streams() + r.lateness.Unfinished
	return r
}

// timing holds what happens at an upstream at normal speed. Times are in nanoseconds.
type timing struct {
	// first is the time to the first event, prompt the part of it in which the prompt itself is read, and pass the time of the pass beside
	// which that happens.
	first, prompt, pass float64
	// untilLate is the time after which the first event is late, target that of a stream that arrives now, and maxPause the time between
	// two events after which a running stream is late.
	untilLate, target, maxPause float64
	// running and waiting are the streams at the upstream that have had an event, and those that have had none.
	running, waiting float64
}

func newTiming(q *Query, w *Work, first, promptTokens float64) timing {
	slots := float64(max(q.Engine.Slots, 1))
	inProgress := float64(max(w.OwnRunning+w.OthersRunning, w.Running+w.Waiting+w.SentSinceReport))
	t := timing{first: first, waiting: float64(w.OwnWaiting + w.OthersWaiting), prompt: readTime(q.Engine, promptTokens),
		untilLate: float64(q.Target - q.Elapsed), target: float64(q.Target), maxPause: float64(q.MaxPause)}
	t.running = max(min(inProgress, slots)-t.waiting, 0)
	t.pass = float64(PassTime(q.Engine, t.running)) + readTime(q.Engine, (w.OwnTokens+w.OthersTokens)*sharedPassShare)
	return t
}

// readTime returns the time in which an engine reads prompt tokens, in nanoseconds.
func readTime(e *catalog.Engine, tokens float64) float64 {
	return tokens / max(e.PrefillTokensPerSecond, 1) * float64(time.Second)
}

// writing returns the time in which the engine writes the answer at normal speed, 0 if its length is not known. Prompts of other requests are read
// in its passes, the more the fuller the engine is.
func (t *timing) writing(q *Query) float64 {
	events := q.AnswerTokens / float64(max(q.Engine.StepsPerPass, 1))
	full := min(t.running/float64(max(q.Engine.Slots, 1)), 1)
	return events * float64(PassTime(q.Engine, t.running)) * (1 + prefillRatio*full)
}

// risk returns the probability that the first event of the request is late at a slowdown.
func (t *timing) risk(slowdown float64) float64 {
	return lateProbability(t.first*slowdown, t.untilLate)
}

// lateOthers returns how many other streams the prompt makes late at a slowdown. Waiting ones are taken to have arrived just now.
func (t *timing) lateOthers(slowdown float64) float64 {
	byPause := lateProbability((t.pass+t.prompt)*slowdown, t.maxPause) - lateProbability(t.pass*slowdown, t.maxPause)
	atFirst := lateProbability(t.first*slowdown, t.target) - lateProbability((t.first-t.prompt)*slowdown, t.target)
	return t.running*byPause + t.waiting*atFirst
}

// lateProbability returns the probability that something takes longer than limit that is predicted to take a time. It follows a
// log-logistic distribution around the prediction: 0.02 at half of the limit, 0.5 at the limit, 0.92 at 1.5 times the limit.
func lateProbability(predicted, limit float64) float64 {
	if limit <= 0 {
		return 1
	}
	square := predicted / limit * predicted / limit
	odds := square * square * square
	return odds / (1 + odds)
}

// admitBest chooses at random among the best of the candidates, or refuses the request if the best one would make too many
// streams late.
func admitBest(q *Query, list []ratedCandidate) Decision {
	best := list[0]
	for _, r := range list[1:] {
		if r.score < best.score {
			best = r
		}
	}
	if !q.MustPlace && !underHalfFull(*q, *best.Candidate) && makesTooManyLate(q, &best) {
		d := best.decision()
		d.Upstream, d.Reason, d.RetryAfter = nil, NoCapacity, q.untilRead(&best)
		return d
	}
	return pickNear(list, best).decision()
}

// decision returns the decision to place a request at the candidate.
func (r *ratedCandidate) decision() Decision {
	return Decision{Upstream: r.Upstream, PredictedWait: r.wait, Work: r.Work, Local: r.Local, Lateness: r.lateness}
}

// pickNear chooses at random among the candidates whose score is within lateSpread of the best one. The better a score, the more likely.
func pickNear(list []ratedCandidate, best ratedCandidate) *ratedCandidate {
	chosen, total := &best, 0.0
	for i := range list {
		weight := 1 - (list[i].score-best.score)/lateSpread
		if weight <= 0 {
			continue
		}
		total += weight
		if rand.Float64()*total < weight {
			chosen = &list[i]
		}
	}
	return chosen
}

// makesTooManyLate reports whether a request would make too many streams late at the best candidate. A prompt of mean length is assumed:
// otherwise long prompts would be refused more often. Requests of less urgent classes, callers that come back and late requests also yield
// by their predicted wait, see waitLimit.
func makesTooManyLate(q *Query, best *ratedCandidate) bool {
	mean := rate(q, best.Candidate, q.Engine.MeanPromptTokens)
	late := q.Elapsed >= q.Target/2
	if (late || q.Returning || q.MaxWait > 0) && mean.wait > waitLimit(*q) {
		return true
	}
	if late {
		return mean.lateness.Others > maxLateOthers
	}
	limit := maxRisk
	if !best.Local {
		limit = maxRemoteRisk
	}
	return mean.lateness.Risk > limit || mean.lateness.Streams() > maxLateStreams
}

// untilRead returns the time after which a refused caller should come back: that until the candidate has read its prompts.
func (q *Query) untilRead(r *ratedCandidate) time.Duration {
	slowdown := 1 + r.lateness.SlowShare*(r.lateness.SlowFactor-1)
	reading := time.Duration(readTime(q.Engine, r.lateness.UnreadTokens) * slowdown)
	return withJitter(min(max(reading, minRetryAfter), maxRetryAfter))
}
