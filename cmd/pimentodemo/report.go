package main

import (
	"fmt"
	"io"
	"time"
)

// report prints the result of each step as it finishes and counts the steps.
type report struct {
	out           io.Writer
	started       time.Time
	steps, failed int
}

// step runs one step and prints its result. It reports whether the step succeeded.
func (r *report) step(name string, run func() error) bool {
	if r.steps == 0 {
		r.started = time.Now()
	}
	r.steps++
	r.printf("\n%d. %s\n", r.steps, name)
	begin := time.Now()
	if err := run(); err != nil {
		r.failed++
		r.printf("   FAILED after %s: %v\n", roundForDisplay(time.Since(begin)), err)
		return false
	}
	r.printf("   ok, %s\n", roundForDisplay(time.Since(begin)))
	return true
}

// detail prints one indented line within a step.
func (r *report) detail(format string, args ...any) { r.printf("   "+format+"\n", args...) }

// printf writes to the report. Write errors are ignored, because a closed standard output leaves nowhere to report them.
func (r *report) printf(format string, args ...any) { _, _ = fmt.Fprintf(r.out, format, args...) }

// finish prints the summary and reports whether every step succeeded.
func (r *report) finish() bool {
	if r.failed > 0 {
		r.printf("\nFAILED: %d of %d steps did not go as expected.\n", r.failed, r.steps)
		return false
	}
	r.printf("\nAll %d steps went as expected, %s.\n", r.steps, roundForDisplay(time.Since(r.started)))
	return true
}

// roundForDisplay rounds to milliseconds below one second, and to tenths of a second above.
func roundForDisplay(d time.Duration) time.Duration {
	if d < time.Second {
		return d.Round(time.Millisecond)
	}
	return d.Round(100 * time.Millisecond)
}
