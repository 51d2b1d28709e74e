package relay

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/placement"
)

const (
	// answerMargin times the caller's estimate of the rest of an answer is the length that is expected: estimates are often too short.
	answerMargin = 1.5
	// sameTurn is the difference between turns that count as one: those of different data centres come together.
	sameTurn = 300 * time.Millisecond
)

// avoidInterruptions returns the candidates at which a stream that has begun can be completed before they interrupt their requests to load
// a version, or else those that do so last. A stream that is interrupted once more may have no further run.
func (x *exchange) avoidInterruptions(list []placement.Candidate, now time.Time) []placement.Candidate {
	if x.engine == nil || !x.responseStarted.hasBegun() {
		return list
	}
	var steady, last []placement.Candidate
	var lastTurn time.Time
	rest := placement.PredictDecode(x.engine, x.expectedTokens())
	for _, c := range list {
		load, age, known := x.relay.cfg.Loads.Get(c.Upstream.Address)
		turn := now.Add(time.Duration(load.TurnInMillis)*time.Millisecond - age)
		completed := now.Add(placement.PredictFirstEvent(x.engine, c.Work, float64(x.meta.PromptTokens)) + rest)
		switch {
		case !known || load.TurnInMillis == 0 || turn.After(completed):
			steady = append(steady, c)
		case turn.After(lastTurn.Add(sameTurn)):
			last, lastTurn = []placement.Candidate{c}, turn
		case turn.After(lastTurn.Add(-sameTurn)):
			last = append(last, c)
		}
	}
	if len(steady) > 0 {
		return steady
	}
	return last
}

// avoidOlderWeights returns the candidates that hold the version on which a stream that has begun runs, or a newer one. It returns all if there
// is none: the stream goes back to an older version only if it would be cut otherwise.
func (x *exchange) avoidOlderWeights(list []placement.Candidate) []placement.Candidate {
	if x.engine == nil || x.events.version == 0 {
		return list
	}
	var current []placement.Candidate
	for _, c := range list {
		if version, _ := x.lastKnownVersion(c.Upstream); version >= x.events.version {
			current = append(current, c)
		}
	}
	if len(current) == 0 {
		return list
	}
	return current
}

// expectedTokens returns how many tokens the rest of a stream may have.
func (x *exchange) expectedTokens() float64 {
	expected := answerMargin * float64(x.meta.AnswerHint)
	if expected == 0 {
		expected = answerMargin * x.engine.MeanAnswerTokens
	}
	if longest := float64(x.meta.MaxAnswerTokens); longest > 0 {
		expected = min(expected, longest)
	}
	perEvent := float64(max(x.engine.StepsPerPass, 1)) // An event holds the tokens of a pass.
	return max(expected-float64(x.events.lastID)*perEvent, perEvent)
}
