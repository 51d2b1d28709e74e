package simulate

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Share counts the requests of one kind.
type Share struct {
	Asked, InTime, Late, Refused, Failed int
	// Owed and Earned are benefits; Earned has refusals of callers that came back taken off.
	Owed, Earned float64
}

// Worth returns the earned part of what was owed.
func (s Share) Worth() float64 {
	if s.Owed == 0 {
		return 0
	}
	return s.Earned / s.Owed
}

// Result is what a day has come to.
type Result struct {
	Day   Day
	Kinds map[string]*Share
	// Windows are the shares in each two seconds of asking, by kind.
	Windows []map[string]*Share
}

// window is the length of a window.
const window = 2 * time.Second

func newResult(day Day) *Result {
	r := &Result{Day: day, Kinds: map[string]*Share{}}
	for range int(day.Length/window) + 1 {
		r.Windows = append(r.Windows, map[string]*Share{})
	}
	for _, k := range day.Kinds {
		r.Kinds[k.Name] = &Share{}
		for _, w := range r.Windows {
			w[k.Name] = &Share{}
		}
	}
	return r
}

// worth is the benefit of a request in time: larger ones are worth more.
func (r *request) worth() float64 {
	size := (r.prompt + 10*r.answer) / (r.kind.Prompt + 10*r.kind.Answer)
	return r.kind.Worth * min(0.3+0.7*size, 4)
}

// add changes the day's share and that of the window in which the request was asked.
func (t *Result) add(r *request, change func(*Share)) {
	change(t.Kinds[r.kind.Name])
	if i := int(r.asked / window); i < len(t.Windows) {
		change(t.Windows[i][r.kind.Name])
	}
}

func (t *Result) asked(r *request) {
	worth := r.worth()
	t.add(r, func(s *Share) { s.Asked++; s.Owed += worth })
}

func (t *Result) served(r *request) {
	worth := r.worth()
	t.add(r, func(s *Share) {
		if r.late {
			s.Late++
			s.Earned += worth * r.kind.LateShare
		} else {
			s.InTime++
			s.Earned += worth
		}
	})
}

func (t *Result) refused(r *request) {
	worth := r.worth()
	t.add(r, func(s *Share) { s.Refused++; s.Earned -= worth * refusedAgain })
}

func (t *Result) failed(r *request) { t.add(r, func(s *Share) { s.Failed++ }) }

// Total sums all kinds.
func (t *Result) Total() Share { return sum(t.Kinds) }

func sum(kinds map[string]*Share) Share {
	var out Share
	for _, s := range kinds {
		out.Asked += s.Asked
		out.InTime += s.InTime
		out.Late += s.Late
		out.Refused += s.Refused
		out.Failed += s.Failed
		out.Owed += s.Owed
		out.Earned += s.Earned
	}
	return out
}

// WorstWindow returns the smallest worth of a window.
func (t *Result) WorstWindow() float64 {
	worst := 1.0
	for _, w := range t.Windows {
		if s := sum(w); s.Owed > 0 {
			worst = min(worst, s.Worth())
		}
	}
	return worst
}

// Plot sizes in pixels.
const (
	plotWidth, plotHeight, plotMargin = 720, 260, 40
)

var plotColours = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e"}

// WritePlot draws worth by kind over the day as SVG.
func (t *Result) WritePlot(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="14">%s: worth by kind, in windows of %s</text>`,
		plotMargin, t.Day.Name, window)
	for _, y := range []float64{0, 0.5, 1} {
		fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.0f" y2="%.0f" stroke="#ccc"/><text x="8" y="%.0f">%.1f</text>`, plotMargin, plotWidth-10,
			plotY(y), plotY(y), plotY(y)+4, y)
	}
	for i, k := range t.Day.Kinds {
		colour := plotColours[i%len(plotColours)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="2" points="`, colour)
		for n, win := range t.Windows {
			fmt.Fprintf(&b, "%.0f,%.0f ", t.plotX(n), plotY(max(win[k.Name].Worth(), 0)))
		}
		fmt.Fprintf(&b, `"/><text x="%d" y="%d" fill="%s">%s</text>`, plotMargin+90*i, plotHeight-6, colour, k.Name)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "simulate: write plot")
}

func (t *Result) plotX(n int) float64 {
	return plotMargin + float64(n)*(plotWidth-plotMargin-10)/float64(max(len(t.Windows)-1, 1))
}

func plotY(v float64) float64 { return plotHeight - 30 - v*(plotHeight-60) }
