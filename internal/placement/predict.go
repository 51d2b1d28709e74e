// Package placement decides which upstream serves a request, whether the request is refused, and when a refused caller should retry.
//
// Its functions compute a decision from the state known to the node. They do not access the network and take their clock from the
// caller.
package placement

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// Work is the work in progress at one upstream as far as this node knows.
type Work struct {
	// Running and Waiting are the request counts in the newest report of the upstream. ReportAge is the age of that report. For
	// a remote upstream, package relay raises it to the age of the work that the entries there reported, if that is greater.
	Running, Waiting int
	ReportAge        time.Duration
	// Remote is set when the upstream is in another data centre. The entries there use it as well, and their reports arrive less often.
	Remote bool
	// HasReport is set when there is a report of the upstream. Without one, the prediction ignores Running, Waiting and
	// SentSinceReport.
	HasReport bool
	// SentSinceReport is the number of requests that this node has sent since the report, SentTokens the sum of their prompt
	// tokens.
	SentSinceReport int
	SentTokens      float64
	// OwnWaiting is the number of requests of this node that have had no event yet, OwnTokens the sum of their prompt tokens.
	OwnWaiting int
	OwnTokens  float64
	// OwnRunning is the number of requests of this node in progress, including the waiting ones.
	OwnRunning int
	// OthersRunning, OthersWaiting and OthersTokens are the same figures for the other entries, as far as they have reported them.
	OthersRunning, OthersWaiting int
	OthersTokens                 float64
	// AheadShare is the share of waiting requests that are at least as urgent as the one to be placed, from 0 to 1.
	AheadShare float64
	// Slowdown is the factor by which the upstream is slower than normal; values below 1 count as 1.
	Slowdown float64
	// SlowdownAge is the age of what Slowdown is based on, SlowdownSource names its origin in logs. Both are unset if nothing is known.
	SlowdownAge    time.Duration
	SlowdownSource string
	// Observed is the newest observation of an upstream of a service without an engine.
	Observed Observation
}

// PredictFirstEvent predicts the time until the first event of a request with the given number of prompt tokens at an engine.
//
// An engine works in passes. A pass with generating requests makes StepsPerPass token steps (decode) and reads prompts (prefill) at
// the rate PrefillTokensPerSecond. A request waits for a slot, then for the end of the current pass, then for the prefill of the
// prompts before it and of its own, and then one pass for its first event.
func PredictFirstEvent(e *catalog.Engine, w Work, promptTokens float64) time.Duration {
	slots := float64(max(e.Slots, 1))
	inProgress := float64(w.OwnRunning + w.OthersRunning)
	if w.HasReport {
		inProgress = max(inProgress, float64(w.Running+w.Waiting+w.SentSinceReport))
	}
	// Since the report, entries have sent about as many requests as the engine has completed. A share of them was neither sent by
	// this entry nor reported by another one.
	share := unreportedShare
	if w.Remote {
		share = remoteUnreportedShare
	}
	unreported := min(float64(w.ReportAge)/float64(slotReleaseInterval(e))*share, slots)
	inProgress += unreported
	waiting := max(inProgress-slots, 0)
	ahead := waiting * w.AheadShare
	// The more requests an engine has, the larger the part of each pass that prefill of new prompts takes.
	pass := time.Duration(float64(PassTime(e, min(inProgress, slots))) * (1 + prefillRatio*min(inProgress/slots, 1)))
	unread := (w.OwnTokens+w.OthersTokens)*max(w.AheadShare, minUnreadShare) + unreported*e.MeanPromptTokens
	prefill := secondsToDuration((unread + promptTokens) / max(e.PrefillTokensPerSecond, 1))
	var slotWait time.Duration
	if waiting > 0 || inProgress >= slots {
		slotWait = time.Duration((ahead + 1) * float64(slotReleaseInterval(e)))
	}
	predicted := pass/2 + slotWait + prefill + pass // On average, half of the current pass remains.
	return time.Duration(float64(predicted) * max(w.Slowdown, 1))
}

// prefillRatio is the assumed ratio of prefill time to decode time at an engine whose slots are all in use. With prompts and answers
// of mean length there are 51 ms of prefill for each 57 ms of decode.
const prefillRatio = 0.85

// unreportedShare is the share of the requests sent since a report that are neither this entry's own nor reported by another entry
// of the data centre.
const unreportedShare = 0.3

// remoteUnreportedShare is the same share for upstreams of other data centres, whose entries report their work with a delay.
const remoteUnreportedShare = 0.6

// minUnreadShare is the minimum share of unread prompt tokens that count as ahead, because a started prefill is not interrupted.
const minUnreadShare = 0.25

// PassTime returns the duration of a pass without prefill that decodes the given number of requests, which need not be whole. The
// context of each is assumed to be a prompt of mean length and half of an answer of mean length.
func PassTime(e *catalog.Engine, decoding float64) time.Duration {
	contextThousands := (e.MeanPromptTokens + e.MeanAnswerTokens/2) / 1000
	step := float64(e.StepTime) + decoding*(float64(e.StepTimePerSequence)+contextThousands*float64(e.StepTimePer1KContext))
	return time.Duration(step * float64(max(e.StepsPerPass, 1)))
}

// PredictDecode returns the predicted time in which an engine whose slots are all in use writes a number of tokens of one request.
func PredictDecode(e *catalog.Engine, tokens float64) time.Duration {
	pass := float64(PassTime(e, float64(max(e.Slots, 1)))) * (1 + prefillRatio)
	return time.Duration(tokens / float64(max(e.StepsPerPass, 1)) * pass)
}

// slotReleaseInterval returns the mean time between completed requests at an engine whose slots are all in use.
func slotReleaseInterval(e *catalog.Engine) time.Duration {
	slots := float64(max(e.Slots, 1))
	passes := max(e.MeanAnswerTokens/float64(max(e.StepsPerPass, 1)), 1)
	decode := passes * float64(PassTime(e, slots)) / slots
	return time.Duration(decode) + secondsToDuration(e.MeanPromptTokens/max(e.PrefillTokensPerSecond, 1))
}

// secondsToDuration converts a number of seconds to a duration.
func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
