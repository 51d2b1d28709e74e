package placement

import (
	"math/rand/v2"
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

const (
	// remotePenalty is added to the predicted time of an upstream in another data centre when candidates are compared, because traffic
	// between regions is expensive.
	remotePenalty = 50 * time.Millisecond
	// localTargetShare is the share of the target up to which the predicted wait at a local upstream is accepted without considering
	// upstreams in other data centres.
	localTargetShare = 0.28
	// tieMargin is the difference between predictions within which the choice is random, so that entries that received the same
	// report do not all choose the same upstream.
	tieMargin = 12 * time.Millisecond
	// maxTargetShare is the share of the target that a predicted wait may use. The rest allows for the time until the answer reaches
	// the caller and for errors of the prediction.
	maxTargetShare = 0.85
	// maxLateWait bounds the predicted wait of a request that can no longer meet its target. It is short: if such requests filled
	// the queues, requests that can still meet their target would miss it too, for as long as the load lasts.
	maxLateWait = 500 * time.Millisecond
	// returnShare bounds the predicted wait of a request that has been refused before, as a share of the wait that a first attempt may
	// have. While upstreams are short of capacity, each returning caller that is served takes the place of a new one, which is answered
	// sooner and more often in time. After a burst, waits are short and both are served.
	returnShare = 0.25
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller should retry. Before a retry, a caller waits at
	// most a third of its timeout.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1900 * time.Millisecond
	// unavailableRetryAfter is the retry delay while no upstream can serve the request at all. An upstream that has lost its
	// weights needs 2.5 s to load them, and a caller that retries too early has used up its only retry.
	unavailableRetryAfter = 1500 * time.Millisecond
	// plainServiceTime is the assumed duration of a request at a service without an engine. It only serves to compare upstreams.
	plainServiceTime = 30 * time.Millisecond
)

// Reason is the cause of a refusal. Its value is a label in logs and metrics.
type Reason string

// Reasons for refusing a request.
const (
	// NoUpstream means that there is no candidate.
	NoUpstream Reason = "no-upstream"
	// NoVersion means that upstreams are ready but none qualifies as a candidate, for example because none has the required version
	// of the weights. The caller of Choose sets it.
	NoVersion Reason = "no-version"
	// NoCapacity means that the shortest predicted wait exceeds the limit.
	NoCapacity Reason = "no-room"
)

// Candidate is an upstream that can serve the request.
type Candidate struct {
	Upstream *catalog.Upstream
	Work     Work
	// Local reports whether the upstream is in the data centre of this node.
	Local bool
	// Suspect is set when the upstream has failed recently or seems to be down. It is then used only if all candidates are suspects.
	Suspect bool
}

// Query describes the request to be placed.
type Query struct {
	// Engine is nil for a service without an engine.
	Engine       *catalog.Engine
	PromptTokens float64
	// AnswerTokens is the largest length of the answer, 0 if it is not known.
	AnswerTokens float64
	// Target is the time within which the first event or the answer has to arrive to be of full value to the caller. Elapsed is the
	// time that has already passed.
	Target, Elapsed time.Duration
	// Remaining is the time until the caller times out.
	Remaining time.Duration
	// Returning is set when the caller comes back after a refusal.
	Returning bool
	// MaxWait bounds the predicted wait in favour of more urgent traffic classes; 0 sets no bound. See PriorityLimiter.
	MaxWait time.Duration
	// MustPlace is set when the request has already started and has to be continued at some upstream. It is then never refused
	// because of a long wait.
	MustPlace bool
	// MaxPause is the longest pause between two events of a stream that counts as on time; 0 if the route has no limit. Slow describes the
	// slow upstreams of the service. With both, the request is placed by the expected number of late streams, see Lateness.
	MaxPause time.Duration
	Slow     Slowness
}

// Decision is the result of Choose. Upstream is nil if the request is refused.
type Decision struct {
	Upstream *catalog.Upstream
	// PredictedWait is the predicted time to the first event at the chosen upstream, or at the best candidate if the request is
	// refused. Work and Local describe the same upstream.
	PredictedWait time.Duration
	Work          Work
	Local         bool
	// Lateness is the expected effect at the same upstream, the zero value if it did not decide.
	Lateness Lateness
	// Reason and RetryAfter are set only if the request is refused.
	Reason     Reason
	RetryAfter time.Duration
}

// Choose selects the candidate with the shortest predicted time to the first event. Suspects are considered only if all candidates
// are suspects, and upstreams in other data centres only if there is no local one or its wait is too long.
//
// Choose refuses a request without candidates. It also refuses one whose predicted time, corrected to a prompt of mean length, exceeds
// the limit, unless q.MustPlace is set or less than half of the slots of the selected upstream are in use.
func Choose(q Query, candidates []Candidate) Decision {
	candidates = preferHealthy(candidates)
	if len(candidates) == 0 {
		return Decision{Reason: NoUpstream, RetryAfter: withJitter(unavailableRetryAfter)}
	}
	if q.weighsLateness() {
		return chooseByLateness(&q, candidates)
	}
	best, wait := shortestWait(q, filterLocal(candidates))
	if best.Upstream == nil || wait > time.Duration(float64(q.Target)*localTargetShare) {
		best, wait = shortestWait(q, candidates)
	}
	if limit := waitLimit(q); !q.MustPlace && admissionWait(q, best, wait) > limit && !underHalfFull(q, best) {
		return Decision{PredictedWait: wait, Work: best.Work, Local: best.Local, Reason: NoCapacity,
			RetryAfter: withJitter(min(max(wait-limit, minRetryAfter), maxRetryAfter))}
	}
	return Decision{Upstream: best.Upstream, PredictedWait: wait, Work: best.Work, Local: best.Local}
}

// shortestWait returns the candidate with the shortest predicted time to the first event, and that prediction. The comparison adds
// remotePenalty to remote candidates and chooses at random among those within tieMargin. Without candidates, best.Upstream is nil.
func shortestWait(q Query, candidates []Candidate) (best Candidate, wait time.Duration) {
	bestScore := time.Duration(1 << 62) // Longer than any prediction; adding tieMargin does not overflow.
	ties := 0
	for _, c := range candidates {
		predicted := predict(q, c)
		score := predicted
		if !c.Local {
			score += remotePenalty
		}
		switch {
		case score < bestScore-tieMargin:
			best, bestScore, wait, ties = c, score, predicted, 1
		case score < bestScore+tieMargin:
			ties++
			if rand.IntN(ties) == 0 {
				best, wait = c, predicted
			}
			bestScore = min(bestScore, score)
		}
	}
	return best, wait
}

// filterLocal returns the candidates in the data centre of this node.
func filterLocal(list []Candidate) []Candidate {
	out := make([]Candidate, 0, len(list))
	for _, c := range list {
		if c.Local {
			out = append(out, c)
		}
	}
	return out
}

// underHalfFull reports whether less than half of the slots of an upstream are in use. No request is refused in that case, because
// the prompts that wait there will be read shortly. It returns false for a service without an engine.
func underHalfFull(q Query, c Candidate) bool {
	w := c.Work
	inProgress := max(w.Running+w.Waiting+w.SentSinceReport, w.OwnRunning+w.OthersRunning)
	return q.Engine != nil && 2*inProgress < q.Engine.Slots
}

// waitLimit returns the longest predicted wait with which a request is still accepted.
func waitLimit(q Query) time.Duration {
	if q.Engine == nil {
		return q.Remaining
	}
	limit, firstLimit := targetLimit(q), targetWait(q)
	if q.MaxWait > 0 {
		limit, firstLimit = min(limit, q.MaxWait), min(firstLimit, q.MaxWait)
	}
	if q.Returning {
		limit = min(limit, time.Duration(float64(firstLimit)*returnShare))
	}
	return limit
}

// waitForMeanPrompt returns the predicted wait corrected to a prompt of mean length. Without the correction, long prompts
// would be refused more often than short ones although they are worth more.
func waitForMeanPrompt(q Query, wait time.Duration) time.Duration {
	if q.Engine == nil {
		return wait
	}
	return wait - secondsToDuration((q.PromptTokens-q.Engine.MeanPromptTokens)/max(q.Engine.PrefillTokensPerSecond, 1))
}

// targetLimit returns the longest wait with which a request meets its target, or a short limit for a late request:
// one that has used half of its target already or cannot meet it any more. A late request also waits at most half of its remaining
// time.
func targetLimit(q Query) time.Duration {
	untilTarget := targetWait(q) - q.Elapsed
	if untilTarget > 0 && q.Elapsed < q.Target/2 {
		return min(untilTarget, q.Remaining)
	}
	return min(maxLateWait, q.Remaining/2)
}

// targetWait returns the longest predicted wait with which a request meets its target if no time has passed yet.
func targetWait(q Query) time.Duration { return time.Duration(float64(q.Target) * maxTargetShare) }

// predict returns the predicted time to the first event at a candidate, or to the answer of a service without an engine.
func predict(q Query, c Candidate) time.Duration {
	if q.Engine == nil {
		return predictPlain(c)
	}
	return PredictFirstEvent(q.Engine, c.Work, q.PromptTokens)
}

// preferHealthy drops suspect candidates unless all are suspect.
func preferHealthy(list []Candidate) []Candidate {
	healthy := make([]Candidate, 0, len(list))
	for _, c := range list {
		if !c.Suspect {
			healthy = append(healthy, c)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return list
}

// withJitter adds up to half of d, so that callers refused together do not all retry together. The result is at most maxRetryAfter.
func withJitter(d time.Duration) time.Duration {
	return min(d+rand.N(d/2+1), maxRetryAfter)
}
