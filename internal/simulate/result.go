package simulate

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcomes counts the requests of one kind by outcome.
type Outcomes struct {
	// Requests is the total; the other counts are by outcome. Failed counts requests that their caller abandoned at a timeout or at the
	// deadline.
	Requests, InTime, Late, Refused, Failed int
	// AtFirstAttempt counts the requests whose first attempt was answered; the others were refused once before their outcome.
	AtFirstAttempt int
	// PossibleValue is the value of all requests if answered in time; EarnedValue is the value of the answers, less a penalty for
	// each request whose last attempt was refused.
	PossibleValue, EarnedValue float64
}

// EarnedShare returns EarnedValue as a fraction of PossibleValue, or 0 without requests. It is negative if penalties prevail.
func (s Outcomes) EarnedShare() float64 {
	if s.PossibleValue == 0 {
		return 0
	}
	return s.EarnedValue / s.PossibleValue
}

// Result holds the outcomes of one simulation.
type Result struct {
	Scenario Scenario
	// Kinds are the outcomes of the whole run by the name of the kind.
	Kinds map[string]*Outcomes
	// Windows are the outcomes by kind of the requests that arrived in each window of two seconds.
	Windows []map[string]*Outcomes
	// Streams are all requests with their outcomes, in the order in which they ended.
	Streams []Stream
}

// windowLength is the length of a window in Result.Windows.
const windowLength = 2 * time.Second

func newResult(scenario Scenario) *Result {
	r := &Result{Scenario: scenario, Kinds: map[string]*Outcomes{}}
	for range int(scenario.Duration/windowLength) + 1 {
		r.Windows = append(r.Windows, map[string]*Outcomes{})
	}
	for _, k := range scenario.Kinds {
		r.Kinds[k.Name] = &Outcomes{}
		for _, w := range r.Windows {
			w[k.Name] = &Outcomes{}
		}
	}
	return r
}

// value returns the value of an answer in time. It grows with the size of the request, in which an answer token counts as 10 prompt
// tokens, and is between 0.3 and 4 times the mean value of the kind. A request of mean size has the mean value.
func (r *request) value() float64 {
	size := (r.prompt + 10*r.answer) / (r.kind.MeanPromptTokens + 10*r.kind.MeanAnswerTokens)
	return r.kind.Value * min(0.3+0.7*size, 4)
}

// update applies change to the total outcomes of the request's kind and to those of the window in which the request arrived.
func (res *Result) update(r *request, change func(*Outcomes)) {
	change(res.Kinds[r.kind.Name])
	if i := int(r.arrivedAt / windowLength); i < len(res.Windows) {
		change(res.Windows[i][r.kind.Name])
	}
}

func (res *Result) recordArrival(r *request) {
	value := r.value()
	res.update(r, func(s *Outcomes) { s.Requests++; s.PossibleValue += value })
}

func (res *Result) recordAnswer(r *request) {
	value := r.value()
	res.recordStream(r, true)
	res.update(r, func(s *Outcomes) {
		if r.attempts == 1 {
			s.AtFirstAttempt++
		}
		if r.lateFirst || r.latePause {
			s.Late++
			s.EarnedValue += value * r.kind.LateValueShare
		} else {
			s.InTime++
			s.EarnedValue += value
		}
	})
}

func (res *Result) recordRefusal(r *request) {
	value := r.value()
	res.recordStream(r, false)
	res.update(r, func(s *Outcomes) { s.Refused++; s.EarnedValue -= value * refusalPenalty })
}

func (res *Result) recordFailure(r *request) {
	res.recordStream(r, false)
	res.update(r, func(s *Outcomes) { s.Failed++ })
}

// Total returns the sum over all kinds.
func (res *Result) Total() Outcomes { return sumOutcomes(res.Kinds) }

// sumOutcomes adds up in the order of the names, because sums of floating-point numbers differ by their order.
func sumOutcomes(kinds map[string]*Outcomes) Outcomes {
	var out Outcomes
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		s := kinds[name]
		out.Requests += s.Requests
		out.InTime += s.InTime
		out.Late += s.Late
		out.Refused += s.Refused
		out.Failed += s.Failed
		out.AtFirstAttempt += s.AtFirstAttempt
		out.PossibleValue += s.PossibleValue
		out.EarnedValue += s.EarnedValue
	}
	return out
}

// LowestWindowShare returns the lowest earned share of all kinds together in any window with requests.
func (res *Result) LowestWindowShare() float64 {
	lowest := 1.0
	for _, w := range res.Windows {
		if s := sumOutcomes(w); s.PossibleValue > 0 {
			lowest = min(lowest, s.EarnedShare())
		}
	}
	return lowest
}

// Plot sizes in pixels.
const (
	plotWidth, plotHeight, plotMargin = 720, 260, 40
)

var plotColours = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e"}

// WritePlot writes an SVG plot of the earned share of each kind in each window; its title calls the share "worth".
func (res *Result) WritePlot(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`,
		plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="14">%s: worth by kind, in windows of %s</text>`,
		plotMargin, res.Scenario.Name, windowLength)
	for _, y := range []float64{0, 0.5, 1} {
		fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.0f" y2="%.0f" stroke="#ccc"/><text x="8" y="%.0f">%.1f</text>`,
			plotMargin, plotWidth-10, plotY(y), plotY(y), plotY(y)+4, y)
	}
	for i, k := range res.Scenario.Kinds {
		colour := plotColours[i%len(plotColours)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="2" points="`, colour)
		for n, win := range res.Windows {
			fmt.Fprintf(&b, "%.0f,%.0f ", res.plotX(n), plotY(max(win[k.Name].EarnedShare(), 0)))
		}
		// Each kind has 90 pixels of the legend.
		fmt.Fprintf(&b, `"/><text x="%d" y="%d" fill="%s">%s</text>`, plotMargin+90*i, plotHeight-6, colour, k.Name)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "simulate: write plot")
}

// plotX returns the x coordinate of window n in pixels. The plot leaves plotMargin free on the left and 10 pixels on the right.
func (res *Result) plotX(n int) float64 {
	return plotMargin + float64(n)*(plotWidth-plotMargin-10)/float64(max(len(res.Windows)-1, 1))
}

// plotY returns the y coordinate of a share from 0 to 1 in pixels. The plot leaves 30 pixels free above and below.
func plotY(v float64) float64 { return plotHeight - 30 - v*(plotHeight-60) }
