package main

import (
	"encoding/json"
	"io"
	"sync"
)

// reportLine is one line of output.
type reportLine struct {
	Scenario string  `json:"scenario"`
	Measure  string  `json:"measure"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	// Target is the bound, such as "<= 2". It is empty for values that are printed for comparison only.
	Target string `json:"target"`
	Pass   bool   `json:"pass"`
}

// report prints measures as JSON lines and records whether any missed its target.
type report struct {
	// mu guards out and missed.
	mu       sync.Mutex
	scenario string
	out      io.Writer
	missed   bool
}

// atMost reports a value with an upper bound.
func (r *report) atMost(name string, value float64, unit string, bound float64) {
	r.print(reportLine{Measure: name, Value: value, Unit: unit, Target: "<= " + formatBound(bound), Pass: value <= bound})
}

// atLeast reports a value with a lower bound.
func (r *report) atLeast(name string, value float64, unit string, bound float64) {
	r.print(reportLine{Measure: name, Value: value, Unit: unit, Target: ">= " + formatBound(bound), Pass: value >= bound})
}

// info reports a value without a bound.
func (r *report) info(name string, value float64, unit string) {
	r.print(reportLine{Measure: name, Value: value, Unit: unit, Pass: true})
}

func (r *report) print(l reportLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.Scenario = r.scenario
	r.missed = r.missed || !l.Pass
	_ = json.NewEncoder(r.out).Encode(l)
}

// formatBound formats a bound as JSON does.
func formatBound(v float64) string {
	text, _ := json.Marshal(v)
	return string(text)
}
