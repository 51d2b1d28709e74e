// Package placement decides where a request goes, whether it is refused, and when a refused caller should return.
//
// Its functions take what the node knows and return a decision; they use neither the network nor a clock of their own.
package placement

import (
	"time"

	"github.com/pimentohead/pimentohead/internal/catalog"
)

// Work is what is in progress at one upstream as this node sees it.
type Work struct {
	// Running and Waiting count requests as the upstream reported them, Age is the age of that report.
	Running, Waiting int
	Age              time.Duration
	// Remote tells that the entries of another data centre use the upstream too, and tell of it only now and then.
	Remote bool
	// Known is false if there is no report. Then only the own work counts.
	Known bool
	// SentSince and SentTokens are requests that this node has sent since the report, with the prompt tokens to be read.
	SentSince  int
	SentTokens float64
	// OwnWaiting and OwnTokens are all requests of this node that have not had their first event.
	OwnWaiting int
	OwnTokens  float64
	// OwnRunning are all requests of this node in progress.
	OwnRunning int
	// OthersRunning, OthersWaiting and OthersTokens are the same of the other entries, as far as they have told.
	OthersRunning, OthersWaiting int
	OthersTokens                 float64
	// Ahead is the share of waiting requests that are at least as urgent as the one to be placed, 0..1.
	Ahead float64
	// Pace is the slowness of the upstream, 1 is normal.
	Pace float64
}

// FirstEvent predicts the time until the first event of a request with the given prompt at an engine.
//
// An engine runs passes. A pass with writers makes Stride steps and reads prompts at ReadPerSecond beside them. A request waits for
// a slot, then until the running pass ends, then until the prompts before it and its own are read, then one pass for its first
// event.
func FirstEvent(e *catalog.Engine, w Work, prompt float64) time.Duration {
	slots := float64(max(e.Slots, 1))
	total := float64(w.OwnRunning + w.OthersRunning)
	if w.Known {
		total = max(total, float64(w.Running+w.Waiting+w.SentSince))
	}
	// Entries have sent requests that they have not told of, about as many as the engine ends in that time.
	share := untold
	if w.Remote {
		share = untoldRemote
	}
	unseen := min(float64(w.Age)/float64(slotInterval(e))*share, slots)
	total += unseen
	waiting := max(total-slots, 0)
	ahead := waiting * w.Ahead
	// The more requests an engine has, the more of each pass goes into reading the prompts of those that arrive.
	pass := time.Duration(float64(PassTime(e, min(total, slots))) * (1 + readingShare*min(total/slots, 1)))
	unread := (w.OwnTokens+w.OthersTokens)*max(w.Ahead, minAhead) + unseen*e.MeanPromptTokens
	read := seconds((unread + prompt) / max(e.PrefillTokensPerSecond, 1))
	var slot time.Duration
	if waiting > 0 || total >= slots {
		slot = time.Duration((ahead + 1) * float64(slotInterval(e)))
	}
	predicted := pass/2 + slot + read + pass
	return time.Duration(float64(predicted) * max(w.Pace, 1))
}

// readingShare is the time for reading, as a part of the time for writing, at an engine whose slots are all taken: 51 ms of
// reading for each 57 ms of writing with the usual prompt and answer.
const readingShare = 0.85

// untold is the part of the requests sent since a report that neither this entry nor another one of the data centre has told of.
const untold = 0.3

// untoldRemote is the same for upstreams of other data centres, whose entries tell of their work with a delay.
const untoldRemote = 0.6

// minAhead is the least share of unread prompts that count: one that is being read is read to its end.
const minAhead = 0.25

// PassTime returns the time of a pass with the given number of writers, without reading.
func PassTime(e *catalog.Engine, writers float64) time.Duration {
	context := (e.MeanPromptTokens + e.MeanAnswerTokens/2) / 1000
	step := float64(e.StepTime) + writers*(float64(e.StepTimePerSequence)+context*float64(e.StepTimePer1KContext))
	return time.Duration(step * float64(max(e.StepsPerPass, 1)))
}

// slotInterval returns the mean time between two ends of requests at an engine whose slots are all taken.
func slotInterval(e *catalog.Engine) time.Duration {
	slots := float64(max(e.Slots, 1))
	passes := max(e.MeanAnswerTokens/float64(max(e.StepsPerPass, 1)), 1)
	writing := passes * float64(PassTime(e, slots)) / slots
	return time.Duration(writing) + seconds(e.MeanPromptTokens/max(e.PrefillTokensPerSecond, 1))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
