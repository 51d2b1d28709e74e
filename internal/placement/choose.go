package placement

import (
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

const (
	// remotePenalty is what a shorter wait in another data centre has to gain: bytes between regions are dear.
	remotePenalty = 50 * time.Millisecond
	// localShare is the part of the target up to which a wait in the own data centre is taken without a look at others.
	localShare = 0.28
	// nearTie is the difference of predictions within which the choice is random, so that several entries that saw the same
	// report do not all choose the same upstream.
	nearTie = 12 * time.Millisecond
	// targetShare is the part of the target that a prediction may take: the answer has to come back, and predictions are off.
	targetShare = 0.85
	// lateLimit bounds the predicted wait of a request that cannot be in time any more. It is short: if such requests could fill
	// the queues, those that can still be in time would be late too, and so on for as long as the load lasts.
	lateLimit = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a refused caller should return. A caller waits at most a third of its time.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1900 * time.Millisecond
	// absentRetryAfter is when a caller should return while no upstream can take its request at all: servers that have lost
	// their weights need 2.5 s for them. A caller that returns too soon has used up its only repeat.
	absentRetryAfter = 1500 * time.Millisecond
	// plainCost is the assumed time of a request at a plain service, for comparison only.
	plainCost = 30 * time.Millisecond
)

// Reason says why a request was refused. It is a label in logs and metrics.
type Reason string

// Reasons of refusals.
const (
	NoUpstream Reason = "no-upstream"
	NoVersion  Reason = "no-version"
	NoRoom     Reason = "no-room"
	TooLate    Reason = "too-late"
)

// Candidate is an upstream that could take the request.
type Candidate struct {
	Upstream *catalog.Upstream
	Work     Work
	// Local tells that it is in the own data centre.
	Local bool
	// Suspect upstreams have failed lately. They are used only if there is no other.
	Suspect bool
}

// Query describes the request to be placed.
type Query struct {
	Engine *catalog.Engine
	Prompt float64
	// Target is the time to the first event or the answer that earns the full benefit, Elapsed what of it has passed.
	Target, Elapsed time.Duration
	// Left is the time until the caller gives up.
	Left time.Duration
	// Room is the longest predicted wait with which the request is taken beside more urgent kinds; 0 is no such limit. See Floors.
	Room time.Duration
	// MustPlace tells that the request has begun and has to be continued somewhere: it is never refused for lack of room.
	MustPlace bool
}

// Decision is the outcome. Upstream is nil if the request is refused.
type Decision struct {
	Upstream  *catalog.Upstream
	Predicted time.Duration
	// Work is what was known of the upstream, or of the best one if the request is refused.
	Work       Work
	Local      bool
	Reason     Reason
	RetryAfter time.Duration
}

// Choose selects the upstream at which the first event is predicted to come first, or refuses.
func Choose(q Query, candidates []Candidate) Decision {
	candidates = preferSound(candidates)
	if len(candidates) == 0 {
		return Decision{Reason: NoUpstream, RetryAfter: jittered(absentRetryAfter)}
	}
	best, wait := shortest(q, onlyLocal(candidates))
	if best.Upstream == nil || wait > time.Duration(float64(q.Target)*localShare) {
		best, wait = shortest(q, candidates)
	}
	if limit := allowed(q); !q.MustPlace && usual(q, wait) > limit && !halfEmpty(q, best) {
		return Decision{Predicted: wait, Work: best.Work, Local: best.Local, Reason: NoRoom,
			RetryAfter: jittered(min(max(wait-limit, minRetryAfter), maxRetryAfter))}
	}
	return Decision{Upstream: best.Upstream, Predicted: wait, Work: best.Work, Local: best.Local}
}

// shortest returns the candidate at which the first event is predicted to come first, with the prediction.
func shortest(q Query, candidates []Candidate) (best Candidate, wait time.Duration) {
	cost := time.Duration(1 << 62)
	ties := 0
	for _, c := range candidates {
		predicted := predict(q, c)
		score := predicted
		if !c.Local {
			score += remotePenalty
		}
		switch {
		case score < cost-nearTie:
			best, cost, wait, ties = c, score, predicted, 1
		case score < cost+nearTie:
			ties++
			if rand.IntN(ties) == 0 {
				best, wait = c, predicted
			}
			cost = min(cost, score)
		}
	}
	return best, wait
}

func onlyLocal(list []Candidate) []Candidate {
	out := make([]Candidate, 0, len(list))
	for _, c := range list {
		if c.Local {
			out = append(out, c)
		}
	}
	return out
}

// halfEmpty tells whether less than half of the slots of an upstream are taken. Nothing is refused then: what waits there is about to
// be read.
func halfEmpty(q Query, c Candidate) bool {
	w := c.Work
	taken := max(w.Running+w.Waiting+w.SentSince, w.OwnRunning+w.OthersRunning)
	return q.Engine != nil && 2*taken < q.Engine.Slots
}

// allowed returns the longest predicted wait with which a request is still taken.
func allowed(q Query) time.Duration {
	if q.Engine == nil {
		return q.Left
	}
	limit := inTimeLimit(q)
	if q.Room > 0 {
		limit = min(limit, q.Room)
	}
	return limit
}

// usual returns the wait that a request with a prompt of the usual size would have. Long prompts must not be refused more often
// than short ones: they are worth more.
func usual(q Query, wait time.Duration) time.Duration {
	if q.Engine == nil {
		return wait
	}
	return wait - seconds((q.Prompt-q.Engine.MeanPromptTokens)/max(q.Engine.PrefillTokensPerSecond, 1))
}

func inTimeLimit(q Query) time.Duration {
	inTime := time.Duration(float64(q.Target)*targetShare) - q.Elapsed
	if inTime > 0 && q.Elapsed < q.Target/2 {
		return min(inTime, q.Left)
	}
	return min(lateLimit, q.Left/2)
}

func predict(q Query, c Candidate) time.Duration {
	if q.Engine == nil {
		return time.Duration(float64(plainCost) * (1 + float64(max(c.Work.OwnRunning, c.Work.Running))/float64(max(c.Upstream.Slots, 1))))
	}
	return FirstEvent(q.Engine, c.Work, q.Prompt)
}

// preferSound leaves out suspects unless there is nothing else.
func preferSound(list []Candidate) []Candidate {
	sound := make([]Candidate, 0, len(list))
	for _, c := range list {
		if !c.Suspect {
			sound = append(sound, c)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return list
}

// jittered spreads callers that are refused together, so that they do not return together.
func jittered(d time.Duration) time.Duration {
	return min(d+rand.N(d/2+1), maxRetryAfter)
}
