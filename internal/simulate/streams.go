package simulate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Stream is the outcome of one request.
type Stream struct {
	Kind         string
	PromptTokens float64
	ArrivedAt    time.Duration
	// FirstEvent is the time to the first event, 0 if there was none. Known is the number of requests that the entry knew at the engine.
	FirstEvent time.Duration
	Known      int
	// Predicted is the predicted time to the first event, Local is set if the engine was in the data centre of the entry.
	Predicted time.Duration
	Local     bool
	// Served is set if the answer was complete. LateFirst and LatePause are set if its first event missed the target or a pause was too long.
	Served, LateFirst, LatePause bool
}

// OnTime reports whether the stream was served with all events on time.
func (s Stream) OnTime() bool { return s.Served && !s.LateFirst && !s.LatePause }

func (res *Result) recordStream(r *request, served bool) {
	s := Stream{Kind: r.kind.Name, PromptTokens: r.prompt, ArrivedAt: r.arrivedAt, Known: r.found, Predicted: r.predicted, Local: r.local, Served: served,
		LateFirst: served && r.lateFirst, LatePause: served && r.latePause}
	if r.firstEventAt > 0 {
		s.FirstEvent = r.firstEventAt - r.arrivedAt
	}
	res.Streams = append(res.Streams, s)
}

// PromptClass is a class of prompt lengths: those below a number of tokens that no earlier class has.
type PromptClass struct {
	Name  string
	Below float64
}

// PromptClasses are the classes by which LateByLength counts.
var PromptClasses = []PromptClass{{"under 300", 300}, {"to 700", 700}, {"to 1,300", 1300}, {"to 2,200", 2200}, {"above", math.Inf(1)}}

// LateShares counts streams and, among those that were served, the ones that were on time or late.
type LateShares struct{ Streams, Served, LateFirst, LatePause, OnTime int }

func (l *LateShares) add(s Stream) {
	l.Streams++
	if s.Served {
		l.Served++
	}
	if s.LateFirst {
		l.LateFirst++
	}
	if s.LatePause {
		l.LatePause++
	}
	if s.OnTime() {
		l.OnTime++
	}
}

// Plus returns the sum of two counts.
func (l LateShares) Plus(other LateShares) LateShares {
	return LateShares{Streams: l.Streams + other.Streams, Served: l.Served + other.Served, LateFirst: l.LateFirst + other.LateFirst,
		LatePause: l.LatePause + other.LatePause, OnTime: l.OnTime + other.OnTime}
}

// ServedShare returns the share of the streams that were served, OnTimeShare the share of the served ones that were on time.
func (l LateShares) ServedShare() float64 { return share(l.Served, l.Streams) }

// OnTimeShare returns the share of the served streams that were on time.
func (l LateShares) OnTimeShare() float64 { return share(l.OnTime, l.Served) }

// FirstLateShare returns the share of the served streams whose first event was late.
func (l LateShares) FirstLateShare() float64 { return share(l.LateFirst, l.Served) }

// PauseLateShare returns the share of the served streams that had a pause that was too long.
func (l LateShares) PauseLateShare() float64 { return share(l.LatePause, l.Served) }

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// LateByLength returns the late streams of each of PromptClasses.
func (res *Result) LateByLength() []LateShares {
	out := make([]LateShares, len(PromptClasses))
	for _, s := range res.Streams {
		out[slices.IndexFunc(PromptClasses, func(c PromptClass) bool { return s.PromptTokens < c.Below })].add(s)
	}
	return out
}

// LateShares returns the late streams of a kind, or of all kinds if it is empty.
func (res *Result) LateShares(kind string) LateShares {
	var out LateShares
	for _, s := range res.Streams {
		if kind == "" || s.Kind == kind {
			out.add(s)
		}
	}
	return out
}

// LateOfLongest returns the late streams among the longest tenth of the prompts of a kind.
func (res *Result) LateOfLongest(kind string) LateShares {
	var list []Stream
	for _, s := range res.Streams {
		if s.Kind == kind {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Stream) int { return cmp.Compare(b.PromptTokens, a.PromptTokens) })
	var out LateShares
	for _, s := range list[:len(list)/10] {
		out.add(s)
	}
	return out
}
